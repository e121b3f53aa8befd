//! Whose fault a failure is: the worker's or the job's.
//!
//! A worker on which tasks of several jobs fail one after the other, with no success between, is
//! set aside and let back one task at a time. A task that fails on several workers in good standing
//! is its job's fault. How many are set aside together is bounded in [`crate::quarantine`].

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
/// A service's task that has run for so long has run well, as it is never done: a later failure is a new matter.
pub(crate) const LASTED: Millis = Millis(60_000);
/// The first time that a worker is set aside for; it doubles with each further time.
pub(crate) const FIRST_ASIDE: Millis = Millis(10_000);
/// The longest time that a worker is set aside for.
const LONGEST_ASIDE: Millis = Millis(300_000);
/// How long a task has to run on a worker that was let back. A task that lasts never ends, and one may be
/// cancelled: the worker must not wait for that.
const TRIAL: Millis = Millis(5_000);

/// How a worker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// In good standing.
    Good,
    /// Set aside until then.
    Aside(Millis),
    /// Let back with a single task; until when that is on trial, once it has been given.
    Probation(Option<Millis>),
}

#[derive(Clone, Debug)]
struct WorkerHealth {
    failed_jobs: BTreeSet<JobName>,
    /// When the first of them failed.
    failing_since: Millis,
    standing: Standing,
    next_aside: Millis,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        WorkerHealth {
            failed_jobs: BTreeSet::new(),
            failing_since: Millis::MAX,
            standing: Standing::Good,
            next_aside: FIRST_ASIDE,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct TaskHealth {
    workers: BTreeSet<WorkerIndex>,
    failures: u32,
    /// When it failed on workers that were set aside.
    pardoned: BTreeMap<WorkerIndex, Millis>,
    /// Those of them that have run another task well that began after it failed there.
    well: BTreeSet<WorkerIndex>,
}

impl TaskHealth {
    /// Notes a failure that the worker is not blamed for; tells whether the job is.
    fn count(&mut self, ix: WorkerIndex) -> bool {
        self.workers.insert(ix);
        self.failures += 1;
        self.workers.union(&self.well).count() >= WORKERS_TO_BLAME_JOB
            || self.failures >= FAILURES_TO_BLAME_JOB
    }
}

/// What a failure led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The task is tried again.
    TryAgain,
    /// The worker is set aside; the task is tried again.
    WorkerQuarantined,
    /// The worker was set aside before, which the failure is put down to; the task is tried again.
    WasAside,
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
        let history = self.tasks.entry(task.clone()).or_default();
        // Tasks that ran there together mostly fail together, which is one sign and not many.
        if matches!(worker.standing, Standing::Aside(_)) {
            history.pardoned.insert(ix, now);
            return Verdict::WasAside;
        }
        let on_trial = matches!(worker.standing, Standing::Probation(_));
        // It failed where others ran well: else jobs that fail everywhere set one worker aside after the other.
        let is_suspect = !history.well.is_empty();
        if is_suspect && on_trial {
            worker.standing = Standing::Probation(None);
        }
        if !is_suspect {
            worker.failing_since = worker.failing_since.min(now);
            worker.failed_jobs.insert(task.job.clone());
        }
        if !is_suspect && (on_trial || worker.failed_jobs.len() >= JOBS_TO_SET_ASIDE) {
            worker.standing = Standing::Aside(now + worker.next_aside);
            worker.next_aside = Millis(worker.next_aside.0 * 2).min(LONGEST_ASIDE);
            worker.failed_jobs.clear();
            history.pardoned.insert(ix, now);
            self.pardon(now, ix);
            return Verdict::WorkerQuarantined;
        }
        if history.count(ix) {
            self.tasks.remove(task);
            return Verdict::JobAtFault;
        }
        Verdict::TryAgain
    }

    /// What failed on a bad worker counts against no job.
    fn pardon(&mut self, now: Millis, ix: WorkerIndex) {
        for history in self.tasks.values_mut() {
            if history.workers.remove(&ix) {
                history.failures = history.failures.saturating_sub(1);
                history.pardoned.insert(ix, now);
            }
        }
    }

    /// Notes that a worker has run a task well since `began`: what failed there before that is suspect.
    fn suspect(&mut self, ix: WorkerIndex, began: Millis) {
        for history in self.tasks.values_mut() {
            if history.pardoned.get(&ix).is_some_and(|failed| *failed <= began) {
                history.pardoned.remove(&ix);
                history.well.insert(ix);
            }
        }
    }

    /// Notes that a task ran well on a worker since `began`. That it began before the worker failed others says
    /// nothing of a worker that is set aside: what it runs may go on well while it can start nothing more.
    pub(crate) fn succeeded(&mut self, task: &TaskId, ix: WorkerIndex, began: Millis) {
        self.tasks.remove(task);
        let Some(worker) = self.workers.get_mut(&ix) else { return };
        let is_aside = matches!(worker.standing, Standing::Aside(_));
        if !is_aside || worker.failing_since <= began {
            *worker = WorkerHealth::default();
        }
        self.suspect(ix, began);
    }

    /// Forgets a task that is gone.
    pub(crate) fn forget(&mut self, task: &TaskId) {
        self.tasks.remove(task);
    }

    /// Notes that a worker on probation got its one task.
    pub(crate) fn started(&mut self, now: Millis, ix: WorkerIndex) {
        if let Some(worker) = self.workers.get_mut(&ix)
            && worker.standing == Standing::Probation(None)
        {
            worker.standing = Standing::Probation(Some(now + TRIAL));
        }
    }

    /// Lets workers back whose time is over, and gives them.
    pub(crate) fn tick(&mut self, now: Millis) -> Vec<WorkerIndex> {
        let mut back = Vec::new();
        for (ix, worker) in &mut self.workers {
            match worker.standing {
                Standing::Aside(until) if now >= until => {
                    worker.standing = Standing::Probation(None);
                }
                Standing::Probation(Some(until)) if now >= until => {
                    worker.standing = Standing::Good;
                    worker.failing_since = Millis::MAX;
                }
                _ => continue,
            }
            back.push(*ix);
        }
        back
    }

    /// Gives until when a worker is set aside, if it is.
    pub(crate) fn aside_until(&self, ix: WorkerIndex) -> Option<Millis> {
        match self.standing(ix) {
            Standing::Aside(until) => Some(until),
            _ => None,
        }
    }

    /// Lets a worker back at `at` if it would be set aside for longer.
    pub(crate) fn let_back_by(&mut self, ix: WorkerIndex, at: Millis) {
        if let Some(worker) = self.workers.get_mut(&ix)
            && let Standing::Aside(until) = &mut worker.standing
        {
            *until = at.min(*until);
            worker.next_aside = FIRST_ASIDE;
        }
    }

    /// Tells whether any worker is set aside.
    pub(crate) fn is_any_aside(&self) -> bool {
        self.workers.values().any(|w| matches!(w.standing, Standing::Aside(_)))
    }

    fn standing(&self, ix: WorkerIndex) -> Standing {
        self.workers.get(&ix).map_or(Standing::Good, |w| w.standing)
    }

    /// Tells whether a worker is let back with a single task.
    pub(crate) fn is_on_trial(&self, ix: WorkerIndex) -> bool {
        matches!(self.standing(ix), Standing::Probation(_))
    }

    /// Tells whether a worker may get new tasks.
    pub(crate) fn may_take(&self, ix: WorkerIndex) -> bool {
        matches!(self.standing(ix), Standing::Good | Standing::Probation(None))
    }
}
