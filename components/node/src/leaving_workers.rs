//! Workers that are leaving and wait for the leader's acknowledgement.
//!
//! An announcement of leaving is acknowledged only after the leader has processed it. Messages between
//! instances may be lost or wait behind a backlog: when announcements were acknowledged immediately, a
//! worker got new tasks for seconds, which were lost when it left.

use std::collections::BTreeMap;

use tokio::sync::oneshot;
use workload::WorkerId;

/// The announcements of leaving that await the leader's acknowledgement.
#[derive(Debug, Default)]
pub(crate) struct LeavingAcknowledgements {
    by_worker: BTreeMap<WorkerId, Vec<(u64, oneshot::Sender<()>)>>,
}

impl LeavingAcknowledgements {
    /// Registers `tx` to be notified when the leader acknowledges the announcement with this number.
    pub(crate) fn add(&mut self, worker: WorkerId, number: u64, tx: oneshot::Sender<()>) {
        self.by_worker.entry(worker).or_default().push((number, tx));
    }

    /// Processes the leader's acknowledgement of an announcement, which covers earlier ones of the same worker.
    pub(crate) fn acknowledge(&mut self, worker: &WorkerId, number: u64) {
        let Some(waits) = self.by_worker.remove(worker) else { return };
        for (answer_awaited, tx) in waits {
            if answer_awaited <= number {
                // The receiver may have timed out.
                let _ = tx.send(());
            } else {
                self.add(worker.clone(), answer_awaited, tx);
            }
        }
    }

    /// Removes the entries whose receivers have timed out.
    pub(crate) fn remove_closed(&mut self) {
        self.by_worker.retain(|_, waits| {
            waits.retain(|(_, tx)| !tx.is_closed());
            !waits.is_empty()
        });
    }
}
