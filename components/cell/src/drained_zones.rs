//! The availability zones that operators have drained.

use std::collections::BTreeSet;

use model::ZoneId;
use serde::{Deserialize, Serialize};

/// The drained availability zones. Nothing new is placed in them; running work continues.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainedZones {
    /// The log index of the last change; zero if there was none. A repeated order is acknowledged with
    /// this version, because it changes nothing.
    version: u64,
    zones: BTreeSet<ZoneId>,
}

impl DrainedZones {
    /// Returns whether a zone is drained.
    pub fn contains(&self, zone: &ZoneId) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the number of drained zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Returns whether no zone is drained.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns an iterator over the drained zones in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.iter()
    }

    /// Applies an order at log index `index` and returns the version of the last change.
    pub(crate) fn set(&mut self, index: u64, zone: &ZoneId, on: bool) -> u64 {
        let changed = match on {
            true => self.zones.insert(zone.clone()),
            false => self.zones.remove(zone),
        };
        if changed {
            self.version = index;
        }
        self.version
    }
}
