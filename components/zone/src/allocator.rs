//! The allocator's state and its clockwork.

use std::collections::{BTreeMap, BTreeSet};

use cell::{Command, TaskEnd, TaskOutcome, ZoneCapacity};
use clock::Millis;
use model::{Epoch, JobName, Name, Profile, Size, TaskId, ZoneId};
use placement::{Decision, Planner, Policy, WorkerIndex};
use upstream::{ListedWorker, WorkerState};

use crate::action::{Action, AllocatorEvent};
use crate::health::Health;
use crate::held_job::HeldJob;
use crate::lease::Authority;
use crate::phase::{TaskPhase, WorkerPhase};
use crate::worker_session::WorkerSession;

/// How many starts one tick may decide, so that a tick stays short.
const STARTS_PER_TICK: usize = 2_000;
/// How long a proposal may stay without effect before it is made again.
pub(crate) const PROPOSE_AGAIN: Millis = Millis(1_000);

/// What an allocator needs to know from outside.
#[derive(Clone, Debug)]
pub struct AllocatorConfig {
    /// The zone.
    pub zone: ZoneId,
    /// The epoch it was granted.
    pub epoch: Epoch,
    /// How long a worker's lease lasts.
    pub worker_lease: Millis,
    /// What placement weighs most.
    pub profile: Profile,
    /// The organisations' ceilings in this zone.
    pub quotas: BTreeMap<Name, Size>,
}

/// The allocator of one zone under one epoch.
#[derive(Debug)]
pub struct Allocator {
    pub(crate) cfg: AllocatorConfig,
    pub(crate) planner: Planner,
    pub(crate) health: Health,
    pub(crate) links: BTreeMap<WorkerIndex, WorkerSession>,
    pub(crate) jobs: BTreeMap<JobName, HeldJob>,
    /// Tasks that an earlier epoch may have started somewhere.
    pub(crate) unaccounted: BTreeSet<TaskId>,
    /// Not repeatable tasks that have a worker and wait for their claim to be lasting.
    pub(crate) claiming: BTreeMap<TaskId, Millis>,
    /// Ends that the cell does not know yet, and when they were last proposed.
    pub(crate) ending: BTreeMap<TaskId, (TaskOutcome, Option<Millis>)>,
    pub(crate) drained: BTreeSet<Name>,
    /// When it is looked next how many workers are set aside.
    pub(crate) look_aside_at: Millis,
    /// When this epoch began, by this instance's clock.
    pub(crate) born: Millis,
    pub(crate) actions: Vec<Action>,
    pub(crate) deposed: bool,
}

impl Allocator {
    /// Starts an allocator that knows neither workers nor jobs.
    pub fn new(now: Millis, cfg: AllocatorConfig) -> Allocator {
        let mut planner = Planner::new(Policy::default());
        planner.policy.profile = cfg.profile;
        planner.policy.quotas = cfg.quotas.clone();
        Allocator {
            cfg,
            planner,
            health: Health::default(),
            links: BTreeMap::new(),
            jobs: BTreeMap::new(),
            unaccounted: BTreeSet::new(),
            claiming: BTreeMap::new(),
            ending: BTreeMap::new(),
            drained: BTreeSet::new(),
            look_aside_at: Millis::ZERO,
            born: now,
            actions: Vec::new(),
            deposed: false,
        }
    }

    /// Gives the epoch.
    pub fn epoch(&self) -> Epoch {
        self.cfg.epoch
    }

    /// Takes over changed settings.
    pub fn configure(
        &mut self,
        worker_lease: Millis,
        profile: Profile,
        quotas: BTreeMap<Name, Size>,
    ) {
        self.cfg.worker_lease = worker_lease;
        self.planner.policy.profile = profile;
        self.planner.policy.quotas = quotas;
        self.planner.reexamine_stuck();
    }

    /// Takes in the platform's list for this zone. The list lags: a worker that is not on it is
    /// gone, one that is on it may be gone too.
    pub fn set_workers(&mut self, now: Millis, list: &[ListedWorker]) {
        let here: Vec<&ListedWorker> = list.iter().filter(|w| w.zone == self.cfg.zone).collect();
        let names: BTreeSet<&Name> = here.iter().map(|w| &w.name).collect();
        let gone: Vec<WorkerIndex> = self
            .links
            .iter()
            .filter(|(_, link)| !names.contains(&link.name))
            .map(|(ix, _)| *ix)
            .collect();
        for ix in gone {
            self.drop_worker(now, ix);
        }
        for worker in here {
            self.list_worker(now, worker);
        }
    }

