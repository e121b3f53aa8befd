//! The typed answer to a caller's request.

use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::Name;

/// Why a request was refused. A refused request truly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// Too much work of its class or a more urgent one is ahead of it.
    Overloaded,
    /// Its deadline cannot be met or has passed.
    DeadlinePassed,
    /// No upstream of any reachable zone takes work.
    NoUpstream,
    /// The home of its key cannot be reached, so it cannot be claimed.
    NoHome,
    /// The instance has not caught up with the cell yet.
    NotReady,
    /// The instance is stopping.
    Stopping,
    /// The request itself is malformed.
    Malformed,
}

impl Refusal {
    /// Gives the reason as callers read it.
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

/// What a caller is told of its request. There is no fifth case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It ran, and this is the whole answer.
    Done(Vec<u8>),
    /// It did not run.
    Refused {
        /// Why.
        reason: Refusal,
        /// When to come back.
        retry_after: Millis,
    },
    /// It ran, and the upstream reported a failure.
    Failed(Name),
    /// It may have run; heathvale cannot tell.
    MayHaveRun(Name),
}
