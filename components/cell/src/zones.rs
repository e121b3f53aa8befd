//! The allocating instance of each zone.

use std::collections::BTreeMap;

use model::{Epoch, InstanceId, ZoneId};
use serde::{Deserialize, Serialize};

/// The permission to allocate for a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The epoch; it increases with every grant in the cell.
    pub epoch: Epoch,
    /// The instance that holds the grant; `None` after a release.
    pub holder: Option<InstanceId>,
}

/// The grants of all zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zones {
    grants: BTreeMap<ZoneId, Grant>,
}

impl Zones {
    /// Returns a zone's grant.
    pub fn grant(&self, zone: &ZoneId) -> Option<&Grant> {
        self.grants.get(zone)
    }

    /// Returns a zone's epoch, zero before its first grant.
    pub fn epoch(&self, zone: &ZoneId) -> Epoch {
        self.grants.get(zone).map_or(Epoch(0), |g| g.epoch)
    }

    /// Returns an iterator over the zones that ever had a grant.
    pub fn iter(&self) -> impl Iterator<Item = (&ZoneId, &Grant)> {
        self.grants.iter()
    }

    /// Returns whether `epoch` is the zone's newest epoch.
    pub fn is_current(&self, zone: &ZoneId, epoch: Epoch) -> bool {
        self.epoch(zone) == epoch && epoch > Epoch(0)
    }

    pub(crate) fn record_grant(&mut self, zone: ZoneId, epoch: Epoch, holder: InstanceId) {
        self.grants.insert(zone, Grant { epoch, holder: Some(holder) });
    }

    pub(crate) fn release(&mut self, zone: &ZoneId) {
        if let Some(grant) = self.grants.get_mut(zone) {
            grant.holder = None;
        }
    }
}
