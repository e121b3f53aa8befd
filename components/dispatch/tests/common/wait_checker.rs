//! The general check: nothing accepted stands without a run for long while its workers have room.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{Dimension, Size};
use workload::{JobId, OpenStep, ReplicatedState, StepSpec, TaskKey, WorkerId};

use super::fleet::Service;
use super::host::Host;

/// For how long a task may wait for a worker while there is room for it.
const MAX_WAIT: Millis = Millis(3_000);
/// How many times the room that the waiting tasks of a step take counts as room enough: what is free in
/// this moment may be promised to others.
const ROOM_FACTOR: u64 = 2;

/// A worker that could take new work now.
struct Usable<'a> {
    host: &'a Host,
    number: u64,
    free: Size,
}

/// What the workers that may run a step have.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepCapacity {
    workers: usize,
    capacity: Size,
    used: Size,
    /// How many tasks of the step find room.
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
    /// What the workers have that may run it.
    pub room: StepCapacity,
}

/// Since when tasks have waited while there was room for them.
#[derive(Default)]
pub struct WaitChecker {
    since: BTreeMap<TaskKey, Millis>,
    /// Jobs with a task that ends its workers: they can never be done, so they may wait until that is understood.
    pub faulty: BTreeSet<JobId>,
    /// Whether the longest wait is noted and judged by whoever asks for it, rather than at once.
    pub record_only: bool,
    /// The longest such wait seen.
    pub longest: Millis,
}

impl WaitChecker {
    /// Looks at all steps that wait; gives a task that has waited too long.
    pub fn examine(
        &mut self,
        now: Millis,
        replicated: &ReplicatedState,
        hosts: &BTreeMap<WorkerId, Host>,
        service: &Service,
    ) -> Option<StarvedTask> {
        let usable = hosts.iter().filter(|(_, h)| h.is_usable());
        let usable: Vec<Usable<'_>> = usable
            .map(|(id, host)| Usable { host, number: service.number(id), free: host.free() })
            .collect();
        let mut since = BTreeMap::new();
        let mut standing = None;
        for entry in replicated.open().iter().filter(|e| !self.faulty.contains(&e.key.job)) {
            let (Some(spec), Some(step)) =
                (replicated.step_spec(&entry.key), replicated.step(&entry.key))
            else {
                continue;
            };
            let waiting: Vec<u32> = step.waiting().collect();
            let room = room(entry, spec, &usable, service);
            if room.fits < ROOM_FACTOR * waiting.len() as u64 || !room.is_half_empty() {
                continue;
            }
            for index in waiting {
                let task = TaskKey { step: entry.key, index };
                let at = self.since.get(&task).copied().unwrap_or(now);
                since.insert(task, at);
                self.longest = self.longest.max(now.since(at));
                if now.since(at) >= MAX_WAIT && !self.record_only {
                    standing.get_or_insert(StarvedTask { task, since: at, room });
                }
            }
        }
        self.since = since;
        standing
    }

    /// Begins anew, since nobody could start anything.
    pub fn reset(&mut self) {
        self.since.clear();
    }
}

fn room(
    entry: &OpenStep,
    spec: &StepSpec,
    usable: &[Usable<'_>],
    service: &Service,
) -> StepCapacity {
    let per = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    let mut room = StepCapacity::default();
    for Usable { host, number, free } in usable {
        let labelled = spec.constraint.as_ref().is_none_or(|l| host.info.labels.contains(l));
        let most = remaining_per_worker(entry, spec, host);
        if !labelled || most == 0 || !service.allows(&entry.key, *number) {
            continue;
        }
        room.workers += 1;
        room.capacity = room.capacity.plus(&host.info.capacity);
        room.used = room.used.plus(&host.info.capacity.minus(free));
        room.fits += per(free.cpu_milli, spec.size.cpu_milli)
            .min(per(free.memory_mb, spec.size.memory_mb))
            .min(per(free.accelerators, spec.size.accelerators))
            .min(most);
    }
    room
}

/// Gives how many more tasks of a step a worker may run, whatever room it has.
fn remaining_per_worker(entry: &OpenStep, spec: &StepSpec, host: &Host) -> u64 {
    let here = || host.fake.running.keys().filter(|k| k.step == entry.key).count() as u64;
    match spec.max_per_worker {
        0 => u64::MAX,
        most => u64::from(most).saturating_sub(here()),
    }
}
