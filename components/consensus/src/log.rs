//! The in-memory log: the last snapshot, the entries around it and the memberships in them.

use std::collections::VecDeque;

use crate::{Entry, Membership, Payload, Snapshot};

/// The number of entries before the last snapshot that are retained for followers that lag a little. With fewer,
/// such followers receive the whole snapshot; with more, the log takes more memory.
const RETAINED_BEFORE_SNAPSHOT: u64 = 1_000;

/// The last snapshot, the entries after it and a limited number of entries before it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    last_snapshot: Snapshot,
    /// The index and term of the entry before the first retained one.
    start: u64,
    start_term: u64,
    entries: VecDeque<Entry>,
    /// The membership entries after the snapshot with their index, oldest first.
    memberships: Vec<(u64, Membership)>,
}

impl Log {
    pub(crate) fn new(last_snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        let (start, start_term) = (last_snapshot.last_index, last_snapshot.last_term);
        let mut log = Log { last_snapshot, start, start_term, ..Log::default() };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(crate) fn last_snapshot(&self) -> &Snapshot {
        &self.last_snapshot
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.start + self.entries.len() as u64
    }

    /// Returns the index before the first retained entry.
    pub(crate) fn start(&self) -> u64 {
        self.start
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.start_term, |e| e.term)
    }

    /// Returns the number of entries after the snapshot.
    pub(crate) fn len(&self) -> usize {
        (self.last_index() - self.last_snapshot.last_index) as usize
    }

    /// Returns the term at `index`, or `None` if the log does not hold that entry.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.start {
            return Some(self.start_term);
        }
        self.entry(index).map(|e| e.term)
    }

    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.start + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the entries from `first` on, up to `bytes` in total but at least one if there is any.
    pub(crate) fn entries_from(&self, first: u64, bytes: usize) -> Vec<Entry> {
        let mut found = Vec::new();
        let mut size = 0;
        let mut index = first;
        while let Some(entry) = self.entry(index) {
            size += entry.approximate_size();
            if size > bytes && !found.is_empty() {
                break;
            }
            found.push(entry.clone());
            index += 1;
        }
        found
    }

    /// Appends `entry`, dropping all entries at its index or above.
    pub(crate) fn push(&mut self, entry: Entry) {
        self.truncate_from(entry.index);
        debug_assert_eq!(entry.index, self.last_index() + 1, "the log has no gaps");
        if let Payload::Membership(m) = &entry.payload {
            self.memberships.push((entry.index, m.clone()));
        }
        self.entries.push_back(entry);
    }

    fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.start + 1) as usize;
        self.entries.truncate(keep);
        self.memberships.retain(|(i, _)| *i < index);
    }

    /// Returns the latest membership, committed or not, and the index of its entry.
    pub(crate) fn membership(&self) -> (u64, &Membership) {
        match self.memberships.last() {
            Some((index, m)) => (*index, m),
            None => (self.last_snapshot.last_index, &self.last_snapshot.membership),
        }
    }

    /// Returns the membership that applies at `index`.
    fn membership_at(&self, index: u64) -> &Membership {
        let found = self.memberships.iter().rev().find(|(i, _)| *i <= index);
        found.map_or(&self.last_snapshot.membership, |(_, m)| m)
    }

    /// Replaces the snapshot by one of the state after `index` and drops entries that are no longer retained.
    pub(crate) fn compact(&mut self, index: u64, data: std::sync::Arc<[u8]>) -> Option<&Snapshot> {
        let last_term = self.term_at(index)?;
        let membership = self.membership_at(index).clone();
        let start = index.saturating_sub(RETAINED_BEFORE_SNAPSHOT).max(self.start);
        self.start_term = self.term_at(start)?;
        self.entries.drain(..(start - self.start) as usize);
        self.start = start;
        self.memberships.retain(|(i, _)| *i > index);
        self.last_snapshot = Snapshot { last_index: index, last_term, membership, data };
        Some(&self.last_snapshot)
    }

    /// Replaces the log by a snapshot from the leader, keeping entries after it if the log contains its last entry.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let is_contained = self.term_at(snapshot.last_index) == Some(snapshot.last_term);
        let keep = match is_contained {
            true => self.entries_from(snapshot.last_index + 1, usize::MAX),
            false => Vec::new(),
        };
        *self = Log::new(snapshot, keep);
    }
}
