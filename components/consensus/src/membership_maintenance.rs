//! Membership maintenance by the leader: readmits replaced disks, admits instances that join and
//! replaces or removes voters that stay silent.

use clock::Millis;
use model::{Incarnation, InstanceId};

use crate::output::Output;
use crate::progress::Progress;
use crate::{Learner, MemberRole, Membership, Node, Notice, Payload, Role};

/// The maximum number of entries by which a learner may lag behind the leader's commit index and still count as
/// caught up. With a greater value a promoted voter holds up commits while it catches up; with a much smaller one a
/// learner under constant load may never be promoted.
const MAX_CAUGHT_UP_LAG: u64 = 16;
/// The time since its election after which a leader returns a surplus voter to the reserve. It is longer than the
/// removal timeout of silent voters: if it were shorter, a healthy voter could be demoted instead of the silent one.
const EXTRA_VOTER_GRACE: Millis = Millis(15_000);

/// A replacement of a silent voter by a promoted member. It is not replicated: a leader that is elected before it is
/// completed removes the silent voter only after the longer removal timeout.
#[derive(Clone, Debug)]
pub(crate) struct VoterReplacement {
    silent_voter: InstanceId,
    substitute: InstanceId,
}

impl Node {
    /// Returns whether the leader has committed an entry of its own term and the latest membership change.
    pub(crate) fn can_change_membership(&self) -> bool {
        self.commit >= self.first_index_of_term && self.commit >= self.membership_index()
    }

    /// Appends a membership entry to the leader's log.
    pub(crate) fn append_membership(&mut self, next: Membership) {
        self.out.notices.push(Notice::MembershipChanged(next.clone()));
        self.append_own(Payload::Membership(next));
    }

    /// Makes at most one membership change: completes a replacement, readmits a replaced disk as a learner, promotes
    /// a learner that has caught up, or replaces, demotes or removes a voter.
    pub(crate) fn maintain_membership(&mut self) {
        if !self.can_change_membership() {
            return;
        }
        if let Some(next) = self.with_replacement_completed() {
            self.append_membership(next);
            return;
        }
        let replaced = self
            .progress
            .iter()
            .find_map(|(id, p)| self.membership().with_replaced_disk(id, p.incarnation?));
        if let Some(next) = replaced {
            self.append_membership(next);
            return;
        }
        if let Some(next) = self.with_learner_promoted() {
            self.append_membership(next);
            return;
        }
        let next = self
            .with_silent_voter_replaced()
            .or_else(|| self.with_reserve_promoted())
            .or_else(|| self.without_silent_voter())
            .or_else(|| self.without_extra_voter());
        if let Some(next) = next {
            self.append_membership(next);
        }
    }

    /// Returns whether another member has not responded to this leader for at least `after`.
    fn is_silent(&self, id: &InstanceId, after: Millis) -> bool {
        let last_contact = self.progress.get(id).and_then(|p| p.last_contact).unwrap_or_default();
        let waited = self.now.since(last_contact.max(self.leads_since));
        *id != self.cfg.id && waited >= after
    }

    /// Returns the membership with one caught-up learner promoted that is marked for promotion, or `None` if there is
    /// none or there are enough voters already. The learner stays in the reserve in that case.
    fn with_learner_promoted(&self) -> Option<Membership> {
        let membership = self.membership();
        let keep = self.cfg.keep_voters;
        if keep > 0 && membership.voters.len() >= keep + self.silent_voter_count().min(1) {
            return None;
        }
        self.progress.iter().find_map(|(id, p)| {
            self.is_caught_up(id, p).then(|| membership.with_promoted(id)).flatten()
        })
    }

    /// Returns the number of voters that have been silent for longer than the removal timeout.
    fn silent_voter_count(&self) -> usize {
        let Some(after) = self.cfg.remove_silent_after else { return 0 };
        self.membership().voters.keys().filter(|id| self.is_silent(id, after)).count()
    }

    /// Returns the number of voters after all caught-up learners that are marked for promotion have been promoted.
    /// Counting only the current voters would promote one too many while a promotion is in progress; counting learners
    /// that lag would keep a caught-up reserve member from being promoted.
    fn future_voter_count(&self) -> usize {
        let membership = self.membership();
        let is_promotable = |(id, l): &(&InstanceId, &Learner)| {
            l.promote && self.progress.get(*id).is_some_and(|p| self.is_caught_up(id, p))
        };
        membership.voters.len() + membership.learners.iter().filter(is_promotable).count()
    }

    /// Returns the membership with a caught-up reserve learner promoted to take the place of a silent voter. The silent
    /// voter is removed only after the promotion is committed: if it were removed first and all members lost power and
    /// one of them its disk, the remaining voters could not elect a leader. The learner must have responded recently,
    /// so that the larger quorum does not delay commits.
    fn with_silent_voter_replaced(&mut self) -> Option<Membership> {
        let after = self.cfg.replace_silent_after?;
        let membership = self.membership();
        let has_enough = membership.voters.len() >= self.cfg.keep_voters.max(3);
        if !has_enough || membership.voters.len().is_multiple_of(2) {
            return None;
        }
        let silent_voter = membership.voters.keys().find(|id| self.is_silent(id, after))?.clone();
        let (reserve, learner) = membership
            .learners
            .iter()
            .find(|(id, _)| self.progress.get(*id).is_some_and(|p| self.is_caught_up(id, p)))?;
        let next = membership.with_role(reserve, learner.incarnation, MemberRole::Voter);
        let next = next.with_promoted(reserve)?;
        self.replacement = Some(VoterReplacement { silent_voter, substitute: reserve.clone() });
        Some(next)
    }

