//! What a process is told at its start.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use clock::Millis;
use dispatch::Limits;
use model::InstanceId;

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes callers' calls. Holds nothing that must survive.
    Entry,
    /// Keeps the log, and is where workers and operators call.
    Control,
}

/// The settings of one process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The machine's name, for logs.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Where other instances reach this process. Its id is made of it, so that an id is enough to
    /// reach an instance, and a replacement at another address is another instance.
    pub listen: SocketAddr,
    /// Where the process itself listens for them: the same, unless a proxy stands between.
    pub bind: SocketAddr,
    /// Control instances that were known when the settings were written.
    pub seeds: BTreeSet<InstanceId>,
    /// Whether the cell is started for the first time, by the seeds.
    pub bootstrap: bool,
    /// The data folder of a control instance.
    pub data_folder: Option<PathBuf>,
    /// How many voters are kept, however long some of them are silent.
    pub keep_voters: usize,
    /// How long a process that is told to stop has until it is killed.
    pub grace: Millis,
    /// The dispatcher's limits.
    pub limits: Limits,
}

impl NodeSettings {
    /// Gives this process's id.
    pub fn id(&self) -> InstanceId {
        InstanceId::from(self.listen.to_string().as_str())
    }
}
