//! Whose fault a failure is: the worker's or the job's.
//!
//! A worker on which tasks of several jobs fail one after the other, with no success between, is
//! set aside and let back one task at a time. A task that fails on several workers in good standing
//! is its job's fault.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{JobName, TaskId};
use placement::WorkerIndex;

/// So many different jobs failing in a row set a worker aside.
const JOBS_TO_SET_ASIDE: usize = 3;
/// Failing on so many workers is the job's fault.
const WORKERS_TO_BLAME_JOB: usize = 3;
/// Failing so often is the job's fault wherever it was.
const FAILURES_TO_BLAME_JOB: u32 = 8;
/// The first time that a worker is set aside for; it doubles with each further time.
const FIRST_ASIDE: Millis = Millis(10_000);
/// The longest time that a worker is set aside for.
const LONGEST_ASIDE: Millis = Millis(300_000);

/// How a worker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// In good standing.
    Good,
    /// Set aside until then.
    Aside(Millis),
    /// Let back with a single task; `true` once that has been given.
    Probation(bool),
}

#[derive(Clone, Debug)]
struct WorkerHealth {
    failed_jobs: BTreeSet<JobName>,
    standing: Standing,
    next_aside: Millis,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        WorkerHealth {
            failed_jobs: BTreeSet::new(),
            standing: Standing::Good,
            next_aside: FIRST_ASIDE,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct TaskHealth {
    workers: BTreeSet<WorkerIndex>,
    failures: u32,
}

/// What a failure led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The task is tried again.
    TryAgain,
    /// The worker is set aside; the task is tried again.
    WorkerAside,
    /// The task's job is at fault.
    JobAtFault,
}

/// The record of failures.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    workers: BTreeMap<WorkerIndex, WorkerHealth>,
    tasks: BTreeMap<TaskId, TaskHealth>,
}

impl Health {
    /// Notes that a task failed on a worker.
    pub(crate) fn failed(&mut self, now: Millis, task: &TaskId, ix: WorkerIndex) -> Verdict {
        let worker = self.workers.entry(ix).or_default();
        worker.failed_jobs.insert(task.job.clone());
        let on_trial = matches!(worker.standing, Standing::Probation(_));
        let set_aside = on_trial || worker.failed_jobs.len() >= JOBS_TO_SET_ASIDE;
        if set_aside {
            worker.standing = Standing::Aside(now + worker.next_aside);
            worker.next_aside = Millis(worker.next_aside.0 * 2).min(LONGEST_ASIDE);
            worker.failed_jobs.clear();
            self.pardon(ix);
            return Verdict::WorkerAside;
        }
        let history = self.tasks.entry(task.clone()).or_default();
        history.workers.insert(ix);
        history.failures += 1;
        let blamed = history.workers.len() >= WORKERS_TO_BLAME_JOB
            || history.failures >= FAILURES_TO_BLAME_JOB;
        if blamed {
            self.tasks.remove(task);
            return Verdict::JobAtFault;
        }
        Verdict::TryAgain
    }

    /// What failed on a bad worker counts against no job.
    fn pardon(&mut self, ix: WorkerIndex) {
        for history in self.tasks.values_mut() {
            if history.workers.remove(&ix) {
                history.failures = history.failures.saturating_sub(1);
            }
        }
        self.tasks.retain(|_, h| h.failures > 0);
    }

    /// Notes that a task ran well on a worker.
    pub(crate) fn succeeded(&mut self, task: &TaskId, ix: WorkerIndex) {
        self.tasks.remove(task);
        if let Some(worker) = self.workers.get_mut(&ix) {
            worker.failed_jobs.clear();
            if !matches!(worker.standing, Standing::Aside(_)) {
                *worker = WorkerHealth::default();
            }
        }
    }

    /// Forgets a task that is gone.
    pub(crate) fn forget(&mut self, task: &TaskId) {
        self.tasks.remove(task);
    }

    /// Notes that a worker on probation got its one task.
    pub(crate) fn started(&mut self, ix: WorkerIndex) {
        if let Some(worker) = self.workers.get_mut(&ix)
            && let Standing::Probation(given) = &mut worker.standing
        {
            *given = true;
        }
    }

    /// Lets workers back whose time is over.
    pub(crate) fn tick(&mut self, now: Millis) {
        for worker in self.workers.values_mut() {
            if matches!(worker.standing, Standing::Aside(until) if now >= until) {
                worker.standing = Standing::Probation(false);
            }
        }
    }

    pub(crate) fn standing(&self, ix: WorkerIndex) -> Standing {
        self.workers.get(&ix).map_or(Standing::Good, |w| w.standing)
    }

    /// Tells whether a worker may get new tasks.
    pub(crate) fn may_take(&self, ix: WorkerIndex) -> bool {
        matches!(self.standing(ix), Standing::Good | Standing::Probation(false))
    }
}
