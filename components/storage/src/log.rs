//! A log file of frames that is synced after each append.

use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use errors::{Error, Result, io};

use crate::frame::{Tail, encode_frame, scan_frames};
use crate::snapshot::{replace_file, sync_folder};

/// An open log file. Only one process may have it open, which [`crate::DataFolder`] ensures.
#[derive(Debug)]
pub struct FrameLog {
    path: PathBuf,
    file: File,
    len: u64,
}

/// An opened log and its content.
#[derive(Debug)]
pub struct OpenedLog {
    /// The log, ready for appends.
    pub log: FrameLog,
    /// The payloads of the frames, in order.
    pub payloads: Vec<Vec<u8>>,
    /// The number of torn bytes that were truncated from the end.
    pub truncated_bytes: u64,
}

impl FrameLog {
    /// Opens the log at `path`, creating it if needed and truncating a torn last frame.
    ///
    /// # Errors
    /// [`Error::Damaged`] if a frame before the last valid one is invalid; the file is then left
    /// unchanged. [`Error::Io`] if the file cannot be read or written.
    pub fn open(path: &Path) -> Result<OpenedLog> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        let mut file = options.open(path).map_err(io("open", path))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(io("read", path))?;
        let found = scan_frames(&bytes);
        if let Tail::Damaged { reason } = found.tail {
            return Err(Error::Damaged {
                path: path.into(),
                offset: found.valid_len as u64,
                reason,
            });
        }
        let len = found.valid_len as u64;
        let truncated_bytes = bytes.len() as u64 - len;
        if truncated_bytes > 0 {
            file.set_len(len).map_err(io("cut", path))?;
        }
        file.seek(SeekFrom::Start(len)).map_err(io("seek in", path))?;
        file.sync_all().map_err(io("sync", path))?;
        sync_folder(path)?;
        let log = FrameLog { path: path.into(), file, len };
        Ok(OpenedLog { log, payloads: found.payloads, truncated_bytes })
    }

    /// Appends `payload` as one frame and syncs it.
    ///
    /// # Errors
    /// [`Error::Io`]; the content of the file is then unknown, so the process must stop.
    pub fn append(&mut self, payload: &[u8]) -> Result<()> {
        let frame = encode_frame(payload);
        self.file.write_all(&frame).map_err(io("write", &self.path))?;
        self.file.sync_data().map_err(io("sync", &self.path))?;
        self.len += frame.len() as u64;
        Ok(())
    }

    /// Replaces the whole log atomically by one frame with `payload`.
    ///
    /// # Errors
    /// [`Error::Io`]; the process must stop, as after a failed append.
    pub fn replace(&mut self, payload: &[u8]) -> Result<()> {
        let frame = encode_frame(payload);
        replace_file(&self.path, &frame)?;
        let mut options = OpenOptions::new();
        options.read(true).append(true);
        self.file = options.open(&self.path).map_err(io("open", &self.path))?;
        self.len = frame.len() as u64;
        Ok(())
    }

    /// Returns the length of the log in bytes.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Returns whether the log has no frames.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
