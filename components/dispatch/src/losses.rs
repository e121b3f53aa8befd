//! Workers lost of late, and how likely it is that a run was hit by chance when its worker was.
//!
//! A rack that loses power and a restart of many workers end them whatever runs there. What tells a run at fault from one
//! that is well is how many workers without anything of its job were lost with its own: more than tasks at fault
//! take down by themselves have another cause, which would have hit the run by chance as likely as any other.

use std::collections::{BTreeSet, VecDeque};

use clock::Millis;
use model::Name;
use workload::{FULL_WEIGHT, JobId};

use crate::limits::{
    LIKELY_HIT, LONGEST_BUSY_WAIT, LOSS_RATE_WINDOW, LOST_TOGETHER_A_SECOND, LOST_TOGETHER_GAP,
    SURELY_NOT_BY_CHANCE,
};

/// How well it is known when a worker was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Known {
    /// Its connections broke at once.
    AtOnce,
    /// A call to it ran into its time limit, at some time after it was lost.
    ByTimeLimit,
    /// It was gone when this leader first called it.
    BeforeTerm,
}

/// When a worker was lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostAt {
    /// Since when nothing was heard of it.
    pub(crate) silent_since: Millis,
    pub(crate) known: Known,
}

/// A worker that is lost.
#[derive(Clone, Debug)]
struct Loss {
    at: LostAt,
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
    pub(crate) at: LostAt,
    /// How many workers its task is on: more than one if it is a gang's.
    pub(crate) workers: usize,
}

impl LostRun {
    /// Gives how much the loss of its worker speaks against the run, up to [`FULL_WEIGHT`], by when other workers fell silent and how
    /// many there are, of those of its service that run nothing of its job. Weights add up as the chances of independent
    /// losses multiply.
    pub(crate) fn weight(&self, others: &[LostAt], among: usize) -> u16 {
        let among = among.max(others.len()).max(1) as f64;
        let alike = others.iter().filter(|o| o.known == self.at.known);
        let alike: Vec<Millis> = alike.map(|o| o.silent_since).collect();
        let share = match self.at.known {
            Known::AtOnce => self.share_lost_together(&alike, among),
            Known::ByTimeLimit => self.share_lost_silently(&alike, among),
            Known::BeforeTerm => return FULL_WEIGHT,
        };
        let together = chance(share, self.workers);
        let by_rate = chance(self.share_lost_meanwhile(others, among), self.workers);
        let by_rate = if by_rate >= LIKELY_HIT { by_rate } else { 0.0 };
        let chance = together.max(by_rate).max(f64::MIN_POSITIVE);
        let weight = (chance.ln() / SURELY_NOT_BY_CHANCE.ln()).clamp(0.0, 1.0);
        (weight * f64::from(FULL_WEIGHT)).round() as u16
    }

    /// Gives what share of the workers was lost together with its own: one after the other, faster than tasks at fault take
    /// workers down.
    fn share_lost_together(&self, others: &[Millis], among: f64) -> f64 {
        let longest = longest_gap(among);
        let mut before: Vec<Millis> = Vec::new();
        let mut after: Vec<Millis> = Vec::new();
        for at in others {
            let side = if *at <= self.at.silent_since { &mut before } else { &mut after };
            side.push(*at);
        }
        before.sort_unstable_by(|a, b| b.cmp(a));
        after.sort_unstable();
        let together = in_a_row(self.at.silent_since, &before, longest)
            + in_a_row(self.at.silent_since, &after, longest);
        share_of(together, among)
    }

    /// Gives what share of the workers fell silent without a broken connection, as machines do that lose power or are cut
    /// off, within the time that renewals take to show it.
    fn share_lost_silently(&self, others: &[Millis], among: f64) -> f64 {
        let since = self.at.silent_since;
        let near = |at: &&Millis| at.since(since).max(since.since(**at)) <= LONGEST_BUSY_WAIT;
        share_of(others.iter().filter(near).count(), among)
    }

    /// Gives what share of the workers is lost in the time that the run had, as often as they were lost before.
    fn share_lost_meanwhile(&self, others: &[LostAt], among: f64) -> f64 {
        let since = self.at.silent_since;
        let lately =
            |o: &&LostAt| o.silent_since <= since && since.since(o.silent_since) < LOSS_RATE_WINDOW;
        let lost = others.iter().filter(lately).count() as f64;
        let ran = since.since(self.began).0 as f64;
        (lost / among * ran / LOSS_RATE_WINDOW.0 as f64).min(1.0)
    }
}

/// Gives what share of the workers so many losses are. A single other one coincides now and then, in a small fleet as in a
/// large one.
fn share_of(lost: usize, among: f64) -> f64 {
    lost.saturating_sub(1) as f64 / (among - 1.0).max(1.0)
}

/// Gives the longest time between two losses that come together, among so many workers.
fn longest_gap(among: f64) -> Millis {
    let (shortest, longest) = LOST_TOGETHER_GAP;
    let gap = Millis((1_000.0 / (among * LOST_TOGETHER_A_SECOND)) as u64);
    gap.max(shortest).min(longest)
}

/// Gives how many of the times, from the nearest on, follow each other with no longer gap between them.
fn in_a_row(from: Millis, times: &[Millis], longest: Millis) -> usize {
    let before = std::iter::once(&from).chain(times);
    let gap = |(a, b): (&Millis, &Millis)| a.since(*b).max(b.since(*a));
    before.zip(times).take_while(|pair| gap(*pair) <= longest).count()
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
    pub(crate) fn note(&mut self, at: LostAt, service: Name, jobs: BTreeSet<JobId>) {
        let since = |l: &Loss| at.silent_since.since(l.at.silent_since);
        self.0.retain(|l| since(l) < LOSS_RATE_WINDOW);
        self.0.push_back(Loss { at, service, jobs });
    }

    /// Gives when workers of a run's service were lost that ran nothing of its job.
    pub(crate) fn unrelated_to(&self, run: &LostRun) -> impl Iterator<Item = LostAt> {
        let of_service = self.0.iter().filter(|l| l.service == run.service);
        of_service.filter(|l| !l.jobs.contains(&run.job)).map(|l| l.at)
    }
}
