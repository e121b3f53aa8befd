//! The commands that change the cell state, and their replies.

use std::sync::Arc;

use clock::Millis;
use model::{CellConfig, Epoch, InstanceId, JobName, JobSpec, Name, RequestKey, TaskId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::Share;

/// A command with the request key of its call and the wall clock of the proposing leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The caller's key; a retry with the same key gets the first reply.
    pub key: Option<RequestKey>,
    /// The proposing leader's wall clock; the cell's time is the highest value seen.
    pub at: Millis,
    /// The change to make.
    pub command: Command,
}

/// A change to the cell state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration if `base` is the active version.
    ApplyConfig {
        /// The version that the change is based on.
        base: u64,
        /// The configuration text as its author wrote it.
        text: Arc<str>,
        /// The parsed and validated configuration.
        config: CellConfig,
    },
    /// Adds a job.
    CreateJob {
        /// The job.
        spec: JobSpec,
        /// The assignment of its tasks to zones.
        shares: Vec<Share>,
    },
    /// Cancels a job.
    CancelJob {
        /// The job.
        name: JobName,
    },
    /// Drains an instance or upstream, or ends the drain.
    Drain {
        /// The name of the instance or upstream.
        target: Name,
        /// Whether the target is drained.
        on: bool,
    },
    /// Makes an instance the sole allocator of a zone.
    GrantEpoch {
        /// The zone.
        zone: ZoneId,
        /// The instance.
        holder: InstanceId,
        /// The epoch that this grant replaces. Of several concurrent grants only the first matches.
        after: Epoch,
    },
    /// Releases a zone's epoch: for a planned stop, or when its holder is drained.
    ReleaseEpoch {
        /// The zone.
        zone: ZoneId,
        /// The epoch.
        epoch: Epoch,
    },
    /// Moves one share of a job to another zone.
    MoveShare {
        /// The job.
        job: JobName,
        /// The index of the share.
        share: u32,
        /// The zone that currently holds the share.
        from: ZoneId,
        /// The zone that receives the share.
        to: ZoneId,
    },
    /// Reports tasks that ended.
    EndTasks {
        /// The reporting zone.
        zone: ZoneId,
        /// The zone's epoch.
        epoch: Epoch,
        /// The ended tasks.
        ended: Vec<TaskEnd>,
    },
    /// Marks non-repeatable tasks as started, before they start.
    ClaimTasks {
        /// The zone that will start them.
        zone: ZoneId,
        /// The zone's epoch.
        epoch: Epoch,
        /// The tasks.
        tasks: Vec<TaskId>,
    },
    /// Claims callers' non-repeatable requests, before they are sent to an upstream.
    ClaimRequests {
        /// The claims; the replies have the same order.
        claims: Vec<Claim>,
    },
    /// Drains an availability zone, or ends the drain. A repeated order changes nothing.
    DrainZone {
        /// The zone.
        zone: ZoneId,
        /// Whether the zone is drained.
        on: bool,
    },
}

/// A claim of a non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The caller's key.
    pub key: RequestKey,
    /// The wall-clock time at which the caller created the key.
    pub issued: Millis,
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The task completed.
    Done,
    /// The task failed and is not retried.
    Failed(Name),
    /// The task may have run and may not be repeated.
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

/// The result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// This is the first claim of the key: the request may be sent.
    Granted,
    /// The key was already claimed: the request may have run.
    Taken,
    /// The key is older than the retention period of claims: the request may have run.
    TooOld,
    /// The key's time lies in the future: the caller's clock is wrong and the request did not run.
    TooNew,
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command took effect.
    Accepted {
        /// The log index of the change.
        version: u64,
    },
    /// The command conflicts with the current state, for example with an earlier change.
    Conflict {
        /// The current version, or zero where there is none.
        version: u64,
        /// The reason for the conflict.
        reason: Name,
    },
    /// The result of each claim.
    Claims(Vec<ClaimReply>),
}
