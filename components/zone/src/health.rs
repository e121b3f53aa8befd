//! Attribution of task failures to the worker or to the job.
//!
//! A worker on which tasks of several jobs fail in a row, without a success in between, is quarantined. It leaves
//! quarantine on probation, with a single task at first. A task that fails on several healthy workers counts as a
//! failure of its job. [`crate::quarantine`] limits how many workers are quarantined at the same time.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{JobName, TaskId};
use placement::WorkerIndex;

/// How many different jobs have to fail in a row on a worker for it to be quarantined.
const MIN_FAILED_JOBS_TO_QUARANTINE: usize = 3;
/// On how many workers a task has to fail for its job to be faulty.
const MIN_WORKERS_TO_FAIL_JOB: usize = 3;
/// How many failures of a task make its job faulty, on however few workers they occurred.
const MIN_FAILURES_TO_FAIL_JOB: u32 = 8;
/// How long a service's task has to run for its run to count as healthy. Such a task never completes, so a failure after
/// this time is not counted together with earlier ones.
pub(crate) const MIN_HEALTHY_RUN: Millis = Millis(60_000);
/// The length of a worker's first quarantine. It doubles with each further one.
pub(crate) const INITIAL_QUARANTINE: Millis = Millis(10_000);
/// The maximum length of a quarantine.
const MAX_QUARANTINE: Millis = Millis(300_000);
/// How long a worker stays on probation once it has been given a task. Probation does not wait for the task to end,
/// because a long-running task never does and any task may be cancelled.
const PROBATION: Millis = Millis(5_000);

/// The health of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// The worker takes tasks without restriction.
    Healthy,
    /// The worker gets no tasks until this time.
    Quarantined(Millis),
    /// The worker may run a single task. Once it has been given one, this holds the end of the probation.
    Probation(Option<Millis>),
}

/// The failure history of a worker.
#[derive(Clone, Debug)]
struct WorkerHealth {
    /// The jobs whose tasks have failed there since the last success or quarantine.
    failed_jobs: BTreeSet<JobName>,
    /// When the first of the failures was recorded.
    failing_since: Millis,
    state: HealthState,
    /// The length of the next quarantine.
    next_quarantine: Millis,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        WorkerHealth {
            failed_jobs: BTreeSet::new(),
            failing_since: Millis::MAX,
            state: HealthState::Healthy,
            next_quarantine: INITIAL_QUARANTINE,
        }
    }
}

/// The failure history of a task.
#[derive(Clone, Debug, Default)]
struct TaskFailures {
    /// Workers on which the task failed without the failure being attributed to them.
    workers: BTreeSet<WorkerIndex>,
    failures: u32,
    /// Workers to which a failure of this task is attributed, and when it failed there. These failures do not count
    /// against the job.
    excused: BTreeMap<WorkerIndex, Millis>,
    /// Workers formerly in `excused` that have since run another task successfully, one that began after this task
    /// failed there.
    proven_healthy: BTreeSet<WorkerIndex>,
}

impl TaskFailures {
    /// Counts a failure that is not attributed to the worker. Returns whether the job is faulty.
    fn add_failure(&mut self, ix: WorkerIndex) -> bool {
        self.workers.insert(ix);
        self.failures += 1;
        self.workers.union(&self.proven_healthy).count() >= MIN_WORKERS_TO_FAIL_JOB
            || self.failures >= MIN_FAILURES_TO_FAIL_JOB
    }
}

/// What a failure is attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Attribution {
    /// Undecided; the task is tried again.
    Retry,
    /// The worker, which is quarantined for it; the task is tried again.
    WorkerQuarantined,
    /// The worker, which was quarantined before the failure; the task is tried again.
    AlreadyQuarantined,
    /// The task's job.
    JobFaulty,
}

/// The failure history of all workers and tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    workers: BTreeMap<WorkerIndex, WorkerHealth>,
    tasks: BTreeMap<TaskId, TaskFailures>,
}

impl Health {
    /// Records that a task failed on a worker, and returns what the failure is attributed to.
    pub(crate) fn record_failure(
        &mut self,
        now: Millis,
        task: &TaskId,
        ix: WorkerIndex,
    ) -> Attribution {
        let worker = self.workers.entry(ix).or_default();
        let history = self.tasks.entry(task.clone()).or_default();
        // Tasks that ran there at the same time mostly fail together, so their failures count as one.
        if matches!(worker.state, HealthState::Quarantined(_)) {
            history.excused.insert(ix, now);
            return Attribution::AlreadyQuarantined;
        }
        let on_probation = matches!(worker.state, HealthState::Probation(_));
        // Another task has succeeded on a worker on which this one failed, so its failures do not count against workers.
        // Otherwise jobs that fail everywhere would quarantine one worker after the other.
        let is_suspect = !history.proven_healthy.is_empty();
        if is_suspect && on_probation {
            worker.state = HealthState::Probation(None);
        }
        if !is_suspect {
            worker.failing_since = worker.failing_since.min(now);
            worker.failed_jobs.insert(task.job.clone());
        }
        if !is_suspect
            && (on_probation || worker.failed_jobs.len() >= MIN_FAILED_JOBS_TO_QUARANTINE)
        {
            worker.state = HealthState::Quarantined(now + worker.next_quarantine);
            worker.next_quarantine = Millis(worker.next_quarantine.0 * 2).min(MAX_QUARANTINE);
            worker.failed_jobs.clear();
            history.excused.insert(ix, now);
            self.excuse_failures(now, ix);
            return Attribution::WorkerQuarantined;
        }
        if history.add_failure(ix) {
            self.tasks.remove(task);
            return Attribution::JobFaulty;
        }
        Attribution::Retry
    }

