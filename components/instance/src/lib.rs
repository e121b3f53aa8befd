//! One instance of heathvale: the pure parts joined to clocks, disks, links and servers.
//!
//! One thread, the core, owns the cell state and the zone's allocator and takes in inputs one after
//! the other; the servers' threads hand it calls and route requests. docs/architecture.md has the
//! picture.

mod callers;
mod calls;
mod core;
mod keeper;
mod message;
mod operators;
mod plane;
mod saved;
mod server;
mod shared;
mod status;
mod upstream_call;
mod worker_calls;
mod zone_role;

pub use keeper::{AskReply, ZoneAsk, ZoneKeeper};
pub use server::run;
