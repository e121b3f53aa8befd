//! The promise to tasks that last, judged by what runs on the workers and by nobody's opinion: none is away for long
//! while some worker has room for it that it may use.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use workload::{JobId, ReplicatedState, StepKey, StepSpec, TaskKey, WorkerId};

use super::fleet::Service;
use super::host::Host;

/// For how long a task may be away whatever room there is.
const MAX_DOWNTIME: Millis = Millis(6_000);
/// For how long on end there may be room for it from then on.
const MAX_WAIT_WITH_CAPACITY: Millis = Millis(3_000);
/// For how long nothing of ours may have disturbed the fleet for room to count.
const MIN_UNDISTURBED: Millis = Millis(4_000);
/// How many times the room that the task takes a worker must have: what is free in this moment may be promised.
const ROOM_FACTOR: u64 = 2;

/// A task that is away for too long.
#[derive(Debug)]
pub struct DownTask {
    pub task: TaskKey,
    pub last_ran_at: Millis,
    /// Since when there has been room for it all the time.
    pub capacity_since: Millis,
    /// Who has room for it now.
    pub capacity_on: Vec<WorkerId>,
}

/// When tasks that last ran last, and since when there has been room for those that are away.
#[derive(Default)]
pub struct DowntimeChecker {
    ran_at: BTreeMap<TaskKey, Millis>,
    capacity_since: BTreeMap<TaskKey, Millis>,
    /// For how long one was away at most with room for it all the time and nothing that disturbed the fleet.
    pub longest: Millis,
    /// Whether nothing is judged, as in cases that have a closer bound of their own.
    pub record_only: bool,
}

/// What there is around the tasks.
pub struct FleetState<'a> {
    pub replicated: &'a ReplicatedState,
    pub hosts: &'a BTreeMap<WorkerId, Host>,
    pub service: &'a Service,
    /// When something of ours last disturbed the fleet.
    pub disturbed_at: Millis,
}

impl FleetState<'_> {
    /// Gives the tasks of a job that are to run all the time.
    fn wanted(&self, id: JobId) -> Vec<(TaskKey, &StepSpec)> {
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

    /// Tells whether a worker is well, fit for a task, allowed, not crowded, and has room for it.
    fn has_capacity(&self, task: &TaskKey, spec: &StepSpec, id: &WorkerId, host: &Host) -> bool {
        let fits =
            host.is_usable() && spec.required_capacity().times(ROOM_FACTOR).fits(&host.free());
        let labelled = spec.constraint.as_ref().is_none_or(|l| host.info.labels.contains(l));
        let siblings = || host.long_running_tasks().filter(|t| t.step == task.step).count();
        let crowded = || spec.max_per_worker > 0 && siblings() >= spec.max_per_worker as usize;
        fits && labelled && self.service.allows(&task.step, self.service.number(id)) && !crowded()
    }
}

impl DowntimeChecker {
    /// Looks at the tasks of some jobs; gives one that is away for too long.
    pub fn examine<'a>(
        &mut self,
        now: Millis,
        jobs: impl Iterator<Item = &'a JobId>,
        around: &FleetState<'_>,
    ) -> Option<DownTask> {
        let running: BTreeSet<TaskKey> =
            around.hosts.values().flat_map(Host::long_running_tasks).collect();
        let mut missing = None;
        for (task, spec) in jobs.flat_map(|id| around.wanted(*id)) {
            let ran_at = self.ran_at.entry(task).or_insert(now);
            if running.contains(&task) {
                *ran_at = now;
                self.capacity_since.remove(&task);
                continue;
            }
            let ran_at = *ran_at;
            let has_capacity =
                |(id, host): &(&WorkerId, &Host)| around.has_capacity(&task, spec, id, host);
            if !around.hosts.iter().any(|place| has_capacity(&place)) {
                self.capacity_since.remove(&task);
                continue;
            }
            let capacity_since = *self.capacity_since.entry(task).or_insert(now);
            let beside_room = now.since(capacity_since.max(ran_at).max(around.disturbed_at));
            self.longest = self.longest.max(beside_room);
            let counts_from = capacity_since
                .max(ran_at + MAX_DOWNTIME)
                .max(around.disturbed_at + MIN_UNDISTURBED);
            if now.since(counts_from) >= MAX_WAIT_WITH_CAPACITY && !self.record_only {
                let capacity_on =
                    around.hosts.iter().filter(has_capacity).map(|(id, _)| id.clone());
                let capacity_on = capacity_on.collect();
                missing.get_or_insert(DownTask {
                    task,
                    last_ran_at: ran_at,
                    capacity_since,
                    capacity_on,
                });
            }
        }
        missing
    }
}
