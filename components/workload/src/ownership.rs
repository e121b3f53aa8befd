//! Which organisation each job belongs to, and what each organisation has running.
//!
//! Part of the [`crate::ReplicatedState`], so that a change of leader neither loses an owner nor forgets a run that counts
//! against a limit.

use std::collections::BTreeMap;

use model::{Name, Size};
use serde::{Deserialize, Serialize};

use crate::JobId;

/// The owners of jobs, and the room that their runs take.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ownership {
    owners: BTreeMap<JobId, Name>,
    used: BTreeMap<Name, Size>,
}

impl Ownership {
    /// Gives the organisation that a job belongs to.
    pub fn owner(&self, job: JobId) -> Option<&Name> {
        self.owners.get(&job)
    }

    /// Gives what the runs of an organisation take that may be alive.
    pub fn used(&self, organisation: &str) -> Size {
        self.used.get(organisation).copied().unwrap_or_default()
    }

    /// Fixes the owner of a job.
    pub(crate) fn assign(&mut self, job: JobId, organisation: &Name) {
        self.owners.insert(job, organisation.clone());
    }

    /// Counts a run of a job that may be alive from here on.
    pub(crate) fn add_run(&mut self, job: JobId, size: &Size) {
        let Some(owner) = self.owners.get(&job) else { return };
        let used = self.used.entry(owner.clone()).or_default();
        *used = used.plus(size);
    }

    /// Takes back a run of a job that is surely over.
    pub(crate) fn remove_run(&mut self, job: JobId, size: &Size) {
        let Some(owner) = self.owners.get(&job) else { return };
        let Some(used) = self.used.get_mut(owner) else { return };
        *used = used.minus(size);
        if *used == Size::ZERO {
            self.used.remove(owner);
        }
    }

    /// Drops the jobs that are not remembered any more. None of them has a run.
    pub(crate) fn retain(&mut self, remembered: impl Fn(JobId) -> bool) {
        self.owners.retain(|job, _| remembered(*job));
    }
}
