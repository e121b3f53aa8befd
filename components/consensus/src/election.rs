//! Founding the cell and electing a leader.

use clock::Millis;
use model::{Incarnation, InstanceId};
use rand::Rng;

use crate::progress::Progress;
use crate::{Body, HardState, Membership, Node, Notice, Payload, Role, Snapshot};

/// A last entry's term and index: the later log is the greater pair.
type LogEnd = (u64, u64);

impl Node {
    /// Looks for the cell, and founds it once all founders are seen to be empty.
    pub(crate) fn seek_cell(&mut self) {
        if self.now < self.hello_at {
            return;
        }
        self.hello_at = self.now + self.cfg.timing.heartbeat;
        self.say_hello();
        self.try_found();
    }

    fn say_hello(&mut self) {
        let asked: Vec<InstanceId> =
            self.cfg.initial_voters.union(&self.cfg.contacts).cloned().collect();
        self.send_to_others(asked, &Body::Hello { has_state: false });
    }

    pub(crate) fn on_hello(&mut self, from: InstanceId, incarnation: Incarnation, has_state: bool) {
        if self.role != Role::Uninitialized {
            if !has_state && !self.has_only_founded() {
                self.send(&from, Body::Hello { has_state: true });
            }
            if self.role == Role::Leader {
                self.heard_from(&from, incarnation);
            }
            return;
        }
        if has_state {
            self.empty_founders.remove(&from);
        } else {
            self.empty_founders.insert(from, incarnation);
            self.try_found();
        }
    }

    /// Tells whether this member has done no more than found the cell. It is as good as empty then, and goes on to say
    /// so: founders that have not heard enough would never found the cell, and this one alone is no quorum.
    pub(crate) fn has_only_founded(&self) -> bool {
        let is_new = self.hard == HardState::default() && self.log.last_index() == 0;
        is_new && self.role != Role::Uninitialized
    }

    /// Tells the others now and then that this member is as good as empty.
    pub(crate) fn greet_founders(&mut self) {
        if self.now >= self.hello_at {
            self.hello_at = self.now + self.cfg.timing.heartbeat;
            self.say_hello();
        }
    }

    fn try_found(&mut self) {
        let initial_voters = &self.cfg.initial_voters;
        let others_empty =
            initial_voters.iter().all(|f| *f == self.cfg.id || self.empty_founders.contains_key(f));
        if !initial_voters.contains(&self.cfg.id) || !others_empty {
            return;
        }
        // The others may not have heard enough yet: tell them once more before we stop.
        self.say_hello();
        let mut voters = self.empty_founders.clone();
        voters.retain(|id, _| self.cfg.initial_voters.contains(id));
        voters.insert(self.cfg.id.clone(), self.cfg.incarnation);
        let membership = Membership { voters, ..Membership::default() };
        let base = Snapshot { membership, ..Snapshot::default() };
        self.log.install(base.clone());
        self.out.snapshot = Some(base);
        self.out.notices.push(Notice::Bootstrapped);
        self.role = Role::Follower;
        self.reset_election_timer();
    }

    /// Tells whether a leader may hold a lease that rests on this member.
    pub(crate) fn is_bound_to_leader(&self) -> bool {
        match self.role {
            Role::Leader => self.now < self.election_deadline(),
            _ => self.now.since(self.quiet_since) < self.cfg.timing.election_min,
        }
    }

    fn election_deadline(&self) -> Millis {
        let acked = self.quorum_acked_at(self.now).unwrap_or(self.leads_since);
        acked + self.cfg.timing.election_min
    }

