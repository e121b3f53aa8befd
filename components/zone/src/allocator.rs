//! The allocator's state and its periodic tick.

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

/// The maximum number of starts that one tick decides. It bounds the length of a tick.
const MAX_STARTS_PER_TICK: usize = 2_000;
/// How long a proposal may remain unapplied before it is proposed again.
pub(crate) const PROPOSAL_RETRY_INTERVAL: Millis = Millis(1_000);

/// The settings of an allocator.
#[derive(Clone, Debug)]
pub struct AllocatorConfig {
    /// The zone whose workers it allocates.
    pub zone: ZoneId,
    /// The epoch granted to it.
    pub epoch: Epoch,
    /// The length of a worker's lease.
    pub worker_lease: Millis,
    /// The placement profile.
    pub profile: Profile,
    /// The organisations' resource limits in this zone.
    pub quotas: BTreeMap<Name, Size>,
}

/// The allocator of one zone under one epoch.
#[derive(Debug)]
pub struct Allocator {
    pub(crate) cfg: AllocatorConfig,
    pub(crate) planner: Planner,
    pub(crate) health: Health,
    pub(crate) sessions: BTreeMap<WorkerIndex, WorkerSession>,
    pub(crate) jobs: BTreeMap<JobName, HeldJob>,
    /// Tasks that an earlier epoch may have started somewhere.
    pub(crate) unaccounted: BTreeSet<TaskId>,
    /// Placed tasks that are not repeatable and whose claim is not committed yet, and when it was last proposed.
    pub(crate) pending_claims: BTreeMap<TaskId, Millis>,
    /// Ended tasks that the cell has not recorded yet, and when that was last proposed.
    pub(crate) pending_ends: BTreeMap<TaskId, (TaskOutcome, Option<Millis>)>,
    pub(crate) drained: BTreeSet<Name>,
    /// Whether operators have drained the zone: nothing new is placed, running tasks continue.
    pub(crate) zone_drained: bool,
    /// When the number of quarantined workers is checked next.
    pub(crate) next_quarantine_check: Millis,
    /// When this allocator's epoch started, by this instance's clock.
    pub(crate) epoch_started_at: Millis,
    pub(crate) actions: Vec<Action>,
    pub(crate) deposed: bool,
}

impl Allocator {
    /// Creates an allocator without workers and jobs.
    pub fn new(now: Millis, cfg: AllocatorConfig) -> Allocator {
        let mut planner = Planner::new(Policy::default());
        planner.policy.profile = cfg.profile;
        planner.policy.quotas = cfg.quotas.clone();
        Allocator {
            cfg,
            planner,
            health: Health::default(),
            sessions: BTreeMap::new(),
            jobs: BTreeMap::new(),
            unaccounted: BTreeSet::new(),
            pending_claims: BTreeMap::new(),
            pending_ends: BTreeMap::new(),
            drained: BTreeSet::new(),
            zone_drained: false,
            next_quarantine_check: Millis::ZERO,
            epoch_started_at: now,
            actions: Vec::new(),
            deposed: false,
        }
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        self.cfg.epoch
    }

    /// Applies changed settings.
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

