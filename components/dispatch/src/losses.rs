//! Workers lost of late, and how likely it is that a run was hit by chance when its worker was.
//!
//! A rack that loses power and a restart of many workers end them whatever runs there. What tells a run at fault from one
//! that is well is how many workers without anything of its job were lost with its own: more than tasks at fault
//! take down by themselves have another cause, which would have hit the run by chance as likely as any other.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};

use clock::Millis;
use model::Name;
use workload::{FULL_WEIGHT, JobId};

use crate::limits::{
    LOSS_RATE_WINDOW, LOST_TOGETHER_GAP_RANGE, MAX_BUSY_RENEWAL_WAIT, MAX_CHANCE_FOR_FULL_WEIGHT,
    MAX_LOST_TO_TASKS_PER_SECOND, MIN_CHANCE_TO_EXCUSE, MIN_LOST_TOGETHER_PER_SECOND,
};

/// How well it is known when a worker was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossDetection {
    /// Its connections broke at once.
    ConnectionBroken,
    /// A call to it ran into its time limit, at some time after it was lost.
    TimedOut,
    /// It was gone when this leader first called it.
    BeforeTerm,
}

/// When a worker was lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LossTime {
    /// Since when nothing was heard of it.
    pub(crate) silent_since: Millis,
    pub(crate) detection: LossDetection,
}

/// The loss of another worker, as seen from a run whose own is lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OtherLoss {
    pub(crate) at: LossTime,
    /// Whether anything of the run's job was there, so that it may be the fault of that, too.
    pub(crate) is_related: bool,
}

/// A worker that is lost.
#[derive(Clone, Debug)]
struct Loss {
    at: LossTime,
    service: Name,
    /// The jobs that had runs there.
    jobs: BTreeSet<JobId>,
}

/// A run whose worker is lost.
#[derive(Clone, Debug)]
pub(crate) struct LostRun {
    pub(crate) job: JobId,
    pub(crate) service: Name,
    pub(crate) began: Millis,
    /// When its worker was lost.
    pub(crate) at: LossTime,
    /// How many workers its task is on: more than one if it is a gang's.
    pub(crate) workers: usize,
}

impl LostRun {
    /// Gives how much the loss of its worker speaks against the run, up to [`FULL_WEIGHT`], by when other workers fell silent and how
    /// many there are, of those of its service that run nothing of its job. Weights add up as the chances of independent
    /// losses multiply.
    pub(crate) fn weight(&self, others: &[OtherLoss], among: usize) -> u16 {
        let unrelated = others.iter().filter(|o| !o.is_related).count();
        let among = among.max(unrelated).max(1) as f64;
        let share = match self.at.detection {
            LossDetection::ConnectionBroken => share_of(self.lost_in_a_row(others, among), among),
            LossDetection::TimedOut => share_of(self.lost_silently(others), among),
            LossDetection::BeforeTerm => return FULL_WEIGHT,
        };
        let together = chance(share, self.workers);
        let by_rate = chance(self.share_lost_meanwhile(others, among), self.workers);
        let by_rate = if by_rate >= MIN_CHANCE_TO_EXCUSE { by_rate } else { 0.0 };
        let chance = together.max(by_rate).max(f64::MIN_POSITIVE);
        let weight = (chance.ln() / MAX_CHANCE_FOR_FULL_WEIGHT.ln()).clamp(0.0, 1.0);
        (weight * f64::from(FULL_WEIGHT)).round() as u16
    }

    /// Gives how many unrelated workers were lost in a row with its own: one after the other, faster than tasks at fault take
    /// workers down.
    fn lost_in_a_row(&self, others: &[OtherLoss], among: f64) -> usize {
        let longest = longest_gap(among);
        let at_once = others.iter().filter(|o| o.at.detection == LossDetection::ConnectionBroken);
        let (mut before, mut after): (Vec<OtherLoss>, Vec<OtherLoss>) =
            at_once.partition(|o| o.at.silent_since <= self.at.silent_since);
        before.sort_unstable_by_key(|o| Reverse(o.at.silent_since));
        after.sort_unstable_by_key(|o| o.at.silent_since);
        let since = self.at.silent_since;
        unrelated_in_a_row(since, &before, longest) + unrelated_in_a_row(since, &after, longest)
    }

