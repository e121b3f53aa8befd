//! The leader's view of a worker beyond the replicated state.

use std::collections::BTreeMap;

use clock::Millis;
use workload::{StepKey, TaskKey};

use crate::losses::{LossDetection, LossTime};
use crate::speed::Progress;
use crate::worker_clock::ClockReading;
use crate::worker_health::WorkerHealth;
use crate::worker_messages::RunStatus;

/// The progress of an order to start or stop a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    /// An earlier leader may have sent the start. The first report shows whether the run exists.
    Inherited,
    /// The start waits for its command to be committed.
    Held,
    /// The start is in flight or got no answer.
    Starting,
    /// The worker has confirmed the start.
    Confirmed {
        /// When it was confirmed, by the leader's clock.
        at: Millis,
    },
    /// A stop is in flight or got no answer.
    Stopping,
    /// The worker has confirmed the stop; the end of the run may not have been reported yet.
    Stopped {
        /// When it was confirmed, by the leader's clock.
        at: Millis,
    },
}

impl Stage {
    /// Returns the name of the stage for the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Stage::Inherited => "inherited",
            Stage::Held => "held",
            Stage::Starting => "starting",
            Stage::Confirmed { .. } => "confirmed",
            Stage::Stopping => "stopping",
            Stage::Stopped { .. } => "stopped",
        }
    }
}

/// The order for a run.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) run: u32,
    pub(crate) stage: Stage,
    /// When to send it again; `None` while a call is in flight.
    pub(crate) retry_at: Option<Millis>,
    pub(crate) attempts: u32,
    /// When the run was first ordered, or when this leader's term began if that was later.
    pub(crate) since: Millis,
    /// When the run was first ordered, by any leader, if that is known.
    pub(crate) ordered_at: Option<Millis>,
    /// When the start was last sent.
    pub(crate) sent_at: Millis,
    pub(crate) ticket: Option<model::Name>,
}

impl Order {
    fn exposure(&self) -> Exposure {
        Exposure { since: self.ordered_at.unwrap_or(self.since), ordered_at: self.ordered_at }
    }
}

/// Since when a run has been exposed to losses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exposure {
    /// Since when it is known to have been exposed.
    pub(crate) since: Millis,
    /// When it was first ordered, if that is known.
    pub(crate) ordered_at: Option<Millis>,
}

/// The leader's view of one worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerView {
    /// The number of the worker's latest announcement.
    pub(crate) announcement_number: u64,
    /// The time of the last announcement or answer.
    pub(crate) last_contact: Millis,
    /// Whether the worker has announced that it is leaving.
    pub(crate) leaving: bool,
    pub(crate) clock_reading: Option<ClockReading>,
    /// Whether the worker has reported in this term and answered the last renewal.
    pub(crate) in_contact: bool,
    /// Since when orders or renewals have had no answer, without contact in between.
    pub(crate) silent_since: Option<Millis>,
    /// Whether a call failed before its timeout since the last contact: the incarnation has ended,
    /// or the connection was reset.
    pub(crate) connection_broke: bool,
    /// Whether the first failure noticed was such a broken connection.
    pub(crate) connection_broke_first: bool,
    /// Whether a recurring fault is the likely cause of the silence: when it began, one of the runs
    /// had about the age at which an earlier loss counted against its task.
    pub(crate) fault_recurs: bool,
    /// When everything on the worker has certainly lapsed, by the leader's clock.
    pub(crate) lapses_at: Millis,
    /// Whether a renewal is in flight or held until its commands are committed.
    pub(crate) renewal_in_flight: bool,
    /// When the renewal in flight is due to be answered.
    pub(crate) answer_due: Millis,
    pub(crate) renew_at: Millis,
    pub(crate) orders: BTreeMap<TaskKey, Order>,
    /// The runs whose lease has expired here.
    pub(crate) expired_runs: BTreeMap<TaskKey, Exposure>,
    /// The latest status of each run.
    pub(crate) statuses: BTreeMap<TaskKey, RunStatus>,
    /// The progress of each run.
    pub(crate) progress: BTreeMap<TaskKey, Progress>,
    pub(crate) health: WorkerHealth,
}

impl WorkerView {
    pub(crate) fn new(now: Millis, lapses_at: Millis) -> WorkerView {
        WorkerView {
            announcement_number: 0,
            last_contact: now,
            leaving: false,
            clock_reading: None,
            in_contact: false,
            silent_since: None,
            connection_broke: false,
            connection_broke_first: false,
            fault_recurs: false,
            lapses_at,
            renewal_in_flight: false,
            answer_due: now,
            renew_at: now,
            orders: BTreeMap::new(),
            expired_runs: BTreeMap::new(),
            statuses: BTreeMap::new(),
            progress: BTreeMap::new(),
            health: WorkerHealth::default(),
        }
    }

    /// Returns whether the worker can take new work, whatever its health.
    pub(crate) fn is_usable(&self) -> bool {
        self.in_contact && self.silent_since.is_none() && !self.leaving
    }

