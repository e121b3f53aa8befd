//! Messages between instances, over `nng`.
//!
//! Messages may be lost; nothing is resent here, because every part above repeats what matters.

mod links;
mod packet;

pub use links::{Links, LinksConfig, OnMessage};
pub use packet::{Packet, decode, encode};
