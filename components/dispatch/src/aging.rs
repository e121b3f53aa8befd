//! Calls for advice for steps that have long lacked one while workers that may run them are half
//! empty.
//!
//! Load pattern: a backlog of urgent steps takes every long call for advice, for as long as it
//! lasts, and all of them lead to starts. A less urgent step that few workers may run gets none
//! meanwhile, and those workers are idle where the urgent steps may not use them. Such steps are
//! placed first, a few at a time.

use clock::Millis;
use model::{Dimension, Size};
use workload::{OpenStep, WorkerId};

use crate::advice::AdvicePriority;
use crate::candidates::max_additional_tasks;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{ADVICE_AGED_AFTER, MAX_AGED_STEPS, MAX_AGED_STEPS_EXAMINED};
use crate::worker_health::WorkerTier;

/// Returns whether at least half of each resource is free.
fn is_half_empty(capacity: &Size, used: &Size) -> bool {
    let is_half_free = |d: &Dimension| used.get(*d) * 2 <= capacity.get(*d);
    Dimension::ALL.iter().all(is_half_free)
}

impl Dispatcher {
    /// Returns the steps that have lacked a call for the longest time, of those for which a
    /// half-empty worker has capacity.
    pub(crate) fn aged_steps<'a>(
        &mut self,
        m: Moment,
        steps: impl Iterator<Item = &'a OpenStep>,
    ) -> Vec<OpenStep> {
        let lacking = |e: &OpenStep| Some((self.advice_scheduler.lacks_caller_since(&e.key)?, *e));
        let mut aged: Vec<(Millis, OpenStep)> = steps.filter_map(lacking).collect();
        aged.retain(|(since, _)| m.now.since(*since) >= ADVICE_AGED_AFTER);
        if aged.is_empty() {
            return Vec::new();
        }
        aged.sort_unstable();
        // The steps rotate, because those that find no capacity stay among the first.
        let first = self.aged_rotation % aged.len();
        aged.rotate_left(first);
        aged.truncate(MAX_AGED_STEPS_EXAMINED);
        let mut startable = Vec::new();
        for (_, entry) in aged {
            // The next plan goes on with the first step that this one does not examine.
            self.aged_rotation = self.aged_rotation.wrapping_add(1);
            let (has_capacity, examined) = self.has_half_empty_worker(m, &entry);
            self.plan_state.examined += examined;
            if has_capacity {
                startable.push(entry);
            }
            if startable.len() == MAX_AGED_STEPS {
                break;
            }
        }
        startable
    }

    /// Returns whether tasks of a step could start on a half-empty worker, unless it is known not
    /// to be allowed, and how many workers were examined.
    fn has_half_empty_worker(&self, m: Moment, entry: &OpenStep) -> (bool, u64) {
        let key = &entry.key;
        let Some(job) = self.replicated.job(key.job) else { return (false, 0) };
        let spec = &job.spec.steps[key.step as usize];
        let disallowed = self.advice_scheduler.disallowed(key);
        let can_take = |id: &WorkerId| {
            let may_be_allowed = !disallowed.contains(id);
            let worker = if may_be_allowed { self.replicated.worker(id) } else { None };
            worker.is_some_and(|w| {
                is_half_empty(&w.info.capacity, &w.used)
                    && max_additional_tasks(key, spec, w) > 0
                    && self.suitable_worker(m, WorkerTier::Preferred, key, spec, id).is_some()
            })
        };
        let mut examined = 0;
        let mut workers =
            self.capacity_index.with_free(&job.service, spec.constraint.as_ref(), &spec.size);
        let found = workers.any(|id| {
            examined += 1;
            can_take(id)
        });
        (found, examined)
    }

    /// Marks steps for re-examination in the plan that begins, as if they could start and with a
    /// claim to a call.
    pub(crate) fn reexamine_aged(&mut self, m: Moment, aged: &[OpenStep]) {
        self.advice_scheduler.reexamine(
            m.now,
            AdvicePriority::Aged,
            aged.iter().map(|e| &e.key),
            aged.len(),
        );
    }
}
