//! Restores an instance's state from its disk.

use std::collections::BTreeSet;
use std::path::PathBuf;

use cell::Cell;
use consensus::{Disk, FileDisk, MemoryDisk, Node, NodeConfig, Replica, Restored};
use errors::Result;
use events::{Subject, kinds};
use model::{Incarnation, InstanceId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use storage::DataFolder;

use crate::active_config::ACTIVE_CONFIG_FILE;
use crate::shared::Shared;

/// The state restored from the disk.
pub(crate) struct RestoredState {
    pub(crate) replica: Replica,
    pub(crate) cell: Cell,
    /// The path of the file that holds the active configuration.
    pub(crate) active_config_file: Option<PathBuf>,
}

/// Opens the disk, if there is one, and restores the state from it.
///
/// # Errors
/// Returns an error if the disk cannot be used or the stored state cannot be read.
pub(crate) fn open_disk(shared: &Shared) -> Result<RestoredState> {
    let settings = &shared.settings;
    let mut rng = StdRng::seed_from_u64(settings.seed ^ u64::from(settings.own.addr.port()));
    let mut restored = Restored::default();
    let mut disk: Box<dyn Disk> = Box::new(MemoryDisk);
    let mut active_config_file = None;
    // An instance without a disk gets a new incarnation with each start.
    let mut incarnation = clock::wall_now().0 ^ rng.random::<u64>();
    if let Some(path) = &settings.data_folder {
        let folder = DataFolder::open(path)?;
        incarnation = folder.incarnation();
        active_config_file = Some(folder.file(ACTIVE_CONFIG_FILE));
        let (file_disk, found) = FileDisk::open(folder)?;
        if file_disk.truncated_bytes() > 0 {
            let text = format!("{} bytes", file_disk.truncated_bytes());
            shared.journal.record(&kinds::TAIL_CUT, Subject::default(), text);
        }
        disk = Box::new(file_disk);
        restored = found;
    }
    let ids = |has_disk: bool| -> BTreeSet<InstanceId> {
        let peers = settings.peers.values().filter(|p| p.has_disk == has_disk);
        peers.map(|p| p.id.clone()).collect()
    };
    let (id, incarnation) = (settings.own.id.clone(), Incarnation(incarnation));
    let cfg = NodeConfig::with_fixed_members(id, incarnation, ids(true), rng.random());
    let cfg = NodeConfig { observers: ids(false), ..cfg };
    let mut cell = Cell::decode(&restored.snapshot.data)?;
    cell.skip(restored.snapshot.last_index);
    let node = Node::new(cfg, restored, shared.now());
    Ok(RestoredState { replica: Replica::new(node, disk), cell, active_config_file })
}
