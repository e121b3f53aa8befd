//! The disk of a control instance as the log's thread uses it: opened, read back, and opened again after
//! it has failed.

use std::collections::BTreeSet;

use clock::{Clock, Millis, SystemClock};
use consensus::{Disk, FileDisk, MemoryDisk, Node, NodeConfig, Replica, Restored, Timing};
use errors::{Error, Result};
use model::Incarnation;
use storage::DataFolder;
use workload::ReplicatedState;

use crate::settings::NodeSettings;

/// After what silence a voter is removed once others are enough. Longer than any planned absence.
const SILENT_AFTER: Millis = Millis(8_000);
/// After what silence a voter's place goes to a caught-up reserve: longer than any pause of a process
/// that only waits for its processor, shorter than most restarts. A voter that comes back joins the
/// reserve, so a change made too early costs three small entries.
const REPLACE_AFTER: Millis = Millis(1_000);
/// Heartbeats and elections: every tenth of a second without a leader makes jobs late. A process may
/// go without its processor for a tenth of a second; a leader whose disk takes longer than the rest
/// for a sync does better to lose its lead.
const TIMING: Timing = Timing {
    heartbeat: Millis(50),
    election_min: Millis(250),
    election_max: Millis(450),
    drift_percent: 5,
};

/// A disk that is open and was read back.
pub(crate) struct OpenedLog {
    pub(crate) replica: Replica,
    pub(crate) replicated: ReplicatedState,
    /// The index of the last entry that the book holds.
    pub(crate) applied: u64,
    /// The disk's number.
    pub(crate) disk: Incarnation,
    /// How many torn bytes were cut from the log's end.
    pub(crate) cut: u64,
    /// How many bytes the snapshot holds.
    pub(crate) snapshot_bytes: usize,
    /// How many entries were read back behind it.
    pub(crate) entries: usize,
}

/// Opens the disk and reads back what it remembers.
///
/// # Errors
/// If the disk cannot be used.
pub(crate) fn open(settings: &NodeSettings, clock: &SystemClock) -> Result<OpenedLog> {
    let mut disk: Box<dyn Disk> = Box::new(MemoryDisk);
    let mut incarnation = Incarnation(rand::random());
    let mut restored = Restored::default();
    let mut cut = 0;
    if let Some(path) = &settings.data_folder {
        let folder = DataFolder::open(path)?;
        incarnation = Incarnation(folder.incarnation());
        let (file, found) = FileDisk::open(folder)?;
        cut = file.truncated_bytes();
        disk = Box::new(file);
        restored = found;
    }
    let cfg = NodeConfig {
        id: settings.id(),
        incarnation,
        initial_voters: if settings.bootstrap { settings.seeds.clone() } else { BTreeSet::new() },
        contacts: settings.seeds.clone(),
        observers: BTreeSet::new(),
        keep_voters: settings.keep_voters,
        remove_silent_after: Some(SILENT_AFTER),
        replace_silent_after: Some(REPLACE_AFTER),
        timing: TIMING,
        seed: rand::random(),
    };
    let replicated = ReplicatedState::decode(&restored.snapshot.data)?;
    let applied = restored.snapshot.last_index;
    let (snapshot_bytes, entries) = (restored.snapshot.data.len(), restored.entries.len());
    let replica = Replica::new(Node::new(cfg, restored, clock.now()), disk);
    Ok(OpenedLog { replica, replicated, applied, disk: incarnation, cut, snapshot_bytes, entries })
}

/// Opens a disk that has failed. What reads back may lie in the kernel's memory alone, as a sync that
/// failed once says nothing of later ones, so all of it is written anew before it counts.
///
/// # Errors
/// If the disk cannot be used yet.
pub(crate) fn open_again(settings: &NodeSettings, clock: &SystemClock) -> Result<OpenedLog> {
    let mut opened = open(settings, clock)?;
    opened.replica.rewrite()?;
    Ok(opened)
}

/// Tells whether a failure may pass by itself: no room, no descriptor. A damaged log does not.
pub(crate) fn may_pass(e: &Error) -> bool {
    matches!(e, Error::Io { .. })
}
