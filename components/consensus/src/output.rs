//! The output of a member, and the errors for refused inputs.

use model::InstanceId;

use crate::{Entry, Envelope, Membership, Record, Snapshot};

/// A change of role or membership, for log events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The cell was bootstrapped with this member.
    Bootstrapped,
    /// This member became leader.
    BecameLeader {
        /// The term that it leads.
        term: u64,
    },
    /// This member stopped leading.
    Resigned {
        /// The term that it led.
        term: u64,
        /// The reason.
        reason: &'static str,
    },
    /// A membership entry was appended.
    MembershipChanged(Membership),
}

/// The output of one or more inputs. The records and the snapshot are synced first; only then are the messages
/// sent and the committed entries applied.
#[derive(Debug, Default)]
pub struct Output {
    /// A snapshot that replaces the log on disk and the state of the state machine.
    pub snapshot: Option<Snapshot>,
    /// Records to append to the log on disk.
    pub records: Vec<Record>,
    /// Messages to send.
    pub messages: Vec<Envelope>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Changes of role or membership.
    pub notices: Vec<Notice>,
}

/// An error for a request to a member that is not the leader or accepts no further proposals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<InstanceId>,
}

/// A reason for which a membership change was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// This member is not the leader.
    NotLeader(NotLeader),
    /// An earlier membership change is not committed yet.
    Busy,
    /// The instance has not contacted the leader, so the incarnation of its disk is unknown.
    Unknown,
    /// The change would leave the cell without voters.
    NoVoter,
}
