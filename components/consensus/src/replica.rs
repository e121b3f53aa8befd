//! A member together with its disk, which enforces the order of syncing, sending and applying.

use std::sync::Arc;

use clock::Millis;
use errors::Result;
use model::{Incarnation, InstanceId};

use crate::output::Output;
use crate::{
    Body, ChangeError, Disk, Entry, Envelope, MemberRole, Node, NotLeader, Notice, Record, Role,
    Snapshot,
};

/// A committed change to the state machine, to be applied in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    /// Replaces the whole state.
    Snapshot(Snapshot),
    /// Applies one entry.
    Entry(Entry),
}

/// A member together with its disk. Inputs are processed one after the other; [`Replica::flush`] syncs their changes
/// with a single sync and then returns the output that depends on them. Before that,
/// [`Replica::take_ready_before_sync`] returns the output that does not depend on this member's disk.
pub struct Replica {
    node: Node,
    disk: Box<dyn Disk>,
    records: Vec<Record>,
    messages: Vec<Envelope>,
    committed: Vec<Committed>,
    notices: Vec<Notice>,
    /// Whether a received snapshot is to be installed with the next sync.
    snapshot_pending: bool,
    now: Millis,
    /// The time at which the last sync began, until the next input shows how long it took.
    sync_started_at: Option<Millis>,
    /// The time before which no sync is started, after a slow one.
    sync_deferred_until: Millis,
}

/// The minimum duration of a sync that counts as slow and delays the next one. With a smaller value, ordinary syncs
/// would delay commits; with a greater one, members with slow disks would wait whole syncs for each other's messages.
const MIN_SLOW_SYNC: Millis = Millis(100);
/// The divisor of a slow sync's duration that gives the delay before the next sync. No message is processed during a
/// sync: without a delay, members whose syncs begin just before each other's messages arrive would wait a whole sync
/// for each of them. A smaller divisor delays every commit on slow disks further.
const SYNC_DELAY_DIVISOR: u64 = 20;

/// Output of a replica that may take effect.
#[derive(Debug, Default)]
pub struct Flushed {
    /// Messages to send.
    pub messages: Vec<Envelope>,
    /// Changes to apply to the state machine, in order.
    pub committed: Vec<Committed>,
    /// Changes of role or membership.
    pub notices: Vec<Notice>,
    /// The number of records that were synced.
    pub synced: usize,
}

impl Replica {
    /// Creates a replica of a member and its disk.
    pub fn new(mut node: Node, disk: Box<dyn Disk>) -> Replica {
        node.track_syncs();
        Replica {
            node,
            disk,
            records: Vec::new(),
            messages: Vec::new(),
            committed: Vec::new(),
            notices: Vec::new(),
            snapshot_pending: false,
            now: Millis::ZERO,
            sync_started_at: None,
            sync_deferred_until: Millis::ZERO,
        }
    }

    /// Advances the time, and determines from it how long the last sync took.
    fn advance_time(&mut self, now: Millis) {
        self.now = self.now.max(now);
        let took = self.sync_started_at.take().map_or(Millis::ZERO, |since| self.now.since(since));
        if took >= MIN_SLOW_SYNC {
            self.sync_deferred_until = self.now + Millis(took.0 / SYNC_DELAY_DIVISOR);
        }
    }

    /// Returns whether the next sync is deferred, so that more inputs are processed before it.
    fn defers_sync(&self) -> bool {
        self.now < self.sync_deferred_until && !self.records.is_empty() && !self.snapshot_pending
    }

    /// Returns the member.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Advances the time and performs the actions that are due.
    pub fn tick(&mut self, now: Millis) {
        self.advance_time(now);
        let out = self.node.tick(now);
        self.collect_output(out);
    }

    /// Processes a message.
    pub fn receive(&mut self, now: Millis, msg: Envelope) {
        self.advance_time(now);
        let out = self.node.receive(now, msg);
        self.collect_output(out);
    }

    /// Appends a command to the log and returns its index and term.
    ///
    /// # Errors
    /// [`NotLeader`] if the command was not accepted; it is then certainly not in the log.
    pub fn propose(&mut self, now: Millis, data: Arc<[u8]>) -> Result<(u64, u64), NotLeader> {
        let (index, term, out) = self.node.propose(now, data)?;
        self.collect_output(out);
        Ok((index, term))
    }

    /// Changes one member's role.
    ///
    /// # Errors
    /// [`ChangeError`] if the change was not accepted.
    pub fn change_member(
        &mut self,
        now: Millis,
        id: &InstanceId,
        role: MemberRole,
    ) -> Result<(), ChangeError> {
        let out = self.node.change_member(now, id, role)?;
        self.collect_output(out);
        Ok(())
    }

    /// Admits an instance that asks to join, see [`Node::admit`].
    pub fn admit(&mut self, now: Millis, id: &InstanceId, incarnation: Incarnation) {
        let out = self.node.admit(now, id, incarnation);
        self.collect_output(out);
    }

