//! One instance of heathvale: the pure parts joined to clocks, disks, links and servers.
//!
//! One thread, the core, owns the cell state and the zone's allocator and takes in inputs one after
//! the other; the servers' threads hand it calls and route requests. docs/architecture.md has the
//! picture.

mod active_config;
mod callers;
mod core;
mod disk;
mod figures;
mod job_views;
mod links;
mod listeners;
mod message;
mod operators;
mod pending_changes;
mod pending_reads;
mod request_plane;
mod server;
mod shared;
mod status;
mod upstream_call;
mod worker_calls;
mod zone_role;
mod zone_supervisor;

pub use server::run;
pub use zone_supervisor::{ZoneDecision, ZoneRequest, ZoneSupervisor};
