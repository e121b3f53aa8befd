//! The calls of callers and operators, and their answers.

use std::sync::Arc;

use clock::Millis;
use model::Name;
use serde::{Deserialize, Serialize};
use workload::{Credential, Document, JobSpec, JobState};

/// What a caller requests at a path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verb {
    /// Submit a job.
    Submit(Arc<JobSpec>),
    /// Query a job's state or, at a queue's own path, the number of jobs that wait there.
    Query,
    /// Cancel a job.
    Cancel,
}

/// A call that only the leader can answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A call of a caller. The leader maps host and path to a queue, since it has the active
    /// configuration.
    Job {
        /// The host named by the caller.
        host: Name,
        /// The path of the call.
        path: Name,
        /// The size of the body in bytes.
        size: u64,
        /// What the caller requests.
        verb: Verb,
    },
    /// A configuration published by an operator.
    Publish(Document),
    /// A read of the configuration by an operator.
    Read,
    /// A call of a caller with a credential. It is separate from [`Call::Job`] so that instances of
    /// earlier versions can still read calls without a key.
    KeyedJob {
        /// The host named by the caller.
        host: Name,
        /// The path of the call.
        path: Name,
        /// The size of the body in bytes.
        size: u64,
        /// What the caller requests.
        verb: Verb,
        /// The credential shown with the call.
        credential: Credential,
    },
    /// An operator drains an availability zone or ends that.
    DrainZone {
        /// The zone.
        zone: Name,
        /// Whether it is to be drained.
        drained: bool,
    },
}

impl Call {
    /// Creates the call of a caller.
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

    /// Returns what a caller requests and at which path, or `None` for an operator's call.
    pub fn verb(&self) -> Option<(&Name, &Verb)> {
        match self {
            Call::Job { path, verb, .. } | Call::KeyedJob { path, verb, .. } => Some((path, verb)),
            Call::Publish(_) | Call::Read | Call::DrainZone { .. } => None,
        }
    }

    /// Returns what the call is about, for log lines: a path, a version or a zone.
    pub fn subject(&self) -> Name {
        match self {
            Call::Job { path, .. } | Call::KeyedJob { path, .. } => path.clone(),
            Call::Publish(document) => document.version.to_string().into(),
            Call::Read => "configuration".into(),
            Call::DrainZone { zone, .. } => zone.clone(),
        }
    }

    /// Returns the credential shown with a caller's call.
    pub(crate) fn credential(&self) -> &Credential {
        match self {
            Call::KeyedJob { credential, .. } => credential,
            Call::Job { .. } | Call::Publish(_) | Call::Read | Call::DrainZone { .. } => {
                &Credential::None
            }
        }
    }

    /// Returns whether the call changes nothing.
    pub fn is_read_only(&self) -> bool {
        matches!(self, Call::Read) || matches!(self.verb(), Some((_, Verb::Query)))
    }
}

/// The times of a relayed call, by the monotonic clock of the leader that it is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTimes {
    /// When the call reached the instance that relays it, or somewhat earlier. A later call on the same job that was answered
    /// meanwhile has the last word.
    pub received_at: Millis,
    /// The end of the caller's time limit, or somewhat earlier. The caller has an answer by then and may have acted on it, so
    /// the call must not be carried out any more.
    pub deadline: Millis,
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is accepted and stored.
    Accepted,
    /// The state of the job.
    State(JobState),
    /// The number of jobs of the queue that have not started.
    Pending(u64),
    /// The job is cancelled.
    Cancelled,
    /// There is no such job.
    NoJob,
    /// There is no such queue.
    NoQueue,
    /// The input is invalid, for the given reason.
    Invalid(Name),
    /// The body is larger than the configuration allows.
    TooLarge,
    /// The configuration, or a newer one, is active.
    Published,
    /// The newest configuration.
    Document(Document),
    /// Nothing was done. The call may be retried.
    NotDone {
        /// The delay before a retry.
        retry_after: Millis,
    },
    /// The call may or may not have been carried out. Retrying it is safe.
    Unsure {
        /// The delay before a retry.
        retry_after: Millis,
    },
    /// The call shows no key of an organisation and the queue is not public. Nothing was done.
    NoKey,
    /// The availability zone is drained, or no longer is, as requested.
    ZoneUpdated,
}

impl Answer {
    /// Returns whether the call was carried out. That holds whichever of its attempts is answered so,
    /// while any other answer tells only that this attempt was not.
    pub fn is_success(&self) -> bool {
        match self {
            Answer::Accepted
            | Answer::State(_)
            | Answer::Pending(_)
            | Answer::Cancelled
            | Answer::Published
            | Answer::Document(_)
            | Answer::ZoneUpdated => true,
            Answer::NoJob
            | Answer::NoQueue
            | Answer::Invalid(_)
            | Answer::TooLarge
            | Answer::NotDone { .. }
            | Answer::Unsure { .. }
            | Answer::NoKey => false,
        }
    }
}