    pub(crate) fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.cfg.id.clone());
        self.ask_again_soon();
        if self.has_quorum_of_votes() {
            self.start_election(false);
            return;
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let term = self.hard.term + 1;
        self.ask_voters(Body::PreVote { term, last_index, last_term });
    }

    /// Has a pre-vote repeated soon: it disturbs nobody, and members that restarted together refuse
    /// the first one only because they have not waited long enough yet.
    fn ask_again_soon(&mut self) {
        let beat = self.cfg.timing.heartbeat.0;
        self.election_at = self.now + Millis(self.rng.random_range(beat..=2 * beat));
    }

    fn start_election(&mut self, transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        let term = self.hard.term + 1;
        self.hard = HardState { term, voted_for: Some(self.cfg.id.clone()) };
        self.save_hard_state();
        self.votes.clear();
        self.votes.insert(self.cfg.id.clone());
        self.reset_election_timer();
        if self.has_quorum_of_votes() {
            self.become_leader();
            return;
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        self.ask_voters(Body::Vote { term, last_index, last_term, transfer });
    }

    fn ask_voters(&mut self, body: Body) {
        let voters: Vec<InstanceId> = self.membership().voters.keys().cloned().collect();
        self.send_to_others(voters, &body);
    }

    fn has_quorum_of_votes(&self) -> bool {
        let membership = self.membership();
        let given = self.votes.iter().filter(|id| membership.voters.contains_key(*id)).count();
        given >= membership.quorum()
    }

    /// Counts a voter's answer; tells whether it was granted and there are votes enough now.
    fn count_vote(&mut self, from: InstanceId, incarnation: Incarnation, granted: bool) -> bool {
        if !granted || !self.is_voter(&from, incarnation) {
            return false;
        }
        self.votes.insert(from);
        self.has_quorum_of_votes()
    }

    /// Tells whether a member whose log ends so may have this member's vote, leaving aside whom this one follows.
    fn may_elect(&self, from: &InstanceId, incarnation: Incarnation, end: LogEnd) -> bool {
        let newer = end >= (self.log.last_term(), self.log.last_index());
        self.may_grant() && self.knows(from, incarnation) && newer
    }

    /// Tells whether this member may give its vote. A learner may have become a voter by an entry that it has not
    /// got yet; whether its vote counts is for the candidate to say, whose log is the newer one. Without its vote
    /// a candidate that alone has that entry could never be elected.
    fn may_grant(&self) -> bool {
        self.knows(&self.cfg.id, self.cfg.incarnation)
    }

    /// Tells whether a member is known with this disk, as a voter or as a learner.
    fn knows(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        let learner = self.membership().learners.get(id);
        self.is_voter(id, incarnation) || learner.is_some_and(|l| l.incarnation == incarnation)
    }

    fn is_voter(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        self.membership().is_voter(id, incarnation)
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        term: u64,
        end: LogEnd,
    ) {
        if term <= self.hard.term {
            // The asker learns the higher term. Otherwise, where it has the longer log, neither of the two could
            // ever be elected.
            let term = self.hard.term;
            self.send(from, Body::VoteReply { term, granted: false });
            return;
        }
        let granted = !self.is_bound_to_leader() && self.may_elect(from, incarnation, end);
        self.send(from, Body::PreVoteReply { term, granted });
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: InstanceId,
        incarnation: Incarnation,
        term: u64,
        granted: bool,
    ) {
        let current = self.role == Role::PreCandidate && term == self.hard.term + 1;
        if current && self.count_vote(from, incarnation, granted) {
            self.start_election(false);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        term: u64,
        end: LogEnd,
    ) {
        let free = self.hard.voted_for.as_ref().is_none_or(|id| id == from);
        let granted = self.role == Role::Follower && free && self.may_elect(from, incarnation, end);
        if granted {
            self.hard.voted_for = Some(from.clone());
            self.save_hard_state();
            self.reset_election_timer();
        }
        self.send(from, Body::VoteReply { term, granted });
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        from: InstanceId,
        incarnation: Incarnation,
        granted: bool,
    ) {
        if self.role == Role::Candidate && self.count_vote(from, incarnation, granted) {
            self.become_leader();
        }
    }

    pub(crate) fn on_timeout_now(&mut self, from: &InstanceId) {
        let from_leader = self.leader.as_ref() == Some(from);
        if from_leader && self.role == Role::Follower && self.may_vote() {
            self.start_election(true);
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.cfg.id.clone());
        self.leads_since = self.now;
        self.out.notices.push(Notice::BecameLeader { term: self.hard.term });
        let next = self.log.last_index() + 1;
        self.progress.clear();
        for id in self.followers() {
            self.progress.insert(id, Progress::new(next));
        }
        self.first_own = next;
        // The founders' membership travels in the log, so that a founder that missed the founding
        // learns of it.
        let payload = match next {
            1 => Payload::Membership(self.membership().clone()),
            _ => Payload::Noop,
        };
        self.append_own(payload);
    }
}
