//! What members say to each other. Messages may be lost, delayed, repeated and reordered.

use std::sync::Arc;

use clock::Millis;
use model::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::{Entry, Membership};

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sent it.
    pub from: InstanceId,
    /// Which disk the sender has.
    pub incarnation: Incarnation,
    /// Who it is for.
    pub to: InstanceId,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A member without any state looks for the cell, or to found it.
    Hello {
        /// Whether the sender has state already.
        has_state: bool,
    },
    /// Asks whether a vote would be given, without disturbing anyone.
    PreVote {
        /// The term that would be stood for.
        term: u64,
        /// The asker's last entry.
        last_index: u64,
        /// That entry's term.
        last_term: u64,
    },
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// The term asked about.
        term: u64,
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The term stood for.
        term: u64,
        /// The candidate's last entry.
        last_index: u64,
        /// That entry's term.
        last_term: u64,
        /// Whether the leader asked the candidate to stand, having given up its own lease.
        transfer: bool,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// The voter's term.
        term: u64,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Adds entries, or none as a heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// The entry before the first one sent.
        prev_index: u64,
        /// That entry's term.
        prev_term: u64,
        /// The entries, without gaps.
        entries: Vec<Entry>,
        /// How far the leader has committed.
        commit: u64,
        /// The leader's clock, for its lease; echoed in the reply.
        sent_at: Millis,
    },
    /// Answers [`Body::Append`].
    AppendReply {
        /// The follower's term.
        term: u64,
        /// Whether the entries follow on from the follower's log.
        matched: bool,
        /// The last entry known to match, or if none did, where to try next.
        index: u64,
        /// Echoed from the append.
        sent_at: Millis,
    },
    /// A piece of a snapshot, for a follower whose next entry is gone from the leader's log.
    SnapshotChunk {
        /// The leader's term.
        term: u64,
        /// The last entry in the snapshot.
        last_index: u64,
        /// That entry's term.
        last_term: u64,
        /// The members as of that entry.
        membership: Membership,
        /// Where the piece starts.
        offset: u64,
        /// How long the whole is.
        total: u64,
        /// The piece.
        data: Arc<[u8]>,
        /// The leader's clock, as in an append.
        sent_at: Millis,
    },
    /// Answers [`Body::SnapshotChunk`] until the last piece, which an append reply answers.
    SnapshotReply {
        /// The follower's term.
        term: u64,
        /// The snapshot meant.
        last_index: u64,
        /// Where the next piece starts.
        next_offset: u64,
        /// Echoed from the chunk.
        sent_at: Millis,
    },
    /// The leader hands over: the receiver is to stand at once.
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
}

impl Body {
    /// Gives the sender's term, if the message tells one that binds the receiver.
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
