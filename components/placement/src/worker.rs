//! A worker as the placement code sees it: its index and what the platform reports about it.

use model::{Name, Size};

/// The index of a worker in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerIndex(pub u32);

/// The properties of a worker that the platform reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Its name.
    pub name: Name,
    /// Its rack.
    pub rack: Name,
    /// Its total capacity.
    pub total: Size,
}
