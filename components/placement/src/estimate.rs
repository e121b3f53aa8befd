//! Estimates of task run times, learned from the tasks that have ended.
//!
//! Declared run times are often far off. The estimate affects only backfill and reservations, never
//! how much capacity a task gets, so a wrong estimate costs waiting time but cannot overcommit a
//! worker.

use std::collections::BTreeMap;

use clock::Millis;
use model::{JobKind, JobName, JobSpec, Name};

/// The weight of the newest run in the moving average of the ratio, in percent.
const NEWEST_PERCENT: u64 = 25;
/// A ratio of one, in thousandths.
const UNIT_RATIO: u64 = 1_000;
/// The range of stored ratios, in thousandths: from a hundredth to a hundred.
const RATIO_RANGE: std::ops::RangeInclusive<u64> = 10..=100_000;
/// The maximum number of jobs with a ratio of their own. It bounds the memory of the estimator;
/// further jobs use their organisation's ratio.
const MAX_JOB_RATIOS: usize = 10_000;

/// Learned ratios of actual to declared run time, in thousandths.
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
    /// Updates the ratios with a task that ran to completion.
    pub fn learn(&mut self, spec: &JobSpec, ran: Millis) {
        if spec.run_time == Millis::ZERO {
            return;
        }
        let ratio = (ran.0.saturating_mul(UNIT_RATIO) / spec.run_time.0)
            .clamp(*RATIO_RANGE.start(), *RATIO_RANGE.end());
        blend(self.by_organisation.entry((spec.organisation.clone(), spec.kind.into())), ratio);
        if self.by_job.len() < MAX_JOB_RATIOS || self.by_job.contains_key(&spec.name) {
            blend(self.by_job.entry(spec.name.clone()), ratio);
        }
    }

    /// Drops the ratio of a job that has ended.
    pub fn forget(&mut self, job: &JobName) {
        self.by_job.remove(job);
    }

    /// Returns the expected run time of a task. A service is expected to run forever.
    pub fn expected(&self, spec: &JobSpec) -> Millis {
        if spec.kind == JobKind::Service {
            return Millis::MAX;
        }
        let organisation = (spec.organisation.clone(), spec.kind.into());
        let ratio = self.by_job.get(&spec.name).or_else(|| self.by_organisation.get(&organisation));
        let ratio = ratio.copied().unwrap_or(UNIT_RATIO);
        Millis(spec.run_time.0.saturating_mul(ratio) / UNIT_RATIO)
    }
}

fn blend<K: Ord>(entry: std::collections::btree_map::Entry<'_, K, u64>, newest: u64) {
    let ratio = entry.or_insert(newest);
    *ratio = (*ratio * (100 - NEWEST_PERCENT) + newest * NEWEST_PERCENT) / 100;
}
