//! Which workers are spared, and when they are used all the same.
//!
//! A worker that fails what it runs, that was slow, or whose availability zone has just fallen silent gets no
//! new work for a while. Load patterns: every worker fails for some seconds, for a reason that all share; jobs
//! that can never be done fail wherever they run; the few workers that a step may use are the ones that fail.
//! In each of them workers that are judged one by one add up to all that some work could use, and it waits
//! beside free room. So three things hold. A worker is set aside only if it stands out among the others, and at
//! most a part of them is. One that has stood aside is given one run at a time until one comes out well. And to be
//! spared is a preference: it ends where nothing else is left.
//! docs/design/platform.md, "Workers that are spared".

use std::collections::BTreeSet;

use clock::Millis;
use events::kinds;
use model::Name;
use workload::{JobId, StepKey, StepSpec, TaskKey, Worker, WorkerId};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    FAILED_JOBS_IN_A_ROW, FAILS_FADE, MOST_ASIDE_PART, MOST_DOUBLINGS, SET_ASIDE, TRY_AGAIN,
    YOUNG_RUN,
};
use crate::order::RunRow;
use crate::place::Turn;
use crate::view::{Stage, View};

/// For how long a single failure weighs against its worker: a few tries of a quick task elsewhere.
const SINGLE_FAIL_WEIGHS: Millis = Millis(1_000);
/// How many times the failed tasks of the average among the others must be there for a worker to stand out. With 2, up
/// to 15 of 48 good workers get no work for three seconds where a tenth of the quick jobs can never be done.
const STANDS_OUT: usize = 4;
/// From how many failed jobs on, without a run done between them, a worker is set aside however the others fare.
const JOBS_TO_BE_SURE: usize = 4;

/// How a worker's last runs ended, and what follows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// The tasks of which runs have failed since the last one that was done.
    failed: BTreeSet<TaskKey>,
    first_failed_at: Millis,
    failed_at: Millis,
    /// When it was last set aside.
    judged_at: Millis,
    /// How often it was, since the last run that was done.
    times: u32,
    aside_until: Millis,
    slow_until: Millis,
    rests_until: Millis,
}

impl Record {
    /// Notes that a run came out well that began at some time. One that was there before the others failed says
    /// nothing about what the worker does with new ones: it would be trusted, and fail them, again and again.
    pub(crate) fn note_done(&mut self, now: Millis, began: Millis) {
        let old = !self.failed.is_empty() && began <= self.first_failed_at;
        if old || (self.times > 0 && began <= self.judged_at) {
            return;
        }
        self.failed.clear();
        self.times = 0;
        self.aside_until = self.aside_until.min(now);
    }

    /// Notes a failed run; tells whether the worker is to be set aside.
    pub(crate) fn note_failed(&mut self, now: Millis, task: TaskKey, began: Millis) -> bool {
        // Runs that were there together when a worker was set aside are one piece of evidence.
        if self.judged_at > Millis::ZERO && began <= self.judged_at {
            return false;
        }
        // Where all that runs lasts, nothing is ever done. Without this two failures that lie long apart would
        // set a good worker aside.
        if self.recent_fails(now) == 0 {
            self.failed.clear();
            self.times = 0;
        }
        if self.failed.is_empty() {
            self.first_failed_at = now;
        }
        self.failed_at = now;
        self.failed.insert(task);
        self.is_failing() && !self.is_aside(now)
    }

    /// Gives of how many jobs the tasks are that have failed there. The tasks of a job are alike.
    fn failed_jobs(&self) -> usize {
        let jobs: BTreeSet<JobId> = self.failed.iter().map(|t| t.step.job).collect();
        jobs.len()
    }

    fn is_failing(&self) -> bool {
        self.failed_jobs() >= FAILED_JOBS_IN_A_ROW
    }

    /// Sets the worker aside, for longer each time; gives for how long.
    fn set_aside(&mut self, now: Millis) -> Millis {
        let span = Millis(SET_ASIDE.0 << self.times.min(MOST_DOUBLINGS));
        self.times += 1;
        self.judged_at = now;
        self.aside_until = now + span;
        span
    }

    /// Lets the worker rest: it has just refused a start, or nothing could be sent to it.
    pub(crate) fn rest(&mut self, until: Millis) {
        self.rests_until = self.rests_until.max(until);
    }

    /// Spares the worker because it is slow.
    pub(crate) fn spare_as_slow(&mut self, until: Millis) {
        self.slow_until = self.slow_until.max(until);
    }

    /// Gives of how many jobs runs have failed since the last one that was done, if one has failed lately.
    pub(crate) fn recent_fails(&self, now: Millis) -> u32 {
        let lately = now.since(self.failed_at.max(self.aside_until)) < FAILS_FADE;
        if lately { self.failed_jobs() as u32 } else { 0 }
    }

