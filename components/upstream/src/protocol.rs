//! The messages that a zone's allocator and a worker exchange.

use clock::Millis;
use model::{Epoch, Name, Size, TaskId};
use serde::{Deserialize, Serialize};

/// The maximum size in bytes of a body that either side reads.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// A call from the allocator to a worker. It renews the lease and lists the tasks to start, stop and forget. A worker
/// processes the calls of an epoch in the order of `seq` and refuses older ones, so that a call that has timed out cannot
/// take effect later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The allocator's epoch. A worker refuses epochs lower than the highest that it has seen.
    pub epoch: Epoch,
    /// The sequence number of the call within the epoch.
    pub seq: u64,
    /// The id of the worker's process that the call is meant for, from its last report, or zero to request only a report.
    pub boot: u64,
    /// The new lease, or `None` if the call does not renew it.
    pub lease: Option<Lease>,
    /// Tasks to start.
    pub start: Vec<StartTask>,
    /// Tasks to stop.
    pub stop: Vec<StopTask>,
    /// Ended tasks that the worker may forget.
    pub forget: Vec<RunningTask>,
}

/// A lease: until when a worker may run tasks, by the worker's own clock as of its last report. A late call can therefore
/// never extend a lease beyond the expiry that the allocator assumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The expiry for tasks that may not move to another zone.
    pub fixed_until: Millis,
    /// The expiry for tasks that may be started in another zone.
    pub movable_until: Millis,
}

/// A task to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub task: TaskId,
    /// The version that created its job.
    pub generation: u64,
    /// The capacity that the task may use.
    pub size: Size,
    /// The declared run time; zero for a service.
    pub run_time: Millis,
    /// Whether the task may move, so that it runs under `movable_until` of the lease.
    pub may_move: bool,
}

/// A task to stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopTask {
    /// The task.
    pub task: TaskId,
    /// The version that created its job.
    pub generation: u64,
    /// Whether to save a checkpoint of the task's progress.
    pub checkpoint: bool,
}

/// A task on a worker, with the job's version, which distinguishes it from a task of an earlier job of the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The version that created its job.
    pub generation: u64,
}

/// How a task ended on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEnding {
    /// The task ran to its end.
    Done,
    /// The task failed, for this reason.
    Failed(Name),
    /// The task was stopped, or its lease expired.
    Stopped,
}

/// A task that ended on a worker. The worker reports it until the allocator tells it to forget the task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// The task.
    pub task: RunningTask,
    /// How the task ended.
    pub ending: TaskEnding,
    /// How long the task ran.
    pub ran: Millis,
}

/// A worker's report of its state, made after it has carried out the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The id of the worker's process.
    pub boot: u64,
    /// The worker's clock when it made the report.
    pub now: Millis,
    /// The worker's total capacity.
    pub total: Size,
    /// Whether the worker is about to leave.
    pub leaving: bool,
    /// The tasks that are running.
    pub running: Vec<RunningTask>,
    /// The capacity allocated to the running tasks in total.
    pub taken: Size,
    /// The tasks that have ended and are not forgotten yet.
    pub ended: Vec<EndedTask>,
    /// What the running tasks actually use, measured with a lag.
    pub used: Size,
}

/// A worker's reply to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// The worker carried out the call.
    Done(WorkerReport),
    /// The worker did nothing, because the call came from an older epoch or out of order.
    Refused {
        /// The newest epoch that the worker has seen.
        epoch: Epoch,
        /// The sequence number of the last call that it processed.
        seq: u64,
    },
}
