//! Persistent storage of a member, as a trait so that tests can simulate lost, torn and slow writes.

use errors::{Error, Result};
use storage::{DataFolder, FrameLog};

use crate::{Entry, HardState, Record, Snapshot};

const LOG_FILE: &str = "cell.log";
const SNAPSHOT_FILE: &str = "cell.snapshot";

/// The persistent state that was read from a disk at start.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The current term and vote.
    pub hard: HardState,
    /// The last snapshot; the default one if none was saved.
    pub snapshot: Snapshot,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Restored {
    /// Applies a record read from the log. An entry replaces all entries at its index or above.
    fn apply_record(&mut self, record: Record) {
        match record {
            Record::HardState(hard) => self.hard = hard,
            Record::Entry(entry) if entry.index > self.snapshot.last_index => {
                // Entries mostly come in order, so scanning from the end is cheap.
                while self.entries.last().is_some_and(|e| e.index >= entry.index) {
                    self.entries.pop();
                }
                self.entries.push(entry);
            }
            Record::Entry(_) => {}
        }
    }

    /// Drops entries after a gap behind the snapshot. They belong to an old log that was not replaced yet when the
    /// process crashed after it had saved the snapshot.
    fn truncate_at_gap(&mut self) {
        let first = self.snapshot.last_index + 1;
        let gapless = self.entries.iter().zip(first..).take_while(|(e, i)| e.index == *i).count();
        self.entries.truncate(gapless);
    }
}

/// Persistent storage of one member. After an error the content is unknown and the process must stop.
pub trait Disk: Send {
    /// Appends `records` to the log and syncs them before it returns.
    ///
    /// # Errors
    /// [`Error::Io`] if the write or the sync failed.
    fn append(&mut self, records: &[Record]) -> Result<()>;

    /// Saves `snapshot`, replaces the whole log by `tail` and syncs both before it returns.
    ///
    /// # Errors
    /// [`Error::Io`] if the write or the sync failed.
    fn install(&mut self, snapshot: &Snapshot, tail: &[Record]) -> Result<()>;
}

/// A [`Disk`] whose files are in a data folder.
#[derive(Debug)]
pub struct FileDisk {
    folder: DataFolder,
    log: FrameLog,
    truncated_bytes: u64,
}

impl FileDisk {
    /// Opens the disk and reads the state back that was saved on it.
    ///
    /// # Errors
    /// [`Error::Damaged`] if a synced record no longer reads back, else [`Error::Io`].
    pub fn open(folder: DataFolder) -> Result<(FileDisk, Restored)> {
        let mut restored = Restored::default();
        if let Some(bytes) = storage::load(&folder.file(SNAPSHOT_FILE))? {
            restored.snapshot = postcard::from_bytes(&bytes).map_err(decode("the snapshot"))?;
        }
        let opened = FrameLog::open(&folder.file(LOG_FILE))?;
        for payload in &opened.payloads {
            let records: Vec<Record> =
                postcard::from_bytes(payload).map_err(decode("a log record"))?;
            records.into_iter().for_each(|r| restored.apply_record(r));
        }
        restored.truncate_at_gap();
        Ok((
            FileDisk { folder, log: opened.log, truncated_bytes: opened.truncated_bytes },
            restored,
        ))
    }

    /// Returns the number of torn bytes that were truncated from the end of the log when it was opened.
    pub fn truncated_bytes(&self) -> u64 {
        self.truncated_bytes
    }
}

fn decode(what: &'static str) -> impl FnOnce(postcard::Error) -> Error {
    move |e| Error::Decode { what, reason: e.to_string() }
}

fn encode<T: serde::Serialize + ?Sized>(what: &'static str, value: &T) -> Result<Vec<u8>> {
    postcard::to_allocvec(value).map_err(decode(what))
}

impl Disk for FileDisk {
    fn append(&mut self, records: &[Record]) -> Result<()> {
        self.log.append(&encode("log records", records)?)
    }

    fn install(&mut self, snapshot: &Snapshot, tail: &[Record]) -> Result<()> {
        storage::save(&self.folder.file(SNAPSHOT_FILE), &encode("a snapshot", snapshot)?)?;
        self.log.replace(&encode("log records", tail)?)
    }
}

/// A [`Disk`] for instances without a disk: it stores nothing, so all state is lost when the process ends.
#[derive(Debug, Default)]
pub struct MemoryDisk;

impl Disk for MemoryDisk {
    fn append(&mut self, _: &[Record]) -> Result<()> {
        Ok(())
    }

    fn install(&mut self, _: &Snapshot, _: &[Record]) -> Result<()> {
        Ok(())
    }
}
