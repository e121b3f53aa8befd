//! What a member's disk remembers, as a trait so that tests can lose, tear and slow it.

use errors::{Error, Result};
use storage::{DataFolder, FrameLog};

use crate::{Entry, HardState, Record, Snapshot};

const LOG_FILE: &str = "cell.log";
const SNAPSHOT_FILE: &str = "cell.snapshot";

/// What a disk gave back at start.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The term and vote.
    pub hard: HardState,
    /// The last snapshot; empty if there is none.
    pub snapshot: Snapshot,
    /// The entries behind it.
    pub entries: Vec<Entry>,
}

impl Restored {
    fn take(&mut self, record: Record) {
        match record {
            Record::HardState(hard) => self.hard = hard,
            Record::Entry(entry) if entry.index > self.snapshot.last_index => {
                // Entries mostly come in order, so only the end has to be looked at.
                while self.entries.last().is_some_and(|e| e.index >= entry.index) {
                    self.entries.pop();
                }
                self.entries.push(entry);
            }
            Record::Entry(_) => {}
        }
    }

    /// Drops entries that do not follow on from the snapshot: they are the rest of a log that the
    /// snapshot replaced just before a crash.
    fn keep_gapless(&mut self) {
        let first = self.snapshot.last_index + 1;
        let whole = self.entries.iter().zip(first..).take_while(|(e, i)| e.index == *i).count();
        self.entries.truncate(whole);
    }
}

/// Lasting storage of one member. An error means that the process must stop.
pub trait Disk: Send {
    /// Makes `records` lasting before it returns.
    ///
    /// # Errors
    /// [`Error::Io`] if that cannot be known.
    fn append(&mut self, records: &[Record]) -> Result<()>;

    /// Makes `snapshot` lasting with `tail` as the whole log behind it.
    ///
    /// # Errors
    /// [`Error::Io`] if that cannot be known.
    fn install(&mut self, snapshot: &Snapshot, tail: &[Record]) -> Result<()>;
}

/// A disk under a data folder.
#[derive(Debug)]
pub struct FileDisk {
    folder: DataFolder,
    log: FrameLog,
    truncated_bytes: u64,
}

impl FileDisk {
    /// Opens the disk and reads back what it remembers.
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
            records.into_iter().for_each(|r| restored.take(r));
        }
        restored.keep_gapless();
        Ok((
            FileDisk { folder, log: opened.log, truncated_bytes: opened.truncated_bytes },
            restored,
        ))
    }

    /// Gives how many torn bytes were cut from the log's end at opening.
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

/// The disk of an instance that has none: it forgets everything when the process ends.
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
