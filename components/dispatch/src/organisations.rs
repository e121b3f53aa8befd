//! What organisations may do: who may hand in a job and see it, and how much of it may run.
//!
//! Load pattern: an organisation hands in many times what it may have running. Its steps stand before those of
//! others, and each plan would look at them, ask for advice on them and keep room free for them, though none of
//! them may start.

use model::Name;
use workload::{Credential, JobId, JobSpec, Organisation, Policy, Queue, StepKey, StepSpec};

use crate::dispatcher::Dispatcher;

/// On whose behalf a call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Caller {
    /// Nobody that is known: the configuration has no organisations, or the queue is public.
    Anyone,
    /// An organisation.
    Organisation(Name),
}

impl Caller {
    /// Tells on whose behalf a call is made that shows some credential at a queue; `None` if it may not be made.
    pub(crate) fn of(policy: &Policy, queue: &Queue, credential: &Credential) -> Option<Caller> {
        let Some(organisations) = &policy.organisations else { return Some(Caller::Anyone) };
        let holder = organisations.holder(credential).cloned();
        match holder {
            Some(name) => Some(Caller::Organisation(name)),
            None => queue.public.then_some(Caller::Anyone),
        }
    }
}

impl Dispatcher {
    /// Tells whether a caller may see and cancel a job at a queue. The jobs of public queues are open to all, and
    /// so are those that belong to nobody.
    pub(crate) fn may_access(&self, queue: &Queue, caller: &Caller, job: JobId) -> bool {
        let Caller::Organisation(name) = caller else { return true };
        queue.public || self.replicated.ownership().owner(job).is_none_or(|owner| owner == name)
    }

    /// Gives the organisation that a job belongs to, as far as the configuration holds it.
    pub(crate) fn organisation_of(&self, job: JobId) -> Option<&Organisation> {
        let organisations = self.policy.as_ref()?.organisations.as_ref()?;
        organisations.get(self.replicated.ownership().owner(job)?)
    }

    /// Leaves of some tasks of a step that wait those which the limit of its organisation lets start: of a gang all
    /// or none.
    pub(crate) fn within_limit(
        &self,
        key: &StepKey,
        spec: &StepSpec,
        mut waiting: Vec<u32>,
    ) -> Vec<u32> {
        let Some(organisation) = self.organisation_of(key.job) else { return waiting };
        let used = self.replicated.ownership().used(&organisation.name);
        let most = organisation.tasks_within_limit(&used, &spec.size);
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        match spec.gang && most < waiting.len() {
            true => waiting.clear(),
            false => waiting.truncate(most),
        }
        waiting
    }

    /// Tells whether the organisation of a job has more running than its limit, so that no run of it that was not
    /// ordered yet may begin.
    pub(crate) fn is_over_limit(&self, job: JobId) -> bool {
        let is_over =
            |o: &Organisation| o.is_over_limit(&self.replicated.ownership().used(&o.name));
        self.organisation_of(job).is_some_and(is_over)
    }

    /// Tells whether the limit of its organisation lets no task of a step start.
    pub(crate) fn is_at_limit(&self, key: &StepKey) -> bool {
        let Some(organisation) = self.organisation_of(key.job) else { return false };
        let Some(spec) = self.replicated.step_spec(key) else { return false };
        let used = self.replicated.ownership().used(&organisation.name);
        let together = if spec.gang { u64::from(spec.count) } else { 1 };
        organisation.tasks_within_limit(&used, &spec.size) < together
    }
}

/// Gives the place of a step in a job that could not start if its organisation had nothing else running.
pub(crate) fn step_beyond_limit(organisation: &Organisation, job: &JobSpec) -> Option<usize> {
    let is_beyond = |step: &StepSpec| {
        let together = if step.gang { u64::from(step.count) } else { 1 };
        organisation.tasks_within_limit(&model::Size::ZERO, &step.size) < together
    };
    job.steps.iter().position(is_beyond)
}
