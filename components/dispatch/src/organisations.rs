//! Access control and limits of organisations: who may submit and see a job, and how much of an
//! organisation may run.
//!
//! Load pattern: an organisation submits many times what it may run. Its steps come before those of
//! others, and each plan would examine them, request advice for them and reserve capacity for them,
//! though none of them may start.

use model::Name;
use workload::{Credential, JobId, JobSpec, Organisation, Policy, Queue, StepKey, StepSpec};

use crate::dispatcher::Dispatcher;

/// The party on whose behalf a call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Caller {
    /// An anonymous caller: the configuration has no organisations, or the queue is public.
    Anyone,
    /// An organisation.
    Organisation(Name),
}

impl Caller {
    /// Returns on whose behalf a call with this credential is made at a queue, or `None` if it is
    /// not permitted.
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
    /// Returns whether a caller may see and cancel a job at a queue. The jobs of public queues and
    /// those without an owner are open to all.
    pub(crate) fn may_access(&self, queue: &Queue, caller: &Caller, job: JobId) -> bool {
        let Caller::Organisation(name) = caller else { return true };
        queue.public || self.replicated.ownership().owner(job).is_none_or(|owner| owner == name)
    }

    /// Returns the organisation that owns a job, if it is configured.
    pub(crate) fn organisation_of(&self, job: JobId) -> Option<&Organisation> {
        let organisations = self.policy.as_ref()?.organisations.as_ref()?;
        organisations.get(self.replicated.ownership().owner(job)?)
    }

    /// Returns the waiting tasks that the limit of the step's organisation lets start: all or none
    /// of a gang.
    pub(crate) fn within_limit(
        &self,
        key: &StepKey,
        spec: &StepSpec,
        mut waiting: Vec<u32>,
    ) -> Vec<u32> {
        let Some(organisation) = self.organisation_of(key.job) else { return waiting };
        let used = self.replicated.ownership().used(&organisation.name);
        let max_tasks = organisation.tasks_within_limit(&used, &spec.size);
        let max_tasks = usize::try_from(max_tasks).unwrap_or(usize::MAX);
        match spec.gang && max_tasks < waiting.len() {
            true => waiting.clear(),
            false => waiting.truncate(max_tasks),
        }
        waiting
    }

    /// Returns whether the organisation of a job is above its limit, so that no further start of
    /// its runs may be sent.
    pub(crate) fn is_over_limit(&self, job: JobId) -> bool {
        let is_over =
            |o: &Organisation| o.is_over_limit(&self.replicated.ownership().used(&o.name));
        self.organisation_of(job).is_some_and(is_over)
    }

    /// Returns whether the limit of its organisation lets no task of a step start.
    pub(crate) fn is_at_limit(&self, key: &StepKey) -> bool {
        let Some(organisation) = self.organisation_of(key.job) else { return false };
        let Some(spec) = self.replicated.step_spec(key) else { return false };
        let used = self.replicated.ownership().used(&organisation.name);
        let tasks_at_once = if spec.gang { u64::from(spec.count) } else { 1 };
        organisation.tasks_within_limit(&used, &spec.size) < tasks_at_once
    }
}

/// Returns the index of the first step of a job that could not start even with nothing else of its
/// organisation running.
pub(crate) fn step_beyond_limit(organisation: &Organisation, job: &JobSpec) -> Option<usize> {
    let is_beyond = |step: &StepSpec| {
        let tasks_at_once = if step.gang { u64::from(step.count) } else { 1 };
        organisation.tasks_within_limit(&model::Size::ZERO, &step.size) < tasks_at_once
    };
    job.steps.iter().position(is_beyond)
}
