//! A snapshot that is being received in chunks.

use std::sync::Arc;

use crate::Snapshot;

/// The chunks of a snapshot that have been received so far.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    header: Snapshot,
    total: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    pub(crate) fn new(header: Snapshot, total: u64) -> IncomingSnapshot {
        IncomingSnapshot { header, total, data: Vec::new() }
    }

    /// Returns whether chunks with this metadata and total length belong to this snapshot.
    pub(crate) fn matches_header(&self, header: &Snapshot, total: u64) -> bool {
        self.total == total
            && self.header.last_index == header.last_index
            && self.header.last_term == header.last_term
    }

    /// Appends a chunk if it is the next one, and returns the number of bytes received.
    pub(crate) fn append_chunk(&mut self, offset: u64, data: &[u8]) -> u64 {
        let received = self.data.len() as u64;
        if offset == received && received + data.len() as u64 <= self.total {
            self.data.extend_from_slice(data);
        }
        self.data.len() as u64
    }

    /// Returns the received snapshot.
    pub(crate) fn into_snapshot(self) -> Snapshot {
        Snapshot { data: Arc::from(self.data), ..self.header }
    }
}
