//! The messages that instances exchange.

use cell::{Command, Reply};
use clock::Millis;
use consensus::{Envelope, MemberRole};
use events::EventCopy;
use model::{Epoch, InstanceId, JobSpec, Name, RequestKey, Size, ZoneId};
use routing::{Demand, Loan};
use serde::{Deserialize, Serialize};

/// A message between instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// A message between members of the replicated log.
    Consensus(Envelope),
    /// Requests a change from the leader.
    Change {
        /// The sender's number for the change.
        token: u64,
        /// The requested change.
        change: Change,
    },
    /// Answers [`Message::Change`].
    Changed {
        /// The requester's number.
        token: u64,
        /// The outcome of the change.
        outcome: Outcome,
    },
    /// Requests the index up to which the leader's state is certain.
    ReadIndexRequest {
        /// The requester's number.
        token: u64,
    },
    /// Answers [`Message::ReadIndexRequest`].
    ReadIndexReply {
        /// The requester's number.
        token: u64,
        /// The index that the requester has to apply, or `None` if this instance cannot determine it.
        index: Option<u64>,
    },
    /// Reports a zone to the leader, and requests to allocate for it or to continue.
    ZoneRequest(ZoneRequest),
    /// Confirms an allocator.
    ZoneConfirmed {
        /// The epoch.
        epoch: Epoch,
        /// The requester's clock, copied from its request.
        asked_at: Millis,
        /// The index of the leader's last entry; the lease is valid once that entry is applied.
        last_index: u64,
    },
    /// Sent by a zone's allocator whose lease the leader does not confirm: asks the zone's other
    /// instances to commit not to allocate for a while.
    CommitmentRequest {
        /// The allocator's epoch.
        epoch: Epoch,
        /// The requester's clock.
        asked_at: Millis,
    },
    /// Grants [`Message::CommitmentRequest`].
    Commitment {
        /// The epoch.
        epoch: Epoch,
        /// The requester's clock, copied from its request.
        asked_at: Millis,
    },
    /// Requests a loan of slots from the zone's allocator.
    Demand(Demand),
    /// Answers [`Message::Demand`].
    Loan(Loan),
    /// Notifies the other instances of the zone that an upstream is leaving.
    Leaving(Name),
    /// Copies of the sender's events, in case its process terminates.
    Events(Vec<EventCopy>),
    /// Sent by a started process: requests the event copies that the receiver keeps.
    EventsRequest,
    /// Answers [`Message::EventsRequest`] with a part of the copies that the sender keeps.
    RetainedEvents(Vec<EventCopy>),
}

/// A request of a zone's instance to allocate for the zone, or to continue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRequest {
    /// The zone.
    pub zone: ZoneId,
    /// The epoch under which the requester allocates, zero if it does not.
    pub epoch: Epoch,
    /// The requester's clock.
    pub asked_at: Millis,
    /// The index of the last log entry that the requester has applied.
    pub applied: u64,
    /// The zone's free capacity and its largest worker, if the requester knows them.
    pub capacity: Option<(Size, Size)>,
}

/// A change that any instance may request from the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Change {
    /// A command that is proposed unchanged.
    Command {
        /// The caller's key.
        key: Option<RequestKey>,
        /// The command.
        command: Command,
    },
    /// Creates a job; the leader chooses its zones.
    CreateJob {
        /// The caller's key.
        key: RequestKey,
        /// The job.
        spec: JobSpec,
    },
    /// Changes the role of a member.
    Member {
        /// The member.
        id: InstanceId,
        /// The role.
        role: MemberRole,
    },
}

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Outcome {
    /// The change was committed and has this reply.
    Applied(Reply),
    /// The change certainly did not take place; it may be requested again.
    Refused {
        /// The reason.
        reason: Name,
    },
    /// The change can never be accepted.
    Invalid {
        /// The reason.
        reason: Name,
    },
    /// The change may or may not take place.
    Unknown,
}
