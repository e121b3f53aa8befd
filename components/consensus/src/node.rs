//! The state machine of a member: its state, its inputs and the output that follows from them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use model::{Incarnation, InstanceId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::incoming_snapshot::IncomingSnapshot;
use crate::log::Log;
use crate::membership_maintenance::VoterReplacement;
use crate::progress::Progress;
use crate::{
    Body, ChangeError, Entry, Envelope, HardState, MemberRole, Membership, NodeConfig, NotLeader,
    Notice, Output, Payload, Record, Restored, Snapshot,
};

/// The current role of a member in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Has no state yet and looks for the cell.
    Uninitialized,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks the voters whether they would elect it.
    PreCandidate,
    /// Requests votes in an election.
    Candidate,
    /// Leads the current term.
    Leader,
}

/// The maximum number of uncommitted entries before a leader refuses proposals. Without a limit, a leader without a
/// quorum would run out of memory; a smaller one refuses commands during bursts.
pub(crate) const MAX_UNCOMMITTED: u64 = 20_000;

/// One member of the replicated log.
#[derive(Debug)]
pub struct Node {
    pub(crate) cfg: NodeConfig,
    pub(crate) rng: StdRng,
    pub(crate) role: Role,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) commit: u64,
    /// The index of the last entry on this member's disk; `None` if syncs are not tracked and the whole log counts as
    /// synced.
    synced: Option<u64>,
    /// Whether this leader has appended entries that it has not sent to any follower yet.
    replication_due: bool,
    pub(crate) leader: Option<InstanceId>,
    /// The time of the last contact with a leader or, if later, of the start or resignation of this member. A lease may
    /// have been granted up to then.
    pub(crate) last_leader_contact: Millis,
    pub(crate) election_at: Millis,
    pub(crate) votes: BTreeSet<InstanceId>,
    pub(crate) progress: BTreeMap<InstanceId, Progress>,
    /// The time at which this member became leader.
    pub(crate) leads_since: Millis,
    /// The index of the first entry of this leader's term.
    pub(crate) first_index_of_term: u64,
    /// The replacement of a silent voter that this leader has in progress.
    pub(crate) replacement: Option<VoterReplacement>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    /// Instances that have reported to have no state, with the incarnation of their disks.
    pub(crate) empty_instances: BTreeMap<InstanceId, Incarnation>,
    /// The time at which the next hello is due.
    pub(crate) next_hello_at: Millis,
    pub(crate) now: Millis,
    pub(crate) out: Output,
}

impl Node {
    /// Creates a member from the state on its disk. It does not vote for the minimum election timeout, because the
    /// previous process may have acknowledged a leader whose lease still holds.
    pub fn new(cfg: NodeConfig, restored: Restored, now: Millis) -> Node {
        let log = Log::new(restored.snapshot, restored.entries);
        let has_state = log.last_index() > 0 || !log.last_snapshot().membership.voters.is_empty();
        let mut node = Node {
            rng: StdRng::seed_from_u64(cfg.seed),
            role: if has_state { Role::Follower } else { Role::Uninitialized },
            hard: restored.hard,
            commit: log.last_snapshot().last_index,
            synced: None,
            replication_due: false,
            log,
            leader: None,
            last_leader_contact: now,
            election_at: Millis::ZERO,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            leads_since: Millis::ZERO,
            first_index_of_term: 0,
            replacement: None,
            incoming: None,
            empty_instances: BTreeMap::new(),
            next_hello_at: Millis::ZERO,
            now,
            out: Output::default(),
            cfg,
        };
        node.reset_election_timer();
        node
    }

    /// Makes the member count its own copy of an entry towards the quorum only after [`Node::mark_synced`]. The entries
    /// restored from its disk count as synced.
    pub fn track_syncs(&mut self) {
        self.synced = Some(self.log.last_index());
    }

    /// Records that the whole log is on this member's disk.
    pub fn mark_synced(&mut self) -> Output {
        self.synced = self.synced.map(|_| self.log.last_index());
        if self.role == Role::Leader {
            self.advance_commit();
        }
        std::mem::take(&mut self.out)
    }

    /// Sends the entries that were appended since the last call. Entries of one sync are batched, because a follower is
    /// sent the next append only after it has answered the previous one.
    pub fn replicate_new_entries(&mut self) -> Output {
        if std::mem::take(&mut self.replication_due) && self.role == Role::Leader {
            self.replicate_to_all();
        }
        std::mem::take(&mut self.out)
    }

