//! The tasks that wait, by class and organisation.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use model::{Class, JobName, JobSpec, Name};

use crate::organisation_queue::{Line, Walk};
use crate::preempt::RoomSearch;

/// The waiting tasks of one job.
#[derive(Clone, Debug)]
pub struct WaitingJob {
    /// The job.
    pub spec: Arc<JobSpec>,
    /// The version that created the job; told to the workers with each task.
    pub generation: u64,
    /// The numbers of the tasks that wait.
    pub waiting: BTreeSet<u32>,
    /// Since when the job waits.
    pub since: Millis,
    /// The order in which bundles came.
    pub(crate) order: u64,
    /// The ledger's count of freed room when the job last found none.
    pub(crate) stuck_at: Option<u64>,
    /// The search for workers on which to make room for the job, while it is under way.
    pub(crate) room_search: Option<RoomSearch>,
}

/// All bundles: by class, then organisation, then age.
#[derive(Clone, Debug, Default)]
pub struct WaitingTasks {
    bundles: BTreeMap<JobName, WaitingJob>,
    lines: BTreeMap<Class, BTreeMap<Name, Line>>,
    next_order: u64,
    waiting: usize,
}

impl WaitingTasks {
    /// Adds tasks of a job, behind what its organisation has waiting already.
    pub fn add(
        &mut self,
        now: Millis,
        spec: &Arc<JobSpec>,
        generation: u64,
        tasks: impl IntoIterator<Item = u32>,
    ) {
        let order = self.next_order;
        let bundle = self.bundles.entry(spec.name.clone()).or_insert_with(|| WaitingJob {
            spec: spec.clone(),
            generation,
            waiting: BTreeSet::new(),
            since: now,
            order,
            stuck_at: None,
            room_search: None,
        });
        let before = bundle.waiting.len();
        bundle.waiting.extend(tasks);
        bundle.stuck_at = None;
        self.waiting += bundle.waiting.len() - before;
        if bundle.waiting.is_empty() {
            self.bundles.remove(&spec.name);
            return;
        }
        if bundle.order == order {
            self.next_order += 1;
            let organisations = self.lines.entry(spec.class).or_default();
            organisations
                .entry(spec.organisation.clone())
                .or_default()
                .insert(order, spec.name.clone());
        }
    }

    /// Takes one task out because it starts.
    pub fn take(&mut self, job: &JobName, index: u32) {
        let Some(bundle) = self.bundles.get_mut(job) else { return };
        if bundle.waiting.remove(&index) {
            self.waiting -= 1;
        }
        if bundle.waiting.is_empty() {
            self.remove(job);
        }
    }

    /// Takes all of a job's waiting tasks out, in one step however many there are.
    pub fn remove(&mut self, job: &JobName) -> Option<WaitingJob> {
        let bundle = self.bundles.remove(job)?;
        self.waiting -= bundle.waiting.len();
        if let Some(organisations) = self.lines.get_mut(&bundle.spec.class)
            && let Some(line) = organisations.get_mut(&bundle.spec.organisation)
        {
            line.remove(bundle.order);
            if line.is_empty() {
                organisations.remove(&bundle.spec.organisation);
            }
        }
        Some(bundle)
    }

    /// Gives a job's bundle.
    pub fn get(&self, job: &JobName) -> Option<&WaitingJob> {
        self.bundles.get(job)
    }

    pub(crate) fn get_mut(&mut self, job: &JobName) -> Option<&mut WaitingJob> {
        self.bundles.get_mut(job)
    }

    /// Gives all bundles by job name.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingJob> {
        self.bundles.values()
    }

    /// Gives how many tasks wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Tells whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    pub(crate) fn organisations(&self, class: Class) -> impl Iterator<Item = &Name> {
        self.lines.get(&class).into_iter().flat_map(|organisations| organisations.keys())
    }

    /// Gives the job that a round tries next in an organisation's line.
    pub(crate) fn next_in_line(
        &self,
        class: Class,
        organisation: &Name,
        walk: &Walk,
    ) -> Option<&WaitingJob> {
        let job = self.lines.get(&class)?.get(organisation)?.next(walk)?;
        self.bundles.get(job)
    }

    /// Notes that a round of a lap passes over a job that cannot start now.
    pub(crate) fn pass_over(&mut self, job: &JobName, walk: &mut Walk, lap: u64) {
        let Some(bundle) = self.bundles.get(job) else { return };
        let organisations = self.lines.get_mut(&bundle.spec.class);
        if let Some(line) = organisations.and_then(|t| t.get_mut(&bundle.spec.organisation)) {
            line.pass_over(bundle.order, walk, lap);
        }
    }

    /// Tells whether the lap tried every job, after a round that went as far as it may.
    pub(crate) fn is_tried(&self) -> bool {
        self.lines.values().flat_map(BTreeMap::values).all(Line::is_tried)
    }
}
