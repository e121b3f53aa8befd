//! Which organisation each job belongs to, and how much capacity each organisation uses.
//!
//! Part of the [`crate::ReplicatedState`], so that a change of leader loses neither an owner nor a run that counts
//! against a limit.

use std::collections::BTreeMap;

use clock::Millis;
use model::{Name, Size};
use serde::{Deserialize, Serialize};

use crate::JobId;

/// What each organisation had used recently, as a leader recorded it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecordedUsage {
    /// When it was recorded, by the leader's wall clock.
    pub at: Millis,
    /// The decaying average of what the runs of each organisation use.
    pub usage: BTreeMap<Name, Size>,
}

/// The owners of jobs, and the capacity that their runs take.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ownership {
    owners: BTreeMap<JobId, Name>,
    used: BTreeMap<Name, Size>,
    /// How many steps with waiting tasks each organisation has. Derived from the open steps, so it is not encoded.
    #[serde(skip)]
    open_steps: BTreeMap<Name, u64>,
    /// Encoded as the last part of the replicated state, so that snapshots written before this field existed still
    /// decode.
    #[serde(skip)]
    recorded_usage: Option<RecordedUsage>,
}

impl Ownership {
    /// Returns the organisation that a job belongs to.
    pub fn owner(&self, job: JobId) -> Option<&Name> {
        self.owners.get(&job)
    }

    /// Returns the capacity taken by those runs of an organisation that may be alive.
    pub fn used(&self, organisation: &str) -> Size {
        self.used.get(organisation).copied().unwrap_or_default()
    }

    /// Returns the number of steps of an organisation that have waiting tasks, including those that are not due.
    pub fn open_steps(&self, organisation: &str) -> u64 {
        self.open_steps.get(organisation).copied().unwrap_or_default()
    }

    /// Returns the recent use that was recorded last.
    pub fn recorded_usage(&self) -> Option<&RecordedUsage> {
        self.recorded_usage.as_ref()
    }

    /// Replaces the recorded recent use.
    pub(crate) fn record_usage(&mut self, recorded: RecordedUsage) {
        self.recorded_usage = Some(recorded);
    }

    /// Adds a step of a job that has waiting tasks from now on.
    pub(crate) fn add_open_step(&mut self, job: JobId) {
        let Some(owner) = self.owners.get(&job) else { return };
        *self.open_steps.entry(owner.clone()).or_default() += 1;
    }

    /// Subtracts a step of a job that has no waiting tasks any more.
    pub(crate) fn remove_open_step(&mut self, job: JobId) {
        let Some(owner) = self.owners.get(&job) else { return };
        let Some(open) = self.open_steps.get_mut(owner) else { return };
        *open -= 1;
        if *open == 0 {
            self.open_steps.remove(owner);
        }
    }

    /// Sets the owner of a job.
    pub(crate) fn assign(&mut self, job: JobId, organisation: &Name) {
        self.owners.insert(job, organisation.clone());
    }

    /// Adds a run of a job that may be alive from now on.
    pub(crate) fn add_run(&mut self, job: JobId, size: &Size) {
        let Some(owner) = self.owners.get(&job) else { return };
        let used = self.used.entry(owner.clone()).or_default();
        *used = used.plus(size);
    }

    /// Subtracts a run of a job that has certainly ended.
    pub(crate) fn remove_run(&mut self, job: JobId, size: &Size) {
        let Some(owner) = self.owners.get(&job) else { return };
        let Some(used) = self.used.get_mut(owner) else { return };
        *used = used.minus(size);
        if *used == Size::ZERO {
            self.used.remove(owner);
        }
    }

    /// Removes the jobs that are no longer known. None of them has a run.
    pub(crate) fn retain(&mut self, is_known_job: impl Fn(JobId) -> bool) {
        self.owners.retain(|job, _| is_known_job(*job));
    }
}
