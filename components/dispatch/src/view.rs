//! What the leader knows of a worker beyond the log.

use std::collections::BTreeMap;

use clock::Millis;
use workload::TaskKey;

use crate::lease::Reading;
use crate::losses::{Known, LostAt};
use crate::order::RunRow;
use crate::speed::Progress;
use crate::standing::Record;

/// How far an order to start or stop a run is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    /// A leader before this one may have sent the start; the first report tells.
    Inherited,
    /// The start waits for its entry to be committed.
    Held,
    /// The start is under way or got no answer.
    Starting,
    /// The worker has confirmed the start.
    Confirmed {
        /// When, by our clock.
        at: Millis,
    },
    /// A stop is under way or got no answer.
    Stopping,
    /// The worker has confirmed the stop; its end may still be on the way.
    Stopped {
        /// When, by our clock.
        at: Millis,
    },
}

impl Stage {
    /// Gives the stage's name for the log.
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

/// The order that stands for one run.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) run: u32,
    pub(crate) stage: Stage,
    /// When it was last sent; `None` while a call is under way.
    pub(crate) retry_at: Option<Millis>,
    pub(crate) tries: u32,
    /// When the run was first ordered.
    pub(crate) since: Millis,
    /// When the start was last sent.
    pub(crate) sent_at: Millis,
    pub(crate) ticket: Option<model::Name>,
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct View {
    /// The number of its newest announcement.
    pub(crate) news: u64,
    /// When it was last heard of, by announcement or answer.
    pub(crate) heard_at: Millis,
    /// Whether it said that it is leaving.
    pub(crate) leaving: bool,
    pub(crate) reading: Option<Reading>,
    /// Whether it has reported in this term and answered the last renewal.
    pub(crate) in_contact: bool,
    /// Since when an order or a renewal has had no answer, with no sign of life since.
    pub(crate) silent_since: Option<Millis>,
    /// Whether a call has broken off since the last sign of life, before its time was over: its life has ended then,
    /// or its connection was reset.
    pub(crate) broke_off: bool,
    /// Whether that was the first that was noticed.
    pub(crate) broke_off_first: bool,
    /// When everything on it has surely lapsed, by our clock.
    pub(crate) lapses_at: Millis,
    /// Whether a renewal is under way or held.
    pub(crate) renewing: bool,
    /// When that is due to be answered.
    pub(crate) answer_due: Millis,
    pub(crate) renew_at: Millis,
    pub(crate) orders: BTreeMap<TaskKey, Order>,
    /// The newest row of each run.
    pub(crate) rows: BTreeMap<TaskKey, RunRow>,
    /// How fast each run comes on.
    pub(crate) progress: BTreeMap<TaskKey, Progress>,
    pub(crate) record: Record,
}

impl View {
    pub(crate) fn new(now: Millis, lapses_at: Millis) -> View {
        View {
            news: 0,
            heard_at: now,
            leaving: false,
            reading: None,
            in_contact: false,
            silent_since: None,
            broke_off: false,
            broke_off_first: false,
            lapses_at,
            renewing: false,
            answer_due: now,
            renew_at: now,
            orders: BTreeMap::new(),
            rows: BTreeMap::new(),
            progress: BTreeMap::new(),
            record: Record::default(),
        }
    }

    /// Tells whether the worker can take new work, however it fares with it.
    pub(crate) fn is_usable(&self) -> bool {
        self.in_contact && self.silent_since.is_none() && !self.leaving
    }

    /// Tells whether time alone asks for something to be done: most workers just have a renewal waiting, and
    /// going into each of 3,200 of them took 2.4 ms of a processor at each tick.
    pub(crate) fn wants_tending(&self, now: Millis) -> bool {
        let renewal_due = !self.renewing && now >= self.renew_at;
        let order_due = |o: &Order| o.retry_at.is_some_and(|t| now >= t);
        renewal_due || now >= self.lapses_at || self.orders.values().any(order_due)
    }

    /// Forgets the calls under way and what was read of the worker, so that its next report tells all anew.
    pub(crate) fn forget_calls(&mut self, now: Millis) {
        self.news = 0;
        self.reading = None;
        self.in_contact = false;
        self.renewing = false;
        self.renew_at = now;
        let under_way = self
            .orders
            .values_mut()
            .filter(|o| matches!(o.stage, Stage::Starting | Stage::Stopping));
        under_way.for_each(|o| o.retry_at = Some(now));
    }

    /// Takes in a reading of the worker's clock.
    pub(crate) fn read_clock(&mut self, now: Millis, clock: Millis) {
        self.reading = Some(Reading { at: now, clock });
        self.heard_at = now;
        self.silent_since = None;
        self.broke_off = false;
    }

    /// Notes that an order or a renewal that was due to be answered at some time got no answer.
    pub(crate) fn note_silence(&mut self, now: Millis, due: Millis) {
        let broke_off = now < due;
        if self.silent_since.is_none() {
            self.silent_since = Some(now);
            self.broke_off_first = broke_off;
        }
        self.broke_off |= broke_off;
    }

    /// Gives when the worker was lost, if it is by now, and how well that is known.
    pub(crate) fn lost_at(&self, now: Millis) -> LostAt {
        let known = match (self.reading, self.broke_off_first) {
            (None, _) => Known::BeforeTerm,
            (Some(_), true) => Known::AtOnce,
            (Some(_), false) => Known::ByTimeLimit,
        };
        LostAt { silent_since: self.silent_since.unwrap_or(now), known }
    }

    /// Gives the deadline of a lease of `span` and notes it, or `None` before the clock was read.
    pub(crate) fn grant(&mut self, now: Millis, span: Millis) -> Option<Millis> {
        let reading = self.reading?;
        let deadline = reading.deadline(now, span);
        self.lapses_at = self.lapses_at.max(reading.surely_past(deadline));
        Some(deadline)
    }
}
