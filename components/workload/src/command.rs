//! What the log agrees on, one entry after the other.

use std::sync::Arc;

use clock::Millis;
use model::{Name, Size};
use serde::{Deserialize, Serialize};

use crate::{
    CrashSuspects, Document, JobId, JobSpec, TaskKey, UncertainLoss, WorkerId, WorkerInfo,
};

/// How a run ended on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// It did its work.
    Done,
    /// It failed, by its own fault or its worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// One end, as a worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Its number on that worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Its progress; empty if none was kept.
    pub checkpoint: Arc<str>,
}

/// A change of the [`crate::ReplicatedState`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force if its version is higher than the one held.
    Configure(Document),
    /// Accepts a job unless it is known.
    Submit {
        /// Its id.
        id: JobId,
        /// When it was accepted, by the leader's wall clock.
        at: Millis,
        /// Its queue.
        queue: Name,
        /// The queue's service at that time.
        service: Name,
        /// The queue's priority at that time.
        priority: u8,
        /// The queue's limit of failed runs at that time.
        max_attempts: u16,
        /// What is to run.
        spec: Arc<JobSpec>,
    },
    /// Cancels a job that has not ended.
    Cancel {
        /// Its id.
        id: JobId,
        /// When, by the leader's wall clock.
        at: Millis,
    },
    /// A worker announced itself for the first time.
    WorkerJoined(WorkerInfo),
    /// A life of a worker that was leaving or ran nothing is over, with all that it ran.
    WorkerGone {
        /// The worker.
        worker: WorkerId,
        /// The newest progress known of its runs.
        saved: Vec<(TaskKey, Arc<str>)>,
    },
    /// A worker's lease has surely run out, with all that it ran.
    Lapsed {
        /// The worker.
        worker: WorkerId,
        /// The newest progress known of its runs.
        saved: Vec<(TaskKey, Arc<str>)>,
    },
    /// Runs are about to be ordered from a worker.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The tasks and the numbers of their runs.
        runs: Vec<(TaskKey, u32)>,
    },
    /// Runs surely never began, nor will they.
    NotStarted {
        /// The worker.
        worker: WorkerId,
        /// The tasks and the numbers of their runs.
        runs: Vec<(TaskKey, u32)>,
    },
    /// Runs have ended.
    Ended {
        /// The worker.
        worker: WorkerId,
        /// The ends, rising by number.
        ends: Vec<End>,
        /// When, by the leader's wall clock.
        at: Millis,
    },
    /// Forgets jobs that ended before a time and of which nothing runs.
    Forget {
        /// The time, by the leader's wall clock.
        before: Millis,
    },
    /// A life of a worker is over that had not said it would leave, with all that it ran.
    WorkerCrashed {
        /// The worker.
        worker: WorkerId,
        /// The newest progress known of its runs.
        saved: Vec<(TaskKey, Arc<str>)>,
        /// The runs that it may have crashed under, beside those that had lapsed on it before.
        crash_suspects: CrashSuspects,
        /// When, by the leader's wall clock.
        at: Millis,
    },
    /// The runs that are about to lapse on a worker may have ended it; whether they have is known once it is
    /// heard of again.
    CrashSuspected {
        /// The worker.
        worker: WorkerId,
        /// The runs.
        crash_suspects: CrashSuspects,
    },
    /// A worker that runs nothing was not heard of for so long that it counts as lost.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
        /// When, by the leader's wall clock.
        at: Millis,
    },
    /// A worker on which runs have lapsed was heard of again: it had only been out of reach.
    WorkerSurvived {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker has more or less than it had.
    Resized {
        /// The worker.
        worker: WorkerId,
        /// What it has now.
        capacity: Size,
    },
    /// Tasks under which workers had crashed have run for long enough to be cleared.
    SuspectsCleared {
        /// The tasks; of gangs the first one.
        tasks: Vec<TaskKey>,
    },
    /// Fixes which organisation a job belongs to that is about to be accepted.
    AssignOwner {
        /// The job's id.
        job: JobId,
        /// The organisation.
        organisation: Name,
    },
    /// A worker is about to count as crashed among so many that chance may have hit its runs. What counts against them all
    /// the same is in the blame of the crash.
    LossesUncertain {
        /// The runs.
        losses: Vec<UncertainLoss>,
    },
}
