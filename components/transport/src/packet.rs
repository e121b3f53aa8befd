//! The envelope of a message between instances.

use errors::{Error, Result};
use model::InstanceId;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The maximum size of a received message, in bytes. With a smaller one, large messages are lost; with a greater one, a
/// faulty sender can make an instance run out of memory.
pub(crate) const MAX_PACKET: usize = 16 << 20;

/// A message with its sender and the sender's logical clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet<M> {
    /// The sender.
    pub from: InstanceId,
    /// The sender's clock: a logical clock, by which events on different instances are ordered, or the monotonic clock of a
    /// leader in its welcomes. Zero if none is stated.
    pub order: u64,
    /// The content.
    pub message: M,
}

/// Encodes a packet.
///
/// # Errors
/// [`Error::Decode`] if the packet cannot be encoded.
pub fn encode<M: Serialize>(packet: &Packet<M>) -> Result<Vec<u8>> {
    postcard::to_allocvec(packet).map_err(to_error)
}

/// Decodes a packet from untrusted bytes.
///
/// # Errors
/// [`Error::Decode`] if the bytes are not a packet, are too many, or continue after the packet.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<Packet<M>> {
    if bytes.len() > MAX_PACKET {
        return Err(Error::Decode { what: "a message", reason: "it is too large".into() });
    }
    let (packet, rest) = postcard::take_from_bytes(bytes).map_err(to_error)?;
    if !rest.is_empty() {
        return Err(Error::Decode { what: "a message", reason: "bytes follow it".into() });
    }
    Ok(packet)
}

fn to_error(e: postcard::Error) -> Error {
    Error::Decode { what: "a message", reason: e.to_string() }
}
