//! The part of a job's tasks that a zone holds.

use model::ZoneId;
use serde::{Deserialize, Serialize};

/// A contiguous range of a job's tasks that one zone holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The zone.
    pub zone: ZoneId,
    /// The index of the first task.
    pub first: u32,
    /// The number of tasks.
    pub count: u32,
}

impl Share {
    /// Returns whether the share holds task `index`.
    pub fn holds(&self, index: u32) -> bool {
        index >= self.first && index - self.first < self.count
    }

    /// Returns the indices of its tasks.
    pub fn tasks(&self) -> std::ops::Range<u32> {
        self.first..self.first + self.count
    }
}
