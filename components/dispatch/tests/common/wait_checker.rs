//! Checks that no task of an accepted job waits for long while the workers that it may use have capacity for it.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{Dimension, Size};
use workload::{JobId, OpenStep, ReplicatedState, StepSpec, TaskKey, WorkerId};

use super::fleet::AdviceService;
use super::host::Host;

/// How long a task may wait for a worker while there is capacity for it.
const MAX_WAIT: Millis = Millis(3_000);
/// How many times the waiting tasks of a step must fit for its capacity to count: what is free at this moment may
/// already be reserved for others.
const CAPACITY_FACTOR: u64 = 2;

/// A worker that could start new work now.
struct Usable<'a> {
    host: &'a Host,
    number: u64,
    free: Size,
}

/// The capacity of the workers that may run a step.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepCapacity {
    workers: usize,
    capacity: Size,
    used: Size,
    /// How many more tasks of the step fit.
    fits: u64,
}

impl StepCapacity {
    fn is_half_empty(&self) -> bool {
        let half = |d: &Dimension| self.used.get(*d) * 2 <= self.capacity.get(*d);
        Dimension::ALL.iter().all(half)
    }
}

/// A task that waits too long.
#[derive(Debug)]
pub struct StarvedTask {
    pub task: TaskKey,
    pub since: Millis,
    /// The capacity of the workers that may run it.
    pub step_capacity: StepCapacity,
}

/// A check of how long tasks wait while there is capacity for them.
#[derive(Default)]
pub struct WaitChecker {
    since: BTreeMap<TaskKey, Millis>,
    /// Jobs with a task that crashes its workers: they can never be done, so they may wait until they are given up.
    pub faulty: BTreeSet<JobId>,
    /// Whether the longest wait is only recorded, for the test to check afterwards.
    pub record_only: bool,
    /// The longest such wait seen.
    pub longest: Millis,
}

impl WaitChecker {
    /// Examines all steps that wait and returns a task that has waited too long.
    pub fn examine(
        &mut self,
        now: Millis,
        replicated: &ReplicatedState,
        hosts: &BTreeMap<WorkerId, Host>,
        service: &AdviceService,
    ) -> Option<StarvedTask> {
        let usable = hosts.iter().filter(|(_, h)| h.is_usable());
        let usable: Vec<Usable<'_>> = usable
            .map(|(id, host)| Usable { host, number: service.number(id), free: host.free() })
            .collect();
        let mut since = BTreeMap::new();
        let mut starved = None;
        for entry in replicated.open().iter().filter(|e| !self.faulty.contains(&e.key.job)) {
            let (Some(spec), Some(step)) =
                (replicated.step_spec(&entry.key), replicated.step(&entry.key))
            else {
                continue;
            };
            let waiting: Vec<u32> = step.waiting().collect();
            let step_capacity = step_capacity(entry, spec, &usable, service);
            if step_capacity.fits < CAPACITY_FACTOR * waiting.len() as u64
                || !step_capacity.is_half_empty()
            {
                continue;
            }
            for index in waiting {
                let task = TaskKey { step: entry.key, index };
                let at = self.since.get(&task).copied().unwrap_or(now);
                since.insert(task, at);
                self.longest = self.longest.max(now.since(at));
                if now.since(at) >= MAX_WAIT && !self.record_only {
                    starved.get_or_insert(StarvedTask { task, since: at, step_capacity });
                }
            }
        }
        self.since = since;
        starved
    }

    /// Forgets all waits, because without a leader nothing can start.
    pub fn reset(&mut self) {
        self.since.clear();
    }
}

fn step_capacity(
    entry: &OpenStep,
    spec: &StepSpec,
    usable: &[Usable<'_>],
    service: &AdviceService,
) -> StepCapacity {
    let per = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    let mut step_capacity = StepCapacity::default();
    for Usable { host, number, free } in usable {
        let labelled = spec.constraint.as_ref().is_none_or(|l| host.info.labels.contains(l));
        let max_more = remaining_per_worker(entry, spec, host);
        if !labelled || max_more == 0 || !service.allows(&entry.key, *number) {
            continue;
        }
        step_capacity.workers += 1;
        step_capacity.capacity = step_capacity.capacity.plus(&host.info.capacity);
        step_capacity.used = step_capacity.used.plus(&host.info.capacity.minus(free));
        step_capacity.fits += per(free.cpu_milli, spec.size.cpu_milli)
            .min(per(free.memory_mb, spec.size.memory_mb))
            .min(per(free.accelerators, spec.size.accelerators))
            .min(max_more);
    }
    step_capacity
}

/// Returns how many more tasks of a step a worker may run, whatever its free capacity.
fn remaining_per_worker(entry: &OpenStep, spec: &StepSpec, host: &Host) -> u64 {
    let here = || host.fake.running.keys().filter(|k| k.step == entry.key).count() as u64;
    match spec.max_per_worker {
        0 => u64::MAX,
        max_more => u64::from(max_more).saturating_sub(here()),
    }
}
