//! Reasons why a task waits: for each worker, what prevents the task from being placed there.
//!
//! Nothing is decided here; the checks repeat those of placement for the log.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use workload::{StepSpec, TaskKey, Worker, WorkerId};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::seats::most_more;
use crate::view::View;

/// The reason why a worker does not take a task. Each worker counts once, under the first reason
/// that applies, so a later reason counts only workers that no earlier one applies to: first what
/// does not change, then the worker's own state, then its capacity, then the permission to run
/// there. A quarantined or slow worker takes a task that has waited for so long, so neither is a
/// reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Cause {
    /// The worker lacks the label that the step requires.
    Unlabelled,
    /// The advice service does not allow the worker.
    NotAllowed,
    /// The task would not fit even if the worker was empty.
    TooSmall,
    /// The worker has announced that it is leaving.
    Leaving,
    /// The worker does not answer, or its zone has just fallen silent.
    Silent,
    /// The worker is in backoff: it has just refused a start, or nothing could be sent there.
    Resting,
    /// The worker runs fillers where the task has a target latency, or the other way round.
    Mixed,
    /// The worker runs as many tasks of the step as one worker may.
    Crowded,
    /// The task does not fit into the free capacity.
    Full,
    /// The task would fit, but the capacity is reserved for others.
    Kept,
    /// The task is a crash suspect and may not run beside the young suspects there.
    Suspects,
    /// Whether the worker is allowed has not been asked yet.
    Unknown,
    /// The worker is allowed, but the ticket has expired or was used.
    NoTicket,
    /// A run of the task failed there or was moved away. The task may go there all the same.
    Avoided,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Cause::Unlabelled => "unlabelled",
            Cause::NotAllowed => "not_allowed",
            Cause::TooSmall => "too_small",
            Cause::Leaving => "leaving",
            Cause::Silent => "silent",
            Cause::Resting => "resting",
            Cause::Mixed => "mixed",
            Cause::Crowded => "crowded",
            Cause::Full => "full",
            Cause::Kept => "kept",
            Cause::Suspects => "suspects",
            Cause::Unknown => "unknown",
            Cause::NoTicket => "no_ticket",
            Cause::Avoided => "avoided",
        }
    }
}

/// The number of workers of a task's service, and the reasons why they do not take it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Causes {
    workers: u64,
    /// The workers without any reason.
    fit: u64,
    against: BTreeMap<Cause, u64>,
}

impl Causes {
    fn add(&mut self, cause: Option<Cause>) {
        self.workers += 1;
        match cause {
            Some(cause) => *self.against.entry(cause).or_default() += 1,
            None => self.fit += 1,
        }
    }
}

/// Formats the counts as log fields. Reasons that apply to no worker are left out.
impl fmt::Display for Causes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "workers={} fit={}", self.workers, self.fit)?;
        self.against.iter().try_for_each(|(cause, n)| write!(f, " {}={n}", cause.name()))
    }
}

/// A waiting task, with what is the same for all workers.
struct Sought<'a> {
    task: TaskKey,
    spec: &'a StepSpec,
    /// The workers that it has a ticket for; `None` if it needs none.
    tickets: Option<BTreeSet<&'a WorkerId>>,
    avoid: Option<&'a BTreeSet<WorkerId>>,
}

impl Dispatcher {
    /// Counts the reasons why the workers of a task's service do not take it. Examines all workers.
    pub(crate) fn causes(&self, m: Moment, task: TaskKey) -> Causes {
        let mut causes = Causes::default();
        let key = &task.step;
        let Some((job, spec)) = self.replicated.job(key.job).zip(self.replicated.step_spec(key))
        else {
            return causes;
        };
        let by_advice = self.advice_of.contains_key(&job.queue);
        let tickets = by_advice.then(|| self.desk.tickets(key, m.now).map(|(id, _)| id).collect());
        let sought = Sought { task, spec, tickets, avoid: self.avoid.get(&task) };
        let workers =
            self.views.iter().filter_map(|(id, v)| Some((self.replicated.worker(id)?, v)));
        for (worker, view) in workers.filter(|(w, _)| w.info.service == job.service) {
            causes.add(self.cause(m, &sought, worker, view));
        }
        causes
    }

    /// Returns the first reason that applies to a worker.
    fn cause(&self, m: Moment, sought: &Sought<'_>, worker: &Worker, view: &View) -> Option<Cause> {
        let lasting = self.lasting_cause(sought, worker);
        let state = || self.state_cause(m, worker, view);
        let room = || self.room_cause(sought, worker);
        lasting.or_else(state).or_else(room).or_else(|| self.leave_cause(sought, worker))
    }

    /// Returns a reason that applies for as long as the task waits.
    fn lasting_cause(&self, sought: &Sought<'_>, worker: &Worker) -> Option<Cause> {
        let (spec, info) = (sought.spec, &worker.info);
        if spec.constraint.as_ref().is_some_and(|l| !info.labels.contains(l)) {
            return Some(Cause::Unlabelled);
        }
        if self.is_barred(sought, &info.id) {
            return Some(Cause::NotAllowed);
        }
        (!spec.size.fits(&info.capacity)).then_some(Cause::TooSmall)
    }

    fn is_barred(&self, sought: &Sought<'_>, id: &WorkerId) -> bool {
        let barred = self.desk.barred(&sought.task.step);
        sought.tickets.is_some() && barred.is_some_and(|b| b.contains(id))
    }

    /// Returns a reason in the worker's state, whatever is to run there.
    fn state_cause(&self, m: Moment, worker: &Worker, view: &View) -> Option<Cause> {
        let silent = !view.in_contact || view.silent_since.is_some();
        if view.leaving {
            return Some(Cause::Leaving);
        }
        if silent || self.silent_zones.contains(&worker.info.zone) {
            return Some(Cause::Silent);
        }
        view.record.rests(m.now).then_some(Cause::Resting)
    }

    /// Returns a reason in what runs on the worker, or may soon.
    fn room_cause(&self, sought: &Sought<'_>, worker: &Worker) -> Option<Cause> {
        let Sought { task, spec, .. } = sought;
        let id = &worker.info.id;
        if !self.mixes(spec, worker) {
            return Some(Cause::Mixed);
        }
        if most_more(&task.step, spec, worker) == 0 {
            return Some(Cause::Crowded);
        }
        if !spec.size.fits(&self.room_for(spec, worker)) {
            let kept = self.kept_free_on(id);
            let with_kept = self.room_for(spec, worker).plus(&kept);
            let only_kept =
                spec.required_capacity().fits(&worker.free()) && spec.size.fits(&with_kept);
            return Some(if only_kept { Cause::Kept } else { Cause::Full });
        }
        let suspects = self.plan_state.young_suspects.get(id).copied().unwrap_or_default();
        (!suspects.admit(self.suspicion(task))).then_some(Cause::Suspects)
    }

    /// Returns a missing permission, or a reason that makes the worker less suitable without ruling
    /// it out.
    fn leave_cause(&self, sought: &Sought<'_>, worker: &Worker) -> Option<Cause> {
        let Sought { task, tickets, avoid, .. } = sought;
        let id = &worker.info.id;
        if tickets.as_ref().is_some_and(|t| !t.contains(id)) {
            let allowed = self.desk.is_allowed(&task.step, id);
            return Some(if allowed { Cause::NoTicket } else { Cause::Unknown });
        }
        avoid.is_some_and(|a| a.contains(id)).then_some(Cause::Avoided)
    }
}
