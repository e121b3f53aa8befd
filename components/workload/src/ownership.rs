//! Which organisation each job belongs to, and how much capacity each organisation uses.
//!
//! Part of the [`crate::ReplicatedState`], so that a change of leader loses neither an owner nor a run that counts
//! against a limit.

use std::collections::BTreeMap;

use model::{Name, Size};
use serde::{Deserialize, Serialize};

use crate::JobId;

/// The owners of jobs, and the capacity that their runs take.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ownership {
    owners: BTreeMap<JobId, Name>,
    used: BTreeMap<Name, Size>,
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
