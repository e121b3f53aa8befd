//! Decides which waiting task gets free capacity: by class first, then by fair shares between
//! organisations, then by age.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use model::{Class, JobKind, JobName, JobSpec, Name, Size, Spread, TaskId};

use crate::decision::{Decision, PlacedTask};
use crate::estimate::Estimator;
use crate::ledger::Ledger;
use crate::organisation_queue::Cursor;
use crate::planning_round::{PlanningRound, UnplacedTask};
use crate::policy::Policy;
use crate::reservation::Reservation;
use crate::search::SpreadCounts;
use crate::waiting_tasks::WaitingTasks;
use crate::worker::WorkerIndex;

/// The planner of one zone: assigns free capacity to waiting tasks.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// The placement policy.
    pub policy: Policy,
    /// The capacity of the workers.
    pub ledger: Ledger,
    /// Run time estimates.
    pub estimator: Estimator,
    pub(crate) queue: WaitingTasks,
    pub(crate) placed: BTreeMap<TaskId, PlacedTask>,
    pub(crate) by_worker: BTreeMap<WorkerIndex, BTreeSet<TaskId>>,
    pub(crate) spread: BTreeMap<JobName, SpreadCounts>,
    pub(crate) avoid: BTreeMap<JobName, BTreeSet<WorkerIndex>>,
    pub(crate) usage: BTreeMap<Name, Size>,
    /// The workers on probation. Each may be given one task in a plan.
    pub(crate) on_probation: BTreeSet<WorkerIndex>,
    pub(crate) reservation: Option<Reservation>,
    /// The tasks that were told to checkpoint and have not stopped yet.
    pub(crate) evicting: BTreeSet<TaskId>,
    /// The number of the pass. A new pass begins with each change that may allow stuck work to
    /// start.
    pass: u64,
    /// The last pass after which nothing was left to try.
    settled_pass: Option<u64>,
    /// The ledger's change count after the last round.
    change_count_seen: u64,
}

impl Planner {
    /// Creates a planner with the given policy.
    pub fn new(policy: Policy) -> Planner {
        Planner { policy, ..Planner::default() }
    }

    /// Adds waiting tasks of a job.
    pub fn submit(
        &mut self,
        now: Millis,
        spec: &Arc<JobSpec>,
        generation: u64,
        tasks: impl IntoIterator<Item = u32>,
    ) {
        self.queue.add(now, spec, generation, tasks);
        self.pass += 1;
    }

    /// Removes a job's waiting tasks, in one step however many there are, with its run time
    /// estimate and the workers that it avoids. Returns how many tasks waited.
    pub fn withdraw(&mut self, job: &JobName) -> usize {
        self.avoid.remove(job);
        self.estimator.forget(job);
        if self.reservation.as_ref().is_some_and(|r| r.job == *job) {
            self.reservation = None;
            self.pass += 1;
        }
        self.queue.remove(job).map_or(0, |b| b.waiting.len())
    }

    /// Records a task that a worker is already running.
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

    /// Releases the capacity of a placed task. The task is not queued again.
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

    /// Makes a job's tasks avoid a worker on which one of them failed. Returns how many workers the
    /// job avoids.
    pub fn avoid(&mut self, job: &JobName, worker: WorkerIndex) -> usize {
        let workers = self.avoid.entry(job.clone()).or_default();
        workers.insert(worker);
        workers.len()
    }

    /// Sets whether a worker is on probation. Such a worker may be given one task in a plan; any
    /// other as many as fit.
    pub fn set_probation(&mut self, worker: WorkerIndex, is_on_probation: bool) {
        match is_on_probation {
            true => self.on_probation.insert(worker),
            false => self.on_probation.remove(&worker),
        };
    }

    /// Allows a job's tasks to return to the workers on which they failed.
    pub fn clear_avoided(&mut self, job: &JobName) {
        self.avoid.remove(job);
        self.pass += 1;
        if let Some(waiting_job) = self.queue.get_mut(job) {
            waiting_job.stuck_at = None;
        }
    }

    /// Returns a placed task.
    pub fn placed(&self, task: &TaskId) -> Option<&PlacedTask> {
        self.placed.get(task)
    }

    /// Returns all placed tasks.
    pub fn all_placed(&self) -> impl Iterator<Item = (&TaskId, &PlacedTask)> {
        self.placed.iter()
    }

    /// Returns the tasks placed on a worker.
    pub fn tasks_on(&self, worker: WorkerIndex) -> impl Iterator<Item = &TaskId> {
        self.by_worker.get(&worker).into_iter().flatten()
    }

    /// Returns the waiting tasks.
    pub fn queue(&self) -> &WaitingTasks {
        &self.queue
    }

    /// Causes stuck work to be re-examined, after a change of the policy or the workers.
    pub fn reexamine_stuck(&mut self) {
        self.pass += 1;
    }

    /// Returns whether no waiting task is worth trying until something changes.
    pub fn is_settled(&self) -> bool {
        let is_unchanged = self.change_count_seen == self.ledger.change_count();
        self.queue.is_empty() || is_unchanged && self.settled_pass == Some(self.pass)
    }

