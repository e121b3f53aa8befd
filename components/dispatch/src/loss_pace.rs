//! The pace at which workers are lost for reasons that have nothing to do with a run, and how
//! likely a run is hit at that pace.

use clock::Millis;

use crate::limits::{
    LOSS_RETENTION, MAX_CHANCE_OF_ONE_LOSS, MAX_CLUSTER_SIZE_RATIO, MAX_FAULT_LOSSES_PER_SECOND,
    MIN_SERIES_FRACTION,
};
use crate::losses::LossTime;

/// What fraction of the unrelated workers was lost in a span around a loss.
#[derive(Clone, Copy, Debug)]
struct SpanLosses {
    duration: f64,
    fraction: f64,
}

/// The losses of workers that ran nothing of a job, around the loss of one that did.
#[derive(Clone, Debug, Default)]
pub(crate) struct LossPace {
    spans: Vec<SpanLosses>,
    /// The number of unrelated workers, including the lost ones.
    workers: usize,
    /// How many of them were lost.
    lost: usize,
}

impl LossPace {
    /// Returns the pace around a loss, given the times at which unrelated workers were lost and
    /// their number including the lost ones. Losses are known until `known_until`. A run on several
    /// workers, given by `width`, is hit the more often, so less is put down to other faults.
    ///
    /// Spans from the resolution of the time up to [`LOSS_RETENTION`] are looked at, before the
    /// loss, after it and around it: short ones show a burst, long ones a slow series, and a series
    /// may start or end with the loss.
    pub(crate) fn around(
        at: LossTime,
        mut times: Vec<Millis>,
        workers: usize,
        width: usize,
        known_until: Millis,
    ) -> LossPace {
        let (resolution, at) = (at.detection.resolution(), at.silent_since);
        times.retain(|t| t.since(at).max(at.since(*t)) <= LOSS_RETENTION);
        times.sort_unstable();
        let lost = times.len();
        let workers = workers.max(lost).max(1);
        let times = limit_clusters(&times, at, resolution);
        let span = |from: Millis, to: Millis| {
            let duration = to.min(known_until).since(from).0.max(1) as f64;
            let index = |t: Millis| times.partition_point(|other| *other < t);
            let lost = index(to + Millis(1)).saturating_sub(index(from));
            // Workers are restarted once in a series, so the others are hit the more often.
            let restarted = index(at.since(resolution)).saturating_sub(index(from));
            let at_risk = workers - restarted.min(workers / 2);
            // Faults of other tasks explain one loss, and the variation of their number.
            let faults = MAX_FAULT_LOSSES_PER_SECOND / 1_000.0 * workers as f64 * duration;
            let excess = lost as f64 - 1.0 - faults.sqrt() / width as f64;
            SpanLosses { duration, fraction: excess / at_risk as f64 }
        };
        let reaches = std::iter::successors(Some(resolution), |r| {
            (*r < LOSS_RETENTION).then(|| (*r + *r).min(LOSS_RETENTION))
        });
        let spans = reaches.flat_map(|reach| {
            let (before, after) = (at.since(reach), at + reach);
            let (from, to) = (at.since(resolution), at + resolution);
            [span(before, to), span(from, after), span(before, after)]
        });
        LossPace { spans: spans.filter(|s| s.fraction > 0.0).collect(), workers, lost }
    }

    /// Returns the chance that a worker is lost within some time at the fastest pace seen. Losses of
    /// a span that is shorter than that time are not extrapolated.
    ///
    /// A series with regular intervals hits a task that starts again after each loss at few
    /// different ages, so the chance is no less than that of being hit by one loss of the series.
    pub(crate) fn chance_within(&self, time: f64) -> f64 {
        let fraction = self.spans.iter().map(|s| s.fraction).fold(0.0, f64::max);
        let is_series = (fraction / MIN_SERIES_FRACTION).min(1.0);
        let of_one_loss = (2.0 / self.workers.max(1) as f64).min(MAX_CHANCE_OF_ONE_LOSS);
        let chance = |s: &SpanLosses| s.fraction * (time / s.duration).min(1.0);
        self.spans.iter().map(chance).fold(of_one_loss * is_series, f64::max)
    }

    /// Returns the number of unrelated workers and how many of them were lost, for the log.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.workers, self.lost)
    }
}

/// Limits how many of the losses at one moment are counted, by how many there were at the moment
/// `at`: had a restart of many workers at once hit the run, the others would have been lost with it.
fn limit_clusters(times: &[Millis], at: Millis, resolution: Millis) -> Vec<Millis> {
    let is_with_it = |t: &&Millis| t.since(at).max(at.since(**t)) <= resolution;
    let own_size = times.iter().filter(is_with_it).count() + 1;
    let mut cluster = (Millis::ZERO, 0);
    let mut is_counted = |t: &Millis| {
        if cluster.1 == 0 || t.since(cluster.0) > resolution {
            cluster = (*t, 0);
        }
        cluster.1 += 1;
        cluster.1 <= MAX_CLUSTER_SIZE_RATIO * own_size
    };
    times.iter().copied().filter(|t| is_counted(t)).collect()
}
