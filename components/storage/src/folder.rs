//! The data folder, which holds all files of an instance.

use std::fs::{self, File, TryLockError};
use std::path::{Path, PathBuf};

use errors::{Error, Result, io};
use rand::Rng;

use crate::snapshot::{load, save, sync_folder};

const LOCK_FILE: &str = "lock";
const INCARNATION_FILE: &str = "incarnation";

/// An open data folder, locked against other processes until it is dropped.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    incarnation: u64,
    _lock: File,
}

impl DataFolder {
    /// Opens the folder, creating it if needed. A new folder gets a random incarnation number, by which
    /// the other members recognise that its disk is empty.
    ///
    /// # Errors
    /// [`Error::Refused`] if another process holds the folder, else [`Error::Io`] or
    /// [`Error::Damaged`].
    pub fn open(path: &Path) -> Result<DataFolder> {
        fs::create_dir_all(path).map_err(io("create", path))?;
        sync_folder(path)?;
        let lock_path = path.join(LOCK_FILE);
        let lock = File::create(&lock_path).map_err(io("create", &lock_path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let folder = path.display();
                return Err(Error::Refused(format!("another process holds {folder}")));
            }
            Err(TryLockError::Error(e)) => return Err(io("lock", &lock_path)(e)),
        }
        let incarnation = read_or_draw(&path.join(INCARNATION_FILE))?;
        Ok(DataFolder { path: path.into(), incarnation, _lock: lock })
    }

    /// Returns the path of a file in the folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Returns the incarnation number, which was drawn when the folder was created.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}

/// Returns the saved incarnation number, or draws and saves one if there is none.
fn read_or_draw(path: &Path) -> Result<u64> {
    if let Some(bytes) = load(path)? {
        let word: [u8; 8] = bytes.as_slice().try_into().map_err(|_| Error::Damaged {
            path: path.into(),
            offset: 0,
            reason: "the incarnation is not eight bytes".into(),
        })?;
        return Ok(u64::from_le_bytes(word));
    }
    let drawn = rand::rng().random_range(1..u64::MAX);
    save(path, &drawn.to_le_bytes())?;
    Ok(drawn)
}
