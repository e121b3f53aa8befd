//! Transfer of snapshots in chunks.

use clock::Millis;
use model::{Incarnation, InstanceId};

use crate::incoming_snapshot::IncomingSnapshot;
use crate::{Body, Node, Role, Snapshot};

/// The size of a chunk in bytes. Larger ones take slow followers longer to process than the interval after which they
/// are resent.
const CHUNK_BYTES: usize = 256 << 10;
/// The maximum size of a snapshot that is accepted, in bytes. Without a limit, a faulty message could exhaust the memory.
const MAX_SNAPSHOT_BYTES: u64 = 256 << 20;

impl Node {
    /// Sends the next chunk of the last snapshot.
    pub(crate) fn send_chunk(&mut self, id: &InstanceId) {
        let last_snapshot = self.log.last_snapshot().clone();
        let Some(p) = self.progress.get_mut(id) else { return };
        let offset = match p.snapshot {
            Some((index, offset)) if index == last_snapshot.last_index => offset,
            _ => 0,
        };
        p.snapshot = Some((last_snapshot.last_index, offset));
        let start = (offset as usize).min(last_snapshot.data.len());
        let end = (start + CHUNK_BYTES).min(last_snapshot.data.len());
        let body = Body::SnapshotChunk {
            term: self.hard.term,
            last_index: last_snapshot.last_index,
            last_term: last_snapshot.last_term,
            membership: last_snapshot.membership.clone(),
            offset: start as u64,
            total: last_snapshot.data.len() as u64,
            data: last_snapshot.data[start..end].into(),
            sent_at: self.now,
        };
        self.send(id, body);
    }

    pub(crate) fn on_chunk(
        &mut self,
        from: &InstanceId,
        header: Snapshot,
        offset: u64,
        total: u64,
        data: &[u8],
        sent_at: Millis,
    ) {
        if self.role == Role::Leader || total > MAX_SNAPSHOT_BYTES {
            return;
        }
        self.follow(from);
        let (term, last_index) = (self.hard.term, header.last_index);
        if last_index <= self.commit {
            // Everything in the snapshot is committed here: the leader can continue with entries.
            let index = self.commit;
            self.incoming = None;
            self.send(from, Body::AppendReply { term, matched: true, index, sent_at });
            return;
        }
        let received = self.take_chunk(header, offset, total, data);
        if received < total {
            let reply = Body::SnapshotReply { term, last_index, next_offset: received, sent_at };
            self.send(from, reply);
            return;
        }
        self.install_incoming();
        self.send(from, Body::AppendReply { term, matched: true, index: last_index, sent_at });
    }

    /// Adds a chunk if it is the next one, and returns the number of bytes received.
    fn take_chunk(&mut self, header: Snapshot, offset: u64, total: u64, data: &[u8]) -> u64 {
        if !self.incoming.as_ref().is_some_and(|i| i.matches_header(&header, total)) {
            self.incoming = Some(IncomingSnapshot::new(header, total));
        }
        self.incoming.as_mut().map_or(0, |incoming| incoming.append_chunk(offset, data))
    }

    /// Replaces the log by the completely received snapshot.
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
        let Some(p) = self.record_ack(from, incarnation, sent_at) else { return };
        if p.snapshot.is_some_and(|(index, _)| index == last_index) {
            p.snapshot = Some((last_index, next_offset));
            p.pending_since = Some(now);
            self.send_chunk(from);
        }
    }
}
