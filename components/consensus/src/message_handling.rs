//! Handling of received messages: first by term, then by kind.

use std::sync::Arc;

use model::InstanceId;

use crate::{Body, Envelope, Node, Snapshot};

impl Node {
    /// Checks the term of a message and passes it to its handler.
    pub(crate) fn handle_message(&mut self, msg: Envelope) {
        let Envelope { from, incarnation, body, .. } = msg;
        if let Body::Vote { transfer, .. } = body
            && !transfer
            && self.is_bound_to_leader()
        {
            // Neither the request nor its higher term may disrupt a leader that this member is in contact with.
            return;
        }
        if let Some(term) = body.term()
            && !self.accept_term(&from, term, &body)
        {
            return;
        }
        match body {
            Body::Hello { has_state } => self.on_hello(from, incarnation, has_state),
            Body::PreVote { term, last_index, last_term } => {
                self.on_pre_vote(&from, incarnation, term, (last_term, last_index));
            }
            Body::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(from, incarnation, term, granted);
            }
            Body::Vote { term, last_index, last_term, .. } => {
                self.on_vote(&from, incarnation, term, (last_term, last_index));
            }
            Body::VoteReply { granted, .. } => self.on_vote_reply(from, incarnation, granted),
            Body::Append { prev_index, prev_term, entries, commit, sent_at, .. } => {
                self.on_append(&from, (prev_index, prev_term), entries, commit, sent_at);
            }
            Body::AppendReply { matched, index, sent_at, .. } => {
                self.on_append_reply(&from, incarnation, matched, index, sent_at);
            }
            Body::SnapshotChunk {
                last_index,
                last_term,
                membership,
                offset,
                total,
                data,
                sent_at,
                ..
            } => {
                let header = Snapshot { last_index, last_term, membership, data: Arc::new([]) };
                self.on_chunk(&from, header, offset, total, &data, sent_at);
            }
            Body::SnapshotReply { last_index, next_offset, sent_at, .. } => {
                self.on_snapshot_reply(&from, incarnation, last_index, next_offset, sent_at);
            }
            Body::TimeoutNow { .. } => self.on_timeout_now(&from),
        }
    }

    /// Compares the sender's term with the current one and adopts a newer term. Returns false if the message is from
    /// an earlier term and has been answered or dropped.
    fn accept_term(&mut self, from: &InstanceId, term: u64, body: &Body) -> bool {
        if term > self.hard.term {
            // Only an append or a chunk proves that the sender leads the new term.
            let leads = matches!(body, Body::Append { .. } | Body::SnapshotChunk { .. });
            self.become_follower(term, leads.then(|| from.clone()));
            return true;
        }
        if term == self.hard.term {
            return true;
        }
        let newer = self.hard.term;
        match body {
            // A deposed leader learns of the new term from the reply.
            Body::Append { sent_at, .. } | Body::SnapshotChunk { sent_at, .. } => {
                let sent_at = *sent_at;
                let reply = Body::AppendReply { term: newer, matched: false, index: 0, sent_at };
                self.send(from, reply);
            }
            Body::Vote { .. } => self.send(from, Body::VoteReply { term: newer, granted: false }),
            _ => {}
        }
        false
    }
}
