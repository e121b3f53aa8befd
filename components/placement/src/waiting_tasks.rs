//! The waiting tasks, by class and organisation.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use model::{Class, JobName, JobSpec, Name};

use crate::organisation_queue::{Cursor, OrganisationQueue};
use crate::preempt::EvictionSearch;

/// The waiting tasks of one job.
#[derive(Clone, Debug)]
pub struct WaitingJob {
    /// The specification of the job.
    pub spec: Arc<JobSpec>,
    /// The version at which the job was created. It is sent to workers with each task.
    pub generation: u64,
    /// The indexes of the waiting tasks.
    pub waiting: BTreeSet<u32>,
    /// The time since which the job has been waiting.
    pub since: Millis,
    /// The position in the order of arrival.
    pub(crate) order: u64,
    /// The ledger's change count when the job last failed to fit.
    pub(crate) stuck_at: Option<u64>,
    /// The search for workers on which to free capacity for the job, while it is in progress.
    pub(crate) eviction_search: Option<EvictionSearch>,
}

/// All waiting jobs: by class, then organisation, then age.
#[derive(Clone, Debug, Default)]
pub struct WaitingTasks {
    jobs: BTreeMap<JobName, WaitingJob>,
    queues: BTreeMap<Class, BTreeMap<Name, OrganisationQueue>>,
    next_order: u64,
    waiting: usize,
}

impl WaitingTasks {
    /// Adds tasks of a job, behind the other waiting jobs of its organisation.
    pub fn add(
        &mut self,
        now: Millis,
        spec: &Arc<JobSpec>,
        generation: u64,
        tasks: impl IntoIterator<Item = u32>,
    ) {
        let order = self.next_order;
        let waiting_job = self.jobs.entry(spec.name.clone()).or_insert_with(|| WaitingJob {
            spec: spec.clone(),
            generation,
            waiting: BTreeSet::new(),
            since: now,
            order,
            stuck_at: None,
            eviction_search: None,
        });
        let before = waiting_job.waiting.len();
        waiting_job.waiting.extend(tasks);
        waiting_job.stuck_at = None;
        self.waiting += waiting_job.waiting.len() - before;
        if waiting_job.waiting.is_empty() {
            self.jobs.remove(&spec.name);
            return;
        }
        if waiting_job.order == order {
            self.next_order += 1;
            let organisations = self.queues.entry(spec.class).or_default();
            organisations
                .entry(spec.organisation.clone())
                .or_default()
                .insert(order, spec.name.clone());
        }
    }

    /// Removes one task because it starts.
    pub fn take(&mut self, job: &JobName, index: u32) {
        let Some(waiting_job) = self.jobs.get_mut(job) else { return };
        if waiting_job.waiting.remove(&index) {
            self.waiting -= 1;
        }
        if waiting_job.waiting.is_empty() {
            self.remove(job);
        }
    }

    /// Removes all of a job's waiting tasks, in one step however many there are.
    pub fn remove(&mut self, job: &JobName) -> Option<WaitingJob> {
        let waiting_job = self.jobs.remove(job)?;
        self.waiting -= waiting_job.waiting.len();
        if let Some(organisations) = self.queues.get_mut(&waiting_job.spec.class)
            && let Some(queue) = organisations.get_mut(&waiting_job.spec.organisation)
        {
            queue.remove(waiting_job.order);
            if queue.is_empty() {
                organisations.remove(&waiting_job.spec.organisation);
            }
        }
        Some(waiting_job)
    }

    /// Returns a waiting job by name.
    pub fn get(&self, job: &JobName) -> Option<&WaitingJob> {
        self.jobs.get(job)
    }

    pub(crate) fn get_mut(&mut self, job: &JobName) -> Option<&mut WaitingJob> {
        self.jobs.get_mut(job)
    }

    /// Returns all waiting jobs, by name.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingJob> {
        self.jobs.values()
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    pub(crate) fn organisations(&self, class: Class) -> impl Iterator<Item = &Name> {
        self.queues.get(&class).into_iter().flat_map(|organisations| organisations.keys())
    }

    /// Returns the next job of an organisation for a round to try.
    pub(crate) fn next_candidate(
        &self,
        class: Class,
        organisation: &Name,
        cursor: &Cursor,
    ) -> Option<&WaitingJob> {
        let job = self.queues.get(&class)?.get(organisation)?.next(cursor)?;
        self.jobs.get(job)
    }

    /// Records that a round of a pass skips a job that cannot start now.
    pub(crate) fn skip_job(&mut self, job: &JobName, cursor: &mut Cursor, pass: u64) {
        let Some(waiting_job) = self.jobs.get(job) else { return };
        let organisations = self.queues.get_mut(&waiting_job.spec.class);
        if let Some(queue) = organisations.and_then(|t| t.get_mut(&waiting_job.spec.organisation)) {
            queue.skip_job(waiting_job.order, cursor, pass);
        }
    }

    /// Returns whether the pass has tried every job. Valid after a round that went as far as it
    /// may.
    pub(crate) fn is_pass_complete(&self) -> bool {
        self.queues.values().flat_map(BTreeMap::values).all(OrganisationQueue::is_pass_complete)
    }
}
