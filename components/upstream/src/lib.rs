//! The worker's side of the system: what heathvale asks of a worker, and what it answers.
//!
//! The worker belongs to the platform. [`Worker`] is the whole of its interface; [`HttpWorker`]
//! speaks it over HTTP. docs/design/leases.md says why a lease cannot be stretched by a late
//! message.

mod client;
pub mod headers;
mod platform;
mod protocol;

pub use client::{HttpWorker, Worker};
pub use platform::{ListedWorker, PlatformList, WorkerState, fetch_worker_list};
pub use protocol::{
    EndedTask, Lease, MAX_BODY_BYTES, RunningTask, StartTask, StopTask, SyncReply, SyncRequest,
    TaskEnding, WorkerReport,
};
