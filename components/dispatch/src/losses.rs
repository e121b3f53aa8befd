//! Records of the workers that were lost recently.

use std::collections::{BTreeSet, VecDeque};

use clock::Millis;
use model::Name;
use workload::{JobId, WorkerId};

use crate::limits::{LOSS_HISTORY, LOSS_TIME_RESOLUTION, MAX_BUSY_RENEWAL_WAIT};

/// How the loss of a worker was detected, which determines how well its time is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossDetection {
    /// Its connections broke, so the time of the loss is known.
    ConnectionBroken,
    /// A call to it timed out; the worker was lost at some earlier time.
    TimedOut,
    /// It was already gone when this leader first called it. If the call failed because its
    /// connections broke, it has crashed; otherwise it may be cut off.
    BeforeTerm { connection_broke: bool },
}

impl LossDetection {
    /// Returns the name of the detection for the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            LossDetection::ConnectionBroken => "broken",
            LossDetection::TimedOut => "timed_out",
            LossDetection::BeforeTerm { connection_broke: true } => "before_term",
            LossDetection::BeforeTerm { connection_broke: false } => "before_term_timed_out",
        }
    }

    /// Returns how far the recorded times of two simultaneous losses may lie apart.
    pub(crate) fn resolution(self) -> Millis {
        match self {
            LossDetection::ConnectionBroken => LOSS_TIME_RESOLUTION,
            LossDetection::TimedOut | LossDetection::BeforeTerm { .. } => MAX_BUSY_RENEWAL_WAIT,
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
    pub(crate) worker: WorkerId,
    pub(crate) at: LossTime,
    pub(crate) service: Name,
    /// The jobs with runs on the worker.
    pub(crate) jobs: BTreeSet<JobId>,
    /// Whether a recurring fault of one of its runs is the likely cause.
    pub(crate) fault_recurs: bool,
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
    /// Records the loss of a worker.
    pub(crate) fn record(&mut self, loss: Loss) {
        let since = |l: &Loss| loss.at.silent_since.since(l.at.silent_since);
        self.0.retain(|l| since(l) < LOSS_HISTORY);
        self.0.push_back(loss);
    }

    /// Records that a recurring fault explains the losses of some workers.
    pub(crate) fn explain(&mut self, workers: &[WorkerId]) {
        let explained = self.0.iter_mut().filter(|l| workers.contains(&l.worker));
        explained.for_each(|l| l.fault_recurs = true);
    }

    /// Returns the losses of workers of a service.
    pub(crate) fn of_service(&self, service: &Name) -> impl Iterator<Item = &Loss> {
        self.0.iter().filter(move |l| l.service == *service)
    }
}