    /// Gives how many tasks have failed there since a run was done, if one has lately.
    fn recent_tasks(&self, now: Millis) -> usize {
        if self.recent_fails(now) > 0 { self.failed.len() } else { 0 }
    }

    fn has_failed(&self) -> bool {
        !self.failed.is_empty()
    }

    /// Tells whether anything that failed there did so before some time, and nothing since.
    fn has_failed_before(&self, at: Millis) -> bool {
        self.has_failed() && self.failed_at < at
    }

    /// Gives how many failures weigh against the worker where tasks choose among several: a single one only for a
    /// moment, since one that is passed over for it has no run to show that it is well.
    pub(crate) fn weight(&self, now: Millis) -> u32 {
        match self.recent_fails(now) {
            1 if now.since(self.failed_at) >= SINGLE_FAIL_WEIGHS => 0,
            fails => fails,
        }
    }

    /// Tells whether it is set aside for what failed there.
    pub(crate) fn is_aside(&self, now: Millis) -> bool {
        now < self.aside_until
    }

    /// Tells whether it is spared because it is slow.
    pub(crate) fn is_slow(&self, now: Millis) -> bool {
        now < self.slow_until
    }

    /// Tells whether it rests after a refusal.
    pub(crate) fn rests(&self, now: Millis) -> bool {
        now < self.rests_until
    }

    /// Tells whether the worker has stood aside and nothing has come out well there since.
    pub(crate) fn is_on_trial(&self, now: Millis) -> bool {
        self.times > 0 && self.recent_fails(now) > 0
    }

    /// Tells whether a worker on trial, where a run began at some time last, may have another try.
    fn may_try(&self, now: Millis, last_began: Option<Millis>) -> bool {
        let rested = now.since(self.failed_at) >= TRY_AGAIN;
        // A try that has lived for a while is no reason to wait: it may take as long as it likes.
        let is_over = |at: Millis| at <= self.judged_at || now.since(at) >= YOUNG_RUN;
        rested && last_began.is_none_or(is_over)
    }
}

/// How the other workers of a service fare.
#[derive(Clone, Copy, Debug, Default)]
struct Peers {
    /// How many are set aside.
    aside: usize,
    /// How many are not.
    used: usize,
    /// How many tasks have failed lately on those, in all.
    failed_tasks: usize,
}

impl Peers {
    /// Tells whether one more worker may be set aside.
    fn may_set_aside(&self) -> bool {
        let all = self.aside + self.used + 1;
        self.aside == 0 || (self.aside + 1) * MOST_ASIDE_PART <= all
    }

    /// Tells whether they fare better than a worker on which so many tasks failed. Where jobs fail wherever they
    /// run, or all workers for one reason, none stands out.
    fn fare_better(&self, failed_tasks: usize) -> bool {
        self.used == 0 || failed_tasks * self.used > self.failed_tasks * STANDS_OUT
    }
}

/// Which workers a step may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Those that are not spared; one that has stood aside gets one try at a time.
    Good,
    /// Those that are spared, too; one that is set aside gets one try at a time.
    Spared,
    /// All that can take work.
    All,
}

impl Dispatcher {
    /// Takes in that a run was done on a worker.
    pub(crate) fn ran_well(&mut self, m: Moment, id: &WorkerId, began: Millis) {
        if let Some(view) = self.views.get_mut(id) {
            view.record.note_done(m.now, began);
        }
    }

    /// Takes in that a run failed on a worker, which is set aside if that and others speak against it.
    pub(crate) fn ran_badly(&mut self, m: Moment, id: &WorkerId, task: &TaskKey, began: Millis) {
        if !self.limits.mechanisms.sets_aside {
            return;
        }
        let lasts = self.book.step_spec(&task.step).is_some_and(|s| s.long_running);
        // Tasks that last end at any time, and a worker that fails all it starts fails them at once.
        if lasts && m.now.since(began) >= YOUNG_RUN {
            return;
        }
        let Some(view) = self.views.get_mut(id) else { return };
        if view.record.note_failed(m.now, *task, began) {
            self.set_aside(m, id);
        }
    }

