//! Workers as the log knows them: what each has, and what was given out of it.

use std::collections::BTreeMap;

use model::{Name, Size};
use serde::{Deserialize, Serialize};

use crate::{JobId, TaskKey, WorkerId};

/// One life of a worker, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Its id, new in each life.
    pub id: WorkerId,
    /// The machine that it is a life of; the address where none is named.
    pub machine: Name,
    /// Where it is called, as `ip:port`.
    pub address: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Its availability zone.
    pub zone: Name,
    /// What it has.
    pub capacity: Size,
    /// Its kind and its rack.
    pub labels: Vec<Name>,
}

/// A worker and what it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// As it announced itself.
    pub info: WorkerInfo,
    /// The number of the last end that was taken note of.
    pub last_end: u64,
    /// What its runs take.
    pub used: Size,
    /// The runs that were started there and whose end is not known, with their numbers.
    pub runs: BTreeMap<TaskKey, u32>,
}

impl Worker {
    /// Tells whether any run of a job is there.
    pub fn runs_any_of(&self, job: JobId) -> bool {
        self.runs.keys().any(|task| task.step.job == job)
    }

    /// Makes a worker that runs nothing.
    pub fn new(info: WorkerInfo) -> Worker {
        Worker { info, last_end: 0, used: Size::ZERO, runs: BTreeMap::new() }
    }

    /// Tells whether its runs take more than it has, as after it has shrunk.
    pub fn is_overcommitted(&self) -> bool {
        !self.used.fits(&self.info.capacity)
    }

    /// Gives what is left; nothing at all where its runs take more than it has in any dimension.
    pub fn free(&self) -> Size {
        self.free_after(&Size::ZERO)
    }

    /// Gives what is left once runs that take `ending` have ended.
    pub fn free_after(&self, ending: &Size) -> Size {
        let used = self.used.minus(ending);
        match used.fits(&self.info.capacity) {
            true => self.info.capacity.minus(&used),
            false => Size::ZERO,
        }
    }
}
