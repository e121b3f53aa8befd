//! Durable files: framed logs, atomically replaced snapshots, and the data folder that holds them.
//!
//! Writes torn by a crash are distinguished from later damage, see docs/design/storage.md.

mod folder;
mod frame;
mod log;
mod snapshot;

pub use folder::DataFolder;
pub use frame::{FRAME_HEADER, Scan, Tail, encode_frame, scan_frames};
pub use log::{FrameLog, OpenedLog};
pub use snapshot::{load, save};