    /// Removes earlier failures on a worker that is now quarantined from the counts of their jobs.
    fn excuse_failures(&mut self, now: Millis, ix: WorkerIndex) {
        for history in self.tasks.values_mut() {
            if history.workers.remove(&ix) {
                history.failures = history.failures.saturating_sub(1);
                history.excused.insert(ix, now);
            }
        }
    }

    /// Records that a worker has run a task successfully since `began`. Tasks that failed there before `began` become
    /// suspect.
    fn record_proven_healthy(&mut self, ix: WorkerIndex, began: Millis) {
        for history in self.tasks.values_mut() {
            if history.excused.get(&ix).is_some_and(|failed| *failed <= began) {
                history.excused.remove(&ix);
                history.proven_healthy.insert(ix);
            }
        }
    }

    /// Records that a task ran successfully on a worker since `began`. This does not end a quarantine if the task began
    /// before the worker's failures: a worker may be unable to start tasks while those that already run succeed.
    pub(crate) fn record_success(&mut self, task: &TaskId, ix: WorkerIndex, began: Millis) {
        self.tasks.remove(task);
        let Some(worker) = self.workers.get_mut(&ix) else { return };
        let is_quarantined = matches!(worker.state, HealthState::Quarantined(_));
        if !is_quarantined || worker.failing_since <= began {
            *worker = WorkerHealth::default();
        }
        self.record_proven_healthy(ix, began);
    }

    /// Discards the failure history of a task that is no longer held here.
    pub(crate) fn forget_task(&mut self, task: &TaskId) {
        self.tasks.remove(task);
    }

    /// Records that a worker was given a task, which starts the probation period if the worker waits for one.
    pub(crate) fn record_start(&mut self, now: Millis, ix: WorkerIndex) {
        if let Some(worker) = self.workers.get_mut(&ix)
            && worker.state == HealthState::Probation(None)
        {
            worker.state = HealthState::Probation(Some(now + PROBATION));
        }
    }

    /// Ends the quarantines and probations that are over by `now`, and returns their workers.
    pub(crate) fn tick(&mut self, now: Millis) -> Vec<WorkerIndex> {
        let mut released = Vec::new();
        for (ix, worker) in &mut self.workers {
            match worker.state {
                HealthState::Quarantined(until) if now >= until => {
                    worker.state = HealthState::Probation(None);
                }
                HealthState::Probation(Some(until)) if now >= until => {
                    worker.state = HealthState::Healthy;
                    worker.failing_since = Millis::MAX;
                }
                _ => continue,
            }
            released.push(*ix);
        }
        released
    }

    /// Returns the end of a worker's quarantine, or `None` if it is not quarantined.
    pub(crate) fn quarantined_until(&self, ix: WorkerIndex) -> Option<Millis> {
        match self.state(ix) {
            HealthState::Quarantined(until) => Some(until),
            _ => None,
        }
    }

    /// Ends a worker's quarantine at `at` unless it ends earlier, and resets the length of its next one.
    pub(crate) fn shorten_quarantine(&mut self, ix: WorkerIndex, at: Millis) {
        if let Some(worker) = self.workers.get_mut(&ix)
            && let HealthState::Quarantined(until) = &mut worker.state
        {
            *until = at.min(*until);
            worker.next_quarantine = INITIAL_QUARANTINE;
        }
    }

    /// Returns whether any worker is quarantined.
    pub(crate) fn has_quarantined(&self) -> bool {
        self.workers.values().any(|w| matches!(w.state, HealthState::Quarantined(_)))
    }

    fn state(&self, ix: WorkerIndex) -> HealthState {
        self.workers.get(&ix).map_or(HealthState::Healthy, |w| w.state)
    }

    /// Returns whether a worker is on probation.
    pub(crate) fn is_on_probation(&self, ix: WorkerIndex) -> bool {
        matches!(self.state(ix), HealthState::Probation(_))
    }

    /// Returns whether a worker may be given new tasks.
    pub(crate) fn accepts_tasks(&self, ix: WorkerIndex) -> bool {
        matches!(self.state(ix), HealthState::Healthy | HealthState::Probation(None))
    }
}
