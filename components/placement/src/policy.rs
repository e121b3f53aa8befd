//! The policy that a planner follows.

use std::collections::BTreeMap;

use model::{Name, Profile, Size};

use crate::baseline::Baseline;

/// The placement policy of a planner.
#[derive(Clone, Debug)]
pub struct Policy {
    /// What the zone optimises for.
    pub profile: Profile,
    /// A naive policy to use instead, for comparison.
    pub baseline: Option<Baseline>,
    /// Whether short tasks may start on workers that are reserved for a gang.
    pub backfill: bool,
    /// Whether only tasks that may not move to another zone are started.
    pub only_immovable: bool,
    /// The quotas of organisations in this zone.
    pub quotas: BTreeMap<Name, Size>,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            profile: Profile::Waiting,
            baseline: None,
            backfill: true,
            only_immovable: false,
            quotas: BTreeMap::new(),
        }
    }
}
