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
    MIN_FAILED_JOBS_FOR_QUARANTINE, QUARANTINE_RETRY, QUARANTINE_TIME, SEEMS_HEALTHY_AGE,
};
use crate::planning::PlanPass;
use crate::worker_messages::RunStatus;
use crate::worker_view::{Order, Stage, WorkerView};

/// How long a single failure counts against its worker: the time of a few tries of a quick task
/// elsewhere.
const SINGLE_FAILURE_RETENTION: Millis = Millis(1_000);
/// The maximum chance that a worker on which runs fail no more often than elsewhere is quarantined.
/// It is out of use for as long as a few failures are apart, so about this part of a healthy fleet
/// is quarantined at any time.
const MAX_CHANCE_OF_QUARANTINE: f64 = 0.02;
/// The number of failed jobs from which a worker is quarantined if no run that began after the first
/// failure survives, whatever those do that began before it.
const MIN_FAILED_JOBS_FOR_CERTAINTY: usize = 4;
/// The half-life of the counts of ended runs from which the usual failure rate is determined.
const FAILURE_RATE_HALF_LIFE: Millis = Millis(5_000);
/// How long a determined failure rate is used, as determining it visits all workers.
const FAILURE_RATE_REFRESH_INTERVAL: Millis = Millis(250);

/// How a worker's last runs ended, and the resulting restrictions.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerHealth {
    /// The tasks of which runs have failed since the last successful one.
    failed: BTreeSet<TaskKey>,
    /// How many runs have succeeded since the first of them failed. All of these began before.
    done_since_failure: usize,
    ends: RecentEnds,
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

/// How many runs have ended recently, decaying with their age.
#[derive(Clone, Copy, Debug, Default)]
struct RecentEnds {
    done: f64,
    failed: f64,
    at: Millis,
}

impl RecentEnds {
    fn at(self, now: Millis) -> RecentEnds {
        let half_lives = now.since(self.at).0 as f64 / FAILURE_RATE_HALF_LIFE.0 as f64;
        let kept = 0.5_f64.powf(half_lives);
        RecentEnds { done: self.done * kept, failed: self.failed * kept, at: now }
    }

    fn add(&mut self, other: &RecentEnds) {
        self.done += other.done;
        self.failed += other.failed;
    }

    fn subtract(&mut self, other: &RecentEnds) {
        self.done = (self.done - other.done).max(0.0);
        self.failed = (self.failed - other.failed).max(0.0);
    }

    fn failure_rate(&self) -> f64 {
        let ended = self.done + self.failed;
        if ended > 0.0 { self.failed / ended } else { 0.0 }
    }
}

/// Returns the chance that at least `failed` of `ended` runs fail if each fails with a probability.
fn chance_of_failures(failed: usize, ended: usize, probability: f64) -> f64 {
    let p = probability.clamp(0.0, 1.0);
    let mut fewer = 0.0;
    // The number of ways to choose the failed runs, by the recurrence of binomial coefficients.
    let mut ways = 1.0;
    for k in 0..failed.min(ended + 1) {
        fewer += ways * p.powi(k as i32) * (1.0 - p).powi((ended - k) as i32);
        ways *= (ended - k) as f64 / (k + 1) as f64;
    }
    (1.0_f64 - fewer).max(0.0)
}

