//! Measures the progress of runs, and which of them would finish sooner on another worker.
//!
//! Workers become slow, or their tasks stop making progress, while all their answers are good. The
//! progress in their reports shows it: a run that would take much longer than a new run elsewhere
//! is stopped and started there.

use std::collections::BTreeMap;

use clock::Millis;
use workload::WorkerId;

use crate::limits::{
    MIN_COMPARED_WORKERS, MIN_SPEED_WINDOW, MOVE_COST, NO_PROGRESS_WINDOW, STRAGGLER_FACTOR,
};

/// The progress of a run, from the reports of its worker.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// When the run was ordered.
    since: Millis,
    /// The start of the current measurement: the time and percentage of an earlier report.
    at: Millis,
    percent: u32,
    /// The measured speed in percent per millisecond.
    speed: Option<f64>,
    /// The percentage of the latest report.
    last_percent: u32,
}

impl Progress {
    pub(crate) fn new(since: Millis, now: Millis, percent: u32) -> Progress {
        Progress { since, at: now, percent, speed: None, last_percent: percent }
    }

    /// Returns the progress of a run that began at a known time and at no progress. Its first report
    /// shows its speed already.
    pub(crate) fn since_start(since: Millis, began: Millis) -> Progress {
        Progress { since, at: began, percent: 0, speed: None, last_percent: 0 }
    }

    /// Records the progress from a report.
    pub(crate) fn record(&mut self, now: Millis, percent: u32) {
        self.last_percent = percent;
        let span = now.since(self.at);
        let gained = percent.saturating_sub(self.percent);
        // A run that seems to make no progress gets a longer window.
        let window = if gained == 0 { NO_PROGRESS_WINDOW } else { MIN_SPEED_WINDOW };
        if span >= window {
            self.speed = Some(f64::from(gained) / span.0 as f64);
            self.at = now;
            self.percent = percent;
        }
    }

    /// Returns the age of the run.
    pub(crate) fn age(&self, now: Millis) -> Millis {
        now.since(self.since)
    }

    /// Returns the measured speed in percent per millisecond, if there is one.
    pub(crate) fn speed(&self) -> Option<f64> {
        self.speed
    }

    /// Returns whether the run was last measured to make any progress.
    pub(crate) fn makes_progress(&self) -> bool {
        self.speed.is_some_and(|s| s > 0.0)
    }

    /// Returns whether a run started on another worker, at `elsewhere` percent per millisecond,
    /// would certainly finish sooner.
    pub(crate) fn is_straggler(
        &self,
        elsewhere: f64,
        keeps_progress: bool,
        stop_time: Millis,
    ) -> bool {
        let Some(speed) = self.speed else { return false };
        let remaining_percent = f64::from(100u32.saturating_sub(self.last_percent));
        let remaining_here = if speed > 0.0 { remaining_percent / speed } else { f64::INFINITY };
        let remaining_elsewhere =
            if keeps_progress { remaining_percent } else { 100.0 } / elsewhere;
        remaining_here > remaining_elsewhere * STRAGGLER_FACTOR + (stop_time + MOVE_COST).0 as f64
    }
}

/// The speed of the tasks of one step on each worker. Declared run times are often far off, but the
/// tasks of a step are alike.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepSpeeds {
    by_worker: BTreeMap<WorkerId, f64>,
}

impl StepSpeeds {
    /// Records the speed of a run, in percent per millisecond on a machine of the usual speed.
    pub(crate) fn record(&mut self, worker: &WorkerId, speed: f64) {
        self.by_worker.insert(worker.clone(), speed);
    }

    /// Records that a task of the step is done on a machine of a speed.
    pub(crate) fn record_done(&mut self, worker: &WorkerId, took: Millis, speed: f64) {
        self.record(worker, 100.0 / took.0.max(1) as f64 / speed);
    }

    /// Returns the median speed on other workers, if there are enough of them.
    pub(crate) fn elsewhere(&self, worker: &WorkerId) -> Option<f64> {
        let others = self.by_worker.iter().filter(|(w, _)| *w != worker);
        let mut speeds: Vec<f64> = others.map(|(_, s)| *s).collect();
        if speeds.len() < MIN_COMPARED_WORKERS {
            return None;
        }
        speeds.sort_by(f64::total_cmp);
        Some(speeds[speeds.len() / 2]).filter(|s| *s > 0.0)
    }
}
