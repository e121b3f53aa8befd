//! Jobs in the cell state: the declaration, the assignment of tasks to zones, and the ended tasks.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{JobKind, JobSpec, Name, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{Share, TaskOutcome};

/// The lifecycle state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Tasks of the job run or wait.
    Active,
    /// An operator cancelled the job.
    Cancelled,
    /// All tasks of the job ended.
    Ended,
}

/// A job and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The declaration.
    pub spec: JobSpec,
    /// The log index of the command that created the job.
    pub version: u64,
    /// The cell's time at the creation.
    pub created: Millis,
    /// The assignment of the tasks to zones.
    pub shares: Vec<Share>,
    /// The lifecycle state.
    pub state: JobState,
    /// The indices of the completed tasks. They are small integers to keep the memory use low at
    /// 18,000 jobs a day.
    pub done: BTreeSet<u32>,
    /// The tasks that ended without completing, with the reason.
    pub failed: BTreeMap<u32, Name>,
    /// The non-repeatable tasks that may have been started.
    pub claimed: BTreeSet<u32>,
}

impl Job {
    pub(crate) fn new(spec: JobSpec, shares: Vec<Share>, version: u64, created: Millis) -> Job {
        Job {
            spec,
            version,
            created,
            shares,
            state: JobState::Active,
            done: BTreeSet::new(),
            failed: BTreeMap::new(),
            claimed: BTreeSet::new(),
        }
    }

    /// Returns the zone that holds task `index`.
    pub fn zone_of(&self, index: u32) -> Option<&ZoneId> {
        self.shares.iter().find(|s| s.holds(index)).map(|s| &s.zone)
    }

    /// Returns whether task `index` has ended.
    pub fn has_ended(&self, index: u32) -> bool {
        self.done.contains(&index) || self.failed.contains_key(&index)
    }

    /// Returns whether the job still has tasks to run.
    pub fn is_active(&self) -> bool {
        self.state == JobState::Active
    }

    pub(crate) fn end_task(&mut self, index: u32, outcome: &TaskOutcome) {
        if self.has_ended(index) || index >= self.spec.tasks {
            return;
        }
        match outcome {
            TaskOutcome::Done if self.spec.kind == JobKind::Service => {}
            TaskOutcome::Done => {
                self.done.insert(index);
            }
            TaskOutcome::Failed(reason) | TaskOutcome::MayHaveRun(reason) => {
                self.failed.insert(index, reason.clone());
            }
        }
        self.claimed.remove(&index);
        let ended = self.done.len() + self.failed.len();
        if ended == self.spec.tasks as usize && self.is_active() {
            self.state = JobState::Ended;
        }
    }
}
