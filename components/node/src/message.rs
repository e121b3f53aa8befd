//! What the processes of a cell say to each other. Messages may be lost.

use clock::Millis;
use consensus::Envelope;
use dispatch::{Answer, Call, WorkerAnnouncement};
use model::{Incarnation, InstanceId, Name};
use serde::{Deserialize, Serialize};
use workload::{StepKey, WorkerId};

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The replicated log's own.
    Log(Envelope),
    /// An instance is there. Sent to every known control instance again and again.
    Hello {
        /// The sender's disk if it is a control instance.
        disk: Option<Incarnation>,
        /// Whether the sender can call for advice.
        calls_advice: bool,
        /// Whether the receiver's answers have reached the sender lately.
        answered: bool,
    },
    /// The answer to a hello, also sent unasked by a new leader.
    Welcome {
        /// The leader that the sender knows.
        leader: Option<InstanceId>,
        /// The term of that leader.
        term: u64,
        /// The control instances that the sender knows.
        controls: Vec<InstanceId>,
        /// Those of them that vote, as far as the sender knows.
        voters: Vec<InstanceId>,
    },
    /// A call for the leader.
    Call {
        /// Names the call in its answer, at the sender.
        token: u64,
        /// What is asked.
        call: Call,
    },
    /// The leader's answer.
    Answer {
        /// The call.
        token: u64,
        /// The answer.
        answer: Answer,
    },
    /// A worker announced itself to the sender.
    Announcement(WorkerAnnouncement),
    /// The leader has taken in that a worker is leaving, and starts nothing more there.
    LeavingAcknowledged {
        /// The worker.
        worker: WorkerId,
        /// The number of its announcement.
        number: u64,
    },
    /// A worker said to the sender that it ends.
    Left(WorkerId),
    /// The leader wants advice to be called for.
    AdviceRequest {
        /// Names the call in its answer.
        id: u64,
        /// The step.
        step: StepKey,
        /// The workers asked about.
        workers: Vec<WorkerId>,
    },
    /// What the advice service said.
    Advised {
        /// The call.
        id: u64,
        /// How long the tickets hold.
        valid: Option<Millis>,
        /// Who is allowed, with their tickets; `None` if there was no answer.
        allowed: Option<Vec<(WorkerId, Name)>>,
    },
}
