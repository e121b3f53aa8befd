//! The leader's care for the members: disks that were replaced, instances that join, voters that
//! are gone for good.

use clock::Millis;
use model::{Incarnation, InstanceId};

use crate::output::Output;
use crate::progress::Progress;
use crate::{Learner, MemberRole, Membership, Node, Notice, Payload, Role};

/// A learner this close to the leader's commit counts as caught up.
const CAUGHT_UP: u64 = 16;
/// How long a leader leaves a voter more than are kept in its place: longer than it waits until a silent one counts as
/// gone, so that it is that one which leaves.
const EXTRA_VOTER_STAYS: Millis = Millis(15_000);

/// A silent voter, and the member that was made a voter to take its place. A leader that is elected in between knows
/// nothing of it; it removes the silent voter once that has been silent for longer.
#[derive(Clone, Debug)]
pub(crate) struct Replacing {
    gone: InstanceId,
    by: InstanceId,
}

impl Node {
    pub(crate) fn may_change_members(&self) -> bool {
        self.commit >= self.first_own && self.commit >= self.members_at()
    }

    pub(crate) fn change_membership(&mut self, next: Membership) {
        self.out.notices.push(Notice::MembershipChanged(next.clone()));
        self.append_own(Payload::Membership(next));
    }

    /// Readmits a replaced disk as a learner and promotes a learner that has caught up, one change
    /// at a time.
    pub(crate) fn maintain_membership(&mut self) {
        if !self.may_change_members() {
            return;
        }
        if let Some(next) = self.with_replacement_ended() {
            self.change_membership(next);
            return;
        }
        let replaced = self
            .progress
            .iter()
            .find_map(|(id, p)| self.membership().with_replaced_disk(id, p.incarnation?));
        if let Some(next) = replaced {
            self.change_membership(next);
            return;
        }
        if let Some(next) = self.with_learner_promoted() {
            self.change_membership(next);
            return;
        }
        let next = self
            .with_silent_voter_replaced()
            .or_else(|| self.with_spare_promoted())
            .or_else(|| self.without_silent_voter())
            .or_else(|| self.without_extra_voter());
        if let Some(next) = next {
            self.change_membership(next);
        }
    }

    /// Tells whether a member has not been heard for as long as a leader waits before it acts.
    fn is_silent(&self, id: &InstanceId, after: Millis) -> bool {
        let heard = self.progress.get(id).and_then(|p| p.heard_at).unwrap_or_default();
        let waited = self.now.since(heard.max(self.leads_since));
        *id != self.cfg.id && waited >= after
    }

    /// Gives the members with a learner that has caught up promoted, if it is to vote and there are not
    /// enough voters yet; it stays in reserve then.
    fn with_learner_promoted(&self) -> Option<Membership> {
        let membership = self.membership();
        let keep = self.cfg.keep_voters;
        if keep > 0 && membership.voters.len() >= keep + self.gone_voters().min(1) {
            return None;
        }
        self.progress.iter().find_map(|(id, p)| {
            self.is_caught_up(id, p).then(|| membership.with_promoted(id)).flatten()
        })
    }

    /// Gives how many voters have been silent for so long that they count as gone.
    fn gone_voters(&self) -> usize {
        let Some(after) = self.cfg.remove_silent_after else { return 0 };
        self.membership().voters.keys().filter(|id| self.is_silent(id, after)).count()
    }

    /// Gives how many voters there will be once the learners that are to vote and have caught up do.
    /// Counting only those that vote already would promote one too many while a promotion is under way;
    /// counting those that lag would keep a reserve that has caught up from voting.
    fn voters_to_be(&self) -> usize {
        let membership = self.membership();
        let waits = |(id, l): &(&InstanceId, &Learner)| {
            l.promote && self.progress.get(*id).is_some_and(|p| self.is_caught_up(id, p))
        };
        membership.voters.len() + membership.learners.iter().filter(waits).count()
    }

    /// Gives the members with a caught-up learner from the reserve made a voter beside a silent one, whose place it
    /// is to take. The silent one leaves only once that is committed: were it the first to leave, the voters left
    /// would be too few to elect a leader if all power and one of their disks were lost just then. The reserve must
    /// have been heard just now, so that the larger quorum holds up nothing.
    fn with_silent_voter_replaced(&mut self) -> Option<Membership> {
        let after = self.cfg.replace_silent_after?;
        let membership = self.membership();
        let enough = membership.voters.len() >= self.cfg.keep_voters.max(3);
        if !enough || membership.voters.len().is_multiple_of(2) {
            return None;
        }
        let gone = membership.voters.keys().find(|id| self.is_silent(id, after))?.clone();
        let (spare, learner) = membership
            .learners
            .iter()
            .find(|(id, _)| self.progress.get(*id).is_some_and(|p| self.is_caught_up(id, p)))?;
        let next = membership.with_role(spare, learner.incarnation, MemberRole::Voter);
        let next = next.with_promoted(spare)?;
        self.replacing = Some(Replacing { gone, by: spare.clone() });
        Some(next)
    }

