//! What follows from an input, and why one is refused.

use model::InstanceId;

use crate::{Entry, Envelope, Membership, Record, Snapshot};

/// A change of a member's standing that others may want to log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The cell was founded with this member.
    Bootstrapped,
    /// This member leads from now on.
    BecameLeader {
        /// The term it leads in.
        term: u64,
    },
    /// This member stopped leading.
    Resigned {
        /// The term it led in.
        term: u64,
        /// Why.
        reason: &'static str,
    },
    /// A membership entry was appended.
    MembershipChanged(Membership),
}

/// What follows from an input. The records and the snapshot are made lasting first, the messages
/// sent and the committed entries applied only then.
#[derive(Debug, Default)]
pub struct Output {
    /// A snapshot that replaces the log on disk and the state machine's state.
    pub snapshot: Option<Snapshot>,
    /// Records to append to the disk.
    pub records: Vec<Record>,
    /// Messages to send.
    pub messages: Vec<Envelope>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// What changed.
    pub notices: Vec<Notice>,
}

/// The proposal reached a member that does not lead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// Who leads, if known.
    pub leader: Option<InstanceId>,
}

/// Why a change of members was not taken up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// This member does not lead.
    NotLeader(NotLeader),
    /// An earlier change is not committed yet.
    Busy,
    /// The instance has not been heard from, so its disk is unknown.
    Unknown,
    /// The change would leave no voter.
    NoVoter,
}
