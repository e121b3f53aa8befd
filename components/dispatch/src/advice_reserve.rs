//! The number of instances reserved for short calls for advice.
//!
//! Load pattern: hundreds of batch steps wait for calls of half a second each, and quick steps
//! arrive in bursts whose calls take some ten milliseconds. Without reserved instances a quick step
//! waits for a long call to end; with more reserved than quick steps use, workers are idle while
//! batch steps wait for a call.

use std::f64::consts::LN_2;

use clock::Millis;

/// The divisor for the maximum: at most one in this many instances is reserved.
const MOST_KEPT_ONE_IN: usize = 3;
/// The divisor for the minimum: at least one in this many instances is reserved, so that one is
/// free for an unexpected burst.
const LEAST_KEPT_ONE_IN: usize = 8;
/// How many instances are reserved per instance that short calls keep busy on average, because such
/// calls arrive in bursts.
const KEPT_A_BUSY: f64 = 2.0;
/// The half-life of a call in that average.
const HALF_AFTER: Millis = Millis(2_000);

/// The number of instances that short calls recently kept busy.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AdviceReserve {
    /// `None` before any load is known.
    load: Option<Load>,
}

/// The time that calls took, decaying with their age.
#[derive(Clone, Copy, Debug)]
struct Load {
    ms: f64,
    at: Millis,
}

impl Load {
    /// Returns the load that corresponds to so many busy instances.
    fn of_busy(busy: f64, now: Millis) -> Load {
        Load { ms: busy * HALF_AFTER.0 as f64 / LN_2, at: now }
    }

    fn faded_ms(&self, now: Millis) -> f64 {
        let halves = now.since(self.at).0 as f64 / HALF_AFTER.0 as f64;
        self.ms * 0.5_f64.powf(halves)
    }

    /// Returns how many instances the load keeps busy on average.
    fn busy(&self, now: Millis) -> f64 {
        self.faded_ms(now) * LN_2 / HALF_AFTER.0 as f64
    }
}

impl AdviceReserve {
    /// Records a short call that is made and takes so long.
    pub(crate) fn record(&mut self, now: Millis, takes_ms: f64) {
        let before = self.load.map_or(0.0, |load| load.faded_ms(now));
        self.load = Some(Load { ms: before + takes_ms, at: now });
    }

    /// Returns how many of so many instances are reserved. A new leader reserves the maximum until
    /// it has observed how many calls there are.
    pub(crate) fn reserved_instances(&mut self, now: Millis, instances: usize) -> usize {
        let most = instances / MOST_KEPT_ONE_IN;
        let least = instances / LEAST_KEPT_ONE_IN;
        let unknown = Load::of_busy(most as f64 / KEPT_A_BUSY, now);
        let load = self.load.get_or_insert(unknown);
        let wanted = (load.busy(now) * KEPT_A_BUSY).ceil() as usize;
        wanted.clamp(least, most)
    }
}
