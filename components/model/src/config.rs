//! The configuration of the cell, replaced as a whole by compare-and-set on its version.

use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::{Name, Size};

/// The objective that placement gives the most weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Profile {
    /// Short waiting times.
    #[default]
    Waiting,
    /// Fully used workers.
    Packing,
}

/// The limit of an organisation over the whole cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// The organisation.
    pub organisation: Name,
    /// The maximum capacity that its placed tasks may take.
    pub size: Size,
}

/// The settings that operators may change while the cell is running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellConfig {
    /// The objective of placement.
    pub profile: Profile,
    /// The number of requests that one upstream handles concurrently, over all instances.
    pub upstream_slots: u32,
    /// The number of connections that one upstream accepts, over all instances.
    pub upstream_connections: u32,
    /// The maximum number of entry instances in a zone. The slots and connections of an upstream are
    /// divided into that many shares.
    pub instances_per_zone: u32,
    /// The maximum time that a request may wait in an instance before it is refused.
    pub queue_limit: Millis,
    /// The number of retries allowed for each hundred successful first attempts.
    pub retry_percent: u32,
    /// The duration of a worker's lease.
    pub worker_lease: Millis,
    /// The quotas of organisations; an organisation without one is not limited.
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
    /// Returns every fault as a field name and a message.
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
