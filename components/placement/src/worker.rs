//! A worker as placement knows it: its number, and what the platform tells of it.

use model::{Name, Size};

/// A worker's place in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerIndex(pub u32);

/// What the platform tells of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Its name.
    pub name: Name,
    /// Its rack.
    pub rack: Name,
    /// What it has.
    pub total: Size,
}
