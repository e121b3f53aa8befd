//! An adaptive timeout for the answers to orders.
//!
//! An order without an answer delays its job until the order times out. But a leader that is short
//! of processor time also handles answers late, and resending orders in that state adds to its
//! load. The timeout therefore follows the observed answer times.

use clock::Millis;

use crate::limits::{MAX_ANSWER_TIMEOUT, MIN_ANSWER_TIMEOUT};

/// The fraction by which a new answer time moves the mean, and by which its distance from the mean
/// moves the deviation: the usual gains of a retransmission timer.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// The number of deviations above the mean after which an answer counts as lost.
const DEVIATIONS: f64 = 4.0;

/// The running mean and deviation of answer times, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerTimes {
    mean: f64,
    deviation: f64,
}

impl AnswerTimes {
    /// Creates an estimate with the maximum timeout, since a new leader has many answers to handle
    /// at first.
    pub(crate) fn unknown() -> AnswerTimes {
        AnswerTimes { mean: MAX_ANSWER_TIMEOUT.0 as f64, deviation: 0.0 }
    }

    /// Records how long an answer took, or how long the dispatcher waited for one that did not
    /// come.
    pub(crate) fn record(&mut self, took: Millis) {
        let distance = took.0 as f64 - self.mean;
        self.mean += MEAN_GAIN * distance;
        self.deviation += DEVIATION_GAIN * (distance.abs() - self.deviation);
    }

    /// Returns the timeout for the next answer.
    pub(crate) fn limit(&self) -> Millis {
        let limit = Millis((self.mean + DEVIATIONS * self.deviation) as u64);
        limit.max(MIN_ANSWER_TIMEOUT).min(MAX_ANSWER_TIMEOUT)
    }
}
