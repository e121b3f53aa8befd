//! Making room for urgent work by checkpointing what can wait.

use std::collections::BTreeMap;

use model::{Class, JobKind, JobSpec, Size, TaskId};

use crate::ledger::copies;
use crate::planner::{Decision, Planner};
use crate::worker::WorkerIndex;

/// How many workers are looked at for one urgent task.
const MAX_LOOKED_AT: usize = 512;
/// For how many tasks of one job room is made at once.
const MAX_ROOMS: usize = 64;

impl Planner {
    /// Stops tasks until room is being made for `wanted` tasks of `spec`, each time on the worker
    /// where the least has to stop.
    pub(crate) fn make_room(&mut self, spec: &JobSpec, wanted: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        if self.policy.baseline.is_some() {
            return decisions;
        }
        for _ in self.rooms_under_way(spec)..wanted.min(MAX_ROOMS) {
            let Some((worker, victims)) = self.cheapest_victims(spec) else { break };
            self.evicting.extend(victims.iter().cloned());
            decisions.extend(victims.into_iter().map(|task| Decision::Evict { task, worker }));
        }
        decisions
    }

    fn cheapest_victims(&self, spec: &JobSpec) -> Option<(WorkerIndex, Vec<TaskId>)> {
        let open = self.by_worker.keys().copied().filter(|&ix| self.ledger.is_open(ix));
        let mut best: Option<(u64, WorkerIndex, Vec<TaskId>)> = None;
        for ix in open.take(MAX_LOOKED_AT) {
            if let Some((cost, victims)) = self.victims(ix, &spec.size)
                && best.as_ref().is_none_or(|b| cost < b.0)
            {
                best = Some((cost, ix, victims));
            }
        }
        best.map(|(_, worker, victims)| (worker, victims))
    }

    /// Gives for how many tasks of `spec` what is stopping will make room.
    fn rooms_under_way(&self, spec: &JobSpec) -> usize {
        let mut rooms: BTreeMap<WorkerIndex, Size> = BTreeMap::new();
        for placed in self.evicting.iter().filter_map(|t| self.placed.get(t)) {
            let ix = placed.worker;
            let room = rooms.entry(ix).or_insert_with(|| self.ledger.free(ix));
            *room = room.plus(&placed.spec.size);
        }
        rooms.values().map(|room| copies(&spec.size, room) as usize).sum()
    }

    /// Gives the fewest tasks to stop on a worker so that `size` fits, and what they weigh.
    fn victims(&self, ix: WorkerIndex, size: &Size) -> Option<(u64, Vec<TaskId>)> {
        let mut free = self.ledger.free(ix);
        let mut candidates: Vec<(bool, u64, &TaskId, Size)> = Vec::new();
        for task in self.tasks_on(ix) {
            let Some(p) = self.placed.get(task) else { continue };
            if is_evictable(&p.spec) && !self.evicting.contains(task) {
                let bulk = p.spec.class == Class::Bulk;
                // Bulk first, then the latest started, which loses the least.
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

/// Only repeatable batch work below the urgent class is stopped; a gang would lose all its tasks.
fn is_evictable(spec: &JobSpec) -> bool {
    spec.kind == JobKind::Batch && spec.class != Class::Urgent && spec.repeatable
}
