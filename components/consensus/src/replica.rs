//! A member with its disk: it keeps the order of syncing, sending and applying.

use std::sync::Arc;

use clock::Millis;
use errors::Result;
use model::{Incarnation, InstanceId};

use crate::output::Output;
use crate::{
    ChangeError, Disk, Entry, Envelope, MemberRole, Node, NotLeader, Notice, Record, Snapshot,
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
pub struct Replica {
    node: Node,
    disk: Box<dyn Disk>,
    records: Vec<Record>,
    messages: Vec<Envelope>,
    committed: Vec<Committed>,
    notices: Vec<Notice>,
    snapshot: bool,
}

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
    pub fn new(node: Node, disk: Box<dyn Disk>) -> Replica {
        Replica {
            node,
            disk,
            records: Vec::new(),
            messages: Vec::new(),
            committed: Vec::new(),
            notices: Vec::new(),
            snapshot: false,
        }
    }

    /// Gives the member.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
        let out = self.node.tick(now);
        self.absorb(out);
    }

    /// Takes in a message.
    pub fn receive(&mut self, now: Millis, msg: Envelope) {
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
    pub fn hand_over(&mut self, now: Millis) {
        let out = self.node.hand_over(now);
        self.absorb(out);
    }

    /// Gives what need not wait for the next sync: nothing yet.
    pub fn send_ahead(&mut self) -> Flushed {
        Flushed::default()
    }

    /// Syncs everything taken in so far and gives what may now leave.
    ///
    /// # Errors
    /// Any error means that the disk's content is unknown: this replica must not be used any more.
    pub fn flush(&mut self) -> Result<Flushed> {
        let synced = self.records.len();
        if std::mem::take(&mut self.snapshot) {
            // The node's own log is the truth by now, whatever came before or after the snapshot.
            self.disk.install(self.node.base(), &self.node.tail_records())?;
        } else if synced > 0 {
            self.disk.append(&self.records)?;
        }
        self.records.clear();
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
