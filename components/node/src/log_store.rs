//! Opens the disk of a control instance for the log thread, restores its contents, and reopens it after a
//! failure.

use std::collections::BTreeSet;

use clock::{Clock, Millis, SystemClock};
use consensus::{Disk, FileDisk, MemoryDisk, Node, NodeConfig, Replica, Restored, Timing};
use errors::{Error, Result};
use model::Incarnation;
use storage::DataFolder;
use workload::ReplicatedState;

use crate::settings::NodeSettings;

/// After how long without contact a voter is removed if enough others remain. It exceeds any planned downtime;
/// a smaller value would remove voters that are about to return.
const REMOVE_SILENT_AFTER: Millis = Millis(8_000);
/// After how long without contact a voter is replaced by a learner that has caught up: longer than a process
/// ever waits for a processor, shorter than most restarts. A voter that returns becomes a learner, so a
/// replacement made too early costs three small entries.
const REPLACE_SILENT_AFTER: Millis = Millis(1_000);
/// The intervals of heartbeats and elections. Longer ones make jobs late, as nothing is decided without a
/// leader. Shorter ones depose a leader that waits for a processor, which may take a tenth of a second. A
/// leader whose disk needs longer than the rest of the interval for a sync should be replaced.
const TIMING: Timing = Timing {
    heartbeat: Millis(50),
    election_min: Millis(250),
    election_max: Millis(450),
    drift_percent: 5,
};

/// An opened disk with its restored contents.
pub(crate) struct OpenedLog {
    pub(crate) replica: Replica,
    pub(crate) replicated: ReplicatedState,
    /// The index of the last entry that is applied to the replicated state.
    pub(crate) applied: u64,
    /// The disk's incarnation.
    pub(crate) disk: Incarnation,
    /// How many bytes of an incomplete record were truncated from the end of the log.
    pub(crate) truncated_bytes: u64,
    /// The size of the snapshot, in bytes.
    pub(crate) snapshot_bytes: usize,
    /// How many entries after the snapshot were restored.
    pub(crate) entries: usize,
}

/// Opens the disk and restores its contents.
///
/// # Errors
/// Fails if the disk cannot be used.
pub(crate) fn open(settings: &NodeSettings, clock: &SystemClock) -> Result<OpenedLog> {
    let mut disk: Box<dyn Disk> = Box::new(MemoryDisk);
    let mut incarnation = Incarnation(rand::random());
    let mut restored = Restored::default();
    let mut truncated_bytes = 0;
    if let Some(path) = &settings.data_folder {
        let folder = DataFolder::open(path)?;
        incarnation = Incarnation(folder.incarnation());
        let (file, found) = FileDisk::open(folder)?;
        truncated_bytes = file.truncated_bytes();
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
        remove_silent_after: Some(REMOVE_SILENT_AFTER),
        replace_silent_after: Some(REPLACE_SILENT_AFTER),
        timing: TIMING,
        seed: rand::random(),
    };
    let replicated = ReplicatedState::decode(&restored.snapshot.data)?;
    let applied = restored.snapshot.last_index;
    let (snapshot_bytes, entries) = (restored.snapshot.data.len(), restored.entries.len());
    let replica = Replica::new(Node::new(cfg, restored, clock.now()), disk);
    Ok(OpenedLog {
        replica,
        replicated,
        applied,
        disk: incarnation,
        truncated_bytes,
        snapshot_bytes,
        entries,
    })
}

/// Reopens a disk that has failed. After a failed sync, data that can be read may exist only in the kernel's
/// page cache, and a later successful sync does not prove the opposite. So everything is rewritten before it
/// counts as durable.
///
/// # Errors
/// Fails if the disk cannot be used yet.
pub(crate) fn reopen(settings: &NodeSettings, clock: &SystemClock) -> Result<OpenedLog> {
    let mut opened = open(settings, clock)?;
    opened.replica.rewrite()?;
    Ok(opened)
}

/// Returns whether a failure may be transient, such as a full disk or missing file descriptors. A damaged log
/// is not.
pub(crate) fn is_transient(e: &Error) -> bool {
    matches!(e, Error::Io { .. })
}
