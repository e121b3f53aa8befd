//! One process of a cell that finds its members by itself: an entry instance, which relays callers'
//! calls, or a control instance, which keeps the log and may lead.
//!
//! The leader's [`dispatch::Dispatcher`] decides; this crate joins it to clocks, disks, links and
//! the outside, which it knows only through [`ports`]. docs/design/platform.md has the picture.

mod advising;
mod away;
mod control;
mod control_event;
mod descriptors;
mod entry;
mod gate;
mod leader_term;
mod leading;
mod leaving;
mod linking;
mod log_store;
mod log_thread;
mod message;
mod peers;
pub mod ports;
mod recent_news;
mod relay;
mod settings;
mod start_control;
mod timing;
mod waiters;

pub use away::{Absence, AwayWatch};
pub use descriptors::{Descriptors, limit_in};
pub use entry::run_entry;
pub use gate::{Gate, Signal};
pub use message::Message;
pub use peers::{Peers, PeersConfig, Reach};
pub use relay::{Relay, RelayAction};
pub use settings::{NodeSettings, Role};
pub use start_control::run_control;
