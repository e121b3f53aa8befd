//! What is given back when the handler of a request ends, also when its caller has gone.

use std::sync::Arc;

use model::Name;
use routing::RequestOutcome;

use crate::shared::{Shared, lock};

/// Counts a request from its arrival to its answer, however it ends.
pub(super) struct Counted(Arc<Shared>);

impl Counted {
    pub(super) fn new(shared: &Arc<Shared>) -> Counted {
        lock(&shared.plane).count(1);
        Counted(shared.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        lock(&self.0.plane).count(-1);
    }
}

/// Gives a slot back, also when the caller has gone and the handler is dropped.
pub(super) struct Slot {
    pub(super) shared: Arc<Shared>,
    pub(super) upstream: Name,
    pub(super) ending: RequestOutcome,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.shared.now();
        lock(&self.shared.plane).ended(now, &self.upstream, self.ending);
    }
}

/// Takes a request out of the queue when its caller has gone.
pub(super) struct InQueue {
    pub(super) shared: Arc<Shared>,
    pub(super) id: u64,
}

impl Drop for InQueue {
    fn drop(&mut self) {
        lock(&self.shared.plane).give_up(self.id);
    }
}
