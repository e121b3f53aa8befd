//! A member with its disk: it keeps the order of syncing, sending and applying.

use std::sync::Arc;

use clock::Millis;
use errors::Result;
use model::{Incarnation, InstanceId};

use crate::output::Output;
use crate::{
    Body, ChangeError, Disk, Entry, Envelope, MemberRole, Node, NotLeader, Notice, Record, Role,
    Snapshot,
};

/// What the state machine has to take in, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    /// Replace the whole state.
    Snapshot(Snapshot),
    /// Apply one entry.
    Entry(Entry),
}

/// A member with its disk. Inputs are taken in one after the other, and [`Replica::flush`] makes
/// what they changed lasting with a single sync before it gives out what follows from them.
/// [`Replica::take_ready_before_sync`] gives out before that what does not rest on this member's disk.
pub struct Replica {
    node: Node,
    disk: Box<dyn Disk>,
    records: Vec<Record>,
    messages: Vec<Envelope>,
    committed: Vec<Committed>,
    notices: Vec<Notice>,
    snapshot: bool,
    now: Millis,
    /// When the sync began that was the last thing done, until its end is noticed.
    syncs_since: Option<Millis>,
    /// Until when the next sync waits after a slow one.
    rests_until: Millis,
}

/// From how long on a sync is slow.
const SLOW_SYNC: Millis = Millis(100);
/// What part of the time that a slow sync took the next one waits, as one in so many. Nothing is taken in while a disk syncs, so
/// members whose syncs begin a moment before each other's messages come would wait a whole sync for each of them.
const REST_PART: u64 = 20;

/// What may leave once it is lasting.
#[derive(Debug, Default)]
pub struct Flushed {
    /// Messages to send.
    pub messages: Vec<Envelope>,
    /// What to apply, in order.
    pub committed: Vec<Committed>,
    /// What changed.
    pub notices: Vec<Notice>,
    /// How many records were synced.
    pub synced: usize,
}

impl Replica {
    /// Joins a member and its disk.
    pub fn new(mut node: Node, disk: Box<dyn Disk>) -> Replica {
        node.track_syncs();
        Replica {
            node,
            disk,
            records: Vec::new(),
            messages: Vec::new(),
            committed: Vec::new(),
            notices: Vec::new(),
            snapshot: false,
            now: Millis::ZERO,
            syncs_since: None,
            rests_until: Millis::ZERO,
        }
    }

    /// Notes what time it is, and by that how long the sync took that was the last thing done.
    fn note_time(&mut self, now: Millis) {
        self.now = self.now.max(now);
        let took = self.syncs_since.take().map_or(Millis::ZERO, |since| self.now.since(since));
        if took >= SLOW_SYNC {
            self.rests_until = self.now + Millis(took.0 / REST_PART);
        }
    }

    /// Tells whether what was taken in waits for a later sync, so that more is taken in before that.
    fn rests(&self) -> bool {
        self.now < self.rests_until && !self.records.is_empty() && !self.snapshot
    }

