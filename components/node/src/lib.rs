//! One process of a cell that discovers its members by itself: an entry instance, which relays
//! callers' calls, or a control instance, which stores the replicated log and may lead.
//!
//! The leader's [`dispatch::Dispatcher`] makes the decisions. This crate connects it to clocks,
//! disks, links and external services, which it accesses only through [`ports`].
//! docs/design/platform.md gives an overview.

mod advice_calls;
mod arrivals;
mod connection_table;
mod control;
mod control_event;
mod delegated_renewals;
mod delegation;
mod descriptors;
mod entry;
mod held_renewals;
mod job_report;
mod leader_clock;
mod leader_term;
mod leader_timings;
mod leadership;
mod leaving_workers;
mod log_store;
mod log_thread;
mod memory;
mod message;
mod node_handle;
mod peers;
mod pending_calls;
pub mod ports;
mod recent_announcements;
mod relay;
mod role_support;
mod settings;
mod stall_detection;
mod start_control;
mod timing;

pub use arrivals::Arrivals;
pub use connection_table::{
    ConnectionId, ConnectionLimits, ConnectionTable, Eviction, FREE_REQUEST_MEMORY, Phase,
    Reservation,
};
pub use delegated_renewals::{DelegatedRenewals, Watch};
pub use descriptors::{Descriptors, parse_open_file_limit};
pub use entry::run_entry;
pub use job_report::JobReport;
pub use leader_clock::LeaderClock;
pub use memory::{Memory, parse_total_memory};
pub use message::Message;
pub use node_handle::{NodeHandle, Signal};
pub use peers::{Leader, Peers, PeersConfig, Reachability};
pub use relay::{Relay, RelayAction};
pub use settings::{NodeSettings, Role};
pub use stall_detection::{Stall, StallDetector};
pub use start_control::run_control;
