//! Voters and learners, each identified by its instance and disk.

use std::collections::BTreeMap;

use model::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// A member that receives the log and does not vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Learner {
    /// The incarnation of its disk.
    pub incarnation: Incarnation,
    /// Whether it is promoted to voter once it has caught up.
    pub promote: bool,
}

/// A role that an operator can assign to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Receives the log, and votes once it has caught up.
    Voter,
    /// Receives the log only.
    Learner,
    /// Is not a member.
    Removed,
}

/// The voters and learners of the cell. A voter counts only with the disk that it was admitted with: a replaced
/// disk has lost the log and the votes that were granted on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The voters, with the incarnation of the disk that each was admitted with.
    pub voters: BTreeMap<InstanceId, Incarnation>,
    /// The learners.
    pub learners: BTreeMap<InstanceId, Learner>,
}

impl Membership {
    /// Returns the number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `id` is a voter with this disk.
    pub fn is_voter(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        self.voters.get(id) == Some(&incarnation)
    }

    /// Returns the membership with the replaced disk of `id` admitted as a learner, or `None` if the
    /// instance is not a member or is one with that disk already.
    pub fn with_replaced_disk(&self, id: &InstanceId, incarnation: Incarnation) -> Option<Self> {
        let voted = self.voters.get(id).is_some_and(|old| *old != incarnation);
        let learned = self.learners.get(id).filter(|l| l.incarnation != incarnation);
        let promote = voted || learned.is_some_and(|l| l.promote);
        if !voted && learned.is_none() {
            return None;
        }
        let mut next = self.clone();
        next.voters.remove(id);
        next.learners.insert(id.clone(), Learner { incarnation, promote });
        Some(next)
    }

    /// Returns the membership with learner `id` promoted to voter, or `None` if it is not marked for promotion.
    pub fn with_promoted(&self, id: &InstanceId) -> Option<Self> {
        let learner = self.learners.get(id).filter(|l| l.promote)?;
        let mut next = self.clone();
        next.learners.remove(id);
        next.voters.insert(id.clone(), learner.incarnation);
        Some(next)
    }

    /// Returns the membership with `id` in `role`. A new voter starts as a learner that is marked for promotion.
    pub fn with_role(&self, id: &InstanceId, incarnation: Incarnation, role: MemberRole) -> Self {
        let mut next = self.clone();
        match role {
            MemberRole::Voter if self.voters.contains_key(id) => {}
            MemberRole::Voter => {
                next.learners.insert(id.clone(), Learner { incarnation, promote: true });
            }
            MemberRole::Learner => {
                next.voters.remove(id);
                next.learners.insert(id.clone(), Learner { incarnation, promote: false });
            }
            MemberRole::Removed => {
                next.voters.remove(id);
                next.learners.remove(id);
            }
        }
        next
    }
}
