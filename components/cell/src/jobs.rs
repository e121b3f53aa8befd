//! Jobs as the cell knows them: what was declared, which zone holds which tasks, what ended.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{JobKind, JobSpec, Name, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{Share, TaskOutcome};

/// How far a job has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Its tasks run or wait.
    Active,
    /// Its operator cancelled it.
    Cancelled,
    /// All its tasks ended.
    Ended,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What was declared.
    pub spec: JobSpec,
    /// The version that created it.
    pub version: u64,
    /// The cell's time then.
    pub created: Millis,
    /// Which zone holds which tasks.
    pub shares: Vec<Share>,
    /// How far it has come.
    pub state: JobState,
    /// The tasks that ran to their end. Small numbers, so that 18,000 jobs a day stay cheap.
    pub done: BTreeSet<u32>,
    /// The tasks that ended otherwise.
    pub failed: BTreeMap<u32, Name>,
    /// The not repeatable tasks that may have been started.
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

    /// Gives the zone that holds task `index`.
    pub fn zone_of(&self, index: u32) -> Option<&ZoneId> {
        self.shares.iter().find(|s| s.holds(index)).map(|s| &s.zone)
    }

    /// Tells whether task `index` has ended.
    pub fn has_ended(&self, index: u32) -> bool {
        self.done.contains(&index) || self.failed.contains_key(&index)
    }

    /// Tells whether the job still wants anything to run.
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
