//! Tracks recently lost workers, and estimates how likely a run was affected by the loss of its
//! worker by chance.
//!
//! A rack that loses power, or a restart of many workers, ends the workers whatever runs on them. A
//! faulty run differs from a healthy one in how many workers without any run of its job were lost
//! together with its own. If there are more than faulty tasks can crash by themselves, the losses
//! have another cause, which was as likely to hit this run as any other.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};

use clock::Millis;
use model::Name;
use workload::{FULL_WEIGHT, JobId};

use crate::limits::{
    LOSS_RATE_WINDOW, LOST_TOGETHER_GAP_RANGE, MAX_BUSY_RENEWAL_WAIT, MAX_CHANCE_FOR_FULL_WEIGHT,
    MAX_LOST_TO_TASKS_PER_SECOND, MIN_CHANCE_TO_EXCUSE, MIN_LOST_TOGETHER_PER_SECOND,
};

/// How the loss of a worker was detected, which determines how well its time is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossDetection {
    /// Its connections broke, so the time of the loss is known.
    ConnectionBroken,
    /// A call to it timed out; the worker was lost at some earlier time.
    TimedOut,
    /// It was already gone when this leader first called it.
    BeforeTerm,
}

/// The time of a worker's loss.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LossTime {
    /// When contact with the worker ended.
    pub(crate) silent_since: Millis,
    pub(crate) detection: LossDetection,
}

/// The loss of another worker, relative to a run whose own worker is lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OtherLoss {
    pub(crate) at: LossTime,
    /// Whether the worker ran anything of the run's job, so that the same fault may have caused
    /// both losses.
    pub(crate) is_related: bool,
}

/// The loss of a worker.
#[derive(Clone, Debug)]
struct Loss {
    at: LossTime,
    service: Name,
    /// The jobs with runs on the worker.
    jobs: BTreeSet<JobId>,
}

/// A run whose worker is lost.
#[derive(Clone, Debug)]
pub(crate) struct LostRun {
    pub(crate) job: JobId,
    pub(crate) service: Name,
    pub(crate) began: Millis,
    /// When the run's worker was lost.
    pub(crate) at: LossTime,
    /// The number of workers that the task runs on: more than one for a gang.
    pub(crate) workers: usize,
}

impl LostRun {
    /// Returns how strongly the loss of its worker counts against the run, up to [`FULL_WEIGHT`].
    /// It depends on when other workers of its service that run nothing of its job were lost, and
    /// on how many there are. The weight is proportional to the logarithm of the chance, so weights
    /// of independent losses add up as their chances multiply.
    pub(crate) fn weight(&self, others: &[OtherLoss], worker_count: usize) -> u16 {
        let unrelated = others.iter().filter(|o| !o.is_related).count();
        let worker_count = worker_count.max(unrelated).max(1) as f64;
        let share = match self.at.detection {
            LossDetection::ConnectionBroken => {
                excess_loss_share(self.lost_in_series(others, worker_count), worker_count)
            }
            LossDetection::TimedOut => excess_loss_share(self.lost_silently(others), worker_count),
            LossDetection::BeforeTerm => return FULL_WEIGHT,
        };
        let together = chance(share, self.workers);
        let by_rate = chance(self.expected_loss_share(others, worker_count), self.workers);
        let by_rate = if by_rate >= MIN_CHANCE_TO_EXCUSE { by_rate } else { 0.0 };
        let chance = together.max(by_rate).max(f64::MIN_POSITIVE);
        let weight = (chance.ln() / MAX_CHANCE_FOR_FULL_WEIGHT.ln()).clamp(0.0, 1.0);
        (weight * f64::from(FULL_WEIGHT)).round() as u16
    }

    /// Returns the number of unrelated workers lost in an uninterrupted series with this run's
    /// worker, faster than faulty tasks crash workers.
    fn lost_in_series(&self, others: &[OtherLoss], worker_count: f64) -> usize {
        let max_gap = max_gap(worker_count);
        let with_broken_connection =
            others.iter().filter(|o| o.at.detection == LossDetection::ConnectionBroken);
        let (mut before, mut after): (Vec<OtherLoss>, Vec<OtherLoss>) =
            with_broken_connection.partition(|o| o.at.silent_since <= self.at.silent_since);
        before.sort_unstable_by_key(|o| Reverse(o.at.silent_since));
        after.sort_unstable_by_key(|o| o.at.silent_since);
        let since = self.at.silent_since;
        unrelated_in_series(since, &before, max_gap) + unrelated_in_series(since, &after, max_gap)
    }

