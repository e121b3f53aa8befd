//! What each worker has and what of it is taken. The ledger has one writer: the zone's allocator.

use std::collections::BTreeMap;

use model::{Name, Size};

use crate::index::FreeIndex;
use crate::worker::{WorkerIndex, WorkerInfo};

#[derive(Clone, Debug)]
struct Slot {
    info: WorkerInfo,
    /// What is taken, which may be more than the worker has if an earlier allocator was wrong.
    taken: Size,
    /// Whether it takes new tasks.
    open: bool,
    present: bool,
}

/// What each worker has free. A worker that is not open keeps its reservations.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    slots: Vec<Slot>,
    by_name: BTreeMap<Name, WorkerIndex>,
    index: FreeIndex,
    total: Size,
    free: Size,
    /// Counts whatever may let a waiting task in.
    freed: u64,
}

impl Ledger {
    /// Adds a worker, closed, or gives its place if it is there.
    pub fn add(&mut self, info: WorkerInfo) -> WorkerIndex {
        if let Some(&ix) = self.by_name.get(&info.name) {
            return ix;
        }
        let ix = WorkerIndex(self.slots.len() as u32);
        self.by_name.insert(info.name.clone(), ix);
        self.slots.push(Slot { info, taken: Size::ZERO, open: false, present: true });
        ix
    }

    /// Takes a worker out for good. Its number is not used again.
    pub fn remove(&mut self, ix: WorkerIndex) {
        self.set_open(ix, false);
        let slot = &mut self.slots[ix.0 as usize];
        slot.present = false;
        self.by_name.remove(&slot.info.name);
    }

    /// Finds a worker by name.
    pub fn find(&self, name: &str) -> Option<WorkerIndex> {
        self.by_name.get(name).copied()
    }

    /// Gives what the platform told of a worker.
    pub fn info(&self, ix: WorkerIndex) -> &WorkerInfo {
        &self.slots[ix.0 as usize].info
    }

    /// Gives what is free on a worker.
    pub fn free(&self, ix: WorkerIndex) -> Size {
        let slot = &self.slots[ix.0 as usize];
        slot.info.total.minus(&slot.taken)
    }

    /// Gives what is taken on a worker.
    pub fn taken(&self, ix: WorkerIndex) -> Size {
        self.slots[ix.0 as usize].taken
    }

    /// Tells whether a worker takes new tasks.
    pub fn is_open(&self, ix: WorkerIndex) -> bool {
        self.slots[ix.0 as usize].open
    }

    /// Opens a worker for new tasks or closes it.
    pub fn set_open(&mut self, ix: WorkerIndex, open: bool) {
        let free = self.free(ix);
        let slot = &mut self.slots[ix.0 as usize];
        if slot.open == open || !slot.present {
            return;
        }
        slot.open = open;
        // Once a worker is closed, a job may go back to others that it avoided.
        self.freed += 1;
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

    /// Takes `size` on a worker; gives false and takes nothing if that is more than is free.
    #[must_use]
    pub fn reserve(&mut self, ix: WorkerIndex, size: &Size) -> bool {
        if !size.fits(&self.free(ix)) {
            return false;
        }
        self.put_taken(ix, self.taken(ix).plus(size));
        true
    }

    /// Takes what a task that already runs needs. If that is more than the worker has, whoever
    /// placed it was wrong, and the worker counts as full until enough is given back.
    pub fn reserve_running(&mut self, ix: WorkerIndex, size: &Size) {
        self.put_taken(ix, self.taken(ix).plus(size));
    }

    /// Gives `size` back on a worker.
    pub fn release(&mut self, ix: WorkerIndex, size: &Size) {
        self.put_taken(ix, self.taken(ix).minus(size));
        self.freed += 1;
    }

    /// Notes a change outside the ledger that may let a waiting task in.
    pub(crate) fn note_change(&mut self) {
        self.freed += 1;
    }

    fn put_taken(&mut self, ix: WorkerIndex, taken: Size) {
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

    /// Gives every worker that is present.
    pub fn workers(&self) -> impl Iterator<Item = WorkerIndex> {
        let present = self.slots.iter().enumerate().filter(|(_, s)| s.present);
        present.map(|(i, _)| WorkerIndex(i as u32))
    }

    /// Gives what the open workers have in all.
    pub fn total(&self) -> Size {
        self.total
    }

    /// Gives what the open workers have free in all.
    pub fn total_free(&self) -> Size {
        self.free
    }

    /// Tells whether the ledger has any worker.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Gives the most that a present worker has in each dimension on its own.
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

    /// Gives how many tasks of `size` the present workers could hold if all were empty, counting
    /// no further than `enough`.
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

    pub(crate) fn freed(&self) -> u64 {
        self.freed
    }
}
