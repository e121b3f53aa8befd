//! What instances say to each other.

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
    /// Between members of the replicated log.
    Consensus(Envelope),
    /// Asks the leader for a change.
    Change {
        /// The asker's number for it.
        token: u64,
        /// What is asked for.
        change: Change,
    },
    /// Answers [`Message::Change`].
    Changed {
        /// The asker's number.
        token: u64,
        /// What became of it.
        outcome: Outcome,
    },
    /// Asks the leader up to where its state is certain.
    ReadIndexRequest {
        /// The asker's number.
        token: u64,
    },
    /// Answers [`Message::ReadIndexRequest`].
    ReadIndexReply {
        /// The asker's number.
        token: u64,
        /// The entry that the asker has to have applied, or nothing if this instance cannot tell.
        index: Option<u64>,
    },
    /// Tells the leader of a zone, and asks to allocate for it or to go on doing so.
    ZoneRequest(ZoneRequest),
    /// Confirms an allocator.
    ZoneConfirmed {
        /// The epoch.
        epoch: Epoch,
        /// The asker's clock, from its question.
        asked_at: Millis,
        /// The leader's last entry; the lease counts once it is applied.
        last_index: u64,
    },
    /// The zone's allocator, cut off from the leader, asks the others not to allocate for a while.
    CommitmentRequest {
        /// The allocator's epoch.
        epoch: Epoch,
        /// The asker's clock.
        asked_at: Millis,
    },
    /// Grants [`Message::CommitmentRequest`].
    Commitment {
        /// The epoch.
        epoch: Epoch,
        /// The asker's clock, from its question.
        asked_at: Millis,
    },
    /// Asks the zone's allocator for a loan of slots.
    Demand(Demand),
    /// Answers [`Message::Demand`].
    Loan(Loan),
    /// Tells the others of the zone that an upstream is leaving.
    Leaving(Name),
    /// Copies of the sender's events, for the case that its process dies.
    Events(Vec<EventCopy>),
    /// A process that has just started asks for the copies that the one before it kept.
    EventsRequest,
    /// Answers [`Message::EventsRequest`] with a part of what the sender keeps.
    RetainedEvents(Vec<EventCopy>),
}

/// A zone's instance asks to allocate for it, or to go on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRequest {
    /// The zone.
    pub zone: ZoneId,
    /// The epoch that the asker allocates under, zero if it does not.
    pub epoch: Epoch,
    /// The asker's clock.
    pub asked_at: Millis,
    /// How far the asker has applied the log.
    pub applied: u64,
    /// What the zone has free and its largest worker, if the asker knows.
    pub capacity: Option<(Size, Size)>,
}

/// A change that any instance may ask the leader for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Change {
    /// A command as it is.
    Command {
        /// The caller's key.
        key: Option<RequestKey>,
        /// The command.
        command: Command,
    },
    /// A new job; the leader chooses its zones.
    CreateJob {
        /// The caller's key.
        key: RequestKey,
        /// The job.
        spec: JobSpec,
    },
    /// Another role for a member.
    Member {
        /// The member.
        id: InstanceId,
        /// The role.
        role: MemberRole,
    },
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Outcome {
    /// It was committed, with this reply.
    Applied(Reply),
    /// It surely did not happen; it may be asked for again.
    Refused {
        /// Why.
        reason: Name,
    },
    /// It can never be accepted.
    Invalid {
        /// Why.
        reason: Name,
    },
    /// It may or may not happen.
    Unknown,
}
