//! How long tasks really run, learned from those that ended.
//!
//! Declared run times are often far off. The estimate steers backfill and reservations only; it
//! never lends capacity, so a wrong one costs waiting time and breaks nothing.

use std::collections::BTreeMap;

use clock::Millis;
use model::{JobKind, JobName, JobSpec, Name};

/// The weight of the newest run in the moving ratio, in hundredths.
const NEWEST_PERCENT: u64 = 25;
/// A ratio of one, in thousandths.
const ONE: u64 = 1_000;
/// Ratios are kept between a hundredth and a hundred.
const RATIO_RANGE: std::ops::RangeInclusive<u64> = 10..=100_000;
/// How many jobs' own ratios are kept.
const KEPT_JOBS: usize = 10_000;

/// Learned ratios of real to declared run time, in thousandths.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    by_job: BTreeMap<JobName, u64>,
    by_organisation: BTreeMap<(Name, JobKindKey), u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct JobKindKey(u8);

impl From<JobKind> for JobKindKey {
    fn from(kind: JobKind) -> Self {
        JobKindKey(kind as u8)
    }
}

impl Estimator {
    /// Learns from a task that ran to its end.
    pub fn learn(&mut self, spec: &JobSpec, ran: Millis) {
        if spec.run_time == Millis::ZERO {
            return;
        }
        let ratio = (ran.0.saturating_mul(ONE) / spec.run_time.0)
            .clamp(*RATIO_RANGE.start(), *RATIO_RANGE.end());
        blend(self.by_organisation.entry((spec.organisation.clone(), spec.kind.into())), ratio);
        if self.by_job.len() < KEPT_JOBS || self.by_job.contains_key(&spec.name) {
            blend(self.by_job.entry(spec.name.clone()), ratio);
        }
    }

    /// Forgets a job that ended.
    pub fn forget(&mut self, job: &JobName) {
        self.by_job.remove(job);
    }

    /// Gives the expected run time of a task; a service runs for ever.
    pub fn expected(&self, spec: &JobSpec) -> Millis {
        if spec.kind == JobKind::Service {
            return Millis::MAX;
        }
        let organisation = (spec.organisation.clone(), spec.kind.into());
        let ratio = self.by_job.get(&spec.name).or_else(|| self.by_organisation.get(&organisation));
        let ratio = ratio.copied().unwrap_or(ONE);
        Millis(spec.run_time.0.saturating_mul(ratio) / ONE)
    }
}

fn blend<K: Ord>(entry: std::collections::btree_map::Entry<'_, K, u64>, newest: u64) {
    let ratio = entry.or_insert(newest);
    *ratio = (*ratio * (100 - NEWEST_PERCENT) + newest * NEWEST_PERCENT) / 100;
}
