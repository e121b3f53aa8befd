//! Reasons why a task waits: for each worker, what prevents the task from being placed there.
//!
//! Nothing is decided here; the checks repeat those of placement for the log.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use workload::{StepSpec, TaskKey, Worker, WorkerId};

use crate::candidates::max_additional_tasks;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::worker_view::WorkerView;

/// The reason why a worker does not take a task. Each worker counts once, under the first reason
/// that applies, so a later reason counts only workers that no earlier one applies to: first what
/// does not change, then the worker's own state, then its capacity, then the permission to run
/// there. A quarantined or slow worker takes a task that has waited for so long, so neither is a
/// reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WaitReason {
    /// The worker lacks the label that the step requires.
    Unlabelled,
    /// The advice service does not allow the worker.
    NotAllowed,
    /// The task would not fit even if the worker was empty.
    TooSmall,
    /// The worker has announced that it is leaving.
    Leaving,
    /// The worker's availability zone is drained.
    ZoneDrained,
    /// The worker does not answer, or its zone has just fallen silent.
    Silent,
    /// The worker is in backoff: it has just refused a start, or nothing could be sent there.
    InBackoff,
    /// The worker runs fillers where the task has a target latency, or the other way round.
    Incompatible,
    /// The worker runs as many tasks of the step as one worker may.
    Crowded,
    /// The task does not fit into the free capacity.
    Full,
    /// The task would fit, but the capacity is reserved for others.
    Reserved,
    /// The task is a crash suspect and may not run beside the young suspects there.
    Suspects,
    /// Whether the worker is allowed has not been asked yet.
    Unknown,
    /// The worker is allowed, but the ticket has expired or was used.
    NoTicket,
    /// A run of the task failed there or was moved away. The task may go there all the same.
    Avoided,
}

impl WaitReason {
    fn name(self) -> &'static str {
        match self {
            WaitReason::Unlabelled => "unlabelled",
            WaitReason::NotAllowed => "not_allowed",
            WaitReason::TooSmall => "too_small",
            WaitReason::Leaving => "leaving",
            WaitReason::ZoneDrained => "zone_drained",
            WaitReason::Silent => "silent",
            WaitReason::InBackoff => "resting",
            WaitReason::Incompatible => "mixed",
            WaitReason::Crowded => "crowded",
            WaitReason::Full => "full",
            WaitReason::Reserved => "kept",
            WaitReason::Suspects => "suspects",
            WaitReason::Unknown => "unknown",
            WaitReason::NoTicket => "no_ticket",
            WaitReason::Avoided => "avoided",
        }
    }
}

/// The number of workers of a task's service, and the reasons why they do not take it.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitReasons {
    workers: u64,
    /// The workers without any reason.
    fit: u64,
    by_reason: BTreeMap<WaitReason, u64>,
}

impl WaitReasons {
    /// Returns the number of workers of the task's service.
    pub(crate) fn workers(&self) -> u64 {
        self.workers
    }

    /// Returns the number of workers without any reason.
    pub(crate) fn fit(&self) -> u64 {
        self.fit
    }

    /// Returns the number of workers by reason, under the names that the log uses.
    pub(crate) fn by_name(&self) -> BTreeMap<&'static str, u64> {
        self.by_reason.iter().map(|(reason, n)| (reason.name(), *n)).collect()
    }

    fn add(&mut self, reason: Option<WaitReason>) {
        self.workers += 1;
        match reason {
            Some(reason) => *self.by_reason.entry(reason).or_default() += 1,
            None => self.fit += 1,
        }
    }
}

/// Formats the counts as log fields. Reasons that apply to no worker are left out.
impl fmt::Display for WaitReasons {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "workers={} fit={}", self.workers, self.fit)?;
        self.by_reason.iter().try_for_each(|(reason, n)| write!(f, " {}={n}", reason.name()))
    }
}

/// A waiting task, with what is the same for all workers.
struct WaitingTask<'a> {
    task: TaskKey,
    spec: &'a StepSpec,
    /// The workers that it has a ticket for; `None` if it needs none.
    tickets: Option<BTreeSet<&'a WorkerId>>,
    avoided_workers: Option<&'a BTreeSet<WorkerId>>,
}

