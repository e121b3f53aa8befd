//! The index of workers by what they have free.
//!
//! Workers stand in buckets by the size class of each dimension, and in each bucket by weight. A
//! search skips the buckets that cannot hold the task and stops in the others at the first worker
//! that does, so that its cost depends on the number of buckets and hardly on that of workers.

use std::collections::{BTreeMap, BTreeSet};

use model::Size;

use crate::worker::WorkerIndex;

/// Classes for each doubling of an amount.
const CLASSES_PER_DOUBLING: u64 = 2;
/// Free accelerators from this number on share a class.
const MAX_ACCELERATOR_CLASS: u64 = 16;
/// One core weighs as much as two gigabytes.
const CPU_WEIGHT: u64 = 2;
const MEMORY_WEIGHT: u64 = 1;
/// An accelerator outweighs any worker's processors and memory, so that work without accelerators
/// goes to workers without them first.
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

/// Gives one number for how much is free, so that any two workers can be compared.
pub(crate) fn weight(size: &Size) -> u64 {
    size.cpu_milli * CPU_WEIGHT
        + size.memory_mb * MEMORY_WEIGHT
        + size.accelerators * ACCELERATOR_WEIGHT
}

/// Workers by free room.
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

    /// Gives the lightest worker that `accepts`, among those that may hold `need`.
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

    /// Gives the heaviest worker that `accepts`, the lowest number among equals.
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
