//! What callers and operators ask, and what they are answered.

use std::sync::Arc;

use clock::Millis;
use model::Name;
use serde::{Deserialize, Serialize};
use workload::{Credential, Document, JobSpec, JobState};

/// What a caller wants at a path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verb {
    /// Hand in a job.
    Submit(Arc<JobSpec>),
    /// Learn a job's state or, at a queue's own path, how many jobs wait there.
    Query,
    /// Cancel a job.
    Cancel,
}

/// A call that only the leader can answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A caller's. Which queue it means is decided by the leader, which has the configuration that
    /// is in force.
    Job {
        /// The host that the caller named.
        host: Name,
        /// The path of the call.
        path: Name,
        /// The size of its body in bytes.
        size: u64,
        /// What it wants.
        verb: Verb,
    },
    /// An operator hands in a configuration.
    Publish(Document),
    /// An operator reads the configuration.
    Read,
    /// A caller's that shows whom it is made for. Apart from [`Call::Job`] so that instances of earlier
    /// versions still read calls without a key.
    KeyedJob {
        /// The host that the caller named.
        host: Name,
        /// The path of the call.
        path: Name,
        /// The size of its body in bytes.
        size: u64,
        /// What it wants.
        verb: Verb,
        /// What it shows.
        credential: Credential,
    },
}

impl Call {
    /// Makes a caller's call.
    pub fn from_caller(
        (host, path): (Name, Name),
        size: u64,
        verb: Verb,
        credential: Credential,
    ) -> Call {
        match credential {
            Credential::None => Call::Job { host, path, size, verb },
            _ => Call::KeyedJob { host, path, size, verb, credential },
        }
    }

    /// Gives what a caller wants, and at which path.
    pub fn verb(&self) -> Option<(&Name, &Verb)> {
        match self {
            Call::Job { path, verb, .. } | Call::KeyedJob { path, verb, .. } => Some((path, verb)),
            Call::Publish(_) | Call::Read => None,
        }
    }

    /// Tells whether the call changes nothing.
    pub fn is_read_only(&self) -> bool {
        matches!(self, Call::Read) || matches!(self.verb(), Some((_, Verb::Query)))
    }
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is accepted and kept.
    Accepted,
    /// The job's state.
    State(JobState),
    /// How many jobs of the queue have not begun.
    Pending(u64),
    /// The job is cancelled.
    Cancelled,
    /// There is no such job.
    NoJob,
    /// There is no such queue.
    NoQueue,
    /// The input is faulty.
    Invalid(Name),
    /// The body is larger than the configuration allows.
    TooLarge,
    /// The configuration is in force, or a newer one is.
    Published,
    /// The newest configuration.
    Document(Document),
    /// Nothing was done; it may be tried again after a while.
    NotDone {
        /// When to come back.
        retry_after: Millis,
    },
    /// It may or may not have been done; asking again is safe.
    Unsure {
        /// When to ask again.
        retry_after: Millis,
    },
    /// The call shows no key of an organisation, and the queue is not public. Nothing was done.
    NoKey,
}