    /// Gives the member.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
        self.note_time(now);
        let out = self.node.tick(now);
        self.absorb(out);
    }

    /// Takes in a message.
    pub fn receive(&mut self, now: Millis, msg: Envelope) {
        self.note_time(now);
        let out = self.node.receive(now, msg);
        self.absorb(out);
    }

    /// Adds a command and gives its index and term.
    ///
    /// # Errors
    /// [`NotLeader`] if it is surely not in the log.
    pub fn propose(&mut self, now: Millis, data: Arc<[u8]>) -> Result<(u64, u64), NotLeader> {
        let (index, term, out) = self.node.propose(now, data)?;
        self.absorb(out);
        Ok((index, term))
    }

    /// Changes one member's role.
    ///
    /// # Errors
    /// [`ChangeError`] if the change was not taken up.
    pub fn change_member(
        &mut self,
        now: Millis,
        id: &InstanceId,
        role: MemberRole,
    ) -> Result<(), ChangeError> {
        let out = self.node.change_member(now, id, role)?;
        self.absorb(out);
        Ok(())
    }

    /// Admits an instance that asks to join, see [`Node::admit`].
    pub fn admit(&mut self, now: Millis, id: &InstanceId, incarnation: Incarnation) {
        let out = self.node.admit(now, id, incarnation);
        self.absorb(out);
    }

    /// Learns of instances that may know the cell.
    pub fn add_contacts(&mut self, ids: impl IntoIterator<Item = InstanceId>) {
        self.node.add_contacts(ids);
    }

    /// Hands leadership over, for a planned stop.
    pub fn transfer_leadership(&mut self, now: Millis) {
        self.rests_until = Millis::ZERO;
        let out = self.node.transfer_leadership(now);
        self.absorb(out);
    }

    /// Gives what need not wait for the next sync: a leader's copies of its entries, and committed entries that are
    /// on this disk already. To be called before each [`Replica::flush`].
    ///
    /// A leader whose own disk takes 700 ms a sync commits within 1.4 s so, and the others' disks decide; if it waited for
    /// its own first, that took 2.8 s, and requests and leases that wait for two and four seconds were lost.
    pub fn take_ready_before_sync(&mut self) -> Flushed {
        self.replicate_new_entries();
        let committed = self.take_lasting();
        Flushed { messages: self.take_copies(), committed, ..Flushed::default() }
    }

    /// Takes the messages that copy entries of a term that is on this disk. The leader does not count itself among
    /// those who hold them until they are there, too.
    fn take_copies(&mut self) -> Vec<Envelope> {
        let changes_term = |r: &Record| matches!(r, Record::HardState(_));
        if self.snapshot
            || self.node.role() != Role::Leader
            || self.records.iter().any(changes_term)
        {
            return Vec::new();
        }
        let term = self.node.term();
        let is_copy = |m: &Envelope| matches!(m.body, Body::Append { term: of, .. } if of == term);
        let (copies, rest) = std::mem::take(&mut self.messages).into_iter().partition(is_copy);
        self.messages = rest;
        copies
    }

    /// Takes the first of the committed entries, as far as they are on this disk.
    fn take_lasting(&mut self) -> Vec<Committed> {
        let synced = self.node.synced();
        let is_lasting = |c: &Committed| matches!(c, Committed::Entry(e) if e.index <= synced);
        let count = self.committed.iter().take_while(|c| is_lasting(c)).count();
        self.committed.drain(..count).collect()
    }

    /// Syncs everything taken in so far and gives what may now leave. For a moment after a slow sync it does neither.
    ///
    /// # Errors
    /// Any error means that the disk's content is unknown: this replica must not be used any more.
    pub fn flush(&mut self) -> Result<Flushed> {
        if self.rests() {
            return Ok(Flushed::default());
        }
        self.replicate_new_entries();
        let synced = self.records.len();
        if synced > 0 {
            self.syncs_since = Some(self.now);
        }
        if std::mem::take(&mut self.snapshot) {
            // The node's own log is the truth by now, whatever came before or after the snapshot.
            self.disk.install(self.node.base(), &self.node.tail_records())?;
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

    /// Replaces the log up to `index` by `data`, the encoded state after it.
    ///
    /// # Errors
    /// As [`Replica::flush`].
    pub fn compact(&mut self, index: u64, data: Arc<[u8]>) -> Result<()> {
        if self.node.compact(index, data).is_some() {
            self.disk.install(self.node.base(), &self.node.tail_records())?;
            // The tail holds what was not synced yet, too.
            self.records.clear();
            self.mark_synced();
        }
        Ok(())
    }

    /// Writes the whole log anew, for a disk whose content was read back and may not be lasting.
    ///
    /// # Errors
    /// As [`Replica::flush`].
    pub fn rewrite(&mut self) -> Result<()> {
        self.disk.install(self.node.base(), &self.node.tail_records())
    }

    fn replicate_new_entries(&mut self) {
        let out = self.node.replicate_new_entries();
        self.absorb(out);
    }

    /// Notes that everything taken in so far is on the disk.
    fn mark_synced(&mut self) {
        let out = self.node.mark_synced();
        self.absorb(out);
    }

    fn absorb(&mut self, out: Output) {
        if let Some(snapshot) = out.snapshot {
            self.snapshot = true;
            self.committed.push(Committed::Snapshot(snapshot));
        }
        self.records.extend(out.records);
        self.messages.extend(out.messages);
        self.committed.extend(out.committed.into_iter().map(Committed::Entry));
        self.notices.extend(out.notices);
    }
}
