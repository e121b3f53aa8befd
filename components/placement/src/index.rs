//! An index of workers by free capacity.
//!
//! Workers are grouped into buckets by the size class of each dimension, and sorted by weight
//! within each bucket. A search skips the buckets that cannot hold the task and stops in each of
//! the others at the first worker that is accepted, so that its cost depends on the number of
//! buckets and hardly on the number of workers.

use std::collections::{BTreeMap, BTreeSet};

use model::Size;

use crate::worker::WorkerIndex;

/// The number of size classes for each doubling of an amount.
const CLASSES_PER_DOUBLING: u64 = 2;
/// Workers with at least this many free accelerators share a class.
const MAX_ACCELERATOR_CLASS: u64 = 16;
/// The weight of a thousandth of a core relative to a megabyte of memory: one core weighs as much
/// as two gigabytes.
const CPU_WEIGHT: u64 = 2;
const MEMORY_WEIGHT: u64 = 1;
/// The weight of an accelerator. It exceeds the processors and memory of any worker, so that tasks
/// without accelerators prefer workers without them.
const ACCELERATOR_WEIGHT: u64 = 1 << 30;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Bucket {
    cpu: u64,
    memory: u64,
    accelerators: u64,
}

impl Bucket {
    fn of(size: &Size) -> Bucket {
        Bucket {
            cpu: class(size.cpu_milli),
            memory: class(size.memory_mb),
            accelerators: size.accelerators.min(MAX_ACCELERATOR_CLASS),
        }
    }

    fn may_hold(&self, need: &Bucket) -> bool {
        self.cpu >= need.cpu && self.memory >= need.memory && self.accelerators >= need.accelerators
    }
}

fn class(amount: u64) -> u64 {
    if amount == 0 {
        return 0;
    }
    let doubling = u64::from(amount.ilog2());
    let upper_half = u64::from(amount >= (3 << doubling) / 2);
    1 + doubling * CLASSES_PER_DOUBLING + upper_half
}

/// Returns the weight of a free capacity: a single number by which workers are compared.
pub(crate) fn weight(size: &Size) -> u64 {
    size.cpu_milli * CPU_WEIGHT
        + size.memory_mb * MEMORY_WEIGHT
        + size.accelerators * ACCELERATOR_WEIGHT
}

/// Open workers, indexed by free capacity.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeIndex {
    buckets: BTreeMap<Bucket, BTreeSet<(u64, WorkerIndex)>>,
}

impl FreeIndex {
    pub(crate) fn insert(&mut self, worker: WorkerIndex, free: &Size) {
        self.buckets.entry(Bucket::of(free)).or_default().insert((weight(free), worker));
    }

    pub(crate) fn remove(&mut self, worker: WorkerIndex, free: &Size) {
        let bucket = Bucket::of(free);
        if let Some(members) = self.buckets.get_mut(&bucket) {
            members.remove(&(weight(free), worker));
            if members.is_empty() {
                self.buckets.remove(&bucket);
            }
        }
    }

    /// Returns the worker with the lowest weight that `accepts` allows, among those whose bucket
    /// may hold `need`.
    pub(crate) fn lightest(
        &self,
        need: &Size,
        accepts: impl Fn(WorkerIndex) -> bool,
    ) -> Option<WorkerIndex> {
        let mut best: Option<(u64, WorkerIndex)> = None;
        for members in self.candidates(need) {
            for entry in members {
                if best.is_some_and(|b| *entry >= b) {
                    break;
                }
                if accepts(entry.1) {
                    best = Some(*entry);
                    break;
                }
            }
        }
        best.map(|b| b.1)
    }

    /// Returns the worker with the highest weight that `accepts` allows, and the lowest index among
    /// equals.
    pub(crate) fn heaviest(
        &self,
        need: &Size,
        accepts: impl Fn(WorkerIndex) -> bool,
    ) -> Option<WorkerIndex> {
        let mut best: Option<(u64, WorkerIndex)> = None;
        for members in self.candidates(need) {
            for entry in members.iter().rev() {
                let beaten = best.is_some_and(|b| !is_heavier(entry, &b));
                if beaten && best.is_some_and(|b| entry.0 < b.0) {
                    break;
                }
                if !beaten && accepts(entry.1) {
                    best = Some(*entry);
                }
            }
        }
        best.map(|b| b.1)
    }

    fn candidates(&self, need: &Size) -> impl Iterator<Item = &BTreeSet<(u64, WorkerIndex)>> {
        let need = Bucket::of(need);
        let first = Bucket { cpu: need.cpu, memory: 0, accelerators: 0 };
        self.buckets.range(first..).filter(move |(b, _)| b.may_hold(&need)).map(|(_, m)| m)
    }
}

fn is_heavier(a: &(u64, WorkerIndex), b: &(u64, WorkerIndex)) -> bool {
    (a.0, std::cmp::Reverse(a.1)) > (b.0, std::cmp::Reverse(b.1))
}
