//! Worker health: which workers are deprioritised, and when they are used all the same.
//!
//! A worker that fails what it runs, that was slow, or whose availability zone has just fallen
//! silent gets no new work for a while. Load patterns: every worker fails for some seconds, for a
//! reason common to all; jobs that can never succeed fail wherever they run; the few workers that a
//! step may use are the ones that fail. In each of these cases, judging every worker by itself
//! would exclude all workers that some work could use, and that work would wait beside free
//! capacity. So three rules apply. A worker is quarantined only if it stands out among the others,
//! and at most a part of them is. One that has been quarantined is on probation: it gets one run at
//! a time until one succeeds. And deprioritising a worker is a preference, which ends where no
//! other worker is left. docs/design/platform.md, "Workers that are spared".

use std::collections::BTreeSet;

use clock::Millis;
use events::kinds;
use model::Name;
use workload::{JobId, StepKey, StepSpec, TaskKey, Worker, WorkerId};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    FAILURE_RETENTION, MAX_QUARANTINE_DOUBLINGS, MAX_QUARANTINED_DIVISOR, MAX_YOUNG_RUN_AGE,
    MIN_FAILED_JOBS_FOR_QUARANTINE, QUARANTINE_RETRY, QUARANTINE_TIME,
};
use crate::planning::PlanPass;
use crate::worker_messages::RunStatus;
use crate::worker_view::{Stage, WorkerView};

/// How long a single failure counts against its worker: the time of a few tries of a quick task
/// elsewhere.
const SINGLE_FAILURE_RETENTION: Millis = Millis(1_000);
/// The factor by which a worker's failed tasks must exceed the average of the others for the worker
/// to stand out. With 2, up to 15 of 48 healthy workers get no work for three seconds where a tenth
/// of the quick jobs can never succeed.
const OUTLIER_FACTOR: usize = 4;
/// The number of failed jobs, without a successful run between them, from which a worker is
/// quarantined regardless of the others.
const MIN_FAILED_JOBS_FOR_CERTAINTY: usize = 4;

/// How a worker's last runs ended, and the resulting restrictions.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerHealth {
    /// The tasks of which runs have failed since the last successful one.
    failed: BTreeSet<TaskKey>,
    first_failed_at: Millis,
    failed_at: Millis,
    /// When the worker was last quarantined.
    quarantined_at: Millis,
    /// How often it was quarantined since the last successful run.
    quarantine_count: u32,
    quarantined_until: Millis,
    slow_until: Millis,
    backoff_until: Millis,
}

impl WorkerHealth {
    /// Records that a run that began at `began` succeeded. A run that was there before the others
    /// failed does not show how the worker handles new ones: the worker would be trusted and fail
    /// them, again and again.
    pub(crate) fn record_done(&mut self, now: Millis, began: Millis) {
        let predates_failures = !self.failed.is_empty() && began <= self.first_failed_at;
        if predates_failures || (self.quarantine_count > 0 && began <= self.quarantined_at) {
            return;
        }
        self.failed.clear();
        self.quarantine_count = 0;
        self.quarantined_until = self.quarantined_until.min(now);
    }

    /// Records a failed run. Returns whether the worker is to be quarantined.
    pub(crate) fn record_failed(&mut self, now: Millis, task: TaskKey, began: Millis) -> bool {
        // Runs that were there together when the worker was quarantined are one piece of evidence.
        if self.quarantined_at > Millis::ZERO && began <= self.quarantined_at {
            return false;
        }
        // Where all runs are long-running, none ever succeeds. Without this, two failures far apart
        // would quarantine a healthy worker.
        if self.recent_failures(now) == 0 {
            self.failed.clear();
            self.quarantine_count = 0;
        }
        if self.failed.is_empty() {
            self.first_failed_at = now;
        }
        self.failed_at = now;
        self.failed.insert(task);
        self.is_failing() && !self.is_quarantined(now)
    }

    /// Returns the number of jobs whose tasks have failed there. The tasks of a job are alike.
    fn failed_jobs(&self) -> usize {
        let jobs: BTreeSet<JobId> = self.failed.iter().map(|t| t.step.job).collect();
        jobs.len()
    }

