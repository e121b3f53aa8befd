//! The messages between the processes of a cell. Messages may be lost.

use clock::Millis;
use consensus::Envelope;
use dispatch::{Answer, Call, CallError, CallTimes, Report, WorkerAnnouncement};
use model::{Incarnation, InstanceId, Name};
use serde::{Deserialize, Serialize};
use workload::{StepKey, WorkerId};

use crate::delegated_renewals::Watch;

/// A message from one instance of a cell to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A message of the replicated log.
    Log(Envelope),
    /// The sender is running. Sent periodically to every known control instance.
    Hello {
        /// The sender's disk if it is a control instance.
        disk: Option<Incarnation>,
        /// Whether the sender can call the advice service.
        calls_advice: bool,
        /// Whether the receiver's answers have reached the sender recently.
        answered: bool,
    },
    /// The answer to a hello; a new leader also sends it to every instance without being asked.
    Welcome {
        /// The leader that the sender knows.
        leader: Option<InstanceId>,
        /// The term of that leader.
        term: u64,
        /// The control instances that the sender knows.
        controls: Vec<InstanceId>,
        /// The voters among them, as far as the sender knows.
        voters: Vec<InstanceId>,
    },
    /// A call for the leader, as instances of earlier versions send it. It has no time limit.
    Call {
        /// Identifies this attempt in its answer; unique at the sender.
        token: u64,
        /// The call itself.
        call: Call,
    },
    /// The leader's answer to a call.
    Answer {
        /// The token of the attempt.
        token: u64,
        /// The answer.
        answer: Answer,
    },
    /// A worker sent an announcement to the sender.
    Announcement(WorkerAnnouncement),
    /// The leader has processed the announcement that a worker is leaving, and starts nothing more on it.
    LeavingAcknowledged {
        /// The worker.
        worker: WorkerId,
        /// The number of the worker's announcement.
        number: u64,
    },
    /// A worker deregistered at the sender.
    Left(WorkerId),
    /// The leader asks the receiver to call the advice service.
    AdviceRequest {
        /// Identifies the request in its response.
        id: u64,
        /// The step whose tasks are to be assigned.
        step: StepKey,
        /// The candidate workers.
        workers: Vec<WorkerId>,
    },
    /// The response to an advice request.
    Advised {
        /// The id of the request.
        id: u64,
        /// How long the tickets are valid.
        valid: Option<Millis>,
        /// The allowed workers with their tickets; `None` if the advice service did not answer.
        allowed: Option<Vec<(WorkerId, Name)>>,
    },
    /// Workers sent announcements to the sender since its last message of this kind.
    Announcements(Vec<WorkerAnnouncement>),
    /// The leader of a term asks the receiver to hold renewals until something changes at their
    /// workers.
    Watch {
        /// The term.
        term: u64,
        /// The renewals.
        watches: Vec<Watch>,
    },
    /// Something changed at a worker at which the sender held a renewal.
    WatchEnded {
        /// The term of the leader that delegated the renewal.
        term: u64,
        /// The id of the renewal.
        id: u64,
        /// The worker.
        worker: WorkerId,
        /// Whether the renewal failed before its answer was due, because the connection broke.
        broke: bool,
        /// The worker's report, or why there is none.
        result: Result<Report, CallError>,
    },
    /// The sender still holds these renewals. Sent periodically.
    Watching {
        /// The term of the leader that delegated them.
        term: u64,
        /// Their ids and workers, and the workers' clocks where they were read.
        held: Vec<(u64, WorkerId, Option<Millis>)>,
    },
    /// The sender stops and holds these renewals no longer.
    WatchesReturned {
        /// The term of the leader that delegated them.
        term: u64,
        /// Their ids and workers.
        held: Vec<(u64, WorkerId)>,
    },
    /// A call for the leader of which an earlier attempt got no answer, as instances of earlier versions send it.
    RepeatedCall {
        /// Identifies this attempt in its answer; unique at the sender.
        token: u64,
        /// The call itself.
        call: Call,
    },
    /// A call for the leader of a term, which must not carry it out after the call's time limit.
    TimedCall {
        /// Identifies this attempt in its answer; unique at the sender.
        token: u64,
        /// The call itself.
        call: Call,
        /// Whether an earlier attempt got no answer.
        repeated: bool,
        /// The term by whose leader's clock the times are given.
        term: u64,
        /// The times of the call.
        times: CallTimes,
    },
}
