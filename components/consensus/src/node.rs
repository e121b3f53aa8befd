//! The member itself: its state, its inputs and what follows from them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use model::{Incarnation, InstanceId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::incoming_snapshot::IncomingSnapshot;
use crate::log::Log;
use crate::membership_maintenance::Replacing;
use crate::progress::Progress;
use crate::{
    Body, ChangeError, Entry, Envelope, HardState, MemberRole, Membership, NodeConfig, NotLeader,
    Notice, Output, Payload, Record, Restored, Snapshot,
};

/// What a member is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Has no state yet, and looks for the cell.
    Uninitialized,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// The most entries a leader keeps uncommitted before it refuses proposals.
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
    /// The last entry that is on this member's disk; `None` if it is not told of syncs and takes its whole log for
    /// lasting.
    synced: Option<u64>,
    /// Whether the log has entries of this leader's that it has not begun to copy.
    copies_due: bool,
    pub(crate) leader: Option<InstanceId>,
    /// When a leader was last heard, or this process started: either may have promised a lease.
    pub(crate) quiet_since: Millis,
    pub(crate) election_at: Millis,
    pub(crate) votes: BTreeSet<InstanceId>,
    pub(crate) progress: BTreeMap<InstanceId, Progress>,
    /// When this member became leader.
    pub(crate) leads_since: Millis,
    /// The first entry of this leader's own term.
    pub(crate) first_own: u64,
    /// The replacement of a silent voter that is under way, while this member leads.
    pub(crate) replacing: Option<Replacing>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    /// Founders known to be as empty as this one.
    pub(crate) empty_founders: BTreeMap<InstanceId, Incarnation>,
    pub(crate) hello_at: Millis,
    pub(crate) now: Millis,
    pub(crate) out: Output,
}

impl Node {
    /// Starts a member from what its disk remembers. It will not vote for a while, because the
    /// process before it may have granted a leader's lease.
    pub fn new(cfg: NodeConfig, restored: Restored, now: Millis) -> Node {
        let log = Log::new(restored.snapshot, restored.entries);
        let has_state = log.last_index() > 0 || !log.base().membership.voters.is_empty();
        let mut node = Node {
            rng: StdRng::seed_from_u64(cfg.seed),
            role: if has_state { Role::Follower } else { Role::Uninitialized },
            hard: restored.hard,
            commit: log.base().last_index,
            synced: None,
            copies_due: false,
            log,
            leader: None,
            quiet_since: now,
            election_at: Millis::ZERO,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            leads_since: Millis::ZERO,
            first_own: 0,
            replacing: None,
            incoming: None,
            empty_founders: BTreeMap::new(),
            hello_at: Millis::ZERO,
            now,
            out: Output::default(),
            cfg,
        };
        node.reset_election_timer();
        node
    }

    /// Has the member count itself among those who hold an entry only once it is told that the entry is on its disk.
    /// What its disk gave back is.
    pub fn track_syncs(&mut self) {
        self.synced = Some(self.log.last_index());
    }

    /// Notes that everything in the log is on this member's disk.
    pub fn mark_synced(&mut self) -> Output {
        self.synced = self.synced.map(|_| self.log.last_index());
        if self.role == Role::Leader {
            self.advance_commit();
        }
        std::mem::take(&mut self.out)
    }

    /// Copies the entries that were added since this was last called. Entries of one sync go out together: a copy is
    /// followed by the next one only when it is answered.
    pub fn replicate_new_entries(&mut self) -> Output {
        if std::mem::take(&mut self.copies_due) && self.role == Role::Leader {
            self.copy_to_all();
        }
        std::mem::take(&mut self.out)
    }

    /// Gives the last entry that is on this member's disk.
    pub fn synced(&self) -> u64 {
        self.synced.unwrap_or(self.log.last_index())
    }

    /// Takes an entry into the log and has it made lasting. What was on the disk in its place and behind it no longer
    /// counts.
    pub(crate) fn push_entry(&mut self, entry: Entry) {
        self.synced = self.synced.map(|at| at.min(entry.index - 1));
        self.out.records.push(Record::Entry(entry.clone()));
        self.log.push(entry);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) -> Output {
        self.now = self.now.max(now);
        if self.has_only_founded() {
            self.greet_founders();
        }
        match self.role {
            Role::Uninitialized => self.seek_cell(),
            Role::Leader => self.lead(),
            _ if self.now >= self.election_at && self.may_vote() => self.start_pre_vote(),
            _ => {}
        }
        std::mem::take(&mut self.out)
    }