impl WorkerHealth {
    /// Records that a run that began at `began` succeeded. A run that was there before the others
    /// failed does not show how the worker handles new ones: the worker would be trusted and fail
    /// them, again and again.
    pub(crate) fn record_done(&mut self, now: Millis, began: Millis) {
        self.ends = self.ends.at(now);
        self.ends.done += 1.0;
        self.done_since_failure += 1;
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
        self.ends = self.ends.at(now);
        self.ends.failed += 1.0;
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
            self.done_since_failure = 0;
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

    /// Returns whether chance hardly explains the failures where runs fail at a rate, if runs of
    /// `surviving_jobs` other jobs that began later survive. The first failure only starts the
    /// count. Runs that began before it and succeed say nothing of how the worker handles new ones,
    /// but without them the failures, which come early in a run, would be most of what has ended.
    fn stands_out(&self, surviving_jobs: usize, failure_rate: f64) -> bool {
        let failed = self.failed_jobs().saturating_sub(1);
        let ended = failed + surviving_jobs + self.done_since_failure;
        let chance = chance_of_failures(failed, ended, failure_rate);
        let is_certain = surviving_jobs == 0 && self.failed_jobs() >= MIN_FAILED_JOBS_FOR_CERTAINTY;
        chance <= MAX_CHANCE_OF_QUARANTINE || is_certain
    }

    /// Returns whether most of its recent runs have failed, or those of several jobs in a row.
    fn is_odd(&self, now: Millis) -> bool {
        let ends = self.ends.at(now);
        ends.failed > ends.done || self.is_failing()
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

/// How the workers of a service that are in contact fare.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peers {
    measured_at: Millis,
    /// How many there are.
    all: usize,
    /// How many are quarantined.
    quarantined: usize,
    /// The recent ends on the workers on which most runs succeed.
    usual: RecentEnds,
    /// The recent ends on the other workers, and how many of these there are.
    odd: RecentEnds,
    odd_workers: usize,
}

impl Peers {
    fn count(&mut self, health: &WorkerHealth, now: Millis) {
        let ends = health.ends.at(now);
        self.all += 1;
        self.quarantined += usize::from(health.is_quarantined(now));
        self.odd_workers += usize::from(health.is_odd(now));
        if health.is_odd(now) { &mut self.odd } else { &mut self.usual }.add(&ends);
    }

    /// Returns the part of the recent runs that have failed on the workers besides one. Workers on
    /// which most runs have failed do not count, unless they are more than may be quarantined: where
    /// a few workers fail all that they start, they fail more runs than all others together.
    fn failure_rate_besides(&self, health: &WorkerHealth, now: Millis) -> f64 {
        let (own, is_odd) = (health.ends.at(now), health.is_odd(now));
        let odd_workers = self.odd_workers.saturating_sub(usize::from(is_odd));
        let mut ends = self.usual;
        if !is_odd {
            ends.subtract(&own);
        }
        if odd_workers * MAX_QUARANTINED_DIVISOR > self.all.saturating_sub(1) {
            ends.add(&self.odd);
            if is_odd {
                ends.subtract(&own);
            }
        }
        ends.failure_rate()
    }

    /// Returns whether one more worker may be quarantined.
    fn may_quarantine(&self) -> bool {
        self.quarantined == 0 || (self.quarantined + 1) * MAX_QUARANTINED_DIVISOR <= self.all
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

/// Returns the number of jobs with a run on a worker that began after the first of the failed runs
/// had ended and that has survived for longer than a run takes to fail on a faulty worker.
fn surviving_jobs(m: Moment, view: &WorkerView) -> usize {
    let began_after = view.health.first_failed_at;
    let survives = |o: &Order| {
        let confirmed = matches!(o.stage, Stage::Confirmed { .. });
        confirmed && o.since > began_after && m.now.since(o.since) >= SEEMS_HEALTHY_AGE
    };
    let jobs = view.orders.iter().filter(|(_, o)| survives(o)).map(|(task, _)| task.step.job);
    jobs.collect::<BTreeSet<JobId>>().len()
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

    /// Quarantines a worker, unless too many are already or it does not stand out.
    fn quarantine(&mut self, m: Moment, id: &WorkerId) {
        let Some(service) = self.replicated.worker(id).map(|w| w.info.service.clone()) else {
            return;
        };
        let peers = self.peers(m, &service);
        let Some(view) = self.worker_views.get_mut(id) else { return };
        let survivors = surviving_jobs(m, view);
        let failure_rate = peers.failure_rate_besides(&view.health, m.now);
        if !peers.may_quarantine() || !view.health.stands_out(survivors, failure_rate) {
            return;
        }
        let duration = view.health.quarantine(m.now);
        let Peers { all, quarantined, .. } = peers;
        if let Some(peers) = self.peers.get_mut(&service) {
            peers.quarantined += 1;
        }
        let details = format!(
            "for_ms={} aside={} workers={all} failed_jobs={} surviving_jobs={survivors} \
             failure_rate={failure_rate:.3}",
            duration.0,
            quarantined + 1,
            view.health.failed_jobs()
        );
        self.log_event(&kinds::WORKER_FAILING, id, details);
    }

    /// Returns how the workers of a service that are in contact fare.
    fn peers(&mut self, m: Moment, service: &Name) -> Peers {
        let is_fresh = |p: &&Peers| m.now.since(p.measured_at) < FAILURE_RATE_REFRESH_INTERVAL;
        if let Some(peers) = self.peers.get(service).filter(is_fresh) {
            return *peers;
        }
        let mut peers = Peers { measured_at: m.now, ..Peers::default() };
        for (id, view) in self.worker_views.iter().filter(|(_, v)| v.in_contact) {
            if self.replicated.worker(id).is_some_and(|w| w.info.service == *service) {
                peers.count(&view.health, m.now);
            }
        }
        self.peers.insert(service.clone(), peers);
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
