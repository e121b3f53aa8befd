//! The answer to a caller's request.

use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::Name;

/// The reason why a request was refused. A refused request has certainly not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// Too much work of its own or a more urgent class is queued ahead of it.
    Overloaded,
    /// Its deadline has passed or cannot be met.
    DeadlinePassed,
    /// No upstream in any reachable zone accepts work.
    NoUpstream,
    /// The cell's replicated state, which records request keys, is unreachable, so the key of the request cannot be claimed.
    NoHome,
    /// The instance has not caught up with the replicated state yet.
    NotReady,
    /// The instance is shutting down.
    Stopping,
    /// The request is malformed.
    Malformed,
}

impl Refusal {
    /// Returns the reason as it is sent to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::Overloaded => "overloaded",
            Refusal::DeadlinePassed => "deadline_passed",
            Refusal::NoUpstream => "no_upstream",
            Refusal::NoHome => "no_home",
            Refusal::NotReady => "not_ready",
            Refusal::Stopping => "stopping",
            Refusal::Malformed => "malformed",
        }
    }
}

/// The outcome of a request as it is reported to its caller. These four cases are exhaustive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It ran, and this is the complete response.
    Done(Vec<u8>),
    /// It did not run.
    Refused {
        /// The reason for the refusal.
        reason: Refusal,
        /// The time after which the caller may retry.
        retry_after: Millis,
    },
    /// It ran, and the upstream reported a failure.
    Failed(Name),
    /// It may have run; heathvale cannot determine whether it did.
    MayHaveRun(Name),
}
