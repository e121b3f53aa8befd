//! Who gets what is free: classes first, then fair shares between organisations, then age.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use model::{Class, JobKind, JobName, JobSpec, Name, Size, Spread, TaskId};

use crate::decision::{Decision, PlacedTask};
use crate::estimate::Estimator;
use crate::ledger::Ledger;
use crate::organisation_queue::Walk;
use crate::planning_round::{NoRoom, Round};
use crate::policy::Policy;
use crate::reservation::Reservation;
use crate::search::SpreadCounts;
use crate::waiting_tasks::WaitingTasks;
use crate::worker::WorkerIndex;

/// Decides who gets what is free.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// The rules.
    pub policy: Policy,
    /// What is free.
    pub ledger: Ledger,
    /// What is known of run times.
    pub estimator: Estimator,
    pub(crate) queue: WaitingTasks,
    pub(crate) placed: BTreeMap<TaskId, PlacedTask>,
    pub(crate) by_worker: BTreeMap<WorkerIndex, BTreeSet<TaskId>>,
    pub(crate) spread: BTreeMap<JobName, SpreadCounts>,
    pub(crate) avoid: BTreeMap<JobName, BTreeSet<WorkerIndex>>,
    pub(crate) usage: BTreeMap<Name, Size>,
    /// The workers that may be given one task in a plan.
    pub(crate) trials: BTreeSet<WorkerIndex>,
    pub(crate) reservation: Option<Reservation>,
    /// What was told to checkpoint and has not stopped yet.
    pub(crate) evicting: BTreeSet<TaskId>,
    /// The number of the lap: the rounds since something changed that stuck work may gain by.
    lap: u64,
    /// The last lap that left nothing to try.
    settled_lap: Option<u64>,
    /// The ledger's count after the last round.
    freed_seen: u64,
}

impl Planner {
    /// Makes a planner with these rules.
    pub fn new(policy: Policy) -> Planner {
        Planner { policy, ..Planner::default() }
    }

    /// Lets tasks of a job wait for a worker.
    pub fn submit(
        &mut self,
        now: Millis,
        spec: &Arc<JobSpec>,
        generation: u64,
        tasks: impl IntoIterator<Item = u32>,
    ) {
        self.queue.add(now, spec, generation, tasks);
        self.lap += 1;
    }

    /// Takes a job's waiting tasks out, in one step however many there are, and forgets what was
    /// learned of where it fails.
    pub fn withdraw(&mut self, job: &JobName) -> usize {
        self.avoid.remove(job);
        self.estimator.forget(job);
        if self.reservation.as_ref().is_some_and(|r| r.job == *job) {
            self.reservation = None;
            self.lap += 1;
        }
        self.queue.remove(job).map_or(0, |b| b.waiting.len())
    }

    /// Takes in a task that a worker already runs.
    pub fn adopt(
        &mut self,
        now: Millis,
        spec: &Arc<JobSpec>,
        generation: u64,
        index: u32,
        worker: WorkerIndex,
    ) {
        self.queue.take(&spec.name, index);
        let task = TaskId { job: spec.name.clone(), index };
        if self.placed.contains_key(&task) {
            return;
        }
        self.ledger.reserve_running(worker, &spec.size);
        self.note_placed(now, spec, generation, task, worker);
    }

    /// Gives a placed task's room back. The task does not wait again by itself.
    pub fn release(&mut self, task: &TaskId) -> Option<PlacedTask> {
        let placed = self.placed.remove(task)?;
        self.evicting.remove(task);
        self.ledger.release(placed.worker, &placed.spec.size);
        if let Some(tasks) = self.by_worker.get_mut(&placed.worker) {
            tasks.remove(task);
        }
        if let Some(counts) = self.spread.get_mut(&task.job) {
            counts.remove(&self.ledger.info(placed.worker).rack, placed.worker);
        }
        if let Some(used) = self.usage.get_mut(&placed.spec.organisation) {
            *used = used.minus(&placed.spec.size);
        }
        Some(placed)
    }

    /// Keeps a job's tasks away from a worker on which one of them failed, and gives from how many
    /// they are kept away.
    pub fn avoid(&mut self, job: &JobName, worker: WorkerIndex) -> usize {
        let workers = self.avoid.entry(job.clone()).or_default();
        workers.insert(worker);
        workers.len()
    }

    /// Says whether a worker may be given one task in a plan, or as many as fit.
    pub fn set_probation(&mut self, worker: WorkerIndex, is_trial: bool) {
        match is_trial {
            true => self.trials.insert(worker),
            false => self.trials.remove(&worker),
        };
    }

    /// Lets a job's tasks go back to workers on which they failed.
    pub fn clear_avoided(&mut self, job: &JobName) {
        self.avoid.remove(job);
        self.lap += 1;
        if let Some(bundle) = self.queue.get_mut(job) {
            bundle.stuck_at = None;
        }
    }

    /// Gives a placed task.
    pub fn placed(&self, task: &TaskId) -> Option<&PlacedTask> {
        self.placed.get(task)
    }

    /// Gives all placed tasks.
    pub fn all_placed(&self) -> impl Iterator<Item = (&TaskId, &PlacedTask)> {
        self.placed.iter()
    }

    /// Gives the tasks placed on a worker.
    pub fn tasks_on(&self, worker: WorkerIndex) -> impl Iterator<Item = &TaskId> {
        self.by_worker.get(&worker).into_iter().flatten()
    }

    /// Gives the tasks that wait.
    pub fn queue(&self) -> &WaitingTasks {
        &self.queue
    }

    /// Tells that the rules or workers changed, so that stuck work is looked at again.
    pub fn reexamine_stuck(&mut self) {
        self.lap += 1;
    }

