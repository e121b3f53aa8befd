//! Workers that are leaving, and who waits for the leader to know of it.
//!
//! An announcement of leaving is acknowledged only once the leader has taken it in. Messages between
//! instances may be lost, or wait behind a backlog: acknowledged at once, a worker was given new work for
//! seconds, which ended with it.

use std::collections::BTreeMap;

use tokio::sync::oneshot;
use workload::WorkerId;

/// The announcements whose taking in is awaited.
#[derive(Debug, Default)]
pub(crate) struct LeavingAcknowledgements {
    by_worker: BTreeMap<WorkerId, Vec<(u64, oneshot::Sender<()>)>>,
}

impl LeavingAcknowledgements {
    /// Has an announcement with this number awaited.
    pub(crate) fn add(&mut self, worker: WorkerId, number: u64, tx: oneshot::Sender<()>) {
        self.by_worker.entry(worker).or_default().push((number, tx));
    }

    /// Takes in that the leader knows of an announcement, and so of earlier ones.
    pub(crate) fn taken(&mut self, worker: &WorkerId, number: u64) {
        let Some(waits) = self.by_worker.remove(worker) else { return };
        for (awaited, tx) in waits {
            if awaited <= number {
                // Whoever waited may have given up.
                let _ = tx.send(());
            } else {
                self.add(worker.clone(), awaited, tx);
            }
        }
    }

    /// Drops those whose callers have given up.
    pub(crate) fn forget_closed(&mut self) {
        self.by_worker.retain(|_, waits| {
            waits.retain(|(_, tx)| !tx.is_closed());
            !waits.is_empty()
        });
    }
}
