//! Files that are replaced atomically: after a crash they hold either the old or the new content.

use std::fs::{self, File};
use std::io::Write;
use std::path::Path;

use errors::{Error, Result, io};

use crate::frame::{Tail, encode_frame, scan_frames};

/// Saves `payload` at `path` atomically and syncs it.
///
/// # Errors
/// [`Error::Io`]; the old file is then still intact.
pub fn save(path: &Path, payload: &[u8]) -> Result<()> {
    replace_file(path, &encode_frame(payload))
}

/// Returns the payload saved at `path` by [`save`], or `None` if there is no such file.
///
/// # Errors
/// [`Error::Damaged`] if the bytes no longer match their checksum, [`Error::Io`] otherwise.
pub fn load(path: &Path) -> Result<Option<Vec<u8>>> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(io("read", path)(e)),
    };
    let mut found = scan_frames(&bytes);
    // The file was renamed into place after its sync, so it cannot be torn: an invalid frame means damage.
    match (found.tail, found.payloads.pop()) {
        (Tail::Clean, Some(payload)) => Ok(Some(payload)),
        (_, _) => Err(Error::Damaged {
            path: path.into(),
            offset: found.valid_len as u64,
            reason: "the file is not one whole frame".into(),
        }),
    }
}

/// Replaces the file at `path` atomically: writes and syncs a new file, renames it into place and syncs the folder.
pub(crate) fn replace_file(path: &Path, bytes: &[u8]) -> Result<()> {
    let new_path = path.with_extension("new");
    let mut file = File::create(&new_path).map_err(io("create", &new_path))?;
    file.write_all(bytes).map_err(io("write", &new_path))?;
    file.sync_all().map_err(io("sync", &new_path))?;
    fs::rename(&new_path, path).map_err(io("rename into place", path))?;
    sync_folder(path)
}

/// Syncs the folder that contains `path`, so that a created or renamed file survives a crash.
pub(crate) fn sync_folder(path: &Path) -> Result<()> {
    let folder = path.parent().unwrap_or(Path::new("."));
    let dir = File::open(folder).map_err(io("open", folder))?;
    dir.sync_all().map_err(io("sync", folder))
}
