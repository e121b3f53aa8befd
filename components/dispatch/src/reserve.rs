//! How many instances are kept free of calls for advice that take long.
//!
//! Load pattern: hundreds of batch steps wait for calls of half a second each, and quick steps come in bursts whose
//! calls are over in some ten milliseconds. Without instances kept free a quick step waits for a long call to end;
//! with more kept free than quick steps use, workers stand idle while batch steps wait for a call.

use std::f64::consts::LN_2;

use clock::Millis;

/// At most one of so many instances is kept free.
const MOST_KEPT_ONE_IN: usize = 3;
/// At least one of so many is kept free, so that there is one for a burst that nothing announces.
const LEAST_KEPT_ONE_IN: usize = 8;
/// How many instances are kept free for each one that short calls keep busy on average: they come in bursts.
const KEPT_A_BUSY: f64 = 2.0;
/// After what time a call counts half in that average.
const HALF_AFTER: Millis = Millis(2_000);

/// How many instances short calls kept busy of late.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reserve {
    /// `None` before anything is known.
    load: Option<Load>,
}

/// The time that calls took, each the less the longer ago it was made.
#[derive(Clone, Copy, Debug)]
struct Load {
    ms: f64,
    at: Millis,
}

impl Load {
    /// Gives the load of so many busy instances.
    fn of_busy(busy: f64, now: Millis) -> Load {
        Load { ms: busy * HALF_AFTER.0 as f64 / LN_2, at: now }
    }

    fn faded_ms(&self, now: Millis) -> f64 {
        let halves = now.since(self.at).0 as f64 / HALF_AFTER.0 as f64;
        self.ms * 0.5_f64.powf(halves)
    }

    /// Gives how many instances it keeps busy on average.
    fn busy(&self, now: Millis) -> f64 {
        self.faded_ms(now) * LN_2 / HALF_AFTER.0 as f64
    }
}

impl Reserve {
    /// Notes that a short call is made that takes so long.
    pub(crate) fn note(&mut self, now: Millis, takes_ms: f64) {
        let before = self.load.map_or(0.0, |load| load.faded_ms(now));
        self.load = Some(Load { ms: before + takes_ms, at: now });
    }

    /// Gives how many of so many instances are kept free. A new leader keeps the most, until it has seen how many
    /// calls there are.
    pub(crate) fn kept(&mut self, now: Millis, instances: usize) -> usize {
        let most = instances / MOST_KEPT_ONE_IN;
        let least = instances / LEAST_KEPT_ONE_IN;
        let unknown = Load::of_busy(most as f64 / KEPT_A_BUSY, now);
        let load = self.load.get_or_insert(unknown);
        let wanted = (load.busy(now) * KEPT_A_BUSY).ceil() as usize;
        wanted.clamp(least, most)
    }
}
