//! Explanation of a job for operators: its state, and why its tasks wait.
//!
//! Nothing is decided here. An explanation passes over all waiting steps and all workers, so it is for
//! single requests of operators and not for plans.

use std::collections::BTreeMap;

use clock::Millis;
use model::{Name, Size};
use workload::{JobId, JobState, OpenStep, StepKey, TaskKey};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;

/// The state of a job, and why its tasks wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobExplanation {
    /// The stage that it has reached.
    pub state: JobState,
    /// Its queue.
    pub queue: Name,
    /// The organisation that it belongs to, if any.
    pub organisation: Option<Name>,
    /// The number of its runs that may be alive.
    pub running_tasks: u32,
    /// Its steps with tasks that wait for a worker, in service order. Steps whose earlier steps have
    /// not ended are not listed.
    pub waiting_steps: Vec<WaitingStep>,
    /// Why the first waiting task does not start; `None` if no task waits.
    pub first_wait: Option<TaskWait>,
}

/// A step with tasks that wait for a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingStep {
    /// The step.
    pub key: StepKey,
    /// The number of its waiting tasks.
    pub waiting_tasks: u64,
    /// The requested capacity of one task.
    pub size: Size,
    /// Whether its tasks start together or not at all.
    pub gang: bool,
    /// Whether its round is due; it does not start before.
    pub due: bool,
    /// Whether the limit of its organisation lets no task start.
    pub at_limit: bool,
}

/// Why a task does not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskWait {
    /// The task.
    pub task: TaskKey,
    /// The number of waiting steps that come before its step in the service order.
    pub steps_before: u64,
    /// How long the job may make no progress and still be in time; zero if it is late.
    pub slack: Millis,
    /// The number of workers of its service.
    pub workers: u64,
    /// The number of workers that have no reason against the task.
    pub fit: u64,
    /// The number of the other workers by the first reason that applies to each. docs/OPERATIONS.md
    /// explains the names.
    pub reasons: BTreeMap<&'static str, u64>,
}

impl Dispatcher {
    /// Returns the state of a job and why its tasks wait, or `None` for an unknown job.
    pub fn explain_job(&self, m: Moment, id: JobId) -> Option<JobExplanation> {
        let job = self.replicated.job(id)?;
        let mut open: Vec<&OpenStep> =
            self.replicated.open().iter().filter(|entry| entry.key.job == id).collect();
        open.sort_by_key(|entry| self.service_position(m, entry));
        let waiting_steps = open.iter().filter_map(|entry| self.waiting_step(m, &entry.key));
        Some(JobExplanation {
            state: job.state,
            queue: job.queue.clone(),
            organisation: self.replicated.ownership().owner(id).cloned(),
            running_tasks: job.placed(),
            waiting_steps: waiting_steps.collect(),
            first_wait: open.first().and_then(|entry| self.task_wait(m, entry)),
        })
    }

    fn waiting_step(&self, m: Moment, key: &StepKey) -> Option<WaitingStep> {
        let job = self.replicated.job(key.job)?;
        let (spec, step) = self.replicated.step_spec(key).zip(self.replicated.step(key))?;
        Some(WaitingStep {
            key: *key,
            waiting_tasks: step.waiting().count() as u64,
            size: spec.size,
            gang: spec.gang,
            due: m.wall >= job.spec.due(key.round),
            at_limit: self.is_at_limit(key),
        })
    }

    fn task_wait(&self, m: Moment, entry: &OpenStep) -> Option<TaskWait> {
        let index = self.replicated.step(&entry.key)?.waiting().next()?;
        let task = TaskKey { step: entry.key, index };
        let position = self.service_position(m, entry);
        let comes_before = |other: &&OpenStep| self.service_position(m, other) < position;
        let reasons = self.wait_reasons(m, task);
        Some(TaskWait {
            task,
            steps_before: self.replicated.open().iter().filter(comes_before).count() as u64,
            slack: self.slack(m, &entry.key),
            workers: reasons.workers(),
            fit: reasons.fit(),
            reasons: reasons.by_name(),
        })
    }

    /// Returns the position of a step in the service order, lowest first.
    fn service_position(&self, m: Moment, entry: &OpenStep) -> impl Ord + use<> {
        (self.rank(m, entry).0, *entry)
    }
}