    fn list_worker(&mut self, now: Millis, worker: &ListedWorker) {
        let info = placement::WorkerInfo {
            name: worker.name.clone(),
            rack: worker.rack.clone(),
            total: worker.size,
        };
        let ix = self.planner.ledger.add(info);
        let link = self
            .links
            .entry(ix)
            .or_insert_with(|| WorkerSession::new(worker.name.clone(), worker.addr, now));
        link.addr = worker.addr;
        link.leaving_listed = worker.state == WorkerState::Leaving;
        self.refresh_open(ix);
    }

    /// Takes in which upstreams operators have taken out of use.
    pub fn set_drained(&mut self, drained: &BTreeSet<Name>) {
        self.drained = drained.clone();
        let all: Vec<WorkerIndex> = self.links.keys().copied().collect();
        all.into_iter().for_each(|ix| self.refresh_open(ix));
    }

    /// Opens or closes a worker for new tasks by all that is known of it.
    pub(crate) fn refresh_open(&mut self, ix: WorkerIndex) {
        let Some(link) = self.links.get(&ix) else { return };
        let open = self.is_in_use(link) && self.health.may_take(ix);
        self.planner.ledger.set_open(ix, open);
        self.planner.set_probation(ix, self.health.is_on_trial(ix));
    }

    /// Tells whether a worker would take tasks if it were in good standing.
    pub(crate) fn is_in_use(&self, link: &WorkerSession) -> bool {
        link.is_answering() && !link.leaving() && !self.drained.contains(&link.name)
    }

    /// Lets time pass. `right` is what the allocator may do now.
    pub fn tick(&mut self, now: Millis, right: Authority) -> Vec<Action> {
        if self.deposed {
            return std::mem::take(&mut self.actions);
        }
        if right != Authority::RenewOnly {
            self.expire_leases(now);
            self.settle_accounts(now);
            self.bound_aside(now);
            self.let_back(now);
            self.planner.policy.only_immovable = right == Authority::ZoneOnly;
            self.start_tasks(now);
        }
        if right == Authority::Full {
            self.propose_claims(now);
        }
        self.propose_ends(now);
        self.sync_workers(now, right);
        std::mem::take(&mut self.actions)
    }

