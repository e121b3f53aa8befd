//! How long workers take to answer an order, and so how long to wait before it is sent again.
//!
//! An order that gets no answer makes its job late by as long as the answer was awaited. But a leader
//! that is short of its processor takes in answers late, and one that sends orders again for that has
//! even more to do; so what is awaited follows what answers take, as seen here.

use clock::Millis;

use crate::limits::{MAX_ANSWER_TIMEOUT, MIN_ANSWER_TIMEOUT};

/// By what part a new answer moves the mean, and its distance from the mean the deviation: the usual
/// weights of a retransmission timer.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// How many deviations above the mean an answer counts as lost.
const DEVIATIONS: f64 = 4.0;

/// A running mean of the time that answers take, and how far they stray from it, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerTimes {
    mean: f64,
    deviation: f64,
}

impl AnswerTimes {
    /// Begins with as long a wait as any: a new leader has its hands full.
    pub(crate) fn unknown() -> AnswerTimes {
        AnswerTimes { mean: MAX_ANSWER_TIMEOUT.0 as f64, deviation: 0.0 }
    }

    /// Takes in how long an answer took, or how long one was awaited in vain.
    pub(crate) fn record(&mut self, took: Millis) {
        let distance = took.0 as f64 - self.mean;
        self.mean += MEAN_GAIN * distance;
        self.deviation += DEVIATION_GAIN * (distance.abs() - self.deviation);
    }

    /// Gives how long to wait for the next answer.
    pub(crate) fn limit(&self) -> Millis {
        let limit = Millis((self.mean + DEVIATIONS * self.deviation) as u64);
        limit.max(MIN_ANSWER_TIMEOUT).min(MAX_ANSWER_TIMEOUT)
    }
}