impl Dispatcher {
    /// Counts the reasons why the workers of a task's service do not take it. Examines all workers.
    pub(crate) fn wait_reasons(&self, m: Moment, task: TaskKey) -> WaitReasons {
        let mut wait_reasons = WaitReasons::default();
        let key = &task.step;
        let Some((job, spec)) = self.replicated.job(key.job).zip(self.replicated.step_spec(key))
        else {
            return wait_reasons;
        };
        let needs_advice = self.advice_policies.contains_key(&job.queue);
        let tickets = needs_advice
            .then(|| self.advice_scheduler.tickets(key, m.now).map(|(id, _)| id).collect());
        let waiting =
            WaitingTask { task, spec, tickets, avoided_workers: self.avoided_workers.get(&task) };
        let workers =
            self.worker_views.iter().filter_map(|(id, v)| Some((self.replicated.worker(id)?, v)));
        for (worker, view) in workers.filter(|(w, _)| w.info.service == job.service) {
            wait_reasons.add(self.reason(m, &waiting, worker, view));
        }
        wait_reasons
    }

    /// Returns the first reason that applies to a worker.
    fn reason(
        &self,
        m: Moment,
        waiting: &WaitingTask<'_>,
        worker: &Worker,
        view: &WorkerView,
    ) -> Option<WaitReason> {
        let permanent = self.permanent_reason(waiting, worker);
        let in_state = || self.state_reason(m, worker, view);
        let in_capacity = || self.capacity_reason(waiting, worker);
        permanent
            .or_else(in_state)
            .or_else(in_capacity)
            .or_else(|| self.permission_reason(waiting, worker))
    }

    /// Returns a reason that applies for as long as the task waits.
    fn permanent_reason(&self, waiting: &WaitingTask<'_>, worker: &Worker) -> Option<WaitReason> {
        let (spec, info) = (waiting.spec, &worker.info);
        if spec.constraint.as_ref().is_some_and(|l| !info.labels.contains(l)) {
            return Some(WaitReason::Unlabelled);
        }
        if self.is_disallowed(waiting, &info.id) {
            return Some(WaitReason::NotAllowed);
        }
        (!spec.size.fits(&info.capacity)).then_some(WaitReason::TooSmall)
    }

    fn is_disallowed(&self, waiting: &WaitingTask<'_>, id: &WorkerId) -> bool {
        let disallowed = self.advice_scheduler.disallowed(&waiting.task.step);
        waiting.tickets.is_some() && disallowed.contains(id)
    }

    /// Returns a reason in the worker's state, whatever is to run there.
    fn state_reason(&self, m: Moment, worker: &Worker, view: &WorkerView) -> Option<WaitReason> {
        let is_silent = !view.in_contact || view.silent_since.is_some();
        if view.leaving {
            return Some(WaitReason::Leaving);
        }
        if self.replicated.drained_zones().contains(&worker.info.zone) {
            return Some(WaitReason::ZoneDrained);
        }
        if is_silent || self.silent_zones.contains(&worker.info.zone) {
            return Some(WaitReason::Silent);
        }
        view.health.is_in_backoff(m.now).then_some(WaitReason::InBackoff)
    }

    /// Returns a reason in what runs on the worker, or may soon.
    fn capacity_reason(&self, waiting: &WaitingTask<'_>, worker: &Worker) -> Option<WaitReason> {
        let WaitingTask { task, spec, .. } = waiting;
        let id = &worker.info.id;
        if !self.is_compatible(spec, worker) {
            return Some(WaitReason::Incompatible);
        }
        if max_additional_tasks(&task.step, spec, worker) == 0 {
            return Some(WaitReason::Crowded);
        }
        if !spec.size.fits(&self.free_capacity_for(spec, worker)) {
            let reserved = self.reserved_on(id);
            let with_reserved = self.free_capacity_for(spec, worker).plus(&reserved);
            let only_reserved =
                spec.required_capacity().fits(&worker.free()) && spec.size.fits(&with_reserved);
            return Some(if only_reserved { WaitReason::Reserved } else { WaitReason::Full });
        }
        let suspects = self.plan_state.young_suspects.get(id).copied().unwrap_or_default();
        (!suspects.admits(self.suspicion(task))).then_some(WaitReason::Suspects)
    }

    /// Returns a missing permission, or a reason that makes the worker less suitable without ruling
    /// it out.
    fn permission_reason(&self, waiting: &WaitingTask<'_>, worker: &Worker) -> Option<WaitReason> {
        let WaitingTask { task, tickets, avoided_workers, .. } = waiting;
        let id = &worker.info.id;
        if tickets.as_ref().is_some_and(|t| !t.contains(id)) {
            let allowed = self.advice_scheduler.is_allowed(&task.step, id);
            return Some(if allowed { WaitReason::NoTicket } else { WaitReason::Unknown });
        }
        avoided_workers.is_some_and(|a| a.contains(id)).then_some(WaitReason::Avoided)
    }
}