    /// Tells whether a worker has shown that a newer epoch was granted. This allocator then does
    /// nothing more.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    fn let_back(&mut self, now: Millis) {
        for ix in self.health.tick(now) {
            self.refresh_open(ix);
        }
    }

    fn start_tasks(&mut self, now: Millis) {
        for decision in self.planner.plan(now, STARTS_PER_TICK) {
            match decision {
                Decision::Start { task, worker } => self.start(now, task, worker),
                Decision::Evict { task, worker } => self.evict(task, worker),
                Decision::Unplaceable { job, reason } => self.give_up(&job, reason),
            }
        }
    }

    fn start(&mut self, now: Millis, task: TaskId, ix: WorkerIndex) {
        let Some(placed) = self.planner.placed(&task) else { return };
        let (repeatable, class) = (placed.spec.repeatable, placed.spec.class);
        let Some(link) = self.links.get(&ix) else { return };
        let worker = link.name.clone();
        let since = self.jobs.get(&task.job).map_or(now, |j| j.since);
        let waited = now.since(since);
        self.note(AllocatorEvent::TaskStarted { task: task.clone(), worker, waited, class });
        self.health.started(now, ix);
        self.refresh_open(ix);
        if repeatable {
            self.queue_start(&task, ix);
        } else {
            self.claiming.insert(task, Millis::ZERO);
        }
    }

    fn evict(&mut self, task: TaskId, ix: WorkerIndex) {
        self.queue_stop(&task, ix, true);
        self.note(AllocatorEvent::TaskEvicted { task });
    }

    fn give_up(&mut self, job: &JobName, reason: Name) {
        self.note(AllocatorEvent::JobUnschedulable { job: job.clone(), reason: reason.clone() });
        let Some(held) = self.jobs.get(job) else { return };
        for index in held.open_tasks() {
            let task = TaskId { job: job.clone(), index };
            if self.planner.placed(&task).is_none() {
                self.ending.insert(task, (TaskOutcome::Failed(reason.clone()), None));
            }
        }
    }

    fn propose_claims(&mut self, now: Millis) {
        let due: Vec<TaskId> = self
            .claiming
            .iter()
            .filter(|(_, at)| **at == Millis::ZERO || now.since(**at) >= PROPOSE_AGAIN)
            .map(|(t, _)| t.clone())
            .collect();
        if due.is_empty() {
            return;
        }
        for task in &due {
            self.claiming.insert(task.clone(), now.max(Millis(1)));
        }
        let (zone, epoch) = (self.cfg.zone.clone(), self.cfg.epoch);
        self.actions.push(Action::Propose(Command::ClaimTasks { zone, epoch, tasks: due }));
    }

    fn propose_ends(&mut self, now: Millis) {
        let mut ended = Vec::new();
        for (task, (outcome, at)) in &mut self.ending {
            if at.is_none_or(|t| now.since(t) >= PROPOSE_AGAIN) {
                *at = Some(now);
                ended.push(TaskEnd { task: task.clone(), outcome: outcome.clone() });
            }
        }
        if !ended.is_empty() {
            let (zone, epoch) = (self.cfg.zone.clone(), self.cfg.epoch);
            self.actions.push(Action::Propose(Command::EndTasks { zone, epoch, ended }));
        }
    }

    pub(crate) fn note(&mut self, note: AllocatorEvent) {
        self.actions.push(Action::Event(note));
    }

    /// Gives what the zone tells the cell's leader of itself.
    pub fn free_capacity(&self) -> ZoneCapacity {
        let waiting = self
            .planner
            .queue()
            .iter()
            .fold(Size::ZERO, |sum, b| sum.plus(&b.spec.size.times(b.waiting.len() as u64)));
        ZoneCapacity {
            zone: self.cfg.zone.clone(),
            free: self.planner.ledger.total_free().minus(&waiting),
            largest: self.planner.ledger.largest(),
        }
    }

    /// Gives the planner, for figures.
    pub fn planner(&self) -> &Planner {
        &self.planner
    }

    /// Gives how many tasks run, wait and are unaccounted for.
    pub fn task_counts(&self) -> (usize, usize, usize) {
        let running = self.planner.all_placed().count();
        (running, self.planner.queue().len(), self.unaccounted.len())
    }

    /// Gives how a task stands and on which worker.
    pub fn task_phase(&self, task: &TaskId) -> Option<(TaskPhase, Option<Name>)> {
        if self.ending.contains_key(task) {
            return Some((TaskPhase::Ending, None));
        }
        if let Some(placed) = self.planner.placed(task) {
            let link = self.links.get(&placed.worker)?;
            let phase = match link.runs(task) {
                true => TaskPhase::Running,
                false => TaskPhase::Starting,
            };
            return Some((phase, Some(link.name.clone())));
        }
        if self.unaccounted.contains(task) {
            return Some((TaskPhase::Unaccounted, None));
        }
        let waits = self.planner.queue().get(&task.job)?.waiting.contains(&task.index);
        waits.then_some((TaskPhase::Waiting, None))
    }

    /// Gives each worker's name, standing, size and what of it is taken.
    pub fn workers(&self) -> impl Iterator<Item = (&Name, WorkerPhase, Size, Size)> {
        self.links.iter().map(|(&ix, link)| {
            let ledger = &self.planner.ledger;
            (&link.name, self.worker_phase(ix, link), ledger.info(ix).total, ledger.taken(ix))
        })
    }

    fn worker_phase(&self, ix: WorkerIndex, link: &WorkerSession) -> WorkerPhase {
        if !link.has_reported() {
            WorkerPhase::Unknown
        } else if !link.is_answering() {
            WorkerPhase::Silent
        } else if link.leaving() || self.drained.contains(&link.name) {
            WorkerPhase::Draining
        } else if !self.health.may_take(ix) {
            WorkerPhase::Aside
        } else {
            WorkerPhase::Open
        }
    }
}
