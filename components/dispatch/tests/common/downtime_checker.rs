//! Checks that no long-running task is down for long while some worker has capacity for it that it may use. The check
//! goes only by what runs on the workers, not by what the dispatcher reports.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use workload::{JobId, ReplicatedState, StepKey, StepSpec, TaskKey, WorkerId};

use super::fleet::AdviceService;
use super::host::Host;

/// How long a task may be down whatever capacity there is.
const MAX_DOWNTIME: Millis = Millis(6_000);
/// How long without a break there may be capacity for it from then on.
const MAX_WAIT_WITH_CAPACITY: Millis = Millis(3_000);
/// How long the test must not have disturbed the fleet for capacity to count.
const MIN_UNDISTURBED: Millis = Millis(4_000);
/// How many times the capacity that a task requires a worker must have free: what is free at this moment may already be
/// reserved for another task.
const CAPACITY_FACTOR: u64 = 2;

/// A task that is down for too long.
#[derive(Debug)]
pub struct DownTask {
    pub task: TaskKey,
    pub last_ran_at: Millis,
    /// Since when there has been capacity for it without a break.
    pub capacity_since: Millis,
    /// The workers that have capacity for it now.
    pub capacity_on: Vec<WorkerId>,
}

/// A check of how long long-running tasks are down. It knows when each was last running and since when there has been
/// capacity for it.
#[derive(Default)]
pub struct DowntimeChecker {
    ran_at: BTreeMap<TaskKey, Millis>,
    capacity_since: BTreeMap<TaskKey, Millis>,
    /// The longest time that a task was down with capacity for it and without any disturbance of the fleet.
    pub longest: Millis,
    /// Whether times are only recorded, as for tests that have a closer bound of their own.
    pub record_only: bool,
}

/// The state of the fleet that the check reads.
pub struct FleetState<'a> {
    pub replicated: &'a ReplicatedState,
    pub hosts: &'a BTreeMap<WorkerId, Host>,
    pub service: &'a AdviceService,
    /// When the test last disturbed the fleet.
    pub disturbed_at: Millis,
}

impl FleetState<'_> {
    /// Returns the tasks of a job that are to run all the time.
    fn expected_tasks(&self, id: JobId) -> Vec<(TaskKey, &StepSpec)> {
        let Some(job) = self.replicated.job(id).filter(|j| !j.state.is_final()) else {
            return Vec::new();
        };
        let steps = (0..).zip(&job.spec.steps).filter(|(_, s)| s.long_running && !s.gang);
        let tasks = steps.flat_map(|(step, spec)| {
            let step = StepKey { job: id, round: 0, step };
            (0..spec.count).map(move |index| (TaskKey { step, index }, spec))
        });
        tasks.collect()
    }

    /// Returns whether a worker is healthy, suitable and allowed for a task, below the step's limit per worker, and has
    /// capacity for it.
    fn has_capacity(&self, task: &TaskKey, spec: &StepSpec, id: &WorkerId, host: &Host) -> bool {
        let fits =
            host.is_usable() && spec.required_capacity().times(CAPACITY_FACTOR).fits(&host.free());
        let labelled = spec.constraint.as_ref().is_none_or(|l| host.info.labels.contains(l));
        let siblings = || host.long_running_tasks().filter(|t| t.step == task.step).count();
        let crowded = || spec.max_per_worker > 0 && siblings() >= spec.max_per_worker as usize;
        fits && labelled && self.service.allows(&task.step, self.service.number(id)) && !crowded()
    }
}

impl DowntimeChecker {
    /// Examines the tasks of some jobs and returns one that is down for too long.
    pub fn examine<'a>(
        &mut self,
        now: Millis,
        jobs: impl Iterator<Item = &'a JobId>,
        state: &FleetState<'_>,
    ) -> Option<DownTask> {
        let running: BTreeSet<TaskKey> =
            state.hosts.values().flat_map(Host::long_running_tasks).collect();
        let mut down_task = None;
        for (task, spec) in jobs.flat_map(|id| state.expected_tasks(*id)) {
            let ran_at = self.ran_at.entry(task).or_insert(now);
            if running.contains(&task) {
                *ran_at = now;
                self.capacity_since.remove(&task);
                continue;
            }
            let ran_at = *ran_at;
            let has_capacity =
                |(id, host): &(&WorkerId, &Host)| state.has_capacity(&task, spec, id, host);
            if !state.hosts.iter().any(|candidate| has_capacity(&candidate)) {
                self.capacity_since.remove(&task);
                continue;
            }
            let capacity_since = *self.capacity_since.entry(task).or_insert(now);
            let wait_with_capacity = now.since(capacity_since.max(ran_at).max(state.disturbed_at));
            self.longest = self.longest.max(wait_with_capacity);
            let counts_from =
                capacity_since.max(ran_at + MAX_DOWNTIME).max(state.disturbed_at + MIN_UNDISTURBED);
            if now.since(counts_from) >= MAX_WAIT_WITH_CAPACITY && !self.record_only {
                let capacity_on = state.hosts.iter().filter(has_capacity).map(|(id, _)| id.clone());
                let capacity_on = capacity_on.collect();
                down_task.get_or_insert(DownTask {
                    task,
                    last_ran_at: ran_at,
                    capacity_since,
                    capacity_on,
                });
            }
        }
        down_task
    }
}
