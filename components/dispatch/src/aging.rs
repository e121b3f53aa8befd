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

use crate::advice::Urge;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{AGED_AFTER, MOST_AGED, MOST_LOOKS_AT_AGED};
use crate::seats::{fits, most_more};
use crate::standing::Reach;
use crate::view::View;

/// Returns whether at least half of each resource is free.
fn is_half_empty(capacity: &Size, used: &Size) -> bool {
    let half = |d: &Dimension| used.get(*d) * 2 <= capacity.get(*d);
    Dimension::ALL.iter().all(half)
}

impl Dispatcher {
    /// Returns the steps that have lacked a call for the longest time, of those for which a
    /// half-empty worker has capacity.
    pub(crate) fn aged_steps<'a>(
        &mut self,
        m: Moment,
        steps: impl Iterator<Item = &'a OpenStep>,
    ) -> Vec<OpenStep> {
        let lacked = |e: &OpenStep| Some((self.desk.lacks_since(&e.key)?, *e));
        let mut aged: Vec<(Millis, OpenStep)> = steps.filter_map(lacked).collect();
        aged.retain(|(since, _)| m.now.since(*since) >= AGED_AFTER);
        if aged.is_empty() {
            return Vec::new();
        }
        aged.sort_unstable();
        // The steps rotate, because those that find no capacity stay among the first.
        let first = self.aged_turn % aged.len();
        aged.rotate_left(first);
        aged.truncate(MOST_LOOKS_AT_AGED);
        self.aged_turn = self.aged_turn.wrapping_add(aged.len());
        let idle = self.half_empty_workers();
        let looks = (aged.len() * idle.len()) as u64;
        let aged = aged.into_iter().map(|(_, e)| e);
        let stands = aged.filter(|e| self.has_room_on(m, e, &idle));
        let stands: Vec<OpenStep> = stands.take(MOST_AGED).collect();
        self.plan_state.looks += looks;
        stands
    }

    fn half_empty_workers(&self) -> Vec<(&Worker, &View)> {
        let usable = self.views.iter().filter(|(_, v)| v.is_usable());
        let workers = usable.filter_map(|(id, v)| Some((self.replicated.worker(id)?, v)));
        workers.filter(|(w, _)| is_half_empty(&w.info.capacity, &w.used)).collect()
    }

    /// Returns whether tasks of a step could start on one of some workers, unless these are known
    /// not to be allowed.
    fn has_room_on(&self, m: Moment, entry: &OpenStep, workers: &[(&Worker, &View)]) -> bool {
        let key = &entry.key;
        let Some(job) = self.replicated.job(key.job) else { return false };
        let spec = &job.spec.steps[key.step as usize];
        let barred = self.desk.barred(key);
        let takes = |(worker, view): &(&Worker, &View)| {
            let open = barred.is_none_or(|b| !b.contains(&worker.info.id));
            let room = || fits(spec, &worker.free()).min(most_more(key, spec, worker));
            let suitable = || self.is_suitable(m, Reach::Good, &job.service, spec, worker, view);
            open && room() > 0 && suitable()
        };
        workers.iter().any(takes)
    }

    /// Marks steps for re-examination in the plan that begins, as if they could start and with a
    /// claim to a call.
    pub(crate) fn favour_aged(&mut self, m: Moment, aged: &[OpenStep]) {
        self.desk.look_again(m.now, Urge::Aged, aged.iter().map(|e| &e.key), aged.len());
    }
}