    /// Ends the replacement of a silent voter, now that both vote. If it is back after all, its replacement returns
    /// to the reserve, so that the number of voters is odd again.
    fn with_replacement_ended(&mut self) -> Option<Membership> {
        let after = self.cfg.replace_silent_after?;
        let Replacing { gone, by } = self.replacing.take()?;
        let membership = self.membership();
        let (Some(_), Some(disk)) = (membership.voters.get(&gone), membership.voters.get(&by))
        else {
            return None;
        };
        Some(match self.is_silent(&gone, after) {
            true => membership.with_role(&gone, Incarnation::default(), MemberRole::Removed),
            false => membership.with_role(&by, *disk, MemberRole::Learner),
        })
    }

    /// Gives the members with a learner that is kept in reserve marked for promotion, if there are
    /// too few voters or one of them is gone.
    fn with_spare_promoted(&self) -> Option<Membership> {
        self.cfg.remove_silent_after?;
        let membership = self.membership();
        if self.voters_to_be() >= self.cfg.keep_voters + self.gone_voters().min(1) {
            return None;
        }
        let (id, learner) = membership
            .learners
            .iter()
            .find(|(id, l)| !l.promote && !self.is_silent(id, self.cfg.timing.election_min))?;
        Some(membership.with_role(id, learner.incarnation, MemberRole::Voter))
    }

    /// Gives the members without a voter that has long been silent, if enough others are left and
    /// all of them answer.
    fn without_silent_voter(&self) -> Option<Membership> {
        let (keep, after) = (self.cfg.keep_voters, self.cfg.remove_silent_after?);
        let membership = self.membership();
        if membership.voters.len() <= keep {
            return None;
        }
        let mut silent = membership.voters.keys().filter(|id| self.is_silent(id, after));
        let gone = silent.next()?;
        if silent.next().is_some() {
            // Two that are silent may be a cut; a smaller quorum would be decided by one side.
            return None;
        }
        Some(membership.with_role(gone, Incarnation::default(), MemberRole::Removed))
    }

    /// Gives the members with one voter more than are kept returned to the reserve, if all have been well for a
    /// while. A leader that was elected in the midst of a replacement finds as many, and an even number leaves
    /// neither side of a cut into halves a majority.
    fn without_extra_voter(&self) -> Option<Membership> {
        let after = self.cfg.replace_silent_after?;
        let membership = self.membership();
        let voters = &membership.voters;
        let one_more = voters.len() == self.cfg.keep_voters + 1 && voters.len().is_multiple_of(2);
        let well = !voters.keys().any(|id| self.is_silent(id, after));
        if !one_more || !well || self.now.since(self.leads_since) < EXTRA_VOTER_STAYS {
            return None;
        }
        let (extra, disk) = voters.iter().rfind(|(id, _)| **id != self.cfg.id)?;
        Some(membership.with_role(extra, *disk, MemberRole::Learner))
    }

    /// Admits an instance that asks to join, as a learner. It is promoted once it has caught up if
    /// voters are wanted; beyond those that are kept it stays in reserve, so that their number stays
    /// odd and a cut into halves leaves one side a majority. Does nothing if this member does not lead, knows the instance's disk already, or is busy
    /// with another change; whoever joins asks again.
    pub fn admit(&mut self, now: Millis, id: &InstanceId, incarnation: Incarnation) -> Output {
        self.now = self.now.max(now);
        let membership = self.membership();
        let known = membership.voters.contains_key(id) || membership.learners.contains_key(id);
        if self.role == Role::Leader && !known && self.may_change_members() {
            let enough = self.voters_to_be() >= self.cfg.keep_voters;
            let role = if enough { MemberRole::Learner } else { MemberRole::Voter };
            let next = membership.with_role(id, incarnation, role);
            self.change_membership(next);
        }
        std::mem::take(&mut self.out)
    }

    fn is_caught_up(&self, id: &InstanceId, p: &Progress) -> bool {
        let learner = self.membership().learners.get(id);
        let same_disk = learner.is_some_and(|l| p.incarnation == Some(l.incarnation));
        let recent = p.heard_at.is_some_and(|t| self.now.since(t) < self.cfg.timing.election_min);
        same_disk && recent && p.matched + CAUGHT_UP >= self.commit && p.matched > 0
    }
}
