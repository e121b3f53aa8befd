//! The commands that change the cell state, and the replies to them.

use std::sync::Arc;

use clock::Millis;
use model::{CellConfig, Epoch, InstanceId, JobName, JobSpec, Name, RequestKey, TaskId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::Share;

/// A command with the key of the call that made it and the leader's wall clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The caller's key; a resend with the same key gets the first answer.
    pub key: Option<RequestKey>,
    /// The proposing leader's wall clock; the cell's own time is the highest one seen.
    pub at: Millis,
    /// What is to change.
    pub command: Command,
}

/// What is to change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration if `base` is the version in force.
    ApplyConfig {
        /// The version the change was made from.
        base: u64,
        /// The configuration as its author wrote it.
        text: Arc<str>,
        /// The same, read and checked.
        config: CellConfig,
    },
    /// Adds a job.
    CreateJob {
        /// The job.
        spec: JobSpec,
        /// Which zone holds which of its tasks.
        shares: Vec<Share>,
    },
    /// Cancels a job.
    CancelJob {
        /// The job.
        name: JobName,
    },
    /// Takes an instance or upstream out of use, or back in.
    Drain {
        /// Its name.
        target: Name,
        /// Whether it goes out.
        on: bool,
    },
    /// Makes an instance the only allocator of a zone.
    GrantEpoch {
        /// The zone.
        zone: ZoneId,
        /// The instance.
        holder: InstanceId,
        /// The epoch this grant follows on, so that racing grants get one winner.
        after: Epoch,
    },
    /// Gives a zone's epoch back, for a planned stop.
    ReleaseEpoch {
        /// The zone.
        zone: ZoneId,
        /// The epoch.
        epoch: Epoch,
    },
    /// Gives one share of a job to another zone.
    MoveShare {
        /// The job.
        job: JobName,
        /// Which of its shares.
        share: u32,
        /// The zone that holds it now.
        from: ZoneId,
        /// The zone that gets it.
        to: ZoneId,
    },
    /// Reports tasks that ended.
    EndTasks {
        /// The zone that reports.
        zone: ZoneId,
        /// Its epoch.
        epoch: Epoch,
        /// The tasks.
        ended: Vec<TaskEnd>,
    },
    /// Marks not repeatable tasks as started, before they are.
    ClaimTasks {
        /// The zone that will start them.
        zone: ZoneId,
        /// Its epoch.
        epoch: Epoch,
        /// The tasks.
        tasks: Vec<TaskId>,
    },
    /// Claims callers' not repeatable requests, before they are sent on.
    ClaimRequests {
        /// The claims, in the order of their replies.
        claims: Vec<Claim>,
    },
}

/// One claim of a not repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The caller's key.
    pub key: RequestKey,
    /// When the caller first made it, by the wall clock.
    pub issued: Millis,
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// It ran to its end.
    Done,
    /// It failed and is not tried again.
    Failed(Name),
    /// It may have run and may not be repeated.
    MayHaveRun(Name),
}

/// A task that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// The task.
    pub task: TaskId,
    /// How it ended.
    pub outcome: TaskOutcome,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// It is the first: the request may be sent on.
    Granted,
    /// The key was claimed before: the request may have run.
    Taken,
    /// The key is older than claims are kept: the request may have run.
    TooOld,
    /// The key lies in the future: the caller's clock is wrong, the request did not run.
    TooNew,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// It is in force from `version` on.
    Accepted {
        /// The log's index of the change.
        version: u64,
    },
    /// Another change came first.
    Conflict {
        /// The version in force, or zero where there is none.
        version: u64,
        /// What stands in the way.
        reason: Name,
    },
    /// What became of each claim.
    Claims(Vec<ClaimReply>),
}
