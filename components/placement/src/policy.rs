//! The rules by which a planner decides.

use std::collections::BTreeMap;

use model::{Name, Profile, Size};

use crate::baseline::Baseline;

/// The rules a planner follows.
#[derive(Clone, Debug)]
pub struct Policy {
    /// What weighs most.
    pub profile: Profile,
    /// A naive policy in place of our own, to compare with.
    pub baseline: Option<Baseline>,
    /// Whether short work may start on workers that a gang waits for.
    pub backfill: bool,
    /// Whether only tasks that may not move are started.
    pub only_immovable: bool,
    /// The organisations' ceilings in this zone.
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
