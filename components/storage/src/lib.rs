//! Files that last: framed logs, atomic snapshots, and the data folder that holds them.
//!
//! What is torn by a crash and what is damaged later are told apart, see docs/design/storage.md.

mod folder;
mod frame;
mod log;
mod snapshot;

pub use folder::DataFolder;
pub use frame::{FRAME_HEADER, Scan, Tail, encode_frame, scan_frames};
pub use log::{FrameLog, OpenedLog};
pub use snapshot::{load, save};