    /// Returns the starts that are held or unanswered.
    pub(crate) fn starts(&self) -> impl Iterator<Item = &Order> {
        self.orders.values().filter(|o| matches!(o.stage, Stage::Held | Stage::Starting))
    }

    /// Returns whether something is due at this time without any input. Most workers only hold a
    /// renewal, and servicing each of 3,200 of them took 2.4 ms of processor time per tick.
    pub(crate) fn needs_service(&self, now: Millis) -> bool {
        let renewal_due = !self.renewal_in_flight && now >= self.renew_at;
        let order_due = |o: &Order| o.retry_at.is_some_and(|t| now >= t);
        renewal_due || self.has_lapsed(now) || self.orders.values().any(order_due)
    }

    /// Returns whether the lease of runs here has expired. A run whose start was not sent yet has no
    /// lease, and an idle worker's last one may have expired long ago.
    pub(crate) fn has_lapsed(&self, now: Millis) -> bool {
        now >= self.lapses_at && self.orders.values().any(|o| o.stage != Stage::Held)
    }

    /// Resets the calls in flight and everything read from the worker, so that its next report
    /// counts as its first.
    pub(crate) fn reset_calls(&mut self, now: Millis) {
        self.announcement_number = 0;
        self.clock_reading = None;
        self.in_contact = false;
        self.renewal_in_flight = false;
        self.renew_at = now;
        let under_way = self
            .orders
            .values_mut()
            .filter(|o| matches!(o.stage, Stage::Starting | Stage::Stopping));
        under_way.for_each(|o| o.retry_at = Some(now));
    }

    /// Records a reading of the worker's clock.
    pub(crate) fn record_clock(&mut self, now: Millis, clock: Millis) {
        self.clock_reading = Some(ClockReading { at: now, clock });
        self.last_contact = now;
        self.silent_since = None;
        self.connection_broke = false;
    }

    /// Updates the reading of an idle worker's clock by an estimate of another instance. For a
    /// worker that runs something a reading also tells when the worker was last alive.
    pub(crate) fn refresh_clock(&mut self, now: Millis, clock: Millis) {
        if self.is_usable() && self.clock_reading.is_some() && self.orders.is_empty() {
            self.clock_reading = Some(ClockReading { at: now, clock });
        }
    }

    /// Records that an order or renewal got no answer; `due` is when the answer was due at the
    /// latest, and `recurs` returns whether a fault of a task recurs at an age of its run.
    pub(crate) fn record_silence(
        &mut self,
        now: Millis,
        due: Millis,
        recurs: impl Fn(&TaskKey, Millis) -> bool,
    ) {
        let connection_broke = now < due;
        if self.silent_since.is_none() {
            self.silent_since = Some(now);
            self.connection_broke_first = connection_broke;
            let is_recurring =
                |(task, order): (&TaskKey, &Order)| recurs(task, now.since(order.since));
            self.fault_recurs = self.orders.iter().any(is_recurring);
        }
        self.connection_broke |= connection_broke;
    }

    /// Expires the lease of all runs.
    pub(crate) fn expire_runs(&mut self) {
        let expired = std::mem::take(&mut self.orders);
        self.expired_runs = expired.into_iter().map(|(task, o)| (task, o.exposure())).collect();
        self.statuses.clear();
        self.in_contact = false;
    }

    /// Returns since when the run of a task here has been exposed to losses.
    pub(crate) fn exposure(&self, task: &TaskKey) -> Option<Exposure> {
        let order = self.orders.get(task).map(Order::exposure);
        order.or_else(|| self.expired_runs.get(task).copied())
    }

    /// Returns the same for the first member of a gang here.
    pub(crate) fn exposure_of_gang(&self, gang: &StepKey) -> Option<Exposure> {
        let tasks = self.orders.keys().chain(self.expired_runs.keys());
        let member = tasks.filter(|task| task.step == *gang).min()?;
        self.exposure(member)
    }

    /// Returns when the worker was lost, if it is, and how that was detected.
    pub(crate) fn loss_time(&self, now: Millis) -> LossTime {
        let detection = match (self.clock_reading, self.connection_broke_first) {
            (None, connection_broke) => LossDetection::BeforeTerm { connection_broke },
            (Some(_), true) => LossDetection::ConnectionBroken,
            (Some(_), false) => LossDetection::TimedOut,
        };
        LossTime { silent_since: self.silent_since.unwrap_or(now), detection }
    }

    /// Records and returns the deadline of a lease of `span`, or returns `None` if the clock was
    /// not read yet.
    pub(crate) fn grant_lease(&mut self, now: Millis, span: Millis) -> Option<Millis> {
        let clock_reading = self.clock_reading?;
        let deadline = clock_reading.deadline(now, span);
        self.lapses_at = self.lapses_at.max(clock_reading.certainly_past(deadline));
        Some(deadline)
    }
}
