//! A limit on how many workers are quarantined at the same time.
//!
//! Each worker's health is judged on its own. If most of the workers that a task could use have failed, the jobs or a
//! shared cause are more likely to be faulty, and without the limit the task would wait beside free capacity until the
//! quarantines end.

use clock::Millis;
use model::{Dimension, Size};
use placement::WorkerIndex;

use crate::allocator::Allocator;
use crate::health::INITIAL_QUARANTINE;

/// How often the number of quarantined workers is checked.
const CHECK_INTERVAL: Millis = Millis(200);
/// The maximum remaining quarantine of a worker beyond the limit. A shorter one costs more failed runs if the worker
/// does fail every task, as each attempt costs a task one run.
const MAX_EXCESS_QUARANTINE: Millis = Millis(1_000);
/// The maximum remaining quarantine of the only worker that is large enough.
const MAX_SOLE_WORKER_QUARANTINE: Millis = INITIAL_QUARANTINE;

impl Allocator {
    /// Shortens quarantines so that, for each size that a waiting task needs, at most half of the available workers that
    /// are large enough stay quarantined for long.
    pub(crate) fn limit_quarantine(&mut self, now: Millis) {
        if now < self.next_quarantine_check || !self.health.has_quarantined() {
            return;
        }
        self.next_quarantine_check = now + CHECK_INTERVAL;
        let available: Vec<(WorkerIndex, Size)> = self
            .sessions
            .iter()
            .filter(|(_, session)| self.is_available(session))
            .map(|(&ix, _)| (ix, self.planner.ledger.info(ix).total))
            .collect();
        for size in self.waiting_sizes() {
            let large_enough: Vec<WorkerIndex> =
                available.iter().filter(|(_, total)| size.fits(total)).map(|w| w.0).collect();
            let mut quarantined: Vec<(Millis, WorkerIndex)> = large_enough
                .iter()
                .filter_map(|&ix| Some((self.health.quarantined_until(ix)?, ix)))
                .collect();
            let excess = quarantined.len().saturating_sub(large_enough.len() / 2);
            quarantined.sort_unstable();
            let limit = if large_enough.len() == 1 {
                MAX_SOLE_WORKER_QUARANTINE
            } else {
                MAX_EXCESS_QUARANTINE
            };
            for (_, ix) in quarantined.into_iter().take(excess) {
                self.health.shorten_quarantine(ix, now + limit);
            }
        }
    }

    /// Returns the distinct sizes of the waiting tasks.
    fn waiting_sizes(&self) -> Vec<Size> {
        let mut sizes: Vec<Size> = self.planner.queue().iter().map(|b| b.spec.size).collect();
        sizes.sort_unstable_by_key(|s| Dimension::ALL.map(|d| s.get(d)));
        sizes.dedup();
        sizes
    }
}
