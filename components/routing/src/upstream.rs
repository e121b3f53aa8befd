//! The state of one upstream as an instance sees it.

use clock::Millis;
use model::Name;

/// The number of consecutive failures after which an upstream is ejected for a while.
const FAILURES_TO_EJECT: u32 = 3;
/// The duration of the first ejection. It doubles with each further one.
const INITIAL_EJECTION: Millis = Millis(500);
/// The maximum duration of an ejection. A longer one would keep an upstream that has recovered
/// without requests.
const MAX_EJECTION: Millis = Millis(30_000);
/// The weight of the newest latency in the moving average, as a divisor.
const LATENCY_SMOOTHING: u64 = 8;
/// Microseconds in a millisecond. Latencies are kept in microseconds so that fast requests can be
/// told apart.
pub(crate) const MICROS_PER_MILLI: u64 = 1_000;
/// The percentage of the limit that remains when the upstream reports that it is busy.
const BUSY_LIMIT_PERCENT: u64 = 70;
/// The units of the limit for each slot: limits are kept in hundredths of a slot.
const LIMIT_SCALE: u64 = 100;

/// Whether an upstream accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It accepts requests.
    Live,
    /// It is leaving or drained, and gets no new requests.
    Leaving,
}

/// An upstream as this instance sees it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name.
    pub name: Name,
    /// Whether it accepts requests.
    pub state: TargetState,
    /// The number of requests that this instance has in flight there.
    pub in_flight: u32,
    /// The load that it reported in its last answer, over all instances.
    pub reported_load: u32,
    latency: u64,
    failures: u32,
    ejected_until: Millis,
    next_ejection: Millis,
    /// Whether the upstream gets one request at a time to probe it after an ejection.
    probing: bool,
    limit: u64,
}

impl Target {
    pub(crate) fn new(name: Name) -> Target {
        Target {
            name,
            state: TargetState::Live,
            in_flight: 0,
            reported_load: 0,
            latency: 0,
            failures: 0,
            ejected_until: Millis::ZERO,
            next_ejection: INITIAL_EJECTION,
            probing: false,
            limit: u64::MAX / 2,
        }
    }

    /// Returns whether it is live but ejected.
    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        self.state == TargetState::Live && now < self.ejected_until
    }

    /// Returns when its ejection ends.
    pub(crate) fn ejection_end(&self) -> Millis {
        self.ejected_until
    }

    /// Ends its ejection at `at` if it would last longer.
    pub(crate) fn shorten_ejection(&mut self, at: Millis) {
        self.ejected_until = self.ejected_until.min(at);
        self.next_ejection = INITIAL_EJECTION;
    }

    /// Returns how many more requests this instance may send to it with the share `share`.
    pub(crate) fn free_slots(&self, now: Millis, share: u32) -> u32 {
        if self.state == TargetState::Leaving || self.is_ejected(now) {
            return 0;
        }
        let learned = (self.limit / LIMIT_SCALE).clamp(1, u64::from(u32::MAX)) as u32;
        let allowed = if self.probing { 1 } else { share.min(learned) };
        allowed.saturating_sub(self.in_flight)
    }

    /// Returns the expected wait of a request: the latency times the requests ahead of it and
    /// itself.
    pub(crate) fn cost(&self) -> u64 {
        self.latency.max(MICROS_PER_MILLI / 10).saturating_mul(u64::from(self.in_flight) + 1)
    }

    /// Returns the moving average of the latency in microseconds; zero while unknown.
    pub fn latency(&self) -> u64 {
        self.latency
    }

    pub(crate) fn note_success(&mut self, latency_micros: u64, share: u32) {
        self.failures = 0;
        self.probing = false;
        self.ejected_until = Millis::ZERO;
        self.next_ejection = INITIAL_EJECTION;
        let is_first = self.latency == 0;
        let older = self.latency - self.latency / LATENCY_SMOOTHING;
        self.latency =
            if is_first { latency_micros } else { older + latency_micros / LATENCY_SMOOTHING };
        let full = u64::from(share) * LIMIT_SCALE;
        let step = LIMIT_SCALE * LIMIT_SCALE / self.limit.clamp(LIMIT_SCALE, full.max(LIMIT_SCALE));
        self.limit = self.limit.saturating_add(step).min(full.max(LIMIT_SCALE));
    }

    pub(crate) fn note_busy(&mut self, share: u32) {
        let now = self.limit.min(u64::from(share) * LIMIT_SCALE);
        self.limit = (now * BUSY_LIMIT_PERCENT / 100).max(LIMIT_SCALE);
    }

    pub(crate) fn note_failure(&mut self, now: Millis) {
        // Requests that were sent before the ejection fail for the same cause, and carry no new
        // information.
        if self.is_ejected(now) {
            return;
        }
        self.failures += 1;
        if self.probing || self.failures >= FAILURES_TO_EJECT {
            self.ejected_until = now + self.next_ejection;
            self.next_ejection = Millis(self.next_ejection.0 * 2).min(MAX_EJECTION);
            self.probing = true;
            self.failures = 0;
        }
    }
}
