//! Reads that wait until the state holds enough for them.

use std::collections::BTreeMap;

use clock::Millis;
use tokio::sync::oneshot;

use crate::pending_changes::{MAX_WAIT, first_token};

/// Reads that wait until this instance has applied up to an entry.
pub(crate) struct PendingReads {
    next: u64,
    /// The question by which this process catches up, and up to where it has to.
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
    /// Numbers the question up to where this process has to apply the log before it acts on it.
    pub(crate) fn request_barrier(&mut self) -> u64 {
        self.next += 1;
        *self.barrier.insert(self.next)
    }

    /// Notes the answer that this process, leading, gives itself.
    pub(crate) fn set_barrier_index(&mut self, index: Option<u64>) {
        self.barrier_index = self.barrier_index.or(index);
    }

    /// Tells whether this process has applied all that was committed when it asked.
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

    /// Answers reads that the state holds enough for, and gives up on old ones.
    pub(crate) fn settle(&mut self, now: Millis, applied: u64) {
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
