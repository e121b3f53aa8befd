//! A log of all runs on the workers of a test, with a check for runs that must not have happened.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// One run of a task, as its worker observed it.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The name of the task.
    pub task: String,
    /// The number of the run.
    pub run: u64,
    /// The worker that ran it.
    pub worker: String,
    /// When it started.
    pub from: Instant,
    /// When and how it ended, or `None` while it is running.
    pub to: Option<(Instant, &'static str)>,
}

/// The recorded runs and lapses, in order of occurrence.
#[derive(Debug, Default)]
pub(crate) struct LogContents {
    pub(crate) runs: Vec<RunRecord>,
    /// When a worker's lease expired or the worker crashed.
    pub(crate) lapses: Vec<(String, Instant)>,
}

/// A shared log of the runs on all workers of a test, in the order of their starts.
#[derive(Clone, Debug, Default)]
pub struct RunLog(Arc<Mutex<LogContents>>);

impl RunLog {
    pub(crate) fn lock(&self) -> MutexGuard<'_, LogContents> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock().runs.clone()
    }

    /// Returns whether a worker's lease expired or the worker crashed between two times. The result of a run that
    /// ended before is then unknown to the dispatcher, unless the worker reports it later.
    fn lapsed_between(&self, worker: &str, from: Instant, to: Instant) -> bool {
        self.lock().lapses.iter().any(|(w, at)| w == worker && *at >= from && *at <= to)
    }

    /// Returns the number of runs of a job's tasks that have ended as `how`.
    pub fn ended(&self, job: &str, how: &str) -> usize {
        let of = |r: &&RunRecord| r.task.starts_with(job) && r.to.is_some_and(|(_, h)| h == how);
        self.lock().runs.iter().filter(of).count()
    }

    /// Returns a message for each pair of overlapping runs of a task, and for each run that started after another
    /// run of the task had completed on a worker that kept its lease.
    pub fn violations(&self) -> Vec<String> {
        let mut by_task: BTreeMap<String, Vec<RunRecord>> = BTreeMap::new();
        for run in self.runs() {
            by_task.entry(run.task.clone()).or_default().push(run);
        }
        let mut found = Vec::new();
        for (task, runs) in by_task {
            for (i, a) in runs.iter().enumerate() {
                for b in &runs[i + 1..] {
                    let overlap = a.to.is_none_or(|(end, _)| end > b.from);
                    if overlap {
                        found.push(format!("{task}: runs {} and {} overlap", a.run, b.run));
                    }
                    let done = a.to.filter(|(_, how)| *how == "done");
                    let lease_held = |end| !self.lapsed_between(&a.worker, end, b.from);
                    if done.is_some_and(|(end, _)| lease_held(end)) {
                        found.push(format!("{task}: run {} after {} was done", b.run, a.run));
                    }
                }
            }
        }
        found
    }
}
