//! Sending and taking in snapshots, piece by piece.

use clock::Millis;
use model::{Incarnation, InstanceId};

use crate::incoming_snapshot::IncomingSnapshot;
use crate::{Body, Node, Role, Snapshot};

/// The bytes of one piece.
const CHUNK: usize = 256 << 10;
/// The largest snapshot that is taken in.
const MAX_SNAPSHOT: u64 = 256 << 20;

impl Node {
    pub(crate) fn send_chunk(&mut self, id: &InstanceId) {
        let base = self.log.base().clone();
        let Some(p) = self.progress.get_mut(id) else { return };
        let offset = match p.snapshot {
            Some((index, offset)) if index == base.last_index => offset,
            _ => 0,
        };
        p.snapshot = Some((base.last_index, offset));
        let start = (offset as usize).min(base.data.len());
        let end = (start + CHUNK).min(base.data.len());
        let body = Body::SnapshotChunk {
            term: self.hard.term,
            last_index: base.last_index,
            last_term: base.last_term,
            membership: base.membership.clone(),
            offset: start as u64,
            total: base.data.len() as u64,
            data: base.data[start..end].into(),
            sent_at: self.now,
        };
        self.send(id, body);
    }

    pub(crate) fn on_chunk(
        &mut self,
        from: &InstanceId,
        head: Snapshot,
        offset: u64,
        total: u64,
        data: &[u8],
        sent_at: Millis,
    ) {
        if self.role == Role::Leader || total > MAX_SNAPSHOT {
            return;
        }
        self.follow(from);
        let (term, last_index) = (self.hard.term, head.last_index);
        if last_index <= self.commit {
            // We have all of it: the leader can go on with entries.
            let index = self.commit;
            self.incoming = None;
            self.send(from, Body::AppendReply { term, matched: true, index, sent_at });
            return;
        }
        let have = self.take_chunk(head, offset, total, data);
        if have < total {
            let reply = Body::SnapshotReply { term, last_index, next_offset: have, sent_at };
            self.send(from, reply);
            return;
        }
        self.install_incoming();
        self.send(from, Body::AppendReply { term, matched: true, index: last_index, sent_at });
    }

    /// Adds a piece if it is the next one, and gives how many bytes there are.
    fn take_chunk(&mut self, head: Snapshot, offset: u64, total: u64, data: &[u8]) -> u64 {
        if !self.incoming.as_ref().is_some_and(|i| i.is_of(&head, total)) {
            self.incoming = Some(IncomingSnapshot::new(head, total));
        }
        self.incoming.as_mut().map_or(0, |incoming| incoming.take(offset, data))
    }

    fn install_incoming(&mut self) {
        let Some(incoming) = self.incoming.take() else { return };
        let snapshot = incoming.into_snapshot();
        self.commit = snapshot.last_index;
        self.log.install(snapshot.clone());
        self.out.snapshot = Some(snapshot);
        if self.role == Role::Uninitialized {
            self.role = Role::Follower;
        }
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        last_index: u64,
        next_offset: u64,
        sent_at: Millis,
    ) {
        let now = self.now;
        let Some(p) = self.acked_by(from, incarnation, sent_at) else { return };
        if p.snapshot.is_some_and(|(index, _)| index == last_index) {
            p.snapshot = Some((last_index, next_offset));
            p.pending_since = Some(now);
            self.send_chunk(from);
        }
    }
}
