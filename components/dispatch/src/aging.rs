//! Calls for advice for steps that have long lacked one while workers that may run them are half
//! empty.
//!
//! Load pattern: a backlog of urgent steps takes every long call for advice, for as long as it
//! lasts, and all of them lead to starts. A less urgent step that few workers may run gets none
//! meanwhile, and those workers are idle where the urgent steps may not use them. Such steps are
//! placed first, a few at a time.

use clock::Millis;
use model::{Dimension, Size};
use workload::{OpenStep, Worker};

use crate::advice::AdvicePriority;
use crate::candidates::{fits, max_additional_tasks};
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{ADVICE_AGED_AFTER, MAX_AGED_STEPS, MAX_AGED_STEPS_EXAMINED};
use crate::worker_health::WorkerTier;
use crate::worker_view::WorkerView;

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
        self.aged_rotation = self.aged_rotation.wrapping_add(aged.len());
        let half_empty = self.half_empty_workers();
        let examined = (aged.len() * half_empty.len()) as u64;
        let aged = aged.into_iter().map(|(_, e)| e);
        let startable = aged.filter(|e| self.has_capacity_on(m, e, &half_empty));
        let startable: Vec<OpenStep> = startable.take(MAX_AGED_STEPS).collect();
        self.plan_state.examined += examined;
        startable
    }

    fn half_empty_workers(&self) -> Vec<(&Worker, &WorkerView)> {
        let usable = self.worker_views.iter().filter(|(_, v)| v.is_usable());
        let workers = usable.filter_map(|(id, v)| Some((self.replicated.worker(id)?, v)));
        workers.filter(|(w, _)| is_half_empty(&w.info.capacity, &w.used)).collect()
    }

    /// Returns whether tasks of a step could start on one of some workers, unless these are known
    /// not to be allowed.
    fn has_capacity_on(
        &self,
        m: Moment,
        entry: &OpenStep,
        workers: &[(&Worker, &WorkerView)],
    ) -> bool {
        let key = &entry.key;
        let Some(job) = self.replicated.job(key.job) else { return false };
        let spec = &job.spec.steps[key.step as usize];
        let disallowed = self.advice_scheduler.disallowed(key);
        let can_take = |(worker, view): &(&Worker, &WorkerView)| {
            let may_be_allowed = !disallowed.contains(&worker.info.id);
            let additional_tasks =
                || fits(spec, &worker.free()).min(max_additional_tasks(key, spec, worker));
            let suitable =
                || self.is_suitable(m, WorkerTier::Preferred, &job.service, spec, worker, view);
            may_be_allowed && additional_tasks() > 0 && suitable()
        };
        workers.iter().any(can_take)
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
