//! The commands that the log commits.

use std::sync::Arc;

use clock::Millis;
use model::{Name, Size};
use serde::{Deserialize, Serialize};

use crate::{
    CrashSuspects, Document, JobId, JobSpec, LossRecord, TaskKey, UncertainLoss, WorkerId,
    WorkerInfo,
};

/// How a run ended on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// It completed its work.
    Done,
    /// It failed, through its own fault or that of its worker.
    Failed,
    /// It was ordered to stop.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

/// The end of a run, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Its sequence number on that worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Its last checkpoint; empty if none was saved.
    pub checkpoint: Arc<str>,
}

/// A change to the [`crate::ReplicatedState`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force if its version is higher than the current one.
    Configure(Document),
    /// Accepts a job unless its id is known already.
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
        /// The queue's limit on failed runs of a task at that time.
        max_attempts: u16,
        /// What is to run.
        spec: Arc<JobSpec>,
    },
    /// Cancels a job that has not ended.
    Cancel {
        /// Its id.
        id: JobId,
        /// The time, by the leader's wall clock.
        at: Millis,
    },
    /// A worker announced itself for the first time.
    WorkerJoined(WorkerInfo),
    /// A worker incarnation has ended with all its runs, after it announced that it was leaving or while it ran nothing.
    WorkerGone {
        /// The worker.
        worker: WorkerId,
        /// The latest known checkpoints of its runs.
        saved: Vec<(TaskKey, Arc<str>)>,
    },
    /// A worker's lease has certainly expired, and its runs with it.
    Lapsed {
        /// The worker.
        worker: WorkerId,
        /// The latest known checkpoints of its runs.
        saved: Vec<(TaskKey, Arc<str>)>,
    },
    /// Runs are about to be started on a worker.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The tasks with their run numbers.
        runs: Vec<(TaskKey, u32)>,
    },
    /// Runs certainly never started and never will.
    NotStarted {
        /// The worker.
        worker: WorkerId,
        /// The tasks with their run numbers.
        runs: Vec<(TaskKey, u32)>,
    },
    /// Runs have ended.
    Ended {
        /// The worker.
        worker: WorkerId,
        /// The ends, in ascending order of their numbers.
        ends: Vec<End>,
        /// The time, by the leader's wall clock.
        at: Millis,
    },
    /// Removes jobs that ended before a time and have no runs left.
    Forget {
        /// The time, by the leader's wall clock.
        before: Millis,
    },
    /// A worker incarnation has ended with all its runs without having announced that it was leaving.
    WorkerCrashed {
        /// The worker.
        worker: WorkerId,
        /// The latest known checkpoints of its runs.
        saved: Vec<(TaskKey, Arc<str>)>,
        /// The runs that may have crashed it, besides those that had lapsed on it before.
        crash_suspects: CrashSuspects,
        /// The time, by the leader's wall clock.
        at: Millis,
    },
    /// The runs that are about to lapse on a worker may have crashed it; this is resolved at the next contact with the
    /// worker.
    CrashSuspected {
        /// The worker.
        worker: WorkerId,
        /// The runs.
        crash_suspects: CrashSuspects,
    },
    /// A worker that runs nothing has been out of contact for so long that it counts as lost.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
        /// The time, by the leader's wall clock.
        at: Millis,
    },
    /// A worker on which runs have lapsed is in contact again: it had only been unreachable.
    WorkerSurvived {
        /// The worker.
        worker: WorkerId,
    },
    /// The capacity of a worker has changed.
    Resized {
        /// The worker.
        worker: WorkerId,
        /// Its new capacity.
        capacity: Size,
    },
    /// Crash suspects have run for long enough to be cleared.
    SuspectsCleared {
        /// The tasks; for a gang, its first task.
        tasks: Vec<TaskKey>,
    },
    /// Assigns a job that is about to be accepted to an organisation.
    AssignOwner {
        /// The job's id.
        job: JobId,
        /// The organisation.
        organisation: Name,
    },
    /// A worker is about to count as crashed among so many others that coincidence may explain the loss of its runs. The
    /// runs that are counted regardless are among the suspects of the crash. Only earlier versions propose it;
    /// [`Command::LossesRecorded`] replaces it.
    LossesUncertain {
        /// The runs.
        losses: Vec<UncertainLoss>,
    },
    /// Drains an availability zone, or ends that: while it is drained, nothing new is started on its workers.
    DrainZone {
        /// The zone.
        zone: Name,
        /// Whether it is drained from now on.
        drained: bool,
    },
    /// Records what each organisation has used recently, so that a new leader continues from it.
    UsageRecorded {
        /// The time, by the leader's wall clock.
        at: Millis,
        /// The decaying average of what the runs of each organisation use, without those that use nothing.
        usage: Vec<(Name, Size)>,
    },
    /// The speeds of some machines have changed.
    SpeedsLearned {
        /// Each machine, with its speed in thousandths of the usual one of its service. The usual speed itself removes
        /// the record.
        speeds: Vec<(Name, u32)>,
    },
    /// Runs were lost with their workers, or more is known about the losses around them.
    LossesRecorded {
        /// Each task, with its lost run.
        losses: Vec<(TaskKey, LossRecord)>,
    },
    /// The runs that are started next are ordered at this time.
    OrderTime {
        /// The time, by the leader's wall clock.
        at: Millis,
    },
    /// A caller cancelled a job that has not been accepted. A submission of it that was handed in before is not accepted any
    /// more.
    Withdraw {
        /// The job's id.
        id: JobId,
    },
    /// Drops the oldest withdrawn ids.
    ForgetWithdrawn {
        /// The number of the last withdrawal to drop.
        up_to: u64,
    },
}