    /// Returns the index of the last entry on this member's disk.
    pub fn synced(&self) -> u64 {
        self.synced.unwrap_or(self.log.last_index())
    }

    /// Appends an entry to the log and to the records to sync. Entries on disk at its index or above no longer count
    /// as synced.
    pub(crate) fn push_entry(&mut self, entry: Entry) {
        self.synced = self.synced.map(|at| at.min(entry.index - 1));
        self.out.records.push(Record::Entry(entry.clone()));
        self.log.push(entry);
    }

    /// Advances the time and performs the actions that are due.
    pub fn tick(&mut self, now: Millis) -> Output {
        self.now = self.now.max(now);
        if self.has_only_bootstrapped() {
            self.announce_bootstrap();
        }
        match self.role {
            Role::Uninitialized => self.discover_cell(),
            Role::Leader => self.tick_leader(),
            _ if self.now >= self.election_at && self.may_vote() => self.start_pre_vote(),
            _ => {}
        }
        std::mem::take(&mut self.out)
    }

    /// Processes a message.
    pub fn receive(&mut self, now: Millis, msg: Envelope) -> Output {
        self.now = self.now.max(now);
        if msg.to == self.cfg.id {
            self.handle_message(msg);
        }
        std::mem::take(&mut self.out)
    }

    /// Appends a command to the log and returns its index and term.
    ///
    /// # Errors
    /// [`NotLeader`] if this member is not the leader or the maximum number of uncommitted entries is reached.
    /// The command is then certainly not in the log.
    pub fn propose(
        &mut self,
        now: Millis,
        data: Arc<[u8]>,
    ) -> Result<(u64, u64, Output), NotLeader> {
        self.now = self.now.max(now);
        let full = self.log.last_index() - self.commit >= MAX_UNCOMMITTED;
        if self.role != Role::Leader || full {
            return Err(NotLeader { leader: self.leader.clone() });
        }
        let index = self.append_own(Payload::Command(data));
        Ok((index, self.hard.term, std::mem::take(&mut self.out)))
    }

    /// Changes one member's role.
    ///
    /// # Errors
    /// [`ChangeError`] if the change was not accepted; it then certainly did not happen.
    pub fn change_member(
        &mut self,
        now: Millis,
        id: &InstanceId,
        role: MemberRole,
    ) -> Result<Output, ChangeError> {
        self.now = self.now.max(now);
        if self.role != Role::Leader {
            return Err(ChangeError::NotLeader(NotLeader { leader: self.leader.clone() }));
        }
        let known = self.progress.get(id).and_then(|p| p.incarnation);
        let own = (*id == self.cfg.id).then_some(self.cfg.incarnation);
        let incarnation = match (known.or(own), role) {
            (Some(incarnation), _) => incarnation,
            (None, MemberRole::Removed) => Incarnation::default(),
            (None, _) => return Err(ChangeError::Unknown),
        };
        let next = self.log.membership().1.with_role(id, incarnation, role);
        if next.voters.is_empty() {
            return Err(ChangeError::NoVoter);
        }
        if !self.can_change_membership() {
            return Err(ChangeError::Busy);
        }
        self.append_membership(next);
        Ok(std::mem::take(&mut self.out))
    }