    /// Returns the number of unrelated workers that fell silent without a broken connection, as
    /// machines do that lose power or are cut off, within the time that renewals take to show it.
    fn lost_silently(&self, others: &[OtherLoss]) -> usize {
        let timed_out =
            others.iter().filter(|o| o.at.detection == LossDetection::TimedOut && !o.is_related);
        timed_out
            .filter(|o| distance(o.at.silent_since, self.at.silent_since) <= MAX_BUSY_RENEWAL_WAIT)
            .count()
    }

    /// Returns the fraction of workers expected to be lost during the age of the run, at the rate
    /// of recent losses.
    fn expected_loss_share(&self, others: &[OtherLoss], worker_count: f64) -> f64 {
        let since = self.at.silent_since;
        let is_recent = |o: &&OtherLoss| {
            let at = o.at.silent_since;
            !o.is_related && at <= since && since.since(at) < LOSS_RATE_WINDOW
        };
        let lost = others.iter().filter(is_recent).count() as f64;
        let ran = since.since(self.began).0 as f64;
        (lost / worker_count * ran / LOSS_RATE_WINDOW.0 as f64).min(1.0)
    }
}

/// Returns the distance between two times.
fn distance(a: Millis, b: Millis) -> Millis {
    a.since(b).max(b.since(a))
}

/// Returns the fraction of workers that were lost, less the losses that are expected to coincide
/// with one caused by faulty tasks. A single loss is ignored, since one coincides now and then in a
/// fleet of any size.
fn excess_loss_share(lost: usize, worker_count: f64) -> f64 {
    if lost < 2 {
        return 0.0;
    }
    let both_sides = 2.0 * max_gap(worker_count).0 as f64 / 1_000.0;
    let coinciding = (worker_count * MAX_LOST_TO_TASKS_PER_SECOND * both_sides).min(1.0);
    (lost as f64 - coinciding) / (worker_count - coinciding).max(1.0)
}

/// Returns the longest gap between two losses of one series, for a number of workers.
fn max_gap(worker_count: f64) -> Millis {
    let (min_gap, max_gap) = LOST_TOGETHER_GAP_RANGE;
    let gap = Millis((1_000.0 / (worker_count * MIN_LOST_TOGETHER_PER_SECOND)) as u64);
    gap.max(min_gap).min(max_gap)
}

/// Returns the number of unrelated losses in the uninterrupted series that starts at `from`, in
/// which no gap is longer than `max_gap`.
fn unrelated_in_series(from: Millis, losses: &[OtherLoss], max_gap: Millis) -> usize {
    let times = losses.iter().map(|o| o.at.silent_since);
    let gaps = std::iter::once(from).chain(times.clone()).zip(times).map(|(a, b)| distance(a, b));
    let in_series = losses.iter().zip(gaps).take_while(|(_, gap)| *gap <= max_gap);
    in_series.filter(|(o, _)| !o.is_related).count()
}

/// Returns the probability that at least one of `workers` workers is hit when a fraction `share` of
/// all is.
fn chance(share: f64, workers: usize) -> f64 {
    1.0 - (1.0 - share.clamp(0.0, 1.0)).powi(workers as i32)
}

/// The workers lost recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentLosses(VecDeque<Loss>);

impl RecentLosses {
    /// Records the loss of a worker, with the jobs that had runs there.
    pub(crate) fn record(&mut self, at: LossTime, service: Name, jobs: BTreeSet<JobId>) {
        let since = |l: &Loss| at.silent_since.since(l.at.silent_since);
        self.0.retain(|l| since(l) < LOSS_RATE_WINDOW);
        self.0.push_back(Loss { at, service, jobs });
    }

    /// Returns the losses of workers of the run's service.
    pub(crate) fn of_same_service(&self, run: &LostRun) -> impl Iterator<Item = OtherLoss> {
        let of_service = self.0.iter().filter(|l| l.service == run.service);
        of_service.map(|l| OtherLoss { at: l.at, is_related: l.jobs.contains(&run.job) })
    }
}
