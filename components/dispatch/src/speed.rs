//! How fast runs come on, and which of them would sooner be done elsewhere.
//!
//! Workers turn slow, or their tasks stand still, while all their answers are good. The progress in
//! their reports tells: a run that would take much longer yet than a fresh one elsewhere is stopped
//! and started there.

use std::collections::BTreeMap;

use clock::Millis;
use workload::WorkerId;

use crate::limits::{
    MIN_COMPARED_WORKERS, MIN_SPEED_WINDOW, MOVE_COST, NO_PROGRESS_WINDOW, STRAGGLER_FACTOR,
};

/// How far a run has come, from the reports of its worker.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// When the run was given out.
    since: Millis,
    /// The last reports that speed was measured between.
    at: Millis,
    percent: u32,
    /// Percent of the work done in a millisecond, once it was measured.
    speed: Option<f64>,
    newest: u32,
}

impl Progress {
    pub(crate) fn new(since: Millis, now: Millis, percent: u32) -> Progress {
        Progress { since, at: now, percent, speed: None, newest: percent }
    }

    /// Takes in a report.
    pub(crate) fn record(&mut self, now: Millis, percent: u32) {
        self.newest = percent;
        let span = now.since(self.at);
        let gained = percent.saturating_sub(self.percent);
        // A run that seems to stand still gets longer to show that it does not.
        let window = if gained == 0 { NO_PROGRESS_WINDOW } else { MIN_SPEED_WINDOW };
        if span >= window {
            self.speed = Some(f64::from(gained) / span.0 as f64);
            self.at = now;
            self.percent = percent;
        }
    }

    /// Gives how long the run has taken so far.
    pub(crate) fn age(&self, now: Millis) -> Millis {
        now.since(self.since)
    }

    /// Gives how much of the work is done in a millisecond, in percent, once that was measured.
    pub(crate) fn speed(&self) -> Option<f64> {
        self.speed
    }

    /// Tells whether a run that is started elsewhere, and comes on there at `elsewhere` percent a
    /// millisecond, would surely be done sooner.
    pub(crate) fn is_straggler(
        &self,
        elsewhere: f64,
        keeps_progress: bool,
        stop_time: Millis,
    ) -> bool {
        let Some(speed) = self.speed else { return false };
        let left = f64::from(100u32.saturating_sub(self.newest));
        let here = if speed > 0.0 { left / speed } else { f64::INFINITY };
        let there = if keeps_progress { left } else { 100.0 } / elsewhere;
        here > there * STRAGGLER_FACTOR + (stop_time + MOVE_COST).0 as f64
    }
}

/// How fast the tasks of one step come on, on each worker. Declared run times are often far from the
/// truth, but the tasks of a step are alike.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepSpeeds {
    by_worker: BTreeMap<WorkerId, f64>,
}

impl StepSpeeds {
    /// Takes in a speed in percent a millisecond.
    pub(crate) fn record(&mut self, worker: &WorkerId, speed: f64) {
        self.by_worker.insert(worker.clone(), speed);
    }

    /// Takes in that a task of the step is done.
    pub(crate) fn record_done(&mut self, worker: &WorkerId, took: Millis) {
        self.record(worker, 100.0 / took.0.max(1) as f64);
    }

    /// Gives the median speed on other workers, if there are enough of them to tell.
    pub(crate) fn elsewhere(&self, worker: &WorkerId) -> Option<f64> {
        let others = self.by_worker.iter().filter(|(w, _)| *w != worker);
        let mut step_speeds: Vec<f64> = others.map(|(_, s)| *s).collect();
        if step_speeds.len() < MIN_COMPARED_WORKERS {
            return None;
        }
        step_speeds.sort_by(f64::total_cmp);
        Some(step_speeds[step_speeds.len() / 2]).filter(|s| *s > 0.0)
    }
}
