//! The protocol between heathvale and a worker.
//!
//! Workers belong to the platform. [`Worker`] is their whole interface, and [`HttpWorker`] implements it over HTTP.
//! docs/design/leases.md explains why a late message cannot extend a lease.

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