    /// Takes in a message.
    pub fn receive(&mut self, now: Millis, msg: Envelope) -> Output {
        self.now = self.now.max(now);
        if msg.to == self.cfg.id {
            self.dispatch(msg);
        }
        std::mem::take(&mut self.out)
    }

    /// Adds a command to the log and gives its index and term.
    ///
    /// # Errors
    /// [`NotLeader`] if this member does not lead, has not proved that it does, or holds as many
    /// uncommitted entries as it may. The command is then surely not in the log.
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
    /// [`ChangeError`] says why the change was not taken up; it then surely did not happen.
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
        if !self.may_change_members() {
            return Err(ChangeError::Busy);
        }
        self.change_membership(next);
        Ok(std::mem::take(&mut self.out))
    }

    /// Hands leadership to the voter that is furthest along, for a planned stop. This member gives
    /// up its lease before the other one stands.
    pub fn transfer_leadership(&mut self, now: Millis) -> Output {
        self.now = self.now.max(now);
        if self.role == Role::Leader {
            let heir = self.furthest_voter();
            let term = self.hard.term;
            self.resign("planned stop");
            if let Some(heir) = heir {
                self.send(&heir, Body::TimeoutNow { term });
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Replaces the log up to `index` by a snapshot of the state after it.
    pub fn compact(&mut self, index: u64, data: Arc<[u8]>) -> Option<Snapshot> {
        if index > self.commit || index <= self.log.base().last_index {
            return None;
        }
        self.log.compact(index, data).cloned()
    }

    /// Gives the last snapshot.
    pub fn base(&self) -> &Snapshot {
        self.log.base()
    }

    /// Gives what the disk must hold besides the snapshot.
    pub fn tail_records(&self) -> Vec<Record> {
        let mut records = vec![Record::HardState(self.hard.clone())];
        let first = self.log.base().last_index + 1;
        records.extend(self.log.entries_from(first, usize::MAX).into_iter().map(Record::Entry));
        records
    }

    /// Gives this member's role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Gives the leader that this member knows.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// Gives the highest term this member knows.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Gives the last entry known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Gives the last entry in the log, committed or not.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Gives how many entries lie behind the last snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Gives the newest members, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Gives when this member became leader, by its own clock.
    pub fn leads_since(&self) -> Millis {
        self.leads_since
    }

    /// Tells whether this member surely is the only leader at `now` and has committed an entry of
    /// its own, so that its state holds every accepted change.
    pub fn holds_lease(&self, now: Millis) -> bool {
        now < self.lease_until(now)
    }

    /// Gives until when this member surely is the only leader that has committed an entry of its
    /// own; zero if it is not. Unlike [`Node::holds_lease`] it can be handed to other threads.
    pub fn lease_until(&self, now: Millis) -> Millis {
        let Some(acked) = self.quorum_acked_at(now) else { return Millis::ZERO };
        let lease = self.cfg.timing.election_min.0 * (100 - self.cfg.timing.drift_percent) / 100;
        let until = acked + Millis(lease);
        let leads = self.role == Role::Leader && self.commit >= self.first_own;
        if leads && now < until { until } else { Millis::ZERO }
    }

    /// Learns of instances that may know the cell.
    pub fn add_contacts(&mut self, ids: impl IntoIterator<Item = InstanceId>) {
        self.cfg.contacts.extend(ids);
    }

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

    /// Takes entry `payload` into the leader's own log and starts copying it.
    pub(crate) fn append_own(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        self.push_entry(Entry { index, term: self.hard.term, payload });
        self.advance_commit();
        match self.synced {
            // Whoever tells of syncs has what was taken in together copied together, see [`Node::replicate_new_entries`].
            Some(_) => self.copies_due = true,
            None => self.copy_to_all(),
        }
        index
    }

    pub(crate) fn commit_to(&mut self, index: u64) {
        let target = index.min(self.log.last_index());
        while self.commit < target {
            self.commit += 1;
            if let Some(entry) = self.log.entry(self.commit) {
                self.out.committed.push(entry.clone());
            }
        }
    }

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

    pub(crate) fn resign(&mut self, reason: &'static str) {
        self.out.notices.push(Notice::Resigned { term: self.hard.term, reason });
        self.role = Role::Follower;
        self.leader = None;
        self.progress.clear();
        self.replacing = None;
        self.quiet_since = self.now;
        self.reset_election_timer();
    }

    /// Notes that `leader` is the leader of the current term.
    pub(crate) fn follow(&mut self, leader: &InstanceId) {
        if matches!(self.role, Role::PreCandidate | Role::Candidate) {
            self.role = Role::Follower;
            self.votes.clear();
        }
        self.leader = Some(leader.clone());
        self.quiet_since = self.now;
        self.reset_election_timer();
    }
}
