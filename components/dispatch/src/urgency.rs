//! In which order open steps are served.
//!
//! The priority of the queue goes first. Within it, jobs that can still meet their target go before
//! those that cannot, in the order of acceptance: when there is more work than room, serving the
//! oldest first would make every job late.

use workload::{Job, OpenStep};

use crate::dispatcher::{Dispatcher, Moment};
use crate::limits::WORTHLESS_AFTER;

/// How well a job can still do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outlook {
    /// It can meet its target, if it runs now and as declared.
    InTime,
    /// It cannot, but its caller still waits.
    Late,
    /// Its caller has most likely given it up.
    Worthless,
}

impl Dispatcher {
    /// Sorts open steps, which come in the order of priority and acceptance.
    pub(crate) fn sort_by_urgency(&self, m: Moment, open: &mut [OpenStep]) {
        open.sort_by_cached_key(|e| (e.priority, self.outlook(m, e)));
    }

    fn outlook(&self, m: Moment, entry: &OpenStep) -> Outlook {
        let Some(job) = self.book.job(entry.key.job) else { return Outlook::InTime };
        let Some((target, left)) = self.times(job, entry) else { return Outlook::InTime };
        let since = job.accepted_at.max(job.spec.due(entry.key.round));
        let done_after = m.wall.since(since).0 as f64 + left;
        match done_after {
            t if t <= target => Outlook::InTime,
            t if t <= target * WORTHLESS_AFTER => Outlook::Late,
            _ => Outlook::Worthless,
        }
    }

    /// Gives within how many milliseconds a job should be done, and how many it needs from an open
    /// step on; `None` if it has no such target.
    fn times(&self, job: &Job, entry: &OpenStep) -> Option<(f64, f64)> {
        if job.spec.is_long_running() {
            return None;
        }
        let queue = self.policy.as_ref()?.queue(&job.queue)?;
        let times = job.spec.times_to_end();
        let whole = times.iter().max()?.0 as f64;
        let left = times.get(entry.key.step as usize)?.0 as f64;
        Some((queue.stretch * whole + queue.target_latency.0 as f64, left))
    }
}
