//! The messages between a zone's allocator and a worker.

use clock::Millis;
use model::{Epoch, Name, Size, TaskId};
use serde::{Deserialize, Serialize};

/// The largest body that either side reads.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// What the allocator tells a worker in one call: it renews the lease and carries whatever is to
/// start or stop. A worker takes in calls of one epoch in the order of `seq` and refuses an older
/// one, so that a call that was given up on cannot act later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The allocator's epoch. A worker refuses a lower one than it has seen.
    pub epoch: Epoch,
    /// The call's number within the epoch.
    pub seq: u64,
    /// The worker's process that the call is meant for, from its last report; zero to ask for a
    /// report only.
    pub boot: u64,
    /// Until when the worker may run tasks, or nothing if the call is not to renew.
    pub lease: Option<Lease>,
    /// Tasks to start.
    pub start: Vec<StartTask>,
    /// Tasks to stop.
    pub stop: Vec<StopTask>,
    /// Ended tasks that the worker can forget.
    pub forget: Vec<RunningTask>,
}

/// Until when a worker may run tasks, by the worker's own clock as its last report told it. A late
/// call can therefore never stretch a lease beyond what the allocator counts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// For tasks that may not move.
    pub fixed_until: Millis,
    /// For tasks that may be started in another zone.
    pub movable_until: Millis,
}

/// A task to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub task: TaskId,
    /// The version that created its job.
    pub generation: u64,
    /// What it may take.
    pub size: Size,
    /// How long it is declared to run; zero for a service.
    pub run_time: Millis,
    /// Whether it runs under the lease of movable tasks.
    pub may_move: bool,
}

/// A task to stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopTask {
    /// The task.
    pub task: TaskId,
    /// The version that created its job.
    pub generation: u64,
    /// Whether its progress is to be kept.
    pub checkpoint: bool,
}

/// A task on a worker, with the job's version that tells it from an earlier job of that name.
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
    /// It ran to its end.
    Done,
    /// It failed.
    Failed(Name),
    /// It was stopped, or its lease ran out.
    Stopped,
}

/// A task that ended on a worker, kept until the allocator has made that lasting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// The task.
    pub task: RunningTask,
    /// How it ended.
    pub ending: TaskEnding,
    /// How long it ran.
    pub ran: Millis,
}

/// What a worker tells of itself, after it has done what the call asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker's process.
    pub boot: u64,
    /// The worker's clock.
    pub now: Millis,
    /// What it has.
    pub total: Size,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// The tasks it runs.
    pub running: Vec<RunningTask>,
    /// What the running tasks may take in all.
    pub taken: Size,
    /// The tasks that ended and are not forgotten yet.
    pub ended: Vec<EndedTask>,
    /// What its tasks really use, with a lag.
    pub used: Size,
}

/// A worker's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// It did what was asked.
    Done(WorkerReport),
    /// It did nothing, because the call came from an older epoch or out of order.
    Refused {
        /// The newest epoch it has seen.
        epoch: Epoch,
        /// The last call it took in.
        seq: u64,
    },
}
