//! Messages between instances, over `nng`.
//!
//! Messages may be lost. Nothing is resent here; the components that use the links repeat what they need answered.

mod links;
mod packet;

pub use links::{Links, LinksConfig, OnMessage};
pub use packet::{Packet, decode, encode};