    /// Plans one round, which ends once it has `budget` decisions.
    pub fn plan(&mut self, now: Millis, budget: usize) -> Vec<Decision> {
        if self.is_settled() && self.reservation.is_none() {
            return Vec::new();
        }
        if self.change_count_seen != self.ledger.change_count() {
            self.pass += 1;
        }
        self.refresh_reservation(now);
        let mut round = PlanningRound { pass: self.pass, ..PlanningRound::default() };
        for class in Class::ALL {
            self.plan_class(now, class, budget, &mut round);
        }
        let is_pass_complete = round.decisions.len() < budget && self.queue.is_pass_complete();
        if is_pass_complete && !self.policy.only_immovable {
            self.settled_pass = Some(round.pass);
        }
        self.change_count_seen = self.ledger.change_count();
        round.decisions
    }

    fn plan_class(&mut self, now: Millis, class: Class, budget: usize, round: &mut PlanningRound) {
        let mut cursors: BTreeMap<Name, Cursor> = BTreeMap::new();
        while round.decisions.len() < budget {
            let Some((organisation, job)) = self.next_job(class, &cursors) else { return };
            if !self.try_job(now, &job, round) {
                self.queue.skip_job(&job, cursors.entry(organisation).or_default(), round.pass);
            }
        }
    }

    /// Returns the next untried job of the organisation with the lowest dominant share.
    fn next_job(&self, class: Class, cursors: &BTreeMap<Name, Cursor>) -> Option<(Name, JobName)> {
        let mut best: Option<(u64, &Name, &JobName)> = None;
        for organisation in self.queue.organisations(class) {
            let cursor = cursors.get(organisation).copied().unwrap_or_default();
            let Some(waiting_job) = self.queue.next_candidate(class, organisation, &cursor) else {
                continue;
            };
            let share = self.dominant_share(organisation);
            if best.is_none_or(|(s, t, _)| (share, organisation) < (s, t)) {
                best = Some((share, organisation, &waiting_job.spec.name));
            }
        }
        best.map(|(_, organisation, job)| (organisation.clone(), job.clone()))
    }

    /// Tries to start one task of `job`, or all tasks of a gang. Returns false if the job has to be
    /// skipped.
    fn try_job(&mut self, now: Millis, job: &JobName, round: &mut PlanningRound) -> bool {
        let Some(waiting_job) = self.queue.get(job) else { return false };
        let (spec, generation) = (waiting_job.spec.clone(), waiting_job.generation);
        let tasks: Vec<u32> = match spec.kind {
            JobKind::Gang => waiting_job.waiting.iter().copied().collect(),
            _ => waiting_job.waiting.iter().take(1).copied().collect(),
        };
        let barred = self.policy.only_immovable && spec.may_move;
        if barred || waiting_job.stuck_at == Some(self.ledger.change_count()) {
            return false;
        }
        if !self.within_limits(&spec, tasks.len()) {
            return false;
        }
        let run = self.estimator.expected(&spec);
        let mut found = match round.is_known_not_to_fit(&spec, run) {
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
        if let Some(reason) = self.unplaceable_reason(&spec, tasks.len()) {
            self.withdraw(job);
            round.decisions.push(Decision::Unplaceable { job: job.clone(), reason });
            return true;
        }
        if tasks.len() == 1 && !self.avoid.contains_key(job) {
            let (size, spread) = (spec.size, spec.spread != Spread::None);
            round.unplaced.push(UnplacedTask { size, spread, run });
        }
        self.record_stuck(now, &spec, &tasks, round);
        false
    }

    fn record_stuck(
        &mut self,
        now: Millis,
        spec: &Arc<JobSpec>,
        tasks: &[u32],
        round: &mut PlanningRound,
    ) {
        if spec.kind == JobKind::Gang && self.reservation.is_none() {
            self.reserve_for_gang(now, spec, tasks.len());
        }
        let change_count = self.ledger.change_count();
        let stuck_at = match spec.class {
            Class::Urgent => self.evict_for(spec, round),
            Class::Normal | Class::Bulk => Some(change_count),
        };
        if let Some(waiting_job) = self.queue.get_mut(&spec.name) {
            waiting_job.stuck_at = stuck_at;
        }
        if stuck_at != Some(change_count) {
            // The eviction search has workers left to examine.
            self.pass += 1;
        }
    }

    /// Plans evictions for the waiting tasks of a job. Returns the change count at which the job is
    /// stuck.
    fn evict_for(&mut self, spec: &JobSpec, round: &mut PlanningRound) -> Option<u64> {
        let waiting_job = self.queue.get(&spec.name)?;
        let plan =
            self.plan_evictions(spec, waiting_job.waiting.len(), waiting_job.eviction_search);
        round.decisions.extend(plan.decisions);
        self.queue.get_mut(&spec.name)?.eviction_search = plan.search;
        plan.stuck_at
    }

    /// Returns the used fraction of the open workers' capacity for each dimension, in thousandths.
    pub fn packing(&self) -> [u64; 3] {
        let (total, free) = (self.ledger.total(), self.ledger.total_free());
        model::Dimension::ALL.map(|d| {
            let used = total.get(d) - free.get(d).min(total.get(d));
            (used * 1000).checked_div(total.get(d)).unwrap_or(0)
        })
    }
}
