//! Runs that end `Failed`: those on workers that fail all that they start, those of jobs that fail on every worker, and
//! those of tasks whose runs each fail after a while.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use workload::{EndKind, JobId, TaskKey, WorkerId};

use super::{Fleet, Kind, draw};
use crate::common::host::Host;

/// How soon a run fails on a faulty worker or in a faulty job, in milliseconds: the shortest delay, and by how much a
/// delay may exceed it.
const MIN_FAILURE_DELAY_MS: u64 = 40;
const FAILURE_DELAY_SPREAD_MS: u64 = 200;

/// A run that has begun.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: Millis,
    pub worker: WorkerId,
    pub task: TaskKey,
    pub kind: Kind,
    /// Whether the run fails because its worker fails all that it starts.
    pub is_wasted: bool,
}

/// The faulty jobs and tasks, and all runs that have begun.
#[derive(Default)]
pub struct Failures {
    /// The jobs that fail on every worker.
    pub jobs: BTreeSet<JobId>,
    /// The tasks whose runs fail after a while on every worker.
    after: BTreeMap<TaskKey, Millis>,
    /// The failures to come: the time, the worker and the run.
    due: Vec<(Millis, WorkerId, TaskKey, u32)>,
    /// All runs that have begun.
    pub starts: Vec<Start>,
}

impl Failures {
    /// Returns how many runs of a kind were started on workers that fail all that they start.
    pub fn wasted(&self, kind: Kind) -> usize {
        self.starts.iter().filter(|s| s.is_wasted && s.kind == kind).count()
    }

    /// Returns when the runs of a task began.
    pub fn starts_of(&self, task: &TaskKey) -> Vec<Millis> {
        self.starts.iter().filter(|s| s.task == *task).map(|s| s.at).collect()
    }

    /// Returns on how many workers a run began in a span of time.
    pub fn workers_with_starts(&self, from: Millis, until: Millis) -> usize {
        let within = self.starts.iter().filter(|s| s.at >= from && s.at < until);
        within.map(|s| &s.worker).collect::<BTreeSet<_>>().len()
    }
}

impl Fleet {
    /// Makes a worker fail all that it starts from now on, or makes it healthy again.
    pub fn set_failing(&mut self, id: &WorkerId, failing: bool) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.failing = failing;
        }
        self.note_disturbance();
    }

    /// Makes all runs of a job fail on every worker.
    pub fn fail_all_runs(&mut self, job: JobId) {
        self.failures.jobs.insert(job);
    }

    /// Makes each run of a task fail after a while on every worker.
    pub fn fail_runs_after(&mut self, task: TaskKey, after: Millis) {
        self.failures.after.insert(task, after);
    }

    /// Ends a run as failed now, if the task runs anywhere.
    pub fn fail_now(&mut self, task: &TaskKey) -> Option<WorkerId> {
        let now = self.harness.now;
        let (id, host) = self.hosts.iter_mut().find(|(_, h)| h.fake.running.contains_key(task))?;
        host.end(now, *task, EndKind::Failed);
        Some(id.clone())
    }

    /// Records that a run has begun, and when it is to fail, if at all.
    pub(super) fn record_run(&mut self, worker: &WorkerId, task: &TaskKey, run: u32) {
        let now = self.harness.now;
        let parts = [task.step.job.0, u64::from(task.index), u64::from(run), now.0];
        let soon = Millis(MIN_FAILURE_DELAY_MS + draw(self.seed, &parts) % FAILURE_DELAY_SPREAD_MS);
        let is_wasted = self.hosts[worker].failing;
        let kind = self.jobs[&task.step.job].kind;
        let start = Start { at: now, worker: worker.clone(), task: *task, kind, is_wasted };
        self.failures.starts.push(start);
        let at_fault = is_wasted || self.failures.jobs.contains(&task.step.job);
        let after = if at_fault { Some(soon) } else { self.failures.after.get(task).copied() };
        let due = after.map(|span| (now + span, worker.clone(), *task, run));
        self.failures.due.extend(due);
    }

    pub(super) fn fail_due_runs(&mut self) {
        let now = self.harness.now;
        let is_due = |due: &(Millis, WorkerId, TaskKey, u32)| due.0 <= now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.failures.due).into_iter().partition(is_due);
        self.failures.due = rest;
        for (_, worker, task, run) in due {
            let runs = |h: &Host| h.fake.running.get(&task) == Some(&run);
            if let Some(host) = self.hosts.get_mut(&worker).filter(|h| runs(h)) {
                host.end(now, task, EndKind::Failed);
            }
        }
    }
}
