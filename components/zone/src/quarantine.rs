//! A bound on how many workers are set aside together.
//!
//! Each worker is judged by itself. Where most of those that a task could use have failed, the jobs or a cause
//! that all share are likelier at fault, and the task would wait beside room for as long as they are aside.

use clock::Millis;
use model::{Dimension, Size};
use placement::WorkerIndex;

use crate::allocator::Allocator;
use crate::health::FIRST_ASIDE;

/// How often it is looked how many are set aside.
const LOOK_EVERY: Millis = Millis(200);
/// Within what time a worker beyond the bound is tried again. Each try costs a task a run if the worker does
/// fail all it gets.
const TRIED_WITHIN: Millis = Millis(1_000);
/// Within what time the only worker is tried again.
const ONLY_TRIED_WITHIN: Millis = FIRST_ASIDE;

impl Allocator {
    /// Of the workers in use that are large enough for what waits, has those tried again soon that are set
    /// aside beyond half.
    pub(crate) fn bound_aside(&mut self, now: Millis) {
        if now < self.look_aside_at || !self.health.is_any_aside() {
            return;
        }
        self.look_aside_at = now + LOOK_EVERY;
        let in_use: Vec<(WorkerIndex, Size)> = self
            .links
            .iter()
            .filter(|(_, link)| self.is_in_use(link))
            .map(|(&ix, _)| (ix, self.planner.ledger.info(ix).total))
            .collect();
        for size in self.waiting_sizes() {
            let enough: Vec<WorkerIndex> =
                in_use.iter().filter(|(_, total)| size.fits(total)).map(|w| w.0).collect();
            let mut aside: Vec<(Millis, WorkerIndex)> =
                enough.iter().filter_map(|&ix| Some((self.health.aside_until(ix)?, ix))).collect();
            let beyond = aside.len().saturating_sub(enough.len() / 2);
            aside.sort_unstable();
            let within = if enough.len() == 1 { ONLY_TRIED_WITHIN } else { TRIED_WITHIN };
            for (_, ix) in aside.into_iter().take(beyond) {
                self.health.let_back_by(ix, now + within);
            }
        }
    }

    /// Gives each size of which a task waits.
    fn waiting_sizes(&self) -> Vec<Size> {
        let mut sizes: Vec<Size> = self.planner.queue().iter().map(|b| b.spec.size).collect();
        sizes.sort_unstable_by_key(|s| Dimension::ALL.map(|d| s.get(d)));
        sizes.dedup();
        sizes
    }
}
