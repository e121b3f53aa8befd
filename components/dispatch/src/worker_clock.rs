//! Reckoning with a worker's clock, which we only ever read with delay.

use clock::Millis;

use crate::limits::{LEASE_EXPIRY_MARGIN, MAX_CLOCK_DRIFT_PERCENT};

/// A worker's clock, read in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ClockReading {
    /// When the answer came, by our clock. The reading is at least as old.
    pub(crate) at: Millis,
    /// What the worker's clock said.
    pub(crate) clock: Millis,
}

impl ClockReading {
    /// Gives a time that the worker's clock reaches `span` from now, or a little earlier.
    pub(crate) fn deadline(&self, now: Millis, span: Millis) -> Millis {
        self.clock + now.since(self.at) + span
    }

    /// Gives when the worker's clock has surely passed `deadline`, by our clock, however slowly it
    /// runs.
    pub(crate) fn certainly_past(&self, deadline: Millis) -> Millis {
        self.at
            + deadline.since(self.clock).plus_percent(MAX_CLOCK_DRIFT_PERCENT)
            + LEASE_EXPIRY_MARGIN
    }
}
