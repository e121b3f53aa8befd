//! The planner's decisions, and the tasks that it has placed.

use std::sync::Arc;

use clock::Millis;
use model::{JobName, JobSpec, Name, TaskId};

use crate::worker::WorkerIndex;

/// A task that is assigned to a worker.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// The specification of its job.
    pub spec: Arc<JobSpec>,
    /// The version at which the job was created.
    pub generation: u64,
    /// The worker that it is assigned to.
    pub worker: WorkerIndex,
    /// When it was placed.
    pub since: Millis,
    /// When it is expected to end.
    pub expected_end: Millis,
}

/// An action that the planner decided on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start a task.
    Start {
        /// The task.
        task: TaskId,
        /// The worker. The task's size is already reserved on it.
        worker: WorkerIndex,
    },
    /// Checkpoint and stop a task to free capacity for urgent work. The task returns to the queue
    /// when its worker reports that it has stopped.
    Evict {
        /// The task.
        task: TaskId,
        /// The worker that runs it.
        worker: WorkerIndex,
    },
    /// No set of workers in this zone can ever run the job.
    Unplaceable {
        /// The job.
        job: JobName,
        /// The reason, as text for the operator.
        reason: Name,
    },
}
