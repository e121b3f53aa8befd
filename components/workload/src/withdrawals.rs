//! The ids of jobs that were cancelled before any job with such an id was accepted.
//!
//! A submission may be held up on its way while its caller cancels the job through another instance. The ids are part of the
//! [`crate::ReplicatedState`], so that no later leader accepts such a submission: docs/design/platform.md, "Calls that are held
//! up".

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::JobId;

/// The maximum number of withdrawn ids. Callers may cancel any number of ids that never were; this many take less than two
/// megabytes. Beyond it the oldest one is dropped.
pub const MAX_WITHDRAWN: usize = 20_000;

/// The withdrawn ids, numbered in the order in which they were withdrawn.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawals {
    by_number: BTreeMap<u64, JobId>,
    by_id: BTreeMap<JobId, u64>,
    last_number: u64,
}

impl Withdrawals {
    /// Returns the number of the last withdrawal of an id, if it is kept.
    pub fn number(&self, id: JobId) -> Option<u64> {
        self.by_id.get(&id).copied()
    }

    /// Returns the number of the last withdrawal, or zero if there was none yet.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Returns the number of the oldest withdrawal that is kept.
    pub fn oldest(&self) -> Option<u64> {
        self.by_number.keys().next().copied()
    }

    /// Returns whether the next withdrawal may drop the oldest one.
    pub fn is_full(&self) -> bool {
        self.by_id.len() >= MAX_WITHDRAWN
    }

    /// Returns whether no id was ever withdrawn.
    pub(crate) fn is_unused(&self) -> bool {
        self.last_number == 0
    }

    pub(crate) fn add(&mut self, id: JobId) {
        self.remove(id);
        if self.is_full()
            && let Some((_, oldest)) = self.by_number.pop_first()
        {
            self.by_id.remove(&oldest);
        }
        self.last_number += 1;
        self.by_number.insert(self.last_number, id);
        self.by_id.insert(id, self.last_number);
    }

    pub(crate) fn remove(&mut self, id: JobId) {
        if let Some(number) = self.by_id.remove(&id) {
            self.by_number.remove(&number);
        }
    }

    pub(crate) fn forget(&mut self, up_to: u64) {
        let kept = self.by_number.split_off(&up_to.saturating_add(1));
        let forgotten = std::mem::replace(&mut self.by_number, kept);
        for id in forgotten.values() {
            self.by_id.remove(id);
        }
    }
}
