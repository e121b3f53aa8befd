//! The leader's views of all workers, and which of them may have changed since the last plan.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;

use workload::WorkerId;

use crate::worker_view::WorkerView;

/// The views by worker. Each worker whose view may have changed is recorded, so that a plan learns whether the leader
/// has lost contact to workers without a pass over all of them.
#[derive(Default)]
pub(crate) struct WorkerViews {
    views: BTreeMap<WorkerId, WorkerView>,
    changed: BTreeSet<WorkerId>,
}

impl Deref for WorkerViews {
    type Target = BTreeMap<WorkerId, WorkerView>;

    fn deref(&self) -> &Self::Target {
        &self.views
    }
}

impl WorkerViews {
    /// Returns a view to change it.
    pub(crate) fn get_mut(&mut self, worker: &WorkerId) -> Option<&mut WorkerView> {
        let view = self.views.get_mut(worker)?;
        if !self.changed.contains(worker) {
            self.changed.insert(worker.clone());
        }
        Some(view)
    }

    /// Adds or replaces a view.
    pub(crate) fn insert(&mut self, worker: WorkerId, view: WorkerView) {
        self.changed.insert(worker.clone());
        self.views.insert(worker, view);
    }

    /// Removes a view.
    pub(crate) fn remove(&mut self, worker: &WorkerId) -> Option<WorkerView> {
        self.changed.insert(worker.clone());
        self.views.remove(worker)
    }

    /// Records that a worker has changed otherwise.
    pub(crate) fn mark_changed(&mut self, worker: WorkerId) {
        self.changed.insert(worker);
    }

    /// Returns the workers that may have changed since the last call.
    pub(crate) fn take_changed(&mut self) -> BTreeSet<WorkerId> {
        std::mem::take(&mut self.changed)
    }
}
