//! The allocator of an availability zone: the only writer of the zone's worker ledger, under an epoch that the cell
//! granted.
//!
//! The allocator does no I/O: its inputs are worker replies, job changes and the time, its outputs are worker calls and
//! proposals to the cell. docs/design/leases.md explains why no task runs twice.

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
