//! Guards that release resources when a request's handler ends, even if its caller has disconnected.

use std::sync::Arc;

use model::Name;
use routing::RequestOutcome;

use crate::shared::{Shared, lock};

/// Counts a request as in progress from its arrival to its response, however it ends.
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

/// Releases a slot, even if the caller has disconnected and the handler is dropped.
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

/// Removes a request from the queue if its caller has disconnected.
pub(super) struct QueueGuard {
    pub(super) shared: Arc<Shared>,
    pub(super) id: u64,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        lock(&self.shared.request_plane).cancel(self.id);
    }
}
