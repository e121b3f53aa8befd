//! What a member is told of itself and its cell when it starts.

use std::collections::BTreeSet;

use clock::Millis;
use model::{Incarnation, InstanceId};

/// How long things may take.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How often a leader sends heartbeats.
    pub heartbeat: Millis,
    /// The shortest silence of a leader after which a voter may stand or vote.
    pub election_min: Millis,
    /// The longest silence of a leader before a voter stands.
    pub election_max: Millis,
    /// By how many percent two clocks may run apart.
    pub drift_percent: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat: Millis(100),
            election_min: Millis(1_000),
            election_max: Millis(2_000),
            drift_percent: 5,
        }
    }
}

/// Who this member is and whom it knows from its settings.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// This member.
    pub id: InstanceId,
    /// This member's disk.
    pub incarnation: Incarnation,
    /// The instances with disks, which found the cell together.
    pub initial_voters: BTreeSet<InstanceId>,
    /// The instances that a member without state asks for the cell, besides the founders.
    pub contacts: BTreeSet<InstanceId>,
    /// The instances without disks, which follow the log and are no members.
    pub observers: BTreeSet<InstanceId>,
    /// How many voters are kept even if some of them are silent.
    pub keep_voters: usize,
    /// After what silence a voter beyond those is removed; `None` leaves that to operators.
    pub remove_silent_after: Option<Millis>,
    /// After what silence a voter's place goes to a caught-up learner from the reserve; `None` keeps
    /// the voter.
    pub replace_silent_after: Option<Millis>,
    /// How long things may take.
    pub timing: Timing,
    /// Seeds the election timeouts.
    pub seed: u64,
}

impl NodeConfig {
    /// Makes the settings of a cell whose members only operators change.
    pub fn with_fixed_members(
        id: InstanceId,
        incarnation: Incarnation,
        initial_voters: BTreeSet<InstanceId>,
        seed: u64,
    ) -> NodeConfig {
        NodeConfig {
            id,
            incarnation,
            initial_voters,
            contacts: BTreeSet::new(),
            observers: BTreeSet::new(),
            keep_voters: 0,
            remove_silent_after: None,
            replace_silent_after: None,
            timing: Timing::default(),
            seed,
        }
    }
}
