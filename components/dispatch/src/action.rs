//! The actions that the dispatcher asks its node to carry out.

use events::Kind;
use model::Name;
use workload::WorkerId;

use crate::advice::AdviceRequest;
use crate::call::Answer;
use crate::input::Token;
use crate::worker_messages::{RenewOrder, StartOrder, StopOrder};

/// An action for the node to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answers a call.
    Reply {
        /// The call to answer.
        token: Token,
        /// The answer.
        answer: Answer,
    },
    /// Renews a worker's lease.
    Renew {
        /// The worker.
        worker: WorkerId,
        /// The worker's address.
        address: Name,
        /// The renewal to send.
        order: RenewOrder,
        /// Whether the worker runs nothing, so that another instance may hold the renewal.
        runs_nothing: bool,
    },
    /// Starts a run.
    Start {
        /// The worker.
        worker: WorkerId,
        /// The worker's address.
        address: Name,
        /// The start to send.
        order: StartOrder,
    },
    /// Stops a run.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// The worker's address.
        address: Name,
        /// The stop to send.
        order: StopOrder,
    },
    /// Calls the advice service.
    RequestAdvice(AdviceRequest),
    /// Counts a worker crash.
    CountCrash {
        /// The service that the worker belongs to.
        service: Name,
    },
    /// Logs an event.
    LogEvent {
        /// The kind of event.
        kind: &'static Kind,
        /// The subject of the event: a job, a task or a worker.
        subject: String,
        /// The inputs of the decision, as `key=value`.
        details: String,
    },
}
