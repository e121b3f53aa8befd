//! What is said to workers and heard from them, in the product's own terms.

use std::sync::Arc;

use clock::Millis;
use model::Name;
use serde::{Deserialize, Serialize};
use workload::{End, TaskKey, WorkerId, WorkerInfo};

/// What a worker announces of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerAnnouncement {
    /// Who it is and what it has.
    pub info: WorkerInfo,
    /// Whether it has said that it is leaving.
    pub leaving: bool,
    /// For how much longer it surely stays, once it is leaving.
    pub remaining: Option<Millis>,
    /// The number of the announcement; a lower one is older.
    pub number: u64,
}

/// Begin a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The number of its run.
    pub run: u32,
    /// The job's text, handed on as it is.
    pub spec: Name,
    /// The lease, a time on the worker's clock.
    pub deadline: Millis,
    /// The leader's term.
    pub fence: u64,
    /// Where to go on from; empty to begin anew.
    pub checkpoint: Arc<str>,
    /// The leave to run the step there, on queues with advice.
    pub ticket: Option<Name>,
    /// How long the answer is awaited.
    pub answer_timeout: Millis,
}

/// End a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// The task.
    pub task: TaskKey,
    /// The number of its run.
    pub run: u32,
    /// The leader's term.
    pub fence: u64,
    /// How long the answer is awaited.
    pub answer_timeout: Millis,
}

/// Renew the lease of everything that runs on a worker, and tell what runs and what has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RenewOrder {
    /// The leader's term.
    pub fence: u64,
    /// The last end that the log holds; the worker may forget it and all before.
    pub seen: u64,
    /// The lease, a time on the worker's clock; `None` leaves it as it is.
    pub deadline: Option<Millis>,
    /// How long the worker may wait for an end before it answers.
    pub wait: Millis,
    /// How much longer than that the answer is awaited.
    pub answer_timeout: Millis,
}

/// A run as its worker lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunStatus {
    /// The task.
    pub task: TaskKey,
    /// The number of its run.
    pub run: u32,
    /// Its progress; empty if none was kept.
    pub checkpoint: Arc<str>,
    /// How much of its work is done, in percent.
    pub percent: u32,
    /// Over the last half second: of a task with a target latency the tail of its answer times in
    /// milliseconds, of others the processor time in use in thousandths of a core.
    pub usage: Option<u64>,
}

/// What a worker answers to a [`RenewOrder`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The worker's clock.
    pub clock: Millis,
    /// What runs.
    pub running: Vec<RunStatus>,
    /// What has ended since [`RenewOrder::seen`], rising by number.
    pub ends: Vec<End>,
}

/// Why a worker did not do what it was told. It has done nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher fence.
    Fence,
    /// The run is not above one that was stopped or ended there.
    Outdated,
    /// The deadline has passed.
    Late,
    /// It has no room.
    Room,
    /// The ticket does not hold.
    Ticket,
    /// It cannot read the order.
    Malformed,
    /// It is not well.
    Unhealthy,
    /// Another life of the worker answered.
    OtherLife,
}

/// Why an order came to nothing, or may have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The worker refused.
    Refused(Refusal),
    /// There was no answer: the order may have been carried out, or may be later.
    Silent(Name),
    /// The order surely did not leave, for want of a connection or of time.
    NotSent(Name),
    /// The worker tells its incarnations by now, and this life answered a renewal that named none.
    Named(WorkerId),
}
