//! What a leader knows of one follower.

use clock::Millis;
use model::Incarnation;

/// How far one follower has come, as its replies tell.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The follower's disk, from its last reply.
    pub(crate) incarnation: Option<Incarnation>,
    /// The last entry known to be on the follower's disk.
    pub(crate) matched: u64,
    /// The next entry to send.
    pub(crate) next: u64,
    /// When the append or chunk now under way was sent; `None` if none is.
    pub(crate) pending_since: Option<Millis>,
    /// The last entry sent since the append under way began; zero for a chunk.
    pub(crate) pending_last: u64,
    /// The newest of the leader's send times that the follower has answered in this term.
    pub(crate) acked_at: Option<Millis>,
    /// When the last message of any kind came.
    pub(crate) heard_at: Option<Millis>,
    /// The snapshot under way: its last index and the next byte to send.
    pub(crate) snapshot: Option<(u64, u64)>,
    /// When the last heartbeat went out.
    pub(crate) beat_at: Option<Millis>,
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
            heard_at: None,
            snapshot: None,
            beat_at: None,
        }
    }

    /// Takes in whether an answer to what was sent at a time answers the append under way. The answer to an older
    /// heartbeat says nothing of what was sent since. Taken for an answer to that, it had all of it sent again 20 times
    /// a second, and a leader with two empty followers ran out of its 384 MB within 16 s. One to a heartbeat of the same
    /// moment does not reach as far.
    pub(crate) fn note_answer(&mut self, sent_at: Millis, matched: bool, index: u64) {
        let Some(since) = self.pending_since else { return };
        let reaches = !matched || index >= self.pending_last;
        if sent_at > since || (sent_at == since && reaches) {
            self.pending_since = None;
        }
    }

    /// Notes a reply from the follower's disk; what another disk acknowledged is forgotten.
    pub(crate) fn heard(&mut self, now: Millis, incarnation: Incarnation) {
        self.heard_at = Some(now);
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
