//! The workers of each service by what is free on them, so that whoever looks for room begins with those
//! that have most, and need not go through all.
//!
//! Load pattern: a backlog of steps that all look for workers to ask about. Going through 1,100 workers for
//! each took 175 us of a whole processor for every task that ended; the figures `dispatch_end_...` of the
//! benchmark show what it takes now.

use std::collections::{BTreeMap, BTreeSet};

use model::Name;
use workload::{Worker, WorkerId};

/// Thousandths of a core that are free.
type FreeCpu = u64;

/// Workers by service and free processor time.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeIndex {
    by_service: BTreeMap<Name, BTreeSet<(FreeCpu, WorkerId)>>,
    /// Where each worker stands in the index.
    places: BTreeMap<WorkerId, (Name, FreeCpu)>,
}

impl FreeIndex {
    /// Brings a worker's place up to date; `None` for one that is gone.
    pub(crate) fn set(&mut self, id: &WorkerId, worker: Option<&Worker>) {
        let place = worker.map(|w| (w.info.service.clone(), w.free().cpu_milli));
        if self.places.get(id) == place.as_ref() {
            return;
        }
        if let Some((service, free)) = self.places.remove(id)
            && let Some(workers) = self.by_service.get_mut(&service)
        {
            workers.remove(&(free, id.clone()));
        }
        if let Some((service, free)) = place {
            self.by_service.entry(service.clone()).or_default().insert((free, id.clone()));
            self.places.insert(id.clone(), (service, free));
        }
    }

    /// Gives the workers of a service, those with the most processor time free first.
    pub(crate) fn emptiest_first(&self, service: &Name) -> impl Iterator<Item = &WorkerId> {
        let workers = self.by_service.get(service);
        workers.into_iter().flat_map(|w| w.iter().rev()).map(|(_, id)| id)
    }
}
