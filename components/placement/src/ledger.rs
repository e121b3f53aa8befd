//! The capacity of each worker and how much of it is taken. The ledger has a single writer, the
//! zone's allocator.

use std::collections::BTreeMap;

use model::{Name, Size};

use crate::index::FreeIndex;
use crate::worker::{WorkerIndex, WorkerInfo};

#[derive(Clone, Debug)]
struct Slot {
    info: WorkerInfo,
    /// The capacity taken. It exceeds the total if an earlier allocator overcommitted the worker.
    taken: Size,
    /// Whether the worker accepts new tasks.
    open: bool,
    present: bool,
}

/// The free capacity of each worker. A closed worker keeps its reservations.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    slots: Vec<Slot>,
    by_name: BTreeMap<Name, WorkerIndex>,
    index: FreeIndex,
    total: Size,
    free: Size,
    /// Counts the changes that may allow a waiting task to start.
    change_count: u64,
}

impl Ledger {
    /// Adds a worker, closed, and returns its index. If a worker of that name is present, returns
    /// the index of that one.
    pub fn add(&mut self, info: WorkerInfo) -> WorkerIndex {
        if let Some(&ix) = self.by_name.get(&info.name) {
            return ix;
        }
        let ix = WorkerIndex(self.slots.len() as u32);
        self.by_name.insert(info.name.clone(), ix);
        self.slots.push(Slot { info, taken: Size::ZERO, open: false, present: true });
        ix
    }

    /// Removes a worker permanently. Its index is not reused.
    pub fn remove(&mut self, ix: WorkerIndex) {
        self.set_open(ix, false);
        let slot = &mut self.slots[ix.0 as usize];
        slot.present = false;
        self.by_name.remove(&slot.info.name);
    }

    /// Returns the worker with the given name.
    pub fn find(&self, name: &str) -> Option<WorkerIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns what the platform reported about a worker.
    pub fn info(&self, ix: WorkerIndex) -> &WorkerInfo {
        &self.slots[ix.0 as usize].info
    }

    /// Returns the free capacity of a worker.
    pub fn free(&self, ix: WorkerIndex) -> Size {
        let slot = &self.slots[ix.0 as usize];
        slot.info.total.minus(&slot.taken)
    }

    /// Returns the capacity taken on a worker.
    pub fn taken(&self, ix: WorkerIndex) -> Size {
        self.slots[ix.0 as usize].taken
    }

    /// Returns whether a worker accepts new tasks.
    pub fn is_open(&self, ix: WorkerIndex) -> bool {
        self.slots[ix.0 as usize].open
    }

    /// Opens a worker to new tasks, or closes it.
    pub fn set_open(&mut self, ix: WorkerIndex, open: bool) {
        let free = self.free(ix);
        let slot = &mut self.slots[ix.0 as usize];
        if slot.open == open || !slot.present {
            return;
        }
        slot.open = open;
        // Closing a worker is counted too: a job may then return to workers that it avoided.
        self.change_count += 1;
        let total = slot.info.total;
        if open {
            self.index.insert(ix, &free);
            self.free = self.free.plus(&free);
            self.total = self.total.plus(&total);
        } else {
            self.index.remove(ix, &free);
            self.free = self.free.minus(&free);
            self.total = self.total.minus(&total);
        }
    }

    /// Reserves `size` on a worker. Returns false and reserves nothing if less than that is free.
    #[must_use]
    pub fn reserve(&mut self, ix: WorkerIndex, size: &Size) -> bool {
        if !size.fits(&self.free(ix)) {
            return false;
        }
        self.set_taken(ix, self.taken(ix).plus(size));
        true
    }

    /// Reserves the capacity of a task that is already running. If the worker does not have that
    /// much, the allocator that placed the task overcommitted it, and the worker counts as full
    /// until enough is released.
    pub fn reserve_running(&mut self, ix: WorkerIndex, size: &Size) {
        self.set_taken(ix, self.taken(ix).plus(size));
    }

    /// Releases `size` on a worker.
    pub fn release(&mut self, ix: WorkerIndex, size: &Size) {
        self.set_taken(ix, self.taken(ix).minus(size));
        self.change_count += 1;
    }

    /// Records a change outside the ledger that may allow a waiting task to start.
    pub(crate) fn note_change(&mut self) {
        self.change_count += 1;
    }

    fn set_taken(&mut self, ix: WorkerIndex, taken: Size) {
        let before = self.free(ix);
        let slot = &mut self.slots[ix.0 as usize];
        slot.taken = taken;
        let (open, free) = (slot.open, slot.info.total.minus(&taken));
        if open {
            self.index.remove(ix, &before);
            self.index.insert(ix, &free);
            self.free = self.free.minus(&before).plus(&free);
        }
    }

    /// Returns all present workers.
    pub fn workers(&self) -> impl Iterator<Item = WorkerIndex> {
        let present = self.slots.iter().enumerate().filter(|(_, s)| s.present);
        present.map(|(i, _)| WorkerIndex(i as u32))
    }

    /// Returns the total capacity of the open workers.
    pub fn total(&self) -> Size {
        self.total
    }

    /// Returns the total free capacity of the open workers.
    pub fn total_free(&self) -> Size {
        self.free
    }

    /// Returns whether the ledger has no workers.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the largest capacity of any present worker, for each dimension separately.
    pub fn largest(&self) -> Size {
        let mut largest = Size::ZERO;
        for slot in self.slots.iter().filter(|s| s.present) {
            let total = &slot.info.total;
            largest.cpu_milli = largest.cpu_milli.max(total.cpu_milli);
            largest.memory_mb = largest.memory_mb.max(total.memory_mb);
            largest.accelerators = largest.accelerators.max(total.accelerators);
        }
        largest
    }

    /// Returns how many tasks of `size` the present workers could hold if they were all empty,
    /// counting up to `enough`.
    pub fn tasks_fitting_when_empty(&self, size: &Size, enough: u64) -> u64 {
        let mut found = 0;
        for slot in self.slots.iter().filter(|s| s.present) {
            found += size.copies_in(&slot.info.total);
            if found >= enough {
                return enough;
            }
        }
        found
    }

    pub(crate) fn index(&self) -> &FreeIndex {
        &self.index
    }

    pub(crate) fn change_count(&self) -> u64 {
        self.change_count
    }
}