    /// Adds instances that a member without state contacts to find the cell.
    pub fn add_contacts(&mut self, ids: impl IntoIterator<Item = InstanceId>) {
        self.node.add_contacts(ids);
    }

    /// Transfers leadership to another voter, for a planned stop. The next sync is not deferred.
    pub fn transfer_leadership(&mut self, now: Millis) {
        self.sync_deferred_until = Millis::ZERO;
        let out = self.node.transfer_leadership(now);
        self.collect_output(out);
    }

    /// Returns the output that need not wait for the next sync: a leader's append messages, and committed entries that
    /// are on this disk already. Call it before each [`Replica::flush`].
    ///
    /// A leader whose own disk takes 700 ms a sync thus commits within 1.4 s, limited by the followers' disks. When it
    /// waited for its own sync first, a commit took 2.8 s, and requests and leases with timeouts of two and four
    /// seconds were lost.
    pub fn take_ready_before_sync(&mut self) -> Flushed {
        self.replicate_new_entries();
        let committed = self.take_synced();
        Flushed { messages: self.take_appends(), committed, ..Flushed::default() }
    }

    /// Takes the append messages of a leader whose term is on this disk. Its entries need not be: the leader counts
    /// its own copy towards the quorum only after the sync.
    fn take_appends(&mut self) -> Vec<Envelope> {
        let changes_term = |r: &Record| matches!(r, Record::HardState(_));
        if self.snapshot_pending
            || self.node.role() != Role::Leader
            || self.records.iter().any(changes_term)
        {
            return Vec::new();
        }
        let term = self.node.term();
        let is_current_append =
            |m: &Envelope| matches!(m.body, Body::Append { term: of, .. } if of == term);
        let (appends, rest) =
            std::mem::take(&mut self.messages).into_iter().partition(is_current_append);
        self.messages = rest;
        appends
    }

    /// Takes the leading committed entries that are on this disk already.
    fn take_synced(&mut self) -> Vec<Committed> {
        let synced = self.node.synced();
        let is_synced = |c: &Committed| matches!(c, Committed::Entry(e) if e.index <= synced);
        let count = self.committed.iter().take_while(|c| is_synced(c)).count();
        self.committed.drain(..count).collect()
    }

    /// Syncs all changes so far and returns the output that depends on them. Shortly after a slow sync it does nothing
    /// and returns an empty output.
    ///
    /// # Errors
    /// Any error of the disk. Its content is then unknown, and this replica must not be used any more.
    pub fn flush(&mut self) -> Result<Flushed> {
        if self.defers_sync() {
            return Ok(Flushed::default());
        }
        self.replicate_new_entries();
        let synced = self.records.len();
        if synced > 0 {
            self.sync_started_at = Some(self.now);
        }
        if std::mem::take(&mut self.snapshot_pending) {
            // The node's log includes all records from before and after the snapshot.
            self.disk.install(self.node.last_snapshot(), &self.node.tail_records())?;
        } else if synced > 0 {
            self.disk.append(&self.records)?;
        }
        self.records.clear();
        self.mark_synced();
        Ok(Flushed {
            messages: std::mem::take(&mut self.messages),
            committed: std::mem::take(&mut self.committed),
            notices: std::mem::take(&mut self.notices),
            synced,
        })
    }

    /// Replaces the log up to `index` by a snapshot; `data` is the encoded state after `index`.
    ///
    /// # Errors
    /// As [`Replica::flush`].
    pub fn compact(&mut self, index: u64, data: Arc<[u8]>) -> Result<()> {
        if self.node.compact(index, data).is_some() {
            self.disk.install(self.node.last_snapshot(), &self.node.tail_records())?;
            // The tail includes the records that were not synced yet.
            self.records.clear();
            self.mark_synced();
        }
        Ok(())
    }

    /// Rewrites the snapshot and the log, for a disk whose content was read back but may never have been synced.
    ///
    /// # Errors
    /// As [`Replica::flush`].
    pub fn rewrite(&mut self) -> Result<()> {
        self.disk.install(self.node.last_snapshot(), &self.node.tail_records())
    }

    fn replicate_new_entries(&mut self) {
        let out = self.node.replicate_new_entries();
        self.collect_output(out);
    }

    /// Records that the member's whole log is on the disk.
    fn mark_synced(&mut self) {
        let out = self.node.mark_synced();
        self.collect_output(out);
    }

    /// Adds the output of the member to what is kept for the next flush.
    fn collect_output(&mut self, out: Output) {
        if let Some(snapshot) = out.snapshot {
            self.snapshot_pending = true;
            self.committed.push(Committed::Snapshot(snapshot));
        }
        self.records.extend(out.records);
        self.messages.extend(out.messages);
        self.committed.extend(out.committed.into_iter().map(Committed::Entry));
        self.notices.extend(out.notices);
    }
}
