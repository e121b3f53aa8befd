//! What the dispatcher wants done.

use events::Kind;
use model::Name;
use workload::WorkerId;

use crate::advice::AdviceRequest;
use crate::call::Answer;
use crate::input::Token;
use crate::worker_messages::{RenewOrder, StartOrder, StopOrder};

/// What the dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a call.
    Reply {
        /// The call.
        token: Token,
        /// The answer.
        answer: Answer,
    },
    /// Renew a worker's lease.
    Renew {
        /// The worker.
        worker: WorkerId,
        /// Where it is called.
        address: Name,
        /// What it is told.
        order: RenewOrder,
    },
    /// Start a run.
    Start {
        /// The worker.
        worker: WorkerId,
        /// Where it is called.
        address: Name,
        /// What it is told.
        order: StartOrder,
    },
    /// Stop a run.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// Where it is called.
        address: Name,
        /// What it is told.
        order: StopOrder,
    },
    /// Call for advice.
    RequestAdvice(AdviceRequest),
    /// Count a crash of a worker.
    CountCrash {
        /// The service that the worker belongs to.
        service: Name,
    },
    /// Tell of a decision.
    LogEvent {
        /// What kind of decision it is.
        kind: &'static Kind,
        /// What it is about: a job, a task or a worker.
        subject: String,
        /// The inputs that decided it, as `key=value`.
        details: String,
    },
}