    fn is_failing(&self) -> bool {
        self.failed_jobs() >= MIN_FAILED_JOBS_FOR_QUARANTINE
    }

    /// Quarantines the worker, for longer each time. Returns for how long.
    fn quarantine(&mut self, now: Millis) -> Millis {
        let duration =
            Millis(QUARANTINE_TIME.0 << self.quarantine_count.min(MAX_QUARANTINE_DOUBLINGS));
        self.quarantine_count += 1;
        self.quarantined_at = now;
        self.quarantined_until = now + duration;
        duration
    }

    /// Puts the worker in backoff, because it has just refused a start or nothing could be sent to
    /// it.
    pub(crate) fn back_off(&mut self, until: Millis) {
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Deprioritises the worker because it is slow.
    pub(crate) fn mark_slow(&mut self, until: Millis) {
        self.slow_until = self.slow_until.max(until);
    }

    /// Returns the number of jobs with failed runs since the last successful one, or 0 if none has
    /// failed recently.
    pub(crate) fn recent_failures(&self, now: Millis) -> u32 {
        let is_recent = now.since(self.failed_at.max(self.quarantined_until)) < FAILURE_RETENTION;
        if is_recent { self.failed_jobs() as u32 } else { 0 }
    }

    /// Returns the number of tasks that have failed there since a run succeeded, or 0 if none has
    /// failed recently.
    fn recent_failed_tasks(&self, now: Millis) -> usize {
        if self.recent_failures(now) > 0 { self.failed.len() } else { 0 }
    }

    fn has_failed(&self) -> bool {
        !self.failed.is_empty()
    }

    /// Returns whether some task has failed there, and none at or after `at`.
    fn has_failed_before(&self, at: Millis) -> bool {
        self.has_failed() && self.failed_at < at
    }

    /// Returns how many failures count against the worker where tasks choose among several. A
    /// single one counts only for a moment, since a worker that is passed over for it has no run to
    /// show that it is healthy.
    pub(crate) fn failure_weight(&self, now: Millis) -> u32 {
        match self.recent_failures(now) {
            1 if now.since(self.failed_at) >= SINGLE_FAILURE_RETENTION => 0,
            failures => failures,
        }
    }

    /// Returns whether the worker is quarantined for failures.
    pub(crate) fn is_quarantined(&self, now: Millis) -> bool {
        now < self.quarantined_until
    }

    /// Returns whether the worker is deprioritised as slow.
    pub(crate) fn is_slow(&self, now: Millis) -> bool {
        now < self.slow_until
    }

    /// Returns whether the worker is in backoff.
    pub(crate) fn is_in_backoff(&self, now: Millis) -> bool {
        now < self.backoff_until
    }

    /// Returns whether the worker is on probation: it was quarantined, and no run has succeeded
    /// there since.
    pub(crate) fn is_on_probation(&self, now: Millis) -> bool {
        self.quarantine_count > 0 && self.recent_failures(now) > 0
    }

    /// Returns whether the worker is deprioritised or on probation.
    fn is_restricted(&self, now: Millis) -> bool {
        self.is_quarantined(now) || self.is_slow(now) || self.is_on_probation(now)
    }

    /// Returns whether a worker on probation may have another try if its last run began at
    /// `last_began`.
    fn may_try(&self, now: Millis, last_began: Option<Millis>) -> bool {
        let retry_due = now.since(self.failed_at) >= QUARANTINE_RETRY;
        // A try that has survived for a while does not block the next one, as it may run for any
        // time.
        let is_settled =
            |at: Millis| at <= self.quarantined_at || now.since(at) >= MAX_YOUNG_RUN_AGE;
        retry_due && last_began.is_none_or(is_settled)
    }
}

/// How the other workers of a service fare.
#[derive(Clone, Copy, Debug, Default)]
struct Peers {
    /// How many are quarantined.
    quarantined: usize,
    /// How many are not quarantined.
    in_use: usize,
    /// How many tasks have recently failed on those, in total.
    failed_tasks: usize,
}

impl Peers {
    /// Returns whether one more worker may be quarantined.
    fn may_quarantine(&self) -> bool {
        let all = self.quarantined + self.in_use + 1;
        self.quarantined == 0 || (self.quarantined + 1) * MAX_QUARANTINED_DIVISOR <= all
    }

