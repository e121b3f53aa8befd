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
use crate::limits::{ADVICE_AGED_AFTER, AGED_EXAMINATION_BUDGET, MAX_AGED_STEPS};
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
        let first = self.aged_position.min(aged.len());
        aged.rotate_left(first);
        let (mut startable, mut examined) = (Vec::new(), 0);
        // A plan begins with the steps that have lacked a call for the longest time, unless the last
        // one did not get through all of them.
        self.aged_position = 0;
        for (i, (_, entry)) in aged.into_iter().enumerate() {
            if examined >= AGED_EXAMINATION_BUDGET {
                self.aged_position = first + i;
                break;
            }
            let (has_capacity, workers) = self.has_half_empty_worker(m, &entry);
            examined += workers + 1;
            if has_capacity {
                startable.push(entry);
            }
            if startable.len() == MAX_AGED_STEPS {
                break;
            }
        }
        self.plan_state.examined += examined;
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
