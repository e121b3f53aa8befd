//! A zone's allocator: the one writer of its workers' ledger, by an epoch granted in the cell.
//!
//! The allocator is pure: replies, changes of jobs and time go in, calls to workers and proposals
//! to the cell come out. docs/design/leases.md says why no task runs twice.

mod action;
mod allocator;
mod health;
mod held_job;
mod jobs;
mod lease;
mod phase;
mod quarantine;
mod reports;
mod worker_session;
mod worker_sync;

pub use action::{Action, AllocatorEvent};
pub use allocator::{Allocator, AllocatorConfig};
pub use lease::{
    Authority, CLOCK_MARGIN, COMMITMENT_DURATION, OwnCommitment, PeerCommitments,
    ZONE_LEASE_DURATION, ZoneLease, lease_expiry_bound, share_move_delay, takeover_delay,
};
pub use phase::{TaskPhase, WorkerPhase};
