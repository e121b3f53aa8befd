//! The envelope of a message between instances.

use errors::{Error, Result};
use model::InstanceId;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The largest message that is read, in bytes.
pub(crate) const MAX_PACKET: usize = 16 << 20;

/// A message with its sender and its place in the order of events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet<M> {
    /// Who sent it.
    pub from: InstanceId,
    /// The sender's logical clock.
    pub order: u64,
    /// What it says.
    pub message: M,
}

/// Writes a packet as bytes.
///
/// # Errors
/// [`Error::Decode`] if it cannot be written.
pub fn encode<M: Serialize>(packet: &Packet<M>) -> Result<Vec<u8>> {
    postcard::to_allocvec(packet).map_err(fault)
}

/// Reads a packet from bytes that may come from anyone.
///
/// # Errors
/// [`Error::Decode`] if the bytes are no packet, are too many, or are followed by others.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<Packet<M>> {
    if bytes.len() > MAX_PACKET {
        return Err(Error::Decode { what: "a message", reason: "it is too large".into() });
    }
    let (packet, rest) = postcard::take_from_bytes(bytes).map_err(fault)?;
    if !rest.is_empty() {
        return Err(Error::Decode { what: "a message", reason: "bytes follow it".into() });
    }
    Ok(packet)
}

fn fault(e: postcard::Error) -> Error {
    Error::Decode { what: "a message", reason: e.to_string() }
}
