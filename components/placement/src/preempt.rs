//! Preemption: frees capacity for urgent work by checkpointing and stopping less urgent tasks.

use std::collections::BTreeMap;
use std::ops::Bound;

use model::{Class, JobKind, JobSpec, Size, TaskId};

use crate::decision::Decision;
use crate::planner::Planner;
use crate::worker::WorkerIndex;

/// The maximum number of workers that a plan examines for one urgent job. The next plans continue
/// after them: otherwise urgent work would wait indefinitely if the first workers run only tasks
/// that cannot be stopped.
const MAX_WORKERS_EXAMINED: usize = 512;
/// The maximum number of tasks of one job for which capacity is being freed at a time.
const MAX_TASKS_FREED_FOR: usize = 64;

/// The progress of the search for workers on which to free capacity for a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EvictionSearch {
    /// The last worker examined.
    after: Option<WorkerIndex>,
    /// The ledger's change count when the search began. Capacity freed since then may be on workers
    /// that it has already examined.
    started_at: u64,
}

/// The result of one step of an eviction search.
pub(crate) struct EvictionPlan {
    pub(crate) decisions: Vec<Decision>,
    /// Where the next step continues; none if the search starts over.
    pub(crate) search: Option<EvictionSearch>,
    /// The change count until which another search is useless; none if workers are left to examine.
    pub(crate) stuck_at: Option<u64>,
}

impl Planner {
    /// Plans evictions until enough capacity is being freed for `wanted` tasks of `spec`, each time
    /// on the worker where the least work has to stop.
    pub(crate) fn plan_evictions(
        &mut self,
        spec: &JobSpec,
        wanted: usize,
        search: Option<EvictionSearch>,
    ) -> EvictionPlan {
        let change_count = self.ledger.change_count();
        let mut plan = EvictionPlan { decisions: Vec::new(), search, stuck_at: Some(change_count) };
        let pending = self.tasks_fitting_after_evictions(spec);
        let wanted = wanted.min(MAX_TASKS_FREED_FOR);
        if self.policy.baseline.is_some() || pending >= wanted {
            return plan;
        }
        let search = search.unwrap_or(EvictionSearch { after: None, started_at: change_count });
        let window = self.window(&search);
        for _ in pending..wanted {
            let Some((worker, victims)) = self.cheapest_victims(spec, &window) else {
                plan.search = search.after_window(&window);
                plan.stuck_at = plan.search.is_none().then_some(search.started_at);
                break;
            };
            self.evicting.extend(victims.iter().cloned());
            plan.decisions.extend(victims.into_iter().map(|task| Decision::Evict { task, worker }));
        }
        plan
    }

    /// Returns the open workers that the search examines next.
    fn window(&self, search: &EvictionSearch) -> Vec<WorkerIndex> {
        let from = search.after.map_or(Bound::Unbounded, Bound::Excluded);
        let after = self.by_worker.range((from, Bound::Unbounded)).map(|(&ix, _)| ix);
        after.filter(|&ix| self.ledger.is_open(ix)).take(MAX_WORKERS_EXAMINED).collect()
    }

    fn cheapest_victims(
        &self,
        spec: &JobSpec,
        window: &[WorkerIndex],
    ) -> Option<(WorkerIndex, Vec<TaskId>)> {
        let mut best: Option<(u64, WorkerIndex, Vec<TaskId>)> = None;
        for &ix in window {
            if let Some((cost, victims)) = self.victims(ix, &spec.size)
                && best.as_ref().is_none_or(|b| cost < b.0)
            {
                best = Some((cost, ix, victims));
            }
        }
        best.map(|(_, worker, victims)| (worker, victims))
    }

    /// Returns how many tasks of `spec` fit once the pending evictions have completed.
    fn tasks_fitting_after_evictions(&self, spec: &JobSpec) -> usize {
        let mut free_by_worker: BTreeMap<WorkerIndex, Size> = BTreeMap::new();
        for placed in self.evicting.iter().filter_map(|t| self.placed.get(t)) {
            let ix = placed.worker;
            let free = free_by_worker.entry(ix).or_insert_with(|| self.ledger.free(ix));
            *free = free.plus(&placed.spec.size);
        }
        free_by_worker.values().map(|free| spec.size.copies_in(free) as usize).sum()
    }

    /// Returns the tasks to stop on a worker so that `size` fits, and the cost of stopping them.
    fn victims(&self, ix: WorkerIndex, size: &Size) -> Option<(u64, Vec<TaskId>)> {
        let mut free = self.ledger.free(ix);
        let mut candidates: Vec<(bool, u64, &TaskId, Size)> = Vec::new();
        for task in self.tasks_on(ix) {
            let Some(p) = self.placed.get(task) else { continue };
            if is_evictable(&p.spec) && !self.evicting.contains(task) {
                let bulk = p.spec.class == Class::Bulk;
                // Bulk work is stopped first, then the most recently started, which loses the least
                // work.
                candidates.push((!bulk, u64::MAX - p.since.0, task, p.spec.size));
            }
        }
        candidates.sort_unstable_by_key(|c| (c.0, c.1));
        let mut victims = Vec::new();
        let mut cost = 0;
        for (not_bulk, _, task, freed) in candidates {
            if size.fits(&free) {
                break;
            }
            free = free.plus(&freed);
            cost += freed.cpu_milli + if not_bulk { 1_000_000 } else { 0 };
            victims.push(task.clone());
        }
        (size.fits(&free) && !victims.is_empty()).then_some((cost, victims))
    }
}

impl EvictionSearch {
    /// Returns the search that continues after `window`, unless no workers are left there.
    fn after_window(self, window: &[WorkerIndex]) -> Option<EvictionSearch> {
        let last = window.last().copied().filter(|_| window.len() == MAX_WORKERS_EXAMINED);
        last.map(|ix| EvictionSearch { after: Some(ix), ..self })
    }
}

/// Returns whether a task may be evicted: only repeatable batch work below the urgent class. A gang
/// would lose the work of all its tasks.
fn is_evictable(spec: &JobSpec) -> bool {
    spec.kind == JobKind::Batch && spec.class != Class::Urgent && spec.repeatable
}
