//! Workers as recorded in the log: the capacity of each and what is allocated from it.

use std::collections::BTreeMap;

use model::{Name, Size};
use serde::{Deserialize, Serialize};

use crate::{JobId, TaskKey, WorkerId};

/// A worker incarnation, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Its id, different for each incarnation.
    pub id: WorkerId,
    /// The machine that it runs on; its address if it names no machine.
    pub machine: Name,
    /// The address at which it accepts calls, as `ip:port`.
    pub address: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its total capacity.
    pub capacity: Size,
    /// Its kind and its rack.
    pub labels: Vec<Name>,
}

/// A worker and its runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Its announcement.
    pub info: WorkerInfo,
    /// The number of the last end that was applied.
    pub last_end: u64,
    /// The capacity that its runs take.
    pub used: Size,
    /// The runs that were started there and whose end is not known, with their run numbers.
    pub runs: BTreeMap<TaskKey, u32>,
}

impl Worker {
    /// Returns whether the worker holds any run of a job.
    pub fn runs_any_of(&self, job: JobId) -> bool {
        self.runs.keys().any(|task| task.step.job == job)
    }

    /// Creates a worker without runs.
    pub fn new(info: WorkerInfo) -> Worker {
        Worker { info, last_end: 0, used: Size::ZERO, runs: BTreeMap::new() }
    }

    /// Returns whether its runs take more than its capacity, which happens when its capacity is reduced.
    pub fn is_overcommitted(&self) -> bool {
        !self.used.fits(&self.info.capacity)
    }

    /// Returns the free capacity; [`Size::ZERO`] if its runs take more than its capacity in any dimension.
    pub fn free(&self) -> Size {
        self.free_after(&Size::ZERO)
    }

    /// Returns the free capacity once runs that take `ending` have ended.
    pub fn free_after(&self, ending: &Size) -> Size {
        let used = self.used.minus(ending);
        match used.fits(&self.info.capacity) {
            true => self.info.capacity.minus(&used),
            false => Size::ZERO,
        }
    }
}
