//! The cell's configuration, applied as a whole by compare-and-set on its version.

use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::{Name, Size};

/// What a user weighs most when tasks are placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Profile {
    /// Short waits first.
    #[default]
    Waiting,
    /// Full workers first.
    Packing,
}

/// An organisation's ceiling over the whole cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// The organisation.
    pub organisation: Name,
    /// The most it may have placed at once.
    pub size: Size,
}

/// Everything operators may change while the cell runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellConfig {
    /// What placement weighs most.
    pub profile: Profile,
    /// How many requests one upstream handles at once, over all instances.
    pub upstream_slots: u32,
    /// How many connections one upstream takes, over all instances.
    pub upstream_connections: u32,
    /// The most entry instances a zone will ever have at once; shares are cut for that many.
    pub instances_per_zone: u32,
    /// The longest a request may wait in an instance before it is refused.
    pub queue_limit: Millis,
    /// Retries allowed for each hundred first tries that succeed.
    pub retry_percent: u32,
    /// How long a worker's lease lasts.
    pub worker_lease: Millis,
    /// The organisations' ceilings; an organisation without one is not limited.
    pub quotas: Vec<Quota>,
}

impl Default for CellConfig {
    fn default() -> Self {
        CellConfig {
            profile: Profile::Waiting,
            upstream_slots: 8,
            upstream_connections: 60,
            instances_per_zone: 2,
            queue_limit: Millis(500),
            retry_percent: 10,
            worker_lease: Millis(3_000),
            quotas: Vec::new(),
        }
    }
}

impl CellConfig {
    /// Gives every fault as field and message.
    pub fn faults(&self) -> Vec<(&'static str, String)> {
        let mut faults = Vec::new();
        if self.instances_per_zone == 0 {
            faults.push(("instances_per_zone", "must be at least 1".into()));
        }
        if self.upstream_slots < self.instances_per_zone {
            faults.push(("upstream_slots", "must be at least instances_per_zone".into()));
        }
        if self.upstream_connections < self.upstream_slots {
            faults.push(("upstream_connections", "must be at least upstream_slots".into()));
        }
        if self.retry_percent > 100 {
            faults.push(("retry_percent", "must lie between 0 and 100".into()));
        }
        if self.worker_lease < Millis(500) || self.worker_lease > Millis(60_000) {
            faults.push(("worker_lease_ms", "must lie between 500 and 60000".into()));
        }
        if self.queue_limit > Millis(60_000) {
            faults.push(("queue_limit_ms", "must be at most 60000".into()));
        }
        faults
    }
}
