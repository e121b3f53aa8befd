//! The replication progress of a follower, as known to the leader.

use clock::Millis;
use model::Incarnation;

/// The replication progress of one follower, according to its replies.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The incarnation of the follower's disk, from its last reply.
    pub(crate) incarnation: Option<Incarnation>,
    /// The index of the last entry known to be on the follower's disk.
    pub(crate) matched: u64,
    /// The index of the next entry to send.
    pub(crate) next: u64,
    /// The time at which the unanswered append or chunk was sent; `None` if none is in flight.
    pub(crate) pending_since: Option<Millis>,
    /// The index of the last entry in flight; zero for a chunk.
    pub(crate) pending_last: u64,
    /// The latest of the leader's send times that the follower has acknowledged in this term.
    pub(crate) acked_at: Option<Millis>,
    /// The time at which the last message of any kind was received.
    pub(crate) last_contact: Option<Millis>,
    /// The snapshot in transfer: the index of its last entry and the offset of the next byte to send.
    pub(crate) snapshot: Option<(u64, u64)>,
    /// The time at which the last heartbeat, or an append in its place, was sent.
    pub(crate) heartbeat_sent_at: Option<Millis>,
}

impl Progress {
    pub(crate) fn new(next: u64) -> Progress {
        Progress {
            incarnation: None,
            matched: 0,
            next,
            pending_since: None,
            pending_last: 0,
            acked_at: None,
            last_contact: None,
            snapshot: None,
            heartbeat_sent_at: None,
        }
    }

    /// Clears the append in flight if the reply to a message sent at `sent_at` answers it. A reply to an older heartbeat
    /// does not: when it was taken for an answer, all entries in flight were resent 20 times a second, and a leader with
    /// two empty followers exceeded its 384 MB within 16 s. A reply to a heartbeat sent in the same millisecond is
    /// recognised by its lower index.
    pub(crate) fn record_reply(&mut self, sent_at: Millis, matched: bool, index: u64) {
        let Some(since) = self.pending_since else { return };
        let reaches = !matched || index >= self.pending_last;
        if sent_at > since || (sent_at == since && reaches) {
            self.pending_since = None;
        }
    }

    /// Records contact with the follower. If its disk was replaced, all progress of the old disk is discarded.
    pub(crate) fn record_contact(&mut self, now: Millis, incarnation: Incarnation) {
        self.last_contact = Some(now);
        if self.incarnation != Some(incarnation) {
            if self.incarnation.is_some() {
                self.matched = 0;
                self.next = 1;
                self.snapshot = None;
                self.acked_at = None;
                self.pending_since = None;
            }
            self.incarnation = Some(incarnation);
        }
    }
}
