//! The state of a job: its rounds, steps and tasks.

use std::sync::Arc;

use clock::Millis;
use model::Name;
use serde::{Deserialize, Serialize};

use crate::{JobSpec, WorkerId};

/// The stage that a job has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// None of its tasks has been started.
    Queued,
    /// At least one task has been started.
    Running,
    /// Every task is done.
    Completed,
    /// The job was given up: a task reached its limit of failed runs or of worker crashes.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns whether no task of the job will be started any more.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Completed | JobState::Failed | JobState::Cancelled)
    }
}

/// The state of one task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskState {
    /// The number of its last run; zero before the first run.
    pub run: u32,
    /// The worker on which that run may be alive.
    pub at: Option<WorkerId>,
    /// Whether one of its runs has completed the work.
    pub done: bool,
    /// The number of its runs that have failed.
    pub failed: u16,
    /// Its last checkpoint; empty if none was saved.
    pub checkpoint: Arc<str>,
}

/// The state of one step of a round.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepState {
    /// The tasks.
    pub tasks: Vec<TaskState>,
    /// The number of tasks that are done.
    pub done: u32,
    /// The number of tasks with a run that may be alive.
    pub placed: u32,
    /// For a gang, the last run that was counted as failed, so that it counts once for all members.
    pub last_failed_run: u32,
}

impl StepState {
    /// Creates a step with `count` tasks that have not started.
    pub fn new(count: u32) -> StepState {
        StepState { tasks: vec![TaskState::default(); count as usize], ..StepState::default() }
    }

    /// Returns whether every task is done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns the indices of the tasks that wait for a worker.
    pub fn waiting(&self) -> impl Iterator<Item = u32> + '_ {
        let waits = |t: &TaskState| !t.done && t.at.is_none();
        (0..).zip(&self.tasks).filter(move |(_, t)| waits(t)).map(|(i, _)| i)
    }

    /// Returns the highest run number of any task.
    pub fn last_run(&self) -> u32 {
        self.tasks.iter().map(|t| t.run).max().unwrap_or(0)
    }
}

/// The state of one pass through the steps of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Round {
    /// The steps.
    pub steps: Vec<StepState>,
}

impl Round {
    /// Creates a round of a job in which nothing has started.
    pub fn of(spec: &JobSpec) -> Round {
        Round { steps: spec.steps.iter().map(|s| StepState::new(s.count)).collect() }
    }

    /// Returns whether all steps in `depends_on` are done.
    pub fn is_open(&self, depends_on: &[u32]) -> bool {
        depends_on.iter().all(|d| self.steps[*d as usize].is_done())
    }
}

/// A job that the cell has accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Its position in the order of acceptance.
    pub order: u64,
    /// The time at which it was accepted, by the leader's wall clock.
    pub accepted_at: Millis,
    /// The time at which it ended, by the leader's wall clock.
    pub ended_at: Option<Millis>,
    /// Its queue.
    pub queue: Name,
    /// The service whose workers run its tasks.
    pub service: Name,
    /// Its priority; zero is the most urgent.
    pub priority: u8,
    /// The number of failed runs of a task after which the job fails.
    pub max_attempts: u16,
    /// The specification that its caller submitted.
    pub spec: Arc<JobSpec>,
    /// The stage that it has reached.
    pub state: JobState,
    /// The passes through its steps.
    pub rounds: Vec<Round>,
}

impl Job {
    /// Returns whether every task of every round is done.
    pub fn is_done(&self) -> bool {
        self.rounds.iter().all(|r| r.steps.iter().all(StepState::is_done))
    }

    /// Returns the number of runs that may be alive.
    pub fn placed(&self) -> u32 {
        self.rounds.iter().flat_map(|r| &r.steps).map(|s| s.placed).sum()
    }
}
