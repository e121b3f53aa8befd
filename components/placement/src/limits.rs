//! Limits on what may start: quotas of organisations, capacity reserved for urgent work, and jobs
//! that no worker can hold.

use model::{Class, JobKind, JobSpec, Name, Profile};

use crate::planner::Planner;

/// The fraction of the processors that bulk work leaves free under the `Waiting` profile, in
/// percent.
const HEADROOM_PERCENT: u64 = 5;

impl Planner {
    /// Returns the largest share that an organisation uses of any dimension, in millionths.
    pub(crate) fn dominant_share(&self, organisation: &Name) -> u64 {
        let Some(used) = self.usage.get(organisation) else { return 0 };
        let total = self.ledger.total();
        let part = |d| used.get(d).saturating_mul(1_000_000).checked_div(total.get(d));
        model::Dimension::ALL.into_iter().filter_map(part).max().unwrap_or(0)
    }

    /// Returns the reason why a job can never run here, if there is one.
    pub(crate) fn unplaceable_reason(&self, spec: &JobSpec, tasks: usize) -> Option<Name> {
        if self.ledger.is_empty() {
            return None;
        }
        let copies = self.ledger.tasks_fitting_when_empty(&spec.size, tasks as u64);
        if copies == 0 {
            let need = &spec.size;
            return Some(format!("no worker is large enough: a task takes {need}").into());
        }
        if spec.kind == JobKind::Gang && copies < tasks as u64 {
            let reason = format!("a gang of {tasks}, but empty workers hold {copies} of its tasks");
            return Some(reason.into());
        }
        None
    }

    /// Returns whether the organisation's quota and the capacity reserved for urgent work allow
    /// `tasks` more tasks.
    pub(crate) fn within_limits(&self, spec: &JobSpec, tasks: usize) -> bool {
        let wanted = spec.size.times(tasks as u64);
        if let Some(quota) = self.policy.quotas.get(&spec.organisation) {
            let used = self.usage.get(&spec.organisation).copied().unwrap_or_default();
            if !used.plus(&wanted).fits(quota) {
                return false;
            }
        }
        let keeps_headroom = self.policy.profile == Profile::Waiting
            && self.policy.baseline.is_none()
            && spec.class == Class::Bulk;
        if !keeps_headroom {
            return true;
        }
        let reserved = self.ledger.total().cpu_milli * HEADROOM_PERCENT / 100;
        self.ledger.total_free().cpu_milli >= wanted.cpu_milli + reserved
    }
}
