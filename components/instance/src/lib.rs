//! One instance of heathvale: connects the side-effect-free components to clocks, disks, links and
//! servers.
//!
//! One thread, the core, owns the cell state and the zone's allocator and processes inputs
//! sequentially; the server threads route requests and pass calls to the core.
//! docs/architecture.md gives an overview.

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
