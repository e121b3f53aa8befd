//! What an allocator wants done, and what it tells operators.

use std::net::SocketAddr;

use cell::Command;
use clock::Millis;
use model::{Class, Epoch, JobName, Name, TaskId};
use upstream::SyncRequest;

/// What the allocator wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call a worker; its reply or failure comes back through the allocator's `on_reply`.
    Sync {
        /// The worker.
        worker: Name,
        /// Where it listens.
        addr: SocketAddr,
        /// What it is told.
        req: SyncRequest,
        /// How long to wait for it.
        timeout: Millis,
    },
    /// Propose a command to the cell.
    Propose(Command),
    /// Tell the operators.
    Event(AllocatorEvent),
}

/// Something that operators may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AllocatorEvent {
    /// A worker's first report under this epoch came in.
    WorkerReported {
        /// The worker.
        worker: Name,
        /// How many of its tasks were taken over.
        adopted: usize,
    },
    /// A worker's lease has surely run out.
    WorkerLost {
        /// The worker.
        worker: Name,
    },
    /// A worker fails every task and gets none for a while.
    WorkerQuarantined {
        /// The worker.
        worker: Name,
    },
    /// A task was sent to a worker.
    TaskStarted {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: Name,
        /// How long it waited for one.
        waited: Millis,
        /// Its class.
        class: Class,
    },
    /// A task ended.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: Name,
        /// How.
        how: Name,
    },
    /// A task is checkpointed and stopped for urgent work.
    TaskEvicted {
        /// The task.
        task: TaskId,
    },
    /// A job can never run here.
    JobUnschedulable {
        /// The job.
        job: JobName,
        /// Why.
        reason: Name,
    },
    /// A worker reported a task that this allocator placed on another worker. It is stopped. This
    /// never happens while the promises of docs/design/leases.md hold.
    DuplicateTask {
        /// The task.
        task: TaskId,
        /// The worker it should not be on.
        worker: Name,
    },
    /// A worker refused a call because it knows a newer epoch.
    EpochOutdated {
        /// The newer epoch.
        newer: Epoch,
    },
}
