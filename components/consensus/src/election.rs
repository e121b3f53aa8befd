//! Bootstrap of the cell and leader election.

use clock::Millis;
use model::{Incarnation, InstanceId};
use rand::Rng;

use crate::progress::Progress;
use crate::{Body, HardState, Membership, Node, Notice, Payload, Role, Snapshot};

/// The term and index of a log's last entry. The more up-to-date log has the greater pair.
type LogEnd = (u64, u64);

impl Node {
    /// Looks for the cell, and bootstraps it once all initial voters are known to have no state.
    pub(crate) fn discover_cell(&mut self) {
        if self.now < self.next_hello_at {
            return;
        }
        self.next_hello_at = self.now + self.cfg.timing.heartbeat;
        self.broadcast_hello();
        self.try_bootstrap();
    }

    fn broadcast_hello(&mut self) {
        let targets: Vec<InstanceId> =
            self.cfg.initial_voters.union(&self.cfg.contacts).cloned().collect();
        self.send_to_others(targets, &Body::Hello { has_state: false });
    }

    pub(crate) fn on_hello(&mut self, from: InstanceId, incarnation: Incarnation, has_state: bool) {
        if self.role != Role::Uninitialized {
            if !has_state && !self.has_only_bootstrapped() {
                self.send(&from, Body::Hello { has_state: true });
            }
            if self.role == Role::Leader {
                self.record_contact(&from, incarnation);
            }
            return;
        }
        if has_state {
            self.empty_instances.remove(&from);
        } else {
            self.empty_instances.insert(from, incarnation);
            self.try_bootstrap();
        }
    }

    /// Returns whether this member has bootstrapped the cell and done nothing since. It then still announces itself as a
    /// member without state: otherwise initial voters that missed its earlier messages would never bootstrap the cell,
    /// and this member alone is no quorum.
    pub(crate) fn has_only_bootstrapped(&self) -> bool {
        let is_new = self.hard == HardState::default() && self.log.last_index() == 0;
        is_new && self.role != Role::Uninitialized
    }

    /// Periodically announces that this member has no state beyond the bootstrap.
    pub(crate) fn announce_bootstrap(&mut self) {
        if self.now >= self.next_hello_at {
            self.next_hello_at = self.now + self.cfg.timing.heartbeat;
            self.broadcast_hello();
        }
    }

    fn try_bootstrap(&mut self) {
        let initial_voters = &self.cfg.initial_voters;
        let others_empty = initial_voters
            .iter()
            .all(|f| *f == self.cfg.id || self.empty_instances.contains_key(f));
        if !initial_voters.contains(&self.cfg.id) || !others_empty {
            return;
        }
        // The others may have missed earlier messages: announce once more that this member has no state.
        self.broadcast_hello();
        let mut voters = self.empty_instances.clone();
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

    /// Returns whether a leader may hold a lease that depends on this member.
    pub(crate) fn is_bound_to_leader(&self) -> bool {
        match self.role {
            Role::Leader => self.now < self.election_deadline(),
            _ => self.now.since(self.last_leader_contact) < self.cfg.timing.election_min,
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
        self.schedule_pre_vote_retry();
        if self.has_quorum_of_votes() {
            self.start_election(false);
            return;
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let term = self.hard.term + 1;
        self.ask_voters(Body::PreVote { term, last_index, last_term });
    }

    /// Schedules a retry of the pre-vote after one or two heartbeat intervals. A pre-vote disrupts nobody, and members
    /// that restarted together refuse the first one only because their minimum election timeout has not passed.
    fn schedule_pre_vote_retry(&mut self) {
        let interval = self.cfg.timing.heartbeat.0;
        self.election_at = self.now + Millis(self.rng.random_range(interval..=2 * interval));
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
        let granted_count =
            self.votes.iter().filter(|id| membership.voters.contains_key(*id)).count();
        granted_count >= membership.quorum()
    }

    /// Counts a reply to a vote request; returns whether it was granted and completes a quorum.
    fn count_vote(&mut self, from: InstanceId, incarnation: Incarnation, granted: bool) -> bool {
        if !granted || !self.is_voter(&from, incarnation) {
            return false;
        }
        self.votes.insert(from);
        self.has_quorum_of_votes()
    }

    /// Returns whether this member may vote for a candidate with this disk and log end, regardless of leases and of
    /// votes granted before.
    fn can_vote_for(&self, from: &InstanceId, incarnation: Incarnation, log_end: LogEnd) -> bool {
        let is_up_to_date = log_end >= (self.log.last_term(), self.log.last_index());
        self.can_grant_votes() && self.is_member(from, incarnation) && is_up_to_date
    }

    /// Returns whether this member may grant votes. Learners may, too: a learner may have become a voter by an entry that
    /// it has not received yet, and without its vote a candidate that alone has that entry could never be elected.
    /// The candidate, whose log is the newer one, decides whether the vote counts.
    fn can_grant_votes(&self) -> bool {
        self.is_member(&self.cfg.id, self.cfg.incarnation)
    }

    /// Returns whether an instance is a voter or learner with this disk.
    fn is_member(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
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
        log_end: LogEnd,
    ) {
        if term <= self.hard.term {
            // The reply makes the sender adopt the higher term. Otherwise, if the sender has the longer log, neither
            // of the two could ever be elected.
            let term = self.hard.term;
            self.send(from, Body::VoteReply { term, granted: false });
            return;
        }
        let granted = !self.is_bound_to_leader() && self.can_vote_for(from, incarnation, log_end);
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
        log_end: LogEnd,
    ) {
        let vote_available = self.hard.voted_for.as_ref().is_none_or(|id| id == from);
        let granted = self.role == Role::Follower
            && vote_available
            && self.can_vote_for(from, incarnation, log_end);
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

    /// Starts this member's leadership and appends the first entry of its term.
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
        self.first_index_of_term = next;
        // The initial membership is replicated in the log, so that an initial voter that missed the bootstrap
        // receives it.
        let payload = match next {
            1 => Payload::Membership(self.membership().clone()),
            _ => Payload::Noop,
        };
        self.append_own(payload);
    }
}
