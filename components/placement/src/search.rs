//! Finding the worker for one task.

use std::collections::BTreeMap;

use model::{Name, Size};

use crate::index::weight;
use crate::ledger::Ledger;
use crate::worker::WorkerIndex;

/// Which of the workers that fit is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// The one with the least free, so that large rooms stay whole.
    LeastFree,
    /// The one with the most free, so that neighbours disturb each other least.
    MostFree,
}

/// How many tasks of one job stand on each rack and worker.
#[derive(Clone, Debug, Default)]
pub struct SpreadCounts {
    racks: BTreeMap<Name, u32>,
    workers: BTreeMap<WorkerIndex, u32>,
}

/// What a job has that has no task anywhere.
pub(crate) static NO_TASKS: SpreadCounts =
    SpreadCounts { racks: BTreeMap::new(), workers: BTreeMap::new() };

impl SpreadCounts {
    /// Counts a task.
    pub fn add(&mut self, rack: &Name, worker: WorkerIndex) {
        *self.racks.entry(rack.clone()).or_default() += 1;
        *self.workers.entry(worker).or_default() += 1;
    }

    /// Counts a task out.
    pub fn remove(&mut self, rack: &Name, worker: WorkerIndex) {
        lower(&mut self.racks, rack);
        lower(&mut self.workers, &worker);
    }

    pub(crate) fn crowd(&self, rack: &Name, worker: WorkerIndex) -> (u32, u32) {
        let on_rack = self.racks.get(rack).copied().unwrap_or(0);
        (on_rack, self.workers.get(&worker).copied().unwrap_or(0))
    }
}

fn lower<K: Ord>(counts: &mut BTreeMap<K, u32>, key: &K) {
    if let Some(n) = counts.get_mut(key) {
        *n = n.saturating_sub(1);
        if *n == 0 {
            counts.remove(key);
        }
    }
}

/// What is asked of the ledger.
pub struct PlacementRequest<'a> {
    /// What the task takes.
    pub size: Size,
    /// Which worker is taken among those that fit.
    pub preference: Preference,
    /// Where the job's other tasks stand, if it is to be spread.
    pub spread: Option<&'a SpreadCounts>,
    /// Workers that are out of the question for this task.
    pub skip: &'a dyn Fn(WorkerIndex) -> bool,
}

impl Ledger {
    /// Finds the worker for one task: of those that fit and are not skipped, for a spread job the
    /// one with the fewest of its tasks on its rack, then on itself; then by preference; then the
    /// lowest number.
    pub fn select_worker(&self, ask: &PlacementRequest<'_>) -> Option<WorkerIndex> {
        let fits = |ix: WorkerIndex| ask.size.fits(&self.free(ix)) && !(ask.skip)(ix);
        let Some(counts) = ask.spread else {
            return self.by_preference(ask, &fits);
        };
        // A worker without any of the job's tasks near it cannot be beaten.
        let alone = |ix: WorkerIndex| counts.crowd(&self.info(ix).rack, ix) == (0, 0) && fits(ix);
        self.by_preference(ask, &alone).or_else(|| self.least_crowded(ask, counts, &fits))
    }

    fn by_preference(
        &self,
        ask: &PlacementRequest<'_>,
        accepts: &dyn Fn(WorkerIndex) -> bool,
    ) -> Option<WorkerIndex> {
        match ask.preference {
            Preference::LeastFree => self.index().lightest(&ask.size, accepts),
            Preference::MostFree => self.index().heaviest(&ask.size, accepts),
        }
    }

    fn least_crowded(
        &self,
        ask: &PlacementRequest<'_>,
        counts: &SpreadCounts,
        fits: &dyn Fn(WorkerIndex) -> bool,
    ) -> Option<WorkerIndex> {
        let open = self.workers().filter(|&ix| self.is_open(ix) && fits(ix));
        open.min_by_key(|&ix| {
            let crowd = counts.crowd(&self.info(ix).rack, ix);
            (crowd, preference_key(ask.preference, &self.free(ix)), ix)
        })
    }
}

/// Gives a key that is smallest for the preferred worker.
pub(crate) fn preference_key(preference: Preference, free: &Size) -> u64 {
    match preference {
        Preference::LeastFree => weight(free),
        Preference::MostFree => u64::MAX - weight(free),
    }
}
