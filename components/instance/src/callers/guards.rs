//! What is given back when the handler of a request ends, also when its caller has gone.

use std::sync::Arc;

use model::Name;
use routing::RequestOutcome;

use crate::shared::{Shared, lock};

/// Counts a request from its arrival to its answer, however it ends.
pub(super) struct InProgressGuard(Arc<Shared>);

impl InProgressGuard {
    pub(super) fn new(shared: &Arc<Shared>) -> InProgressGuard {
        lock(&shared.request_plane).adjust_in_progress(1);
        InProgressGuard(shared.clone())
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        lock(&self.0.request_plane).adjust_in_progress(-1);
    }
}

/// Gives a slot back, also when the caller has gone and the handler is dropped.
pub(super) struct SlotGuard {
    pub(super) shared: Arc<Shared>,
    pub(super) upstream: Name,
    pub(super) ending: RequestOutcome,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        lock(&self.shared.request_plane).ended(now, &self.upstream, self.ending);
    }
}

/// Takes a request out of the queue when its caller has gone.
pub(super) struct QueueGuard {
    pub(super) shared: Arc<Shared>,
    pub(super) id: u64,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        lock(&self.shared.request_plane).cancel(self.id);
    }
}
