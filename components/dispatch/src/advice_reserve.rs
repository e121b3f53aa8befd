//! The number of instances reserved for short calls for advice.
//!
//! Load pattern: hundreds of batch steps wait for calls of half a second each, and quick steps
//! arrive in bursts whose calls take some ten milliseconds. Without reserved instances a quick step
//! waits for a long call to end; with more reserved than quick steps use, workers are idle while
//! batch steps wait for a call.

use std::f64::consts::LN_2;

use clock::Millis;

/// The divisor for the maximum: at most one in this many instances is reserved.
const MAX_RESERVED_CALLERS_DIVISOR: usize = 3;
/// The divisor for the minimum: at least one in this many instances is reserved, so that one is
/// free for an unexpected burst.
const MIN_RESERVED_CALLERS_DIVISOR: usize = 8;
/// How many instances are reserved per instance that short calls keep busy on average, because such
/// calls arrive in bursts.
const RESERVED_PER_BUSY_CALLER: f64 = 2.0;
/// The half-life of a call in that average.
const LOAD_HALF_LIFE: Millis = Millis(2_000);

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
    fn from_busy(busy: f64, now: Millis) -> Load {
        Load { ms: busy * LOAD_HALF_LIFE.0 as f64 / LN_2, at: now }
    }

    fn decayed_ms(&self, now: Millis) -> f64 {
        let half_lives = now.since(self.at).0 as f64 / LOAD_HALF_LIFE.0 as f64;
        self.ms * 0.5_f64.powf(half_lives)
    }

    /// Returns how many instances the load keeps busy on average.
    fn busy(&self, now: Millis) -> f64 {
        self.decayed_ms(now) * LN_2 / LOAD_HALF_LIFE.0 as f64
    }
}

impl AdviceReserve {
    /// Records a short call that is made and takes so long.
    pub(crate) fn record(&mut self, now: Millis, duration_ms: f64) {
        let before = self.load.map_or(0.0, |load| load.decayed_ms(now));
        self.load = Some(Load { ms: before + duration_ms, at: now });
    }

    /// Returns how many of so many instances are reserved. A new leader reserves the maximum until
    /// it has observed how many calls there are.
    pub(crate) fn reserved_instances(&mut self, now: Millis, instances: usize) -> usize {
        let max = instances / MAX_RESERVED_CALLERS_DIVISOR;
        let min = instances / MIN_RESERVED_CALLERS_DIVISOR;
        let initial = Load::from_busy(max as f64 / RESERVED_PER_BUSY_CALLER, now);
        let load = self.load.get_or_insert(initial);
        let wanted = (load.busy(now) * RESERVED_PER_BUSY_CALLER).ceil() as usize;
        wanted.clamp(min, max)
    }
}