    /// Applies the platform's worker list. The list lags behind: a worker that is missing from it is gone, but a listed
    /// one may be gone as well.
    pub fn set_workers(&mut self, now: Millis, list: &[ListedWorker]) {
        let in_zone: Vec<&ListedWorker> = list.iter().filter(|w| w.zone == self.cfg.zone).collect();
        let names: BTreeSet<&Name> = in_zone.iter().map(|w| &w.name).collect();
        let removed: Vec<WorkerIndex> = self
            .sessions
            .iter()
            .filter(|(_, session)| !names.contains(&session.name))
            .map(|(ix, _)| *ix)
            .collect();
        for ix in removed {
            self.remove_worker(now, ix);
        }
        for worker in in_zone {
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
        let session = self
            .sessions
            .entry(ix)
            .or_insert_with(|| WorkerSession::new(worker.name.clone(), worker.addr, now));
        session.addr = worker.addr;
        session.listed_as_leaving = worker.state == WorkerState::Leaving;
        self.refresh_open(ix);
    }

    /// Sets which workers operators have drained.
    pub fn set_drained(&mut self, drained: &BTreeSet<Name>) {
        self.drained = drained.clone();
        self.refresh_all_open();
    }

    /// Sets whether operators have drained the zone. Its workers then take no new tasks, their leases
    /// are renewed, and tasks that wait here keep waiting.
    pub fn set_zone_drained(&mut self, drained: bool) {
        self.zone_drained = drained;
        self.refresh_all_open();
    }

    fn refresh_all_open(&mut self) {
        let all: Vec<WorkerIndex> = self.sessions.keys().copied().collect();
        all.into_iter().for_each(|ix| self.refresh_open(ix));
    }

    /// Opens or closes a worker for new tasks, according to its session, its health and the drained set.
    pub(crate) fn refresh_open(&mut self, ix: WorkerIndex) {
        let Some(session) = self.sessions.get(&ix) else { return };
        let open = self.is_available(session) && self.health.accepts_tasks(ix);
        self.planner.ledger.set_open(ix, open);
        self.planner.set_probation(ix, self.health.is_on_probation(ix));
    }

    /// Returns whether a worker could take tasks if it were healthy.
    pub(crate) fn is_available(&self, session: &WorkerSession) -> bool {
        session.is_answering() && !session.is_leaving() && !self.is_drained(session)
    }

    /// Returns whether operators have drained a worker or the whole zone.
    fn is_drained(&self, session: &WorkerSession) -> bool {
        self.zone_drained || self.drained.contains(&session.name)
    }

    /// Does the work that is due at `now`, as far as `authority` permits, and returns the resulting actions.
    pub fn tick(&mut self, now: Millis, authority: Authority) -> Vec<Action> {
        if self.deposed {
            return std::mem::take(&mut self.actions);
        }
        if authority != Authority::RenewOnly {
            self.expire_leases(now);
            self.resolve_unaccounted(now);
            self.limit_quarantine(now);
            self.release_quarantined(now);
            self.planner.policy.only_immovable = authority == Authority::ZoneOnly;
            // In a drained zone a plan could still evict tasks for others that cannot start.
            if !self.zone_drained {
                self.start_tasks(now);
            }
        }
        if authority == Authority::Full {
            self.propose_claims(now);
        }
        self.propose_ends(now);
        self.sync_workers(now, authority);
        std::mem::take(&mut self.actions)
    }

    /// Returns whether a worker's reply has shown that a newer epoch was granted. The allocator takes no further action
    /// from then on.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    fn release_quarantined(&mut self, now: Millis) {
        for ix in self.health.tick(now) {
            self.refresh_open(ix);
        }
    }

    fn start_tasks(&mut self, now: Millis) {
        for decision in self.planner.plan(now, MAX_STARTS_PER_TICK) {
            match decision {
                Decision::Start { task, worker } => self.start(now, task, worker),
                Decision::Evict { task, worker } => self.evict(task, worker),
                Decision::Unplaceable { job, reason } => self.give_up_job(&job, reason),
            }
        }
    }

    fn start(&mut self, now: Millis, task: TaskId, ix: WorkerIndex) {
        let Some(placed) = self.planner.placed(&task) else { return };
        let (repeatable, class) = (placed.spec.repeatable, placed.spec.class);
        let Some(session) = self.sessions.get(&ix) else { return };
        let worker = session.name.clone();
        let since = self.jobs.get(&task.job).map_or(now, |j| j.since);
        let waited = now.since(since);
        self.emit(AllocatorEvent::TaskStarted { task: task.clone(), worker, waited, class });
        self.health.record_start(now, ix);
        self.refresh_open(ix);
        if repeatable {
            self.queue_start(&task, ix);
        } else {
            self.pending_claims.insert(task, Millis::ZERO);
        }
    }

    fn evict(&mut self, task: TaskId, ix: WorkerIndex) {
        self.queue_stop(&task, ix, true);
        self.emit(AllocatorEvent::TaskEvicted { task });
    }

