//! What a planner decides, and what came of it.

use std::sync::Arc;

use clock::Millis;
use model::{JobName, JobSpec, Name, TaskId};

use crate::worker::WorkerIndex;

/// A task that has a worker.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// Its job.
    pub spec: Arc<JobSpec>,
    /// The version that created the job.
    pub generation: u64,
    /// Its worker.
    pub worker: WorkerIndex,
    /// When it was placed.
    pub since: Millis,
    /// When it is expected to end.
    pub expected_end: Millis,
}

/// What is to happen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start a task.
    Start {
        /// The task.
        task: TaskId,
        /// The worker, already charged for it.
        worker: WorkerIndex,
    },
    /// Checkpoint and stop a task to make room for urgent work. It goes back to the queue when its
    /// worker says that it has stopped.
    Evict {
        /// The task.
        task: TaskId,
        /// The worker that runs it.
        worker: WorkerIndex,
    },
    /// The job can never run here.
    Unplaceable {
        /// The job.
        job: JobName,
        /// Why, in words for its operator.
        reason: Name,
    },
}
