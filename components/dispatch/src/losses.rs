//! Records of the workers that were lost recently, and of the ages at which runs were lost with
//! them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clock::Millis;
use model::Name;
use workload::{JobId, TaskKey};

use crate::limits::{
    LOSS_RETENTION, LOSS_TIME_RESOLUTION, MAX_BUSY_RENEWAL_WAIT, MAX_LOSS_AGES_PER_TASK,
    SAME_AGE_TOLERANCE,
};

/// How the loss of a worker was detected, which determines how well its time is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossDetection {
    /// Its connections broke, so the time of the loss is known.
    ConnectionBroken,
    /// A call to it timed out; the worker was lost at some earlier time.
    TimedOut,
    /// It was already gone when this leader first called it.
    BeforeTerm,
}

impl LossDetection {
    /// Returns how far the recorded times of two simultaneous losses may lie apart, or `None` if
    /// the time of the loss is unknown.
    pub(crate) fn resolution(self) -> Option<Millis> {
        match self {
            LossDetection::ConnectionBroken => Some(LOSS_TIME_RESOLUTION),
            LossDetection::TimedOut => Some(MAX_BUSY_RENEWAL_WAIT),
            LossDetection::BeforeTerm => None,
        }
    }
}

/// The time of a worker's loss.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LossTime {
    /// When contact with the worker ended.
    pub(crate) silent_since: Millis,
    pub(crate) detection: LossDetection,
}

/// The loss of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Loss {
    pub(crate) at: LossTime,
    service: Name,
    /// The jobs with runs on the worker.
    jobs: BTreeSet<JobId>,
    /// Whether a recurring fault of one of its runs is the likely cause.
    fault_recurs: bool,
}

impl Loss {
    /// Returns whether the worker ran nothing of a job, and no recurring fault of another job is
    /// the likely cause of the loss.
    pub(crate) fn is_unrelated_to(&self, job: JobId) -> bool {
        !self.fault_recurs && !self.jobs.contains(&job)
    }
}

/// The workers lost recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentLosses(VecDeque<Loss>);

impl RecentLosses {
    /// Records the loss of a worker, with the jobs that had runs there.
    pub(crate) fn record(
        &mut self,
        at: LossTime,
        service: Name,
        jobs: BTreeSet<JobId>,
        fault_recurs: bool,
    ) {
        let since = |l: &Loss| at.silent_since.since(l.at.silent_since);
        self.0.retain(|l| since(l) < LOSS_RETENTION);
        self.0.push_back(Loss { at, service, jobs, fault_recurs });
    }

    /// Returns the losses of workers of a service.
    pub(crate) fn of_service(&self, service: &Name) -> impl Iterator<Item = &Loss> {
        self.0.iter().filter(move |l| l.service == *service)
    }
}

/// The age of a run when it was lost with its worker.
#[derive(Clone, Copy, Debug)]
struct LossAge {
    age: Millis,
    /// Whether the loss counted against the run by itself.
    is_counted: bool,
}

/// The ages that runs of each task had reached when their workers were lost; a gang is recorded
/// under its first task.
///
/// They are the leader's own knowledge: its successor starts without them, and judges the next loss
/// of each task as its first.
#[derive(Clone, Debug, Default)]
pub(crate) struct LossAges(BTreeMap<TaskKey, VecDeque<LossAge>>);

impl LossAges {
    /// Records the age of a run that was lost with its worker.
    pub(crate) fn record(&mut self, task: TaskKey, age: Millis, is_counted: bool) {
        let ages = self.0.entry(task).or_default();
        if ages.len() == MAX_LOSS_AGES_PER_TASK {
            ages.pop_front();
        }
        ages.push_back(LossAge { age, is_counted });
    }

    /// Returns the recorded ages of a task's lost runs.
    pub(crate) fn of(&self, task: &TaskKey) -> Vec<Millis> {
        self.0.get(task).into_iter().flatten().map(|l| l.age).collect()
    }

    /// Returns whether a loss that counted against a task occurred at about this age of the run.
    pub(crate) fn has_counted_near(&self, task: &TaskKey, age: Millis) -> bool {
        let is_near = |l: &LossAge| age.since(l.age).max(l.age.since(age)) <= SAME_AGE_TOLERANCE;
        self.0.get(task).into_iter().flatten().any(|l| l.is_counted && is_near(l))
    }

    /// Keeps the records of some tasks only.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&TaskKey) -> bool) {
        self.0.retain(|task, _| is_kept(task));
    }
}
