//! Reads that wait until the state is sufficiently recent.

use std::collections::BTreeMap;

use clock::Millis;
use tokio::sync::oneshot;

use crate::pending_changes::{MAX_WAIT, first_token};

/// Reads that wait until this instance has applied the log up to an index.
pub(crate) struct PendingReads {
    next: u64,
    /// The number of the request for the index up to which this process has to catch up.
    barrier: Option<u64>,
    barrier_index: Option<u64>,
    awaiting_index: BTreeMap<u64, (oneshot::Sender<bool>, Millis)>,
    awaiting_apply: Vec<(u64, oneshot::Sender<bool>)>,
}

impl Default for PendingReads {
    fn default() -> Self {
        PendingReads {
            next: first_token(),
            barrier: None,
            barrier_index: None,
            awaiting_index: BTreeMap::new(),
            awaiting_apply: Vec::new(),
        }
    }
}

impl PendingReads {
    /// Returns the number for a request for the index that this process has to apply before it is ready.
    pub(crate) fn request_barrier(&mut self) -> u64 {
        self.next += 1;
        *self.barrier.insert(self.next)
    }

    /// Records the index that this process, as the leader, determined itself.
    pub(crate) fn set_barrier_index(&mut self, index: Option<u64>) {
        self.barrier_index = self.barrier_index.or(index);
    }

    /// Returns whether this process has applied everything that was committed at its request.
    pub(crate) fn is_past_barrier(&self, applied: u64) -> bool {
        self.barrier_index.is_some_and(|index| applied >= index)
    }

    pub(crate) fn request_index(&mut self, now: Millis, tx: oneshot::Sender<bool>) -> u64 {
        self.next += 1;
        self.awaiting_index.insert(self.next, (tx, now + MAX_WAIT));
        self.next
    }

    pub(crate) fn wait_for(&mut self, index: u64, tx: oneshot::Sender<bool>) {
        self.awaiting_apply.push((index, tx));
    }

    pub(crate) fn on_index(&mut self, token: u64, index: Option<u64>) {
        if self.barrier == Some(token) {
            self.barrier_index = self.barrier_index.or(index);
        }
        let Some((tx, _)) = self.awaiting_index.remove(&token) else { return };
        match index {
            Some(index) => self.wait_for(index, tx),
            None => {
                let _ = tx.send(false);
            }
        }
    }

    /// Completes the reads that the state is recent enough for, and fails those that waited too long
    /// for their index.
    pub(crate) fn complete_due(&mut self, now: Millis, applied: u64) {
        for (index, tx) in std::mem::take(&mut self.awaiting_apply) {
            if applied >= index {
                let _ = tx.send(true);
            } else if !tx.is_closed() {
                self.awaiting_apply.push((index, tx));
            }
        }
        let late: Vec<u64> =
            self.awaiting_index.iter().filter(|(_, a)| now >= a.1).map(|(t, _)| *t).collect();
        late.into_iter().for_each(|t| self.on_index(t, None));
    }
}
