//! Runs that end `Failed`: of workers that fail all they start, of jobs that fail wherever they run, and of tasks that
//! last and fail after a while.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use workload::{EndKind, JobId, TaskKey, WorkerId};

use super::{Fleet, Kind, draw};
use crate::common::host::Host;

/// How soon a run fails where its worker or its job is at fault: that long at least, and how much longer at most.
const SOONEST: u64 = 40;
const LATER: u64 = 200;

/// A run that has begun.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: Millis,
    pub worker: WorkerId,
    pub task: TaskKey,
    pub kind: Kind,
    /// Whether the run fails because its worker does.
    pub is_wasted: bool,
}

/// What is at fault, and what came of it.
#[derive(Default)]
pub struct Failures {
    /// The jobs that fail wherever they run.
    pub jobs: BTreeSet<JobId>,
    /// Tasks whose runs fail after a while, wherever they run.
    after: BTreeMap<TaskKey, Millis>,
    /// The failures to come: when, where and by which run.
    due: Vec<(Millis, WorkerId, TaskKey, u32)>,
    /// All runs that have begun.
    pub starts: Vec<Start>,
}

impl Failures {
    /// Gives how many runs of a kind were wasted on workers that fail what they start.
    pub fn wasted(&self, kind: Kind) -> usize {
        self.starts.iter().filter(|s| s.is_wasted && s.kind == kind).count()
    }

    /// Gives when the runs of a task began.
    pub fn starts_of(&self, task: &TaskKey) -> Vec<Millis> {
        self.starts.iter().filter(|s| s.task == *task).map(|s| s.at).collect()
    }

    /// Gives on how many workers something began in a span of time.
    pub fn workers_with_starts(&self, from: Millis, until: Millis) -> usize {
        let within = self.starts.iter().filter(|s| s.at >= from && s.at < until);
        within.map(|s| &s.worker).collect::<BTreeSet<_>>().len()
    }
}

impl Fleet {
    /// Has a worker fail all it starts from now on, or makes it well again.
    pub fn set_failing(&mut self, id: &WorkerId, failing: bool) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.failing = failing;
        }
        self.note_disturbance();
    }

    /// Has all runs of a job fail wherever they are.
    pub fn fail_all_runs(&mut self, job: JobId) {
        self.failures.jobs.insert(job);
    }

    /// Has each run of a task fail after a while, wherever it is.
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

    /// Notes that a run has begun, and when it is to fail.
    pub(super) fn note_begun(&mut self, worker: &WorkerId, task: &TaskKey, run: u32) {
        let now = self.harness.now;
        let parts = [task.step.job.0, u64::from(task.index), u64::from(run), now.0];
        let soon = Millis(SOONEST + draw(self.seed, &parts) % LATER);
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
