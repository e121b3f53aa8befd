//! The inputs of the dispatcher.

use std::collections::BTreeSet;

use clock::Millis;
use model::{InstanceId, Name};
use workload::{TaskKey, WorkerId};

use crate::call::{Call, CallTimes};
use crate::worker_messages::{CallError, Report, WorkerAnnouncement};

/// The identifier of a call until it is answered.
pub type Token = u64;

/// The time of an input.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moment {
    /// The monotonic clock.
    pub now: Millis,
    /// The wall clock, which may jump.
    pub wall: Millis,
    /// The time by the monotonic clock until which no other instance can lead.
    pub leads_until: Millis,
}

/// An input of the dispatcher.
#[derive(Clone, Debug)]
pub enum Input {
    /// A periodic tick.
    Tick,
    /// The batch with this number and all batches before it are committed.
    Committed(u64),
    /// A call of a caller or an operator.
    Call {
        /// The identifier that the answer repeats.
        token: Token,
        /// The call itself.
        call: Call,
    },
    /// A call of which an earlier attempt may have been carried out.
    RepeatedCall {
        /// The identifier that the answer repeats.
        token: Token,
        /// The call itself.
        call: Call,
    },
    /// A call that must not be carried out after its time limit.
    TimedCall {
        /// The identifier that the answer repeats.
        token: Token,
        /// The call itself.
        call: Call,
        /// Whether an earlier attempt may have been carried out.
        repeated: bool,
        /// The times of the call.
        times: CallTimes,
    },
    /// An announcement of a worker.
    Announcement(WorkerAnnouncement),
    /// A worker that reports that it is shutting down now.
    Left(WorkerId),
    /// The result of a renewal.
    Renewed {
        /// The worker.
        worker: WorkerId,
        /// When the renewal was sent.
        sent_at: Millis,
        /// The worker's report, or why there is none.
        result: Result<Report, CallError>,
    },
    /// The result of a renewal that another instance held.
    WatchEnded {
        /// The worker.
        worker: WorkerId,
        /// When the renewal was first sent.
        sent_at: Millis,
        /// Whether it failed before its answer was due, because the connection broke.
        broke: bool,
        /// The worker's report, or why there is none.
        result: Result<Report, CallError>,
    },
    /// The clocks of workers at which other instances hold renewals.
    WorkerClocks(Vec<(WorkerId, Millis)>),
    /// The result of a start.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskKey,
        /// The number of the run.
        run: u32,
        /// The worker's clock, or why the start failed.
        result: Result<Millis, CallError>,
    },
    /// The result of a stop.
    Stopped {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskKey,
        /// The number of the run.
        run: u32,
        /// The worker's clock, or why the stop failed.
        result: Result<Millis, CallError>,
    },
    /// The answer to a call for advice.
    Advised {
        /// The number of the call.
        id: u64,
        /// How long the tickets are valid, if the answer says so.
        valid: Option<Millis>,
        /// The allowed workers with their tickets; `None` if there was no answer.
        allowed: Option<Vec<(WorkerId, Name)>>,
    },
    /// The instances that can call for advice.
    AdviceCallers(BTreeSet<InstanceId>),
}