    /// Tells whether nothing waits that is worth a try before something changes.
    pub fn is_settled(&self) -> bool {
        let is_unchanged = self.freed_seen == self.ledger.freed();
        self.queue.is_empty() || is_unchanged && self.settled_lap == Some(self.lap)
    }

    /// Decides up to `budget` starts.
    pub fn plan(&mut self, now: Millis, budget: usize) -> Vec<Decision> {
        if self.is_settled() && self.reservation.is_none() {
            return Vec::new();
        }
        if self.freed_seen != self.ledger.freed() {
            self.lap += 1;
        }
        self.refresh_reservation(now);
        let mut round = Round { lap: self.lap, ..Round::default() };
        for class in Class::ALL {
            self.plan_class(now, class, budget, &mut round);
        }
        let is_tried = round.decisions.len() < budget && self.queue.is_tried();
        if is_tried && !self.policy.only_immovable {
            self.settled_lap = Some(round.lap);
        }
        self.freed_seen = self.ledger.freed();
        round.decisions
    }

    fn plan_class(&mut self, now: Millis, class: Class, budget: usize, round: &mut Round) {
        let mut walks: BTreeMap<Name, Walk> = BTreeMap::new();
        while round.decisions.len() < budget {
            let Some((organisation, job)) = self.next_job(class, &walks) else { return };
            if !self.try_job(now, &job, round) {
                self.queue.pass_over(&job, walks.entry(organisation).or_default(), round.lap);
            }
        }
    }

    /// Gives the next job of the organisation that uses the least, passing over jobs already tried.
    fn next_job(&self, class: Class, walks: &BTreeMap<Name, Walk>) -> Option<(Name, JobName)> {
        let mut best: Option<(u64, &Name, &JobName)> = None;
        for organisation in self.queue.organisations(class) {
            let walk = walks.get(organisation).copied().unwrap_or_default();
            let Some(bundle) = self.queue.next_in_line(class, organisation, &walk) else {
                continue;
            };
            let share = self.dominant_share(organisation);
            if best.is_none_or(|(s, t, _)| (share, organisation) < (s, t)) {
                best = Some((share, organisation, &bundle.spec.name));
            }
        }
        best.map(|(_, organisation, job)| (organisation.clone(), job.clone()))
    }

    /// Tries to start a task of `job`, or all of a gang's. Gives false if it has to be passed over.
    fn try_job(&mut self, now: Millis, job: &JobName, round: &mut Round) -> bool {
        let Some(bundle) = self.queue.get(job) else { return false };
        let (spec, generation) = (bundle.spec.clone(), bundle.generation);
        let tasks: Vec<u32> = match spec.kind {
            JobKind::Gang => bundle.waiting.iter().copied().collect(),
            _ => bundle.waiting.iter().take(1).copied().collect(),
        };
        let barred = self.policy.only_immovable && spec.may_move;
        if barred || bundle.stuck_at == Some(self.ledger.freed()) {
            return false;
        }
        if !self.within_limits(&spec, tasks.len()) {
            return false;
        }
        let run = self.estimator.expected(&spec);
        let mut found = match round.is_known_stuck(&spec, run) {
            true => None,
            false => self.place_all(now, &spec, generation, &tasks),
        };
        if found.is_none() && self.avoids_too_many(&spec, tasks.len()) {
            self.clear_avoided(job);
            found = self.place_all(now, &spec, generation, &tasks);
        }
        if let Some(starts) = found {
            round.decisions.extend(starts);
            return true;
        }
        if let Some(reason) = self.why_hopeless(&spec, tasks.len()) {
            self.withdraw(job);
            round.decisions.push(Decision::Unplaceable { job: job.clone(), reason });
            return true;
        }
        if tasks.len() == 1 && !self.avoid.contains_key(job) {
            let (size, spread) = (spec.size, spec.spread != Spread::None);
            round.no_room.push(NoRoom { size, spread, run });
        }
        self.note_stuck(now, &spec, &tasks, round);
        false
    }

    fn note_stuck(&mut self, now: Millis, spec: &Arc<JobSpec>, tasks: &[u32], round: &mut Round) {
        if spec.kind == JobKind::Gang && self.reservation.is_none() {
            self.reserve_for_gang(now, spec, tasks.len());
        }
        let freed = self.ledger.freed();
        let stuck_at = match spec.class {
            Class::Urgent => self.make_room_for(spec, round),
            Class::Normal | Class::Bulk => Some(freed),
        };
        if let Some(bundle) = self.queue.get_mut(&spec.name) {
            bundle.stuck_at = stuck_at;
        }
        if stuck_at != Some(freed) {
            // Workers are left to look at.
            self.lap += 1;
        }
    }

    /// Makes room for the waiting tasks of a job, and gives the ledger's count at which it is stuck.
    fn make_room_for(&mut self, spec: &JobSpec, round: &mut Round) -> Option<u64> {
        let bundle = self.queue.get(&spec.name)?;
        let made = self.make_room(spec, bundle.waiting.len(), bundle.room_search);
        round.decisions.extend(made.decisions);
        self.queue.get_mut(&spec.name)?.room_search = made.search;
        made.stuck_at
    }

    /// Gives how the used part of the open workers stands, for each dimension, in thousandths.
    pub fn packing(&self) -> [u64; 3] {
        let (total, free) = (self.ledger.total(), self.ledger.total_free());
        model::Dimension::ALL.map(|d| {
            let used = total.get(d) - free.get(d).min(total.get(d));
            (used * 1000).checked_div(total.get(d)).unwrap_or(0)
        })
    }
}
