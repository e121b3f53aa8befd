//! What the dispatcher takes in.

use std::collections::BTreeSet;

use clock::Millis;
use model::{InstanceId, Name};
use workload::{TaskKey, WorkerId};

use crate::call::Call;
use crate::worker_messages::{CallError, Report, WorkerAnnouncement};

/// Names a call until it is answered.
pub type Token = u64;

/// When something happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moment {
    /// By the clock that never jumps.
    pub now: Millis,
    /// By the wall clock, which may.
    pub wall: Millis,
    /// Until when, by the first clock, no other instance can lead.
    pub leads_until: Millis,
}

/// What the dispatcher takes in.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passes.
    Tick,
    /// A batch of commands and all before it are committed.
    Committed(u64),
    /// Somebody asks for something.
    Call {
        /// Names the call in its answer.
        token: Token,
        /// What is asked.
        call: Call,
    },
    /// A worker announced itself.
    Announcement(WorkerAnnouncement),
    /// A worker said that it ends now.
    Left(WorkerId),
    /// A renewal came back.
    Renewed {
        /// The worker.
        worker: WorkerId,
        /// When it was sent.
        sent_at: Millis,
        /// What came of it.
        result: Result<Report, CallError>,
    },
    /// A start came back, with the worker's clock.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// What came of it.
        result: Result<Millis, CallError>,
    },
    /// A stop came back, with the worker's clock.
    Stopped {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// What came of it.
        result: Result<Millis, CallError>,
    },
    /// An answer to a call for advice came.
    Advised {
        /// The call.
        id: u64,
        /// How long the tickets hold, if the answer says so.
        valid: Option<Millis>,
        /// Who is allowed, with their tickets; `None` if there was no answer.
        allowed: Option<Vec<(WorkerId, Name)>>,
    },
    /// The instances that can call for advice.
    AdviceCallers(BTreeSet<InstanceId>),
}
