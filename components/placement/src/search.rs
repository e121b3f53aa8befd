//! Selects the worker for a task.

use std::collections::BTreeMap;

use model::{Name, Size};

use crate::index::weight;
use crate::ledger::Ledger;
use crate::worker::WorkerIndex;

/// The preference among the workers that fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// The worker with the least free capacity, so that large free capacities are preserved.
    LeastFree,
    /// The worker with the most free capacity, so that tasks interfere with each other least.
    MostFree,
}

/// The number of tasks of one job on each rack and worker.
#[derive(Clone, Debug, Default)]
pub struct SpreadCounts {
    racks: BTreeMap<Name, u32>,
    workers: BTreeMap<WorkerIndex, u32>,
}

/// The counts of a job without any placed tasks.
pub(crate) static NO_TASKS: SpreadCounts =
    SpreadCounts { racks: BTreeMap::new(), workers: BTreeMap::new() };

impl SpreadCounts {
    /// Adds a task to the counts.
    pub fn add(&mut self, rack: &Name, worker: WorkerIndex) {
        *self.racks.entry(rack.clone()).or_default() += 1;
        *self.workers.entry(worker).or_default() += 1;
    }

    /// Removes a task from the counts.
    pub fn remove(&mut self, rack: &Name, worker: WorkerIndex) {
        decrement(&mut self.racks, rack);
        decrement(&mut self.workers, &worker);
    }

    pub(crate) fn tasks_near(&self, rack: &Name, worker: WorkerIndex) -> (u32, u32) {
        let on_rack = self.racks.get(rack).copied().unwrap_or(0);
        (on_rack, self.workers.get(&worker).copied().unwrap_or(0))
    }
}

fn decrement<K: Ord>(counts: &mut BTreeMap<K, u32>, key: &K) {
    if let Some(n) = counts.get_mut(key) {
        *n = n.saturating_sub(1);
        if *n == 0 {
            counts.remove(key);
        }
    }
}

/// A request to select a worker for one task.
pub struct PlacementRequest<'a> {
    /// The capacity that the task needs.
    pub size: Size,
    /// The preference among the workers that fit.
    pub preference: Preference,
    /// The placement of the job's other tasks, if it is to be spread.
    pub spread: Option<&'a SpreadCounts>,
    /// Returns whether a worker is excluded for this task.
    pub skip: &'a dyn Fn(WorkerIndex) -> bool,
}

impl Ledger {
    /// Selects the worker for one task. Of the workers that fit and are not skipped, a job that is
    /// to be spread prefers the one with the fewest of its tasks on the rack, then on the worker
    /// itself; ties are broken by the preference, then by the lowest index.
    pub fn select_worker(&self, request: &PlacementRequest<'_>) -> Option<WorkerIndex> {
        let fits = |ix: WorkerIndex| request.size.fits(&self.free(ix)) && !(request.skip)(ix);
        let Some(counts) = request.spread else {
            return self.by_preference(request, &fits);
        };
        // A worker on whose rack the job has no tasks is optimal, so the index can find it by
        // preference.
        let alone =
            |ix: WorkerIndex| counts.tasks_near(&self.info(ix).rack, ix) == (0, 0) && fits(ix);
        self.by_preference(request, &alone).or_else(|| self.least_near(request, counts, &fits))
    }

    fn by_preference(
        &self,
        request: &PlacementRequest<'_>,
        accepts: &dyn Fn(WorkerIndex) -> bool,
    ) -> Option<WorkerIndex> {
        match request.preference {
            Preference::LeastFree => self.index().lightest(&request.size, accepts),
            Preference::MostFree => self.index().heaviest(&request.size, accepts),
        }
    }

    fn least_near(
        &self,
        request: &PlacementRequest<'_>,
        counts: &SpreadCounts,
        fits: &dyn Fn(WorkerIndex) -> bool,
    ) -> Option<WorkerIndex> {
        let open = self.workers().filter(|&ix| self.is_open(ix) && fits(ix));
        open.min_by_key(|&ix| {
            let tasks_near = counts.tasks_near(&self.info(ix).rack, ix);
            (tasks_near, preference_key(request.preference, &self.free(ix)), ix)
        })
    }
}

/// Returns a sort key that is smallest for the preferred worker.
pub(crate) fn preference_key(preference: Preference, free: &Size) -> u64 {
    match preference {
        Preference::LeastFree => weight(free),
        Preference::MostFree => u64::MAX - weight(free),
    }
}
