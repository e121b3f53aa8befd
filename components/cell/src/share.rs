//! Which of a job's tasks a zone holds.

use model::ZoneId;
use serde::{Deserialize, Serialize};

/// A run of a job's tasks that one zone holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The zone.
    pub zone: ZoneId,
    /// The first task's number.
    pub first: u32,
    /// How many tasks.
    pub count: u32,
}

impl Share {
    /// Tells whether the share holds task `index`.
    pub fn holds(&self, index: u32) -> bool {
        index >= self.first && index - self.first < self.count
    }

    /// Gives the numbers of its tasks.
    pub fn tasks(&self) -> std::ops::Range<u32> {
        self.first..self.first + self.count
    }
}
