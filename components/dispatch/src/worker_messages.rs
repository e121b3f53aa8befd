//! The messages exchanged with workers, independent of the wire format.

use std::sync::Arc;

use clock::Millis;
use model::Name;
use serde::{Deserialize, Serialize};
use workload::{End, TaskKey, WorkerId, WorkerInfo};

/// An announcement that a worker makes about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerAnnouncement {
    /// The worker's identity and capacity.
    pub info: WorkerInfo,
    /// Whether the worker has announced that it is leaving.
    pub leaving: bool,
    /// How long a leaving worker will certainly stay.
    pub remaining: Option<Millis>,
    /// The number of the announcement; a lower number is older.
    pub number: u64,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The number of its run.
    pub run: u32,
    /// The job's text, passed on unchanged.
    pub spec: Name,
    /// The end of the lease on the worker's clock.
    pub deadline: Millis,
    /// The leader's term, which is the fencing token.
    pub fence: u64,
    /// The checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: Arc<str>,
    /// The permission to run the step there, on queues with advice.
    pub ticket: Option<Name>,
    /// How long to wait for the answer.
    pub answer_timeout: Millis,
}

/// An order to stop a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// The task.
    pub task: TaskKey,
    /// The number of its run.
    pub run: u32,
    /// The leader's term, which is the fencing token.
    pub fence: u64,
    /// How long to wait for the answer.
    pub answer_timeout: Millis,
}

/// An order that renews the lease of everything that runs on a worker and requests a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewOrder {
    /// The leader's term, which is the fencing token.
    pub fence: u64,
    /// The number of the last run end in the log. The worker may drop it and all earlier ones.
    pub seen: u64,
    /// The end of the lease on the worker's clock; `None` leaves the lease unchanged.
    pub deadline: Option<Millis>,
    /// How long the worker may wait for a run to end before it answers.
    pub wait: Millis,
    /// How long to wait for the answer in addition to `wait`.
    pub answer_timeout: Millis,
}

/// The status of a run in a worker's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunStatus {
    /// The task.
    pub task: TaskKey,
    /// The number of its run.
    pub run: u32,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// The completed part of the work, in percent.
    pub percent: u32,
    /// The usage over the last half second: for a task with a target latency the tail of its
    /// response times in milliseconds, for others the processor time in thousandths of a core.
    pub usage: Option<u64>,
}

/// A worker's answer to a [`RenewOrder`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's clock.
    pub clock: Millis,
    /// The runs in progress.
    pub running: Vec<RunStatus>,
    /// The runs that ended since [`RenewOrder::seen`], in ascending order of their number. A worker
    /// may list only the first of them.
    pub ends: Vec<End>,
    /// Whether `ends` certainly lists all of them. Only then is a run that is in neither list not on
    /// the worker. Instances do not send it to each other, since earlier versions cannot read it.
    #[serde(skip)]
    pub lists_all_ends: bool,
}

/// Why a worker refused an order. It has not carried out any of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fence,
    /// The run's number is not above that of a run of the task that was stopped or ended there.
    Outdated,
    /// The deadline has passed.
    Late,
    /// The worker has too little free capacity.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// The worker cannot parse the order.
    Malformed,
    /// The worker is unhealthy.
    Unhealthy,
    /// Another incarnation of the worker answered.
    OtherLife,
}

/// Why an order failed, or may have failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallError {
    /// The worker refused.
    Refused(Refusal),
    /// There was no answer. The order may have been carried out, or may still be carried out later.
    Silent(Name),
    /// The order was certainly not sent, for lack of a connection or of time.
    NotSent(Name),
    /// The worker now reports its incarnation, and this one answered a renewal that named none.
    Named(WorkerId),
}
