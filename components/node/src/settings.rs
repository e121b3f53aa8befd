//! The settings of a process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use clock::Millis;
use dispatch::Limits;
use model::InstanceId;

/// The role of a process in its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts callers' calls. Has no persistent state.
    Entry,
    /// Stores the replicated log, and accepts the calls of workers and operators.
    Control,
}

/// The settings of one process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The machine's name, for logs.
    pub name: String,
    /// The role of the process.
    pub role: Role,
    /// The address at which other instances reach this process. It is also the id of the process, so that an
    /// id is enough to reach an instance, and a replacement at another address is another instance.
    pub listen: SocketAddr,
    /// The address to which the process binds its listener for other instances: the same as `listen`, unless
    /// there is a proxy in between.
    pub bind: SocketAddr,
    /// The control instances that were known when the settings were written.
    pub seeds: BTreeSet<InstanceId>,
    /// Whether the seeds bootstrap a new cell.
    pub bootstrap: bool,
    /// The data folder of a control instance.
    pub data_folder: Option<PathBuf>,
    /// The number of voters that is maintained even if some of them are out of contact for long.
    pub keep_voters: usize,
    /// How long a process that is asked to stop has until it is killed.
    pub grace: Millis,
    /// The dispatcher's limits.
    pub limits: Limits,
}

impl NodeSettings {
    /// Returns the id of this process.
    pub fn id(&self) -> InstanceId {
        InstanceId::from(self.listen.to_string().as_str())
    }
}