    /// Sets a worker aside, unless too many are already or the others fare no better.
    fn set_aside(&mut self, m: Moment, id: &WorkerId) {
        let Some(service) = self.book.worker(id).map(|w| w.info.service.clone()) else { return };
        let peers = self.peers_of(m, id, &service);
        let Some(view) = self.views.get_mut(id) else { return };
        let fares_worse = peers.fare_better(view.record.recent_tasks(m.now));
        let is_sure = view.record.failed_jobs() >= JOBS_TO_BE_SURE;
        if !peers.may_set_aside() || !(fares_worse || is_sure) {
            return;
        }
        let span = view.record.set_aside(m.now);
        let (aside, all) = (peers.aside + 1, peers.aside + peers.used + 1);
        let details = format!("for_ms={} aside={aside} workers={all}", span.0);
        self.note(&kinds::WORKER_FAILING, id, details);
    }

    /// Gives how the other workers of a service that answer fare.
    fn peers_of(&self, m: Moment, id: &WorkerId, service: &Name) -> Peers {
        let mut peers = Peers::default();
        for (other, view) in self.views.iter().filter(|(other, v)| v.in_contact && *other != id) {
            if self.book.worker(other).is_none_or(|w| w.info.service != *service) {
                continue;
            }
            match view.record.is_aside(m.now) {
                true => peers.aside += 1,
                false => {
                    peers.used += 1;
                    peers.failed_tasks += view.record.recent_tasks(m.now);
                }
            }
        }
        peers
    }

    /// Takes in that tasks that last are alive on a worker: they are never done, so this is what speaks for it.
    pub(crate) fn heed_lasting_runs(&mut self, m: Moment, id: &WorkerId, running: &[RunRow]) {
        if !self.views.get(id).is_some_and(|v| v.record.has_failed()) {
            return;
        }
        for row in running {
            let lasts = self.book.step_spec(&row.task.step).is_some_and(|s| s.long_running);
            let Some(view) = self.views.get(id).filter(|_| lasts) else { continue };
            let Some(order) = view.orders.get(&row.task).filter(|o| o.run == row.run) else {
                continue;
            };
            let began = order.since;
            let confirmed = matches!(order.stage, Stage::Confirmed { .. });
            let lives = confirmed && m.now.since(began) >= YOUNG_RUN;
            if lives && view.record.has_failed_before(began) {
                self.ran_well(m, id, began);
            }
        }
    }

    /// Tells whether a worker is spared.
    fn is_spared(&self, m: Moment, worker: &Worker, view: &View) -> bool {
        let record = &view.record;
        record.is_aside(m.now)
            || record.is_slow(m.now)
            || self.silent_zones.contains(&worker.info.zone)
    }

    /// Tells whether a step may go to a worker, if that can take work at all.
    pub(crate) fn reaches(&self, m: Moment, reach: Reach, worker: &Worker, view: &View) -> bool {
        if !view.is_usable() || view.record.rests(m.now) {
            return false;
        }
        let last_began = || view.orders.values().map(|o| o.since).max();
        let may_try =
            || !view.record.is_on_trial(m.now) || view.record.may_try(m.now, last_began());
        match reach {
            Reach::Good => !self.is_spared(m, worker, view) && may_try(),
            Reach::Spared => may_try(),
            Reach::All => true,
        }
    }

    /// Finds out whether any worker is spared that could take work. A leader that reaches nobody yet would go through
    /// all workers for every step that waits, and have no time left to take in their answers.
    pub(crate) fn find_spared(&mut self, m: Moment) {
        let is_marked = |id: &WorkerId, view: &View| {
            let spared = |w: &Worker| self.is_spared(m, w, view);
            view.record.is_on_trial(m.now) || self.book.worker(id).is_some_and(spared)
        };
        let spared = |(id, view): (&WorkerId, &View)| view.is_usable() && is_marked(id, view);
        self.plan_state.spares_any = self.views.iter().any(spared);
    }

    /// Gives which workers a step may go to. Those that are spared are left out only as long as there is one
    /// among the others that may run the step, whatever room it has, and none of its tasks that last has waited
    /// for long: a failed try costs such a task nothing.
    pub(crate) fn reach(
        &self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
        turn: Turn,
        by_advice: bool,
    ) -> Reach {
        let Some(job) = self.book.job(key.job) else { return Reach::Good };
        if turn == Turn::Owed {
            return Reach::All;
        }
        if !self.plan_state.spares_any {
            return Reach::Good;
        }
        let barred = if by_advice { self.desk.barred(key) } else { None };
        let is_good = |(id, view): (&WorkerId, &View)| {
            let open = barred.is_none_or(|b| !b.contains(id));
            let worker = if open { self.book.worker(id) } else { None };
            worker.is_some_and(|w| {
                self.is_suitable(m, Reach::Good, &job.service, spec, w, view)
                    && !view.record.is_on_trial(m.now)
                    && spec.size.fits(&w.info.capacity)
            })
        };
        match self.views.iter().any(is_good) {
            true => Reach::Good,
            false => Reach::Spared,
        }
    }
}