    fn give_up_job(&mut self, job: &JobName, reason: Name) {
        self.emit(AllocatorEvent::JobUnschedulable { job: job.clone(), reason: reason.clone() });
        let Some(held) = self.jobs.get(job) else { return };
        for index in held.open_tasks() {
            let task = TaskId { job: job.clone(), index };
            if self.planner.placed(&task).is_none() {
                self.pending_ends.insert(task, (TaskOutcome::Failed(reason.clone()), None));
            }
        }
    }

    fn propose_claims(&mut self, now: Millis) {
        let due: Vec<TaskId> = self
            .pending_claims
            .iter()
            .filter(|(_, at)| **at == Millis::ZERO || now.since(**at) >= PROPOSAL_RETRY_INTERVAL)
            .map(|(t, _)| t.clone())
            .collect();
        if due.is_empty() {
            return;
        }
        for task in &due {
            self.pending_claims.insert(task.clone(), now.max(Millis(1)));
        }
        let (zone, epoch) = (self.cfg.zone.clone(), self.cfg.epoch);
        self.actions.push(Action::Propose(Command::ClaimTasks { zone, epoch, tasks: due }));
    }

    fn propose_ends(&mut self, now: Millis) {
        let mut ended = Vec::new();
        for (task, (outcome, at)) in &mut self.pending_ends {
            if at.is_none_or(|t| now.since(t) >= PROPOSAL_RETRY_INTERVAL) {
                *at = Some(now);
                ended.push(TaskEnd { task: task.clone(), outcome: outcome.clone() });
            }
        }
        if !ended.is_empty() {
            let (zone, epoch) = (self.cfg.zone.clone(), self.cfg.epoch);
            self.actions.push(Action::Propose(Command::EndTasks { zone, epoch, ended }));
        }
    }

    pub(crate) fn emit(&mut self, event: AllocatorEvent) {
        self.actions.push(Action::Event(event));
    }

    /// Returns the zone's free capacity, which is reported to the cell's leader.
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

    /// Returns the planner, for metrics.
    pub fn planner(&self) -> &Planner {
        &self.planner
    }

    /// Returns the numbers of placed, waiting and unaccounted tasks.
    pub fn task_counts(&self) -> (usize, usize, usize) {
        let running = self.planner.all_placed().count();
        (running, self.planner.queue().len(), self.unaccounted.len())
    }

    /// Returns a task's phase and the worker that it is placed on.
    pub fn task_phase(&self, task: &TaskId) -> Option<(TaskPhase, Option<Name>)> {
        if self.pending_ends.contains_key(task) {
            return Some((TaskPhase::Ending, None));
        }
        if let Some(placed) = self.planner.placed(task) {
            let session = self.sessions.get(&placed.worker)?;
            let phase = match session.is_running(task) {
                true => TaskPhase::Running,
                false => TaskPhase::Starting,
            };
            return Some((phase, Some(session.name.clone())));
        }
        if self.unaccounted.contains(task) {
            return Some((TaskPhase::Unaccounted, None));
        }
        let waits = self.planner.queue().get(&task.job)?.waiting.contains(&task.index);
        waits.then_some((TaskPhase::Waiting, None))
    }

    /// Returns each worker's name, phase, total size and allocated size.
    pub fn workers(&self) -> impl Iterator<Item = (&Name, WorkerPhase, Size, Size)> {
        self.sessions.iter().map(|(&ix, session)| {
            let ledger = &self.planner.ledger;
            (&session.name, self.worker_phase(ix, session), ledger.info(ix).total, ledger.taken(ix))
        })
    }

    fn worker_phase(&self, ix: WorkerIndex, session: &WorkerSession) -> WorkerPhase {
        if !session.has_reported() {
            WorkerPhase::Unknown
        } else if !session.is_answering() {
            WorkerPhase::Silent
        } else if session.is_leaving() || self.is_drained(session) {
            WorkerPhase::Draining
        } else if !self.health.accepts_tasks(ix) {
            WorkerPhase::Quarantined
        } else {
            WorkerPhase::Open
        }
    }
}
