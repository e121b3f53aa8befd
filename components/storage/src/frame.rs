//! Frames: a header with length and checksum, followed by the bytes written with one sync.
//!
//! All bytes between two syncs go into one frame. A crash can therefore tear only the last frame;
//! an invalid frame with a valid one after it was valid once and has been damaged since.

use crc32fast::Hasher;

/// The marker at the start of a frame, by which valid frames after a damaged one are found.
const MAGIC: [u8; 4] = *b"HvF1";
/// The size of the header before a frame's payload, in bytes: magic, length, checksum.
pub const FRAME_HEADER: usize = 12;
/// The maximum size of a frame's payload, in bytes. A greater length in a header is taken for damage.
const MAX_PAYLOAD: usize = 256 << 20;

/// The state of the end of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tail {
    /// The log ends with a valid frame.
    Clean,
    /// The last frame was truncated or scrambled by a crash; its write was never acknowledged.
    Torn,
    /// A frame before the last valid one is invalid.
    Damaged {
        /// The check that failed.
        reason: String,
    },
}

/// The result of scanning the bytes of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scan {
    /// The payloads of the valid frames, in order.
    pub payloads: Vec<Vec<u8>>,
    /// The length of the valid frames from the start, in bytes.
    pub valid_len: usize,
    /// The state of the end.
    pub tail: Tail,
}

/// Returns a frame with `payload`.
pub fn encode_frame(payload: &[u8]) -> Vec<u8> {
    let mut buf = Vec::with_capacity(FRAME_HEADER + payload.len());
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    buf.extend_from_slice(&checksum(payload).to_le_bytes());
    buf.extend_from_slice(payload);
    buf
}

/// Reads the frames in `bytes` up to the end or the first invalid one.
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

/// Distinguishes a torn last frame from a damaged earlier one, which has a valid frame somewhere after it.
fn classify_tail(bytes: &[u8], at: usize, reason: &'static str) -> Tail {
    let valid_frame_follows = (at + 1..bytes.len()).any(|i| frame_at(bytes, i).is_ok());
    if valid_frame_follows { Tail::Damaged { reason: reason.to_string() } } else { Tail::Torn }
}

/// Returns the payload of the frame at offset `at`, or the check that it fails.
fn frame_at(bytes: &[u8], at: usize) -> Result<&[u8], &'static str> {
    let rest = &bytes[at..];
    if rest.len() < FRAME_HEADER {
        return Err("the frame's header is cut short");
    }
    if rest[..4] != MAGIC {
        return Err("the frame's mark does not match");
    }
    let len = read_u32(rest, 4) as usize;
    if len > MAX_PAYLOAD {
        return Err("the frame's length is out of range");
    }
    let payload = rest[FRAME_HEADER..].get(..len).ok_or("the frame is cut short")?;
    if checksum(payload) != read_u32(rest, 8) {
        return Err("the frame's checksum does not match");
    }
    Ok(payload)
}

/// Returns the little-endian number at offset `at`.
fn read_u32(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

/// Returns the checksum of a payload and its length.
fn checksum(payload: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
