//! Configuration of a member.

use std::collections::BTreeSet;

use clock::Millis;
use model::{Incarnation, InstanceId};

/// Intervals and timeouts of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The interval between a leader's heartbeats.
    pub heartbeat: Millis,
    /// The minimum time without contact to a leader after which a voter may start an election or vote.
    pub election_min: Millis,
    /// The maximum time without contact to a leader before a voter starts an election.
    pub election_max: Millis,
    /// The maximum drift between two clocks, in percent. Leases are shortened by it.
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

/// Identity, known instances and timing of a member.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The id of this member.
    pub id: InstanceId,
    /// The incarnation of this member's disk.
    pub incarnation: Incarnation,
    /// The instances with disks that bootstrap the cell together.
    pub initial_voters: BTreeSet<InstanceId>,
    /// Further instances that a member without state contacts to find the cell.
    pub contacts: BTreeSet<InstanceId>,
    /// The instances without disks, which receive the log but are not members.
    pub observers: BTreeSet<InstanceId>,
    /// The number of voters to keep: learners are promoted up to it, and silent voters are not removed below it.
    pub keep_voters: usize,
    /// The time without response after which a surplus voter is removed; `None` leaves that to operators.
    pub remove_silent_after: Option<Millis>,
    /// The time without response after which a voter is replaced by a caught-up learner from the reserve;
    /// `None` never replaces voters.
    pub replace_silent_after: Option<Millis>,
    /// Intervals and timeouts of the protocol.
    pub timing: Timing,
    /// The seed of the randomized election timeouts.
    pub seed: u64,
}

impl NodeConfig {
    /// Returns the configuration of a cell whose membership only operators change.
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
