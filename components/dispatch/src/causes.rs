//! What stands against each worker as a place for a task, so that it can be told why a task waits.
//!
//! This decides nothing: it repeats in words what placing goes by.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use workload::{StepSpec, TaskKey, Worker, WorkerId};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::seats::most_more;
use crate::view::View;

/// What stands against a worker. Each worker counts once, by the first of these that holds for it, so whatever
/// stands behind a cause tells of workers that nothing before it stands against: first what lasts, then the
/// worker's own state, then its room, then leave to run there. A worker that is set aside or slow takes a task
/// that has waited for so long, so that is no cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Cause {
    /// It lacks the label that the step asks for.
    Unlabelled,
    /// The advice service does not allow it.
    NotAllowed,
    /// Empty it would have no room for the task.
    TooSmall,
    /// It said that it is leaving.
    Leaving,
    /// It does not answer, or its zone has just fallen silent.
    Silent,
    /// It has just refused a start, or nothing could be sent there.
    Resting,
    /// It runs fillers where the task has a target latency, or the other way round.
    Mixed,
    /// It runs as many tasks of the step as one worker may.
    Crowded,
    /// It has no room for the task.
    Full,
    /// It has room, which is kept free for others.
    Kept,
    /// Workers have crashed under the task, and it may not run beside the young suspects there.
    Suspects,
    /// Nobody has asked yet whether it is allowed.
    Unknown,
    /// It is allowed, but the leave to run there has run out or was used.
    NoTicket,
    /// A run of the task failed there or was moved off it. It may go there all the same.
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

/// How many workers of a task's service there are, and what stands against them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Causes {
    workers: u64,
    /// Those that nothing stands against.
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

/// Causes that hold for no worker are left out.
impl fmt::Display for Causes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "workers={} fit={}", self.workers, self.fit)?;
        self.against.iter().try_for_each(|(cause, n)| write!(f, " {}={n}", cause.name()))
    }
}

/// A task that waits, with what is the same for all workers.
struct Sought<'a> {
    task: TaskKey,
    spec: &'a StepSpec,
    /// The workers that it has leave to run on; `None` if it needs none.
    tickets: Option<BTreeSet<&'a WorkerId>>,
    avoid: Option<&'a BTreeSet<WorkerId>>,
}

impl Dispatcher {
    /// Counts what stands against the workers of a task's service. Looks at all workers.
    pub(crate) fn causes(&self, m: Moment, task: TaskKey) -> Causes {
        let mut causes = Causes::default();
        let key = &task.step;
        let Some((job, spec)) = self.book.job(key.job).zip(self.book.step_spec(key)) else {
            return causes;
        };
        let by_advice = self.advice_of.contains_key(&job.queue);
        let tickets = by_advice.then(|| self.desk.tickets(key, m.now).map(|(id, _)| id).collect());
        let sought = Sought { task, spec, tickets, avoid: self.avoid.get(&task) };
        let workers = self.views.iter().filter_map(|(id, v)| Some((self.book.worker(id)?, v)));
        for (worker, view) in workers.filter(|(w, _)| w.info.service == job.service) {
            causes.add(self.cause(m, &sought, worker, view));
        }
        causes
    }

    /// Gives the first cause that holds for a worker.
    fn cause(&self, m: Moment, sought: &Sought<'_>, worker: &Worker, view: &View) -> Option<Cause> {
        let lasting = self.lasting_cause(sought, worker);
        let state = || self.state_cause(m, worker, view);
        let room = || self.room_cause(sought, worker);
        lasting.or_else(state).or_else(room).or_else(|| self.leave_cause(sought, worker))
    }

    /// Gives what stands against a worker for as long as the task waits.
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

    /// Gives what stands against a worker whatever is to run there.
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

    /// Gives what runs on a worker, or may soon, and leaves no place for the task.
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
            let only_kept = spec.room().fits(&worker.free()) && spec.size.fits(&with_kept);
            return Some(if only_kept { Cause::Kept } else { Cause::Full });
        }
        let suspects = self.plan_state.young_suspects.get(id).copied().unwrap_or_default();
        (!suspects.admit(self.suspicion(task))).then_some(Cause::Suspects)
    }

    /// Gives what is not known of a worker, or speaks against it without ruling it out.
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
