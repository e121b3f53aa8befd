//! The frame: a length and a checksum around the bytes that one sync makes lasting.
//!
//! All bytes between two syncs go into one frame. A crash can therefore tear only the last frame;
//! a bad frame with a whole one behind it was whole once and has been damaged since.

use crc32fast::Hasher;

/// Marks the start of a frame, so that whole frames can be found behind a damaged one.
const MAGIC: [u8; 4] = *b"HvF1";
/// The bytes before a frame's payload: magic, length, checksum.
pub const FRAME_HEADER: usize = 12;
/// The longest payload of one frame.
const MAX_PAYLOAD: usize = 256 << 20;

/// How a log's bytes end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tail {
    /// With a whole frame.
    Clean,
    /// With a frame that a crash cut short or scrambled; it was never acknowledged.
    Torn,
    /// A frame before the end no longer matches its checksum.
    Damaged {
        /// What did not match.
        reason: String,
    },
}

/// What a scan of a log's bytes found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scan {
    /// The payloads of the whole frames, in order.
    pub payloads: Vec<Vec<u8>>,
    /// How many bytes from the start are whole frames.
    pub valid_len: usize,
    /// How the bytes end.
    pub tail: Tail,
}

/// Puts `payload` into a frame.
pub fn encode_frame(payload: &[u8]) -> Vec<u8> {
    let mut buf = Vec::with_capacity(FRAME_HEADER + payload.len());
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    buf.extend_from_slice(&checksum(payload).to_le_bytes());
    buf.extend_from_slice(payload);
    buf
}

/// Reads frames from the start of `bytes` until the end or the first bad one.
pub fn scan_frames(bytes: &[u8]) -> Scan {
    let mut payloads = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match frame_at(bytes, at) {
            Ok(payload) => {
                payloads.push(payload.to_vec());
                at += FRAME_HEADER + payload.len();
            }
            Err(e) => return Scan { payloads, valid_len: at, tail: classify_tail(bytes, at, e) },
        }
    }
    Scan { payloads, valid_len: at, tail: Tail::Clean }
}

/// Tells a torn last frame from a damaged earlier one by looking for a whole frame behind it.
fn classify_tail(bytes: &[u8], at: usize, reason: &'static str) -> Tail {
    let whole_behind = (at + 1..bytes.len()).any(|i| frame_at(bytes, i).is_ok());
    if whole_behind { Tail::Damaged { reason: reason.to_string() } } else { Tail::Torn }
}

fn frame_at(bytes: &[u8], at: usize) -> Result<&[u8], &'static str> {
    let rest = &bytes[at..];
    if rest.len() < FRAME_HEADER {
        return Err("the frame's header is cut short");
    }
    if rest[..4] != MAGIC {
        return Err("the frame's mark does not match");
    }
    let len = word(rest, 4) as usize;
    if len > MAX_PAYLOAD {
        return Err("the frame's length is out of range");
    }
    let payload = rest[FRAME_HEADER..].get(..len).ok_or("the frame is cut short")?;
    if checksum(payload) != word(rest, 8) {
        return Err("the frame's checksum does not match");
    }
    Ok(payload)
}

fn word(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn checksum(payload: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
