//! A job whose tasks this zone holds.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Millis;
use model::JobSpec;

/// A job of which this zone holds tasks.
#[derive(Clone, Debug)]
pub(crate) struct HeldJob {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) generation: u64,
    /// The tasks that this zone holds and that have not ended.
    pub(crate) open: BTreeSet<u32>,
    /// The not repeatable tasks that the cell knows as perhaps started.
    pub(crate) claimed: BTreeSet<u32>,
    /// When this zone took the job in; waits are told from here.
    pub(crate) since: Millis,
}

impl HeldJob {
    pub(crate) fn holds(&self, index: u32) -> bool {
        self.open.contains(&index)
    }

    pub(crate) fn is_claimed(&self, index: u32) -> bool {
        self.claimed.contains(&index)
    }

    pub(crate) fn open_tasks(&self) -> impl Iterator<Item = u32> {
        self.open.iter().copied()
    }
}