    /// Transfers leadership to the voter with the most replicated log, for a planned stop. This member gives up its
    /// lease before the other one starts its election.
    pub fn transfer_leadership(&mut self, now: Millis) -> Output {
        self.now = self.now.max(now);
        if self.role == Role::Leader {
            let successor = self.most_advanced_voter();
            let term = self.hard.term;
            self.resign("planned stop");
            if let Some(successor) = successor {
                self.send(&successor, Body::TimeoutNow { term });
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Replaces the log up to `index` by a snapshot of the state after it, and returns the snapshot. Returns `None` if
    /// `index` is not committed or is part of the last snapshot already.
    pub fn compact(&mut self, index: u64, data: Arc<[u8]>) -> Option<Snapshot> {
        if index > self.commit || index <= self.log.last_snapshot().last_index {
            return None;
        }
        self.log.compact(index, data).cloned()
    }

    /// Returns the last snapshot.
    pub fn last_snapshot(&self) -> &Snapshot {
        self.log.last_snapshot()
    }

    /// Returns the records that the disk must hold besides the snapshot.
    pub fn tail_records(&self) -> Vec<Record> {
        let mut records = vec![Record::HardState(self.hard.clone())];
        let first = self.log.last_snapshot().last_index + 1;
        records.extend(self.log.entries_from(first, usize::MAX).into_iter().map(Record::Entry));
        records
    }

    /// Returns the role of this member.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// Returns the highest term that this member has seen.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the index of the last entry in the log, committed or not.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the number of entries after the last snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Returns the latest membership, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Returns the time at which this member became leader, by its own clock.
    pub fn leads_since(&self) -> Millis {
        self.leads_since
    }

    /// Returns whether this member is certainly the only leader at `now` and has committed an entry of its own term,
    /// so that its state contains every accepted change.
    pub fn holds_lease(&self, now: Millis) -> bool {
        now < self.lease_until(now)
    }

    /// Returns the time until which this member is certainly the only leader and has committed an entry of its own
    /// term; zero if it is not. Unlike the result of [`Node::holds_lease`], it stays valid on other threads.
    pub fn lease_until(&self, now: Millis) -> Millis {
        let Some(acked) = self.quorum_acked_at(now) else { return Millis::ZERO };
        let lease = self.cfg.timing.election_min.0 * (100 - self.cfg.timing.drift_percent) / 100;
        let until = acked + Millis(lease);
        let leads = self.role == Role::Leader && self.commit >= self.first_index_of_term;
        if leads && now < until { until } else { Millis::ZERO }
    }

    /// Adds instances that a member without state contacts to find the cell.
    pub fn add_contacts(&mut self, ids: impl IntoIterator<Item = InstanceId>) {
        self.cfg.contacts.extend(ids);
    }

    /// Returns whether this member is a voter with its current disk.
    pub(crate) fn may_vote(&self) -> bool {
        self.log.membership().1.is_voter(&self.cfg.id, self.cfg.incarnation)
    }

    pub(crate) fn send(&mut self, to: &InstanceId, body: Body) {
        let (from, incarnation) = (self.cfg.id.clone(), self.cfg.incarnation);
        self.out.messages.push(Envelope { from, incarnation, to: to.clone(), body });
    }

    pub(crate) fn send_to_others(&mut self, ids: Vec<InstanceId>, body: &Body) {
        for id in ids {
            if id != self.cfg.id {
                self.send(&id, body.clone());
            }
        }
    }

    pub(crate) fn save_hard_state(&mut self) {
        self.out.records.push(Record::HardState(self.hard.clone()));
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let (min, max) = (self.cfg.timing.election_min.0, self.cfg.timing.election_max.0);
        self.election_at = self.now + Millis(self.rng.random_range(min..=max.max(min)));
    }

    /// Appends `payload` to the leader's own log, starts replicating it and returns its index.
    pub(crate) fn append_own(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        self.push_entry(Entry { index, term: self.hard.term, payload });
        self.advance_commit();
        match self.synced {
            // Entries that are synced together are also sent together, see [`Node::replicate_new_entries`].
            Some(_) => self.replication_due = true,
            None => self.replicate_to_all(),
        }
        index
    }

    /// Advances the commit index to `index`, at most to the end of the log, and outputs the committed entries.
    pub(crate) fn commit_to(&mut self, index: u64) {
        let target = index.min(self.log.last_index());
        while self.commit < target {
            self.commit += 1;
            if let Some(entry) = self.log.entry(self.commit) {
                self.out.committed.push(entry.clone());
            }
        }
    }

    /// Adopts `term` if it is newer, and follows `leader` or waits for one. A leader resigns; a member without state
    /// stays [`Role::Uninitialized`].
    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<InstanceId>) {
        if self.role == Role::Leader {
            self.resign("a newer term");
        }
        if term > self.hard.term {
            self.hard = HardState { term, voted_for: None };
            self.save_hard_state();
        }
        if self.role != Role::Uninitialized {
            self.role = Role::Follower;
        }
        self.leader = leader;
        self.votes.clear();
        self.reset_election_timer();
    }

    /// Ends this member's leadership. It waits for the minimum election timeout before it votes.
    pub(crate) fn resign(&mut self, reason: &'static str) {
        self.out.notices.push(Notice::Resigned { term: self.hard.term, reason });
        self.role = Role::Follower;
        self.leader = None;
        self.progress.clear();
        self.replacement = None;
        self.last_leader_contact = self.now;
        self.reset_election_timer();
    }

    /// Records contact with `leader`, the leader of the current term.
    pub(crate) fn follow(&mut self, leader: &InstanceId) {
        if matches!(self.role, Role::PreCandidate | Role::Candidate) {
            self.role = Role::Follower;
            self.votes.clear();
        }
        self.leader = Some(leader.clone());
        self.last_leader_contact = self.now;
        self.reset_election_timer();
    }
}