    /// Gives how many unrelated workers fell silent without a broken connection, as machines do that lose power or are cut
    /// off, within the time that renewals take to show it.
    fn lost_silently(&self, others: &[OtherLoss]) -> usize {
        let by_limit =
            others.iter().filter(|o| o.at.detection == LossDetection::TimedOut && !o.is_related);
        by_limit
            .filter(|o| apart(o.at.silent_since, self.at.silent_since) <= MAX_BUSY_RENEWAL_WAIT)
            .count()
    }

    /// Gives what share of the workers is lost in the time that the run had, as often as they were lost before.
    fn share_lost_meanwhile(&self, others: &[OtherLoss], among: f64) -> f64 {
        let since = self.at.silent_since;
        let lately = |o: &&OtherLoss| {
            let at = o.at.silent_since;
            !o.is_related && at <= since && since.since(at) < LOSS_RATE_WINDOW
        };
        let lost = others.iter().filter(lately).count() as f64;
        let ran = since.since(self.began).0 as f64;
        (lost / among * ran / LOSS_RATE_WINDOW.0 as f64).min(1.0)
    }
}

/// Gives how far two moments lie apart.
fn apart(a: Millis, b: Millis) -> Millis {
    a.since(b).max(b.since(a))
}

/// Gives what share of the workers so many losses are, beyond those that coincide with one by tasks at fault. A single one
/// coincides now and then in a fleet of any size.
fn share_of(lost: usize, among: f64) -> f64 {
    if lost < 2 {
        return 0.0;
    }
    let both_sides = 2.0 * longest_gap(among).0 as f64 / 1_000.0;
    let coincide = (among * MAX_LOST_TO_TASKS_PER_SECOND * both_sides).min(1.0);
    (lost as f64 - coincide) / (among - coincide).max(1.0)
}

/// Gives the longest time between two losses that come together, among so many workers.
fn longest_gap(among: f64) -> Millis {
    let (shortest, longest) = LOST_TOGETHER_GAP_RANGE;
    let gap = Millis((1_000.0 / (among * MIN_LOST_TOGETHER_PER_SECOND)) as u64);
    gap.max(shortest).min(longest)
}

/// Gives how many of the losses are unrelated, of those that follow each other from the nearest on with no longer gap between
/// them.
fn unrelated_in_a_row(from: Millis, losses: &[OtherLoss], longest: Millis) -> usize {
    let times = losses.iter().map(|o| o.at.silent_since);
    let gaps = std::iter::once(from).chain(times.clone()).zip(times).map(|(a, b)| apart(a, b));
    let in_a_row = losses.iter().zip(gaps).take_while(|(_, gap)| *gap <= longest);
    in_a_row.filter(|(o, _)| !o.is_related).count()
}

/// Gives how likely it is that at least one of so many workers is hit where a share of all is.
fn chance(share: f64, workers: usize) -> f64 {
    1.0 - (1.0 - share.clamp(0.0, 1.0)).powi(workers as i32)
}

/// The workers lost of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentLosses(VecDeque<Loss>);

impl RecentLosses {
    /// Notes a worker that is lost, with the jobs that had runs there.
    pub(crate) fn record(&mut self, at: LossTime, service: Name, jobs: BTreeSet<JobId>) {
        let since = |l: &Loss| at.silent_since.since(l.at.silent_since);
        self.0.retain(|l| since(l) < LOSS_RATE_WINDOW);
        self.0.push_back(Loss { at, service, jobs });
    }

    /// Gives the losses of workers of a run's service.
    pub(crate) fn beside(&self, run: &LostRun) -> impl Iterator<Item = OtherLoss> {
        let of_service = self.0.iter().filter(|l| l.service == run.service);
        of_service.map(|l| OtherLoss { at: l.at, is_related: l.jobs.contains(&run.job) })
    }
}