    /// Returns whether they fare better than a worker on which so many tasks failed. Where jobs
    /// fail wherever they run, or all workers fail for one reason, none stands out.
    fn fare_better(&self, failed_tasks: usize) -> bool {
        self.in_use == 0 || failed_tasks * self.in_use > self.failed_tasks * OUTLIER_FACTOR
    }
}

/// The workers that a step may go to, by their health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerTier {
    /// Workers that are not deprioritised. One on probation gets one try at a time.
    Preferred,
    /// Deprioritised workers, too. One on probation, quarantined or not, gets one try at a time.
    Deprioritised,
    /// All workers that can take work.
    All,
}

impl Dispatcher {
    /// Processes the success of a run on a worker.
    pub(crate) fn record_run_done(&mut self, m: Moment, id: &WorkerId, began: Millis) {
        if let Some(view) = self.worker_views.get_mut(id) {
            view.health.record_done(m.now, began);
        }
    }

    /// Processes the failure of a run on a worker, which is quarantined if this and other failures
    /// indicate a fault.
    pub(crate) fn record_run_failed(
        &mut self,
        m: Moment,
        id: &WorkerId,
        task: &TaskKey,
        began: Millis,
    ) {
        if !self.limits.mechanisms.quarantines_workers {
            return;
        }
        let long_running = self.replicated.step_spec(&task.step).is_some_and(|s| s.long_running);
        // Long-running tasks end at any time, and a worker that fails all it starts fails them
        // immediately.
        if long_running && m.now.since(began) >= MAX_YOUNG_RUN_AGE {
            return;
        }
        let Some(view) = self.worker_views.get_mut(id) else { return };
        self.restricted_workers.insert(id.clone());
        if view.health.record_failed(m.now, *task, began) {
            self.quarantine(m, id);
        }
    }

    /// Quarantines a worker, unless too many are already or the others fare no better.
    fn quarantine(&mut self, m: Moment, id: &WorkerId) {
        let Some(service) = self.replicated.worker(id).map(|w| w.info.service.clone()) else {
            return;
        };
        let peers = self.peers_of(m, id, &service);
        let Some(view) = self.worker_views.get_mut(id) else { return };
        let fares_worse = peers.fare_better(view.health.recent_failed_tasks(m.now));
        let is_certain = view.health.failed_jobs() >= MIN_FAILED_JOBS_FOR_CERTAINTY;
        if !peers.may_quarantine() || !(fares_worse || is_certain) {
            return;
        }
        let duration = view.health.quarantine(m.now);
        let (aside, all) = (peers.quarantined + 1, peers.quarantined + peers.in_use + 1);
        let details = format!("for_ms={} aside={aside} workers={all}", duration.0);
        self.log_event(&kinds::WORKER_FAILING, id, details);
    }

    /// Returns how the other workers of a service that are in contact fare.
    fn peers_of(&self, m: Moment, id: &WorkerId, service: &Name) -> Peers {
        let mut peers = Peers::default();
        for (other, view) in
            self.worker_views.iter().filter(|(other, v)| v.in_contact && *other != id)
        {
            if self.replicated.worker(other).is_none_or(|w| w.info.service != *service) {
                continue;
            }
            match view.health.is_quarantined(m.now) {
                true => peers.quarantined += 1,
                false => {
                    peers.in_use += 1;
                    peers.failed_tasks += view.health.recent_failed_tasks(m.now);
                }
            }
        }
        peers
    }

    /// Processes the report that long-running tasks are alive on a worker. They never finish, so
    /// this is the evidence for its health.
    pub(crate) fn credit_long_running_runs(
        &mut self,
        m: Moment,
        id: &WorkerId,
        running: &[RunStatus],
    ) {
        if !self.worker_views.get(id).is_some_and(|v| v.health.has_failed()) {
            return;
        }
        for status in running {
            let long_running =
                self.replicated.step_spec(&status.task.step).is_some_and(|s| s.long_running);
            let Some(view) = self.worker_views.get(id).filter(|_| long_running) else { continue };
            let Some(order) = view.orders.get(&status.task).filter(|o| o.run == status.run) else {
                continue;
            };
            let began = order.since;
            let confirmed = matches!(order.stage, Stage::Confirmed { .. });
            let survives = confirmed && m.now.since(began) >= MAX_YOUNG_RUN_AGE;
            if survives && view.health.has_failed_before(began) {
                self.record_run_done(m, id, began);
            }
        }
    }

