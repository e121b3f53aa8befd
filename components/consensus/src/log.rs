//! The log in memory: the entries behind the last snapshot, and the memberships in them.

use std::collections::VecDeque;

use crate::{Entry, Membership, Payload, Snapshot};

/// How many entries before the snapshot are kept for followers that are a little behind, so that they
/// need not take in the whole state.
const KEPT_BEFORE_SNAPSHOT: u64 = 1_000;

/// A snapshot, the entries behind it and the last ones before it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    base: Snapshot,
    /// The index and term before the first kept entry.
    start: u64,
    start_term: u64,
    entries: VecDeque<Entry>,
    /// The membership entries behind the snapshot, oldest first.
    memberships: Vec<(u64, Membership)>,
}

impl Log {
    pub(crate) fn new(base: Snapshot, entries: Vec<Entry>) -> Log {
        let (start, start_term) = (base.last_index, base.last_term);
        let mut log = Log { base, start, start_term, ..Log::default() };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(crate) fn base(&self) -> &Snapshot {
        &self.base
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.start + self.entries.len() as u64
    }

    /// Gives the index before the first entry that followers can still be sent.
    pub(crate) fn start(&self) -> u64 {
        self.start
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.start_term, |e| e.term)
    }

    /// Gives how many entries lie behind the snapshot.
    pub(crate) fn len(&self) -> usize {
        (self.last_index() - self.base.last_index) as usize
    }

    /// Gives the term at `index`, or `None` if the log does not reach there.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.start {
            return Some(self.start_term);
        }
        self.entry(index).map(|e| e.term)
    }

    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let place = index.checked_sub(self.start + 1)?;
        self.entries.get(place as usize)
    }

    /// Gives the entries from `first` on, up to `bytes` of them but at least one.
    pub(crate) fn entries_from(&self, first: u64, bytes: usize) -> Vec<Entry> {
        let mut found = Vec::new();
        let mut weight = 0;
        let mut index = first;
        while let Some(entry) = self.entry(index) {
            weight += entry.approximate_size();
            if weight > bytes && !found.is_empty() {
                break;
            }
            found.push(entry.clone());
            index += 1;
        }
        found
    }

    /// Adds `entry`, dropping whatever stood at its index or behind.
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

    /// Gives the newest membership, committed or not, and the index of its entry.
    pub(crate) fn membership(&self) -> (u64, &Membership) {
        match self.memberships.last() {
            Some((index, m)) => (*index, m),
            None => (self.base.last_index, &self.base.membership),
        }
    }

    /// Gives the membership in force at `index`.
    fn membership_at(&self, index: u64) -> &Membership {
        let found = self.memberships.iter().rev().find(|(i, _)| *i <= index);
        found.map_or(&self.base.membership, |(_, m)| m)
    }

    /// Takes a snapshot of the state after `index` and drops the entries that no follower needs.
    pub(crate) fn compact(&mut self, index: u64, data: std::sync::Arc<[u8]>) -> Option<&Snapshot> {
        let last_term = self.term_at(index)?;
        let membership = self.membership_at(index).clone();
        let start = index.saturating_sub(KEPT_BEFORE_SNAPSHOT).max(self.start);
        self.start_term = self.term_at(start)?;
        self.entries.drain(..(start - self.start) as usize);
        self.start = start;
        self.memberships.retain(|(i, _)| *i > index);
        self.base = Snapshot { last_index: index, last_term, membership, data };
        Some(&self.base)
    }

    /// Puts a snapshot from the leader in place of the log, keeping entries that follow on from it.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let follows = self.term_at(snapshot.last_index) == Some(snapshot.last_term);
        let keep = match follows {
            true => self.entries_from(snapshot.last_index + 1, usize::MAX),
            false => Vec::new(),
        };
        *self = Log::new(snapshot, keep);
    }
}
