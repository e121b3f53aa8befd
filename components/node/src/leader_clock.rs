//! Bounds the leader's monotonic clock, so that a call can carry a time limit that the leader can check.
//!
//! How long a message is in transit is unknown to its receiver, and a partition may hold it for seconds. A leader states its
//! clock in each welcome, which takes some time to arrive; the clock shows at least the stated time then. A limit derived from
//! such a lower bound is never too late. docs/design/platform.md, "Calls that are held up", has the reasons.

use clock::Millis;

/// How much slower than this instance's clock the leader's clock may run, in percent. Steady clocks differ by far less; with
/// welcomes every 200 ms this costs a few milliseconds.
const MAX_DRIFT_PERCENT: u64 = 2;

/// A lower bound of the clock of one leader in one term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderClock {
    stated: Millis,
    /// When it was stated or later, by this instance's clock.
    received_at: Millis,
    max_drift_percent: u64,
}

impl LeaderClock {
    /// Creates the bound from a time that the leader stated and that has arrived now.
    pub fn stated(stated: Millis, now: Millis) -> LeaderClock {
        LeaderClock { stated, received_at: now, max_drift_percent: MAX_DRIFT_PERCENT }
    }

    /// Returns the clock of an instance that leads itself.
    pub fn own(now: Millis) -> LeaderClock {
        LeaderClock { stated: now, received_at: now, max_drift_percent: 0 }
    }

    /// Returns the earliest time that the leader's clock may show when this instance's clock shows `at`.
    pub fn at_least(&self, at: Millis) -> Millis {
        if at < self.received_at {
            let before = self.received_at.since(at);
            return self.stated.since(before.plus_percent(self.max_drift_percent));
        }
        let passed = at.since(self.received_at);
        let drift = passed.plus_percent(self.max_drift_percent).since(passed);
        self.stated + passed.since(drift)
    }

    /// Takes a further time that the leader stated, if it makes the bound tighter.
    pub fn tighten(&mut self, stated: Millis, now: Millis) {
        if stated >= self.at_least(now) {
            *self = LeaderClock { stated, received_at: now, ..*self };
        }
    }
}
