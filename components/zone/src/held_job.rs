//! The record of a job of which this zone holds tasks.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Millis;
use model::JobSpec;

/// A job with tasks that the cell assigned to this zone.
#[derive(Clone, Debug)]
pub(crate) struct HeldJob {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) generation: u64,
    /// The zone's tasks of this job that have not ended.
    pub(crate) open: BTreeSet<u32>,
    /// The tasks with a committed claim: they are not repeatable and may have been started.
    pub(crate) claimed: BTreeSet<u32>,
    /// When this zone received the job. Reported waiting times count from here.
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
