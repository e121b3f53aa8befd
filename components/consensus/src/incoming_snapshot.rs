//! A snapshot that is coming in, piece by piece.

use std::sync::Arc;

use crate::Snapshot;

/// The pieces that have come so far.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    head: Snapshot,
    total: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    pub(crate) fn new(head: Snapshot, total: u64) -> IncomingSnapshot {
        IncomingSnapshot { head, total, data: Vec::new() }
    }

    /// Tells whether pieces with this head belong to it.
    pub(crate) fn is_of(&self, head: &Snapshot, total: u64) -> bool {
        self.total == total
            && self.head.last_index == head.last_index
            && self.head.last_term == head.last_term
    }

    /// Adds a piece if it is the next one, and gives how many bytes there are.
    pub(crate) fn take(&mut self, offset: u64, data: &[u8]) -> u64 {
        let have = self.data.len() as u64;
        if offset == have && have + data.len() as u64 <= self.total {
            self.data.extend_from_slice(data);
        }
        self.data.len() as u64
    }

    pub(crate) fn into_snapshot(self) -> Snapshot {
        Snapshot { data: Arc::from(self.data), ..self.head }
    }
}