    /// Returns the membership that completes a replacement once both members are voters: without the silent voter, or,
    /// if that one responds again, with the replacement returned to the reserve. Either way the number of voters is odd.
    fn with_replacement_completed(&mut self) -> Option<Membership> {
        let after = self.cfg.replace_silent_after?;
        let VoterReplacement { silent_voter, substitute } = self.replacement.take()?;
        let membership = self.membership();
        let (Some(_), Some(disk)) =
            (membership.voters.get(&silent_voter), membership.voters.get(&substitute))
        else {
            return None;
        };
        Some(match self.is_silent(&silent_voter, after) {
            true => {
                membership.with_role(&silent_voter, Incarnation::default(), MemberRole::Removed)
            }
            false => membership.with_role(&substitute, *disk, MemberRole::Learner),
        })
    }

    /// Returns the membership with a reserve learner marked for promotion, or `None` if there are enough voters and
    /// none of them is silent.
    fn with_reserve_promoted(&self) -> Option<Membership> {
        self.cfg.remove_silent_after?;
        let membership = self.membership();
        if self.future_voter_count() >= self.cfg.keep_voters + self.silent_voter_count().min(1) {
            return None;
        }
        let (id, learner) = membership
            .learners
            .iter()
            .find(|(id, l)| !l.promote && !self.is_silent(id, self.cfg.timing.election_min))?;
        Some(membership.with_role(id, learner.incarnation, MemberRole::Voter))
    }

    /// Returns the membership without a voter that exceeded the removal timeout, provided that enough voters are left
    /// and all of them respond.
    fn without_silent_voter(&self) -> Option<Membership> {
        let (keep, after) = (self.cfg.keep_voters, self.cfg.remove_silent_after?);
        let membership = self.membership();
        if membership.voters.len() <= keep {
            return None;
        }
        let mut silent = membership.voters.keys().filter(|id| self.is_silent(id, after));
        let silent_voter = silent.next()?;
        if silent.next().is_some() {
            // Two silent voters may mean a network partition; with a smaller quorum, one side of it could commit alone.
            return None;
        }
        Some(membership.with_role(silent_voter, Incarnation::default(), MemberRole::Removed))
    }

    /// Returns the membership with a surplus voter returned to the reserve, provided that all voters have responded for
    /// a while. A leader that was elected during a replacement starts with one voter too many, and with an even number
    /// of voters a partition into halves leaves neither side a majority.
    fn without_extra_voter(&self) -> Option<Membership> {
        let after = self.cfg.replace_silent_after?;
        let membership = self.membership();
        let voters = &membership.voters;
        let has_extra = voters.len() == self.cfg.keep_voters + 1 && voters.len().is_multiple_of(2);
        let all_respond = !voters.keys().any(|id| self.is_silent(id, after));
        if !has_extra || !all_respond || self.now.since(self.leads_since) < EXTRA_VOTER_GRACE {
            return None;
        }
        let (extra, disk) = voters.iter().rfind(|(id, _)| **id != self.cfg.id)?;
        Some(membership.with_role(extra, *disk, MemberRole::Learner))
    }

    /// Admits an instance that asks to join, as a learner. It is promoted once it has caught up if there are fewer
    /// voters than `keep_voters`; otherwise it stays in the reserve, so that the number of voters stays odd and a
    /// partition into halves leaves one side a majority. Does nothing if this member is not the leader, if the instance
    /// is a member already, or if another membership change is in progress; the joining instance retries.
    pub fn admit(&mut self, now: Millis, id: &InstanceId, incarnation: Incarnation) -> Output {
        self.now = self.now.max(now);
        let membership = self.membership();
        let known = membership.voters.contains_key(id) || membership.learners.contains_key(id);
        if self.role == Role::Leader && !known && self.can_change_membership() {
            let has_enough = self.future_voter_count() >= self.cfg.keep_voters;
            let role = if has_enough { MemberRole::Learner } else { MemberRole::Voter };
            let next = membership.with_role(id, incarnation, role);
            self.append_membership(next);
        }
        std::mem::take(&mut self.out)
    }

    /// Returns whether a learner has responded recently from its admitted disk and is close enough to the commit index.
    fn is_caught_up(&self, id: &InstanceId, p: &Progress) -> bool {
        let learner = self.membership().learners.get(id);
        let same_disk = learner.is_some_and(|l| p.incarnation == Some(l.incarnation));
        let recent =
            p.last_contact.is_some_and(|t| self.now.since(t) < self.cfg.timing.election_min);
        same_disk && recent && p.matched + MAX_CAUGHT_UP_LAG >= self.commit && p.matched > 0
    }
}
