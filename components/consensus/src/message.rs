//! Messages between members. They may be lost, delayed, duplicated and reordered.

use std::sync::Arc;

use clock::Millis;
use model::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::{Entry, Membership};

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: InstanceId,
    /// The incarnation of the sender's disk.
    pub incarnation: Incarnation,
    /// The receiver.
    pub to: InstanceId,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Announces a member without state that looks for the cell or wants to bootstrap it; also the reply to that.
    Hello {
        /// Whether the sender has state, so that the receiver must not bootstrap a cell.
        has_state: bool,
    },
    /// Asks whether the receiver would grant its vote, without changing any term.
    PreVote {
        /// The term of the election that would follow.
        term: u64,
        /// The index of the sender's last entry.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
    },
    /// Replies to [`Body::PreVote`].
    PreVoteReply {
        /// The term of the request.
        term: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// The term of the election.
        term: u64,
        /// The index of the candidate's last entry.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
        /// Whether the leader transferred leadership to the candidate, after it gave up its own lease.
        transfer: bool,
    },
    /// Replies to [`Body::Vote`].
    VoteReply {
        /// The voter's term.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries; without entries it is a heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// The index of the entry before the first one sent.
        prev_index: u64,
        /// The term of that entry.
        prev_term: u64,
        /// The entries, without gaps.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// The leader's time of sending, echoed in the reply; the leader's lease is computed from it.
        sent_at: Millis,
    },
    /// Replies to [`Body::Append`].
    AppendReply {
        /// The follower's term.
        term: u64,
        /// Whether the follower's log contains the entry before the first one sent.
        matched: bool,
        /// The last index known to match, or, if the log did not match, the index to try next.
        index: u64,
        /// The time of sending, echoed from the append.
        sent_at: Millis,
    },
    /// A chunk of a snapshot, for a follower whose next entry is no longer in the leader's log.
    SnapshotChunk {
        /// The leader's term.
        term: u64,
        /// The index of the last entry in the snapshot.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
        /// The membership as of that entry.
        membership: Membership,
        /// The offset of the chunk in the snapshot, in bytes.
        offset: u64,
        /// The length of the whole snapshot, in bytes.
        total: u64,
        /// The bytes of the chunk.
        data: Arc<[u8]>,
        /// The leader's time of sending, as in an append.
        sent_at: Millis,
    },
    /// Replies to every [`Body::SnapshotChunk`] but the last, which is acknowledged by an [`Body::AppendReply`].
    SnapshotReply {
        /// The follower's term.
        term: u64,
        /// The index of the last entry in the snapshot.
        last_index: u64,
        /// The offset of the next chunk, in bytes.
        next_offset: u64,
        /// The time of sending, echoed from the chunk.
        sent_at: Millis,
    },
    /// Transfers leadership: the receiver starts an election immediately.
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
}

impl Body {
    /// Returns the sender's term, or `None` if the message does not carry one that the receiver must adopt.
    pub fn term(&self) -> Option<u64> {
        match self {
            Body::Hello { .. } | Body::PreVote { .. } | Body::PreVoteReply { .. } => None,
            Body::Vote { term, .. }
            | Body::VoteReply { term, .. }
            | Body::Append { term, .. }
            | Body::AppendReply { term, .. }
            | Body::SnapshotChunk { term, .. }
            | Body::SnapshotReply { term, .. }
            | Body::TimeoutNow { term } => Some(*term),
        }
    }
}