    /// Returns whether a worker is deprioritised.
    fn is_deprioritised(&self, m: Moment, worker: &Worker, view: &WorkerView) -> bool {
        let health = &view.health;
        health.is_quarantined(m.now)
            || health.is_slow(m.now)
            || self.silent_zones.contains(&worker.info.zone)
    }

    /// Returns whether a step may go to a worker, by its health and contact.
    pub(crate) fn is_eligible(
        &self,
        m: Moment,
        worker_tier: WorkerTier,
        worker: &Worker,
        view: &WorkerView,
    ) -> bool {
        let is_drained = self.replicated.drained_zones().contains(&worker.info.zone);
        if !view.is_usable() || view.health.is_in_backoff(m.now) || is_drained {
            return false;
        }
        let last_began = || view.orders.values().map(|o| o.since).max();
        let may_try =
            || !view.health.is_on_probation(m.now) || view.health.may_try(m.now, last_began());
        match worker_tier {
            WorkerTier::Preferred => !self.is_deprioritised(m, worker, view) && may_try(),
            WorkerTier::Deprioritised => may_try(),
            WorkerTier::All => true,
        }
    }

    /// Determines whether any worker that could take work is deprioritised. If none is, plans need
    /// not scan all workers for each step. Without this a leader that has no contact to any worker
    /// yet would do so for every waiting step, and have no time left to process their answers.
    pub(crate) fn find_deprioritised(&mut self, m: Moment) {
        let views = &self.worker_views;
        let is_restricted = |v: &WorkerView| v.health.is_restricted(m.now);
        // Only workers with failed or slow runs are looked at, since every plan does so.
        self.restricted_workers.retain(|id| views.get(id).is_some_and(is_restricted));
        self.plan_state.workers_checked += self.restricted_workers.len() as u64;
        let is_usable = |id: &WorkerId| views.get(id).is_some_and(WorkerView::is_usable);
        let any_restricted = self.restricted_workers.iter().any(is_usable);
        debug_assert_eq!(any_restricted, views.values().any(|v| v.is_usable() && is_restricted(v)));
        self.plan_state.any_deprioritised = any_restricted || self.any_usable_in_silent_zones();
    }

    fn any_usable_in_silent_zones(&self) -> bool {
        let is_silent = |id: &WorkerId| {
            let worker = self.replicated.worker(id);
            worker.is_some_and(|w| self.silent_zones.contains(&w.info.zone))
        };
        !self.silent_zones.is_empty()
            && self.worker_views.iter().any(|(id, v)| v.is_usable() && is_silent(id))
    }

    /// Returns the workers that a step may go to. Deprioritised workers are excluded only while
    /// another one may run the step, whatever capacity it has free, and none of the step's
    /// long-running tasks is overdue: a failed try costs such a task nothing.
    pub(crate) fn worker_tier(
        &self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
        pass: PlanPass,
        needs_advice: bool,
    ) -> WorkerTier {
        let Some(job) = self.replicated.job(key.job) else { return WorkerTier::Preferred };
        if pass == PlanPass::Overdue {
            return WorkerTier::All;
        }
        if !self.plan_state.any_deprioritised {
            return WorkerTier::Preferred;
        }
        let disallowed = needs_advice.then(|| self.advice_scheduler.disallowed(key));
        let is_preferred = |id: &WorkerId| {
            let may_be_allowed = disallowed.is_none_or(|b| !b.contains(id));
            let view = if may_be_allowed { self.worker_views.get(id) } else { None };
            let on_probation = |v: &WorkerView| v.health.is_on_probation(m.now);
            view.is_some_and(|v| !on_probation(v))
                && self
                    .suitable_worker(m, WorkerTier::Preferred, key, spec, id)
                    .is_some_and(|w| spec.size.fits(&w.info.capacity))
        };
        match self.capacity_index.members(&job.service, spec.constraint.as_ref()).any(is_preferred)
        {
            true => WorkerTier::Preferred,
            false => WorkerTier::Deprioritised,
        }
    }
}
