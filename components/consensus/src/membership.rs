//! Who votes, who learns, and by which disk.

use std::collections::BTreeMap;

use model::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// A member that copies the log and does not vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Learner {
    /// The disk it copies to.
    pub incarnation: Incarnation,
    /// Whether it becomes a voter as soon as it has caught up.
    pub promote: bool,
}

/// The role an operator can give a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Votes, after it has caught up.
    Voter,
    /// Copies the log only.
    Learner,
    /// No member.
    Removed,
}

/// The members. A voter counts only with the disk it was admitted with, so that a replaced disk
/// never votes from emptiness.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Those who vote, with the disk each was admitted with.
    pub voters: BTreeMap<InstanceId, Incarnation>,
    /// Those who learn.
    pub learners: BTreeMap<InstanceId, Learner>,
}

impl Membership {
    /// Gives how many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Tells whether `id` votes with this disk.
    pub fn is_voter(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        self.voters.get(id) == Some(&incarnation)
    }

    /// Gives the members with `id`'s replaced disk admitted as a learner, or `None` if the
    /// membership knows that disk already or does not know the instance.
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

    /// Gives the members with learner `id` made a voter, or `None` if it does not wait for that.
    pub fn with_promoted(&self, id: &InstanceId) -> Option<Self> {
        let learner = self.learners.get(id).filter(|l| l.promote)?;
        let mut next = self.clone();
        next.learners.remove(id);
        next.voters.insert(id.clone(), learner.incarnation);
        Some(next)
    }

    /// Gives the members with `id` in `role`. A future voter starts as a learner.
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
