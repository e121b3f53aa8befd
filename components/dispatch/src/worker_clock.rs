//! Converts between the leader's clock and a worker's clock, which is known only from answers that
//! arrive with a delay.

use clock::Millis;

use crate::limits::{LEASE_EXPIRY_MARGIN, MAX_CLOCK_DRIFT_PERCENT};

/// A reading of a worker's clock from an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ClockReading {
    /// When the answer arrived, by the leader's clock. The reading is at least this old.
    pub(crate) at: Millis,
    /// The worker's clock as read.
    pub(crate) clock: Millis,
}

impl ClockReading {
    /// Returns a time that the worker's clock reaches at `span` from now or slightly earlier.
    pub(crate) fn deadline(&self, now: Millis, span: Millis) -> Millis {
        self.clock + now.since(self.at) + span
    }

    /// Returns the time on the leader's clock by which the worker's clock has certainly passed
    /// `deadline`, even at the maximum clock drift.
    pub(crate) fn certainly_past(&self, deadline: Millis) -> Millis {
        self.at
            + deadline.since(self.clock).plus_percent(MAX_CLOCK_DRIFT_PERCENT)
            + LEASE_EXPIRY_MARGIN
    }
}
