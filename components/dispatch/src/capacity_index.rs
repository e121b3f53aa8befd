//! An index of the workers by their free capacity.
//!
//! Load pattern: a thousand steps wait on a fleet of thousands of workers that are full but for a few. A plan has to find
//! those few for each step, or learn that there are none, without passing over the workers.
//!
//! The workers of each service, and those of a service with a label, form a [`WorkerGroup`]. The index is derived from
//! the replicated state: a new leader builds it in one pass, and each command that changes a worker updates it. The
//! capacity of a worker counts only while the worker is usable, that is, while the leader has contact to it, it is not
//! leaving, and its zone is not drained. The health of a worker is checked by whoever queries the index.

use std::collections::BTreeMap;

use model::{Dimension, Name, Size};
use workload::{Command, Worker, WorkerId};

/// Returns the worker whose capacity or runs a command may change.
pub(crate) fn changed_worker(command: &Command) -> Option<&WorkerId> {
    match command {
        Command::WorkerJoined(info) => Some(&info.id),
        Command::WorkerGone { worker, .. }
        | Command::Lapsed { worker, .. }
        | Command::Started { worker, .. }
        | Command::NotStarted { worker, .. }
        | Command::Ended { worker, .. }
        | Command::WorkerCrashed { worker, .. }
        | Command::WorkerLost { worker, .. }
        | Command::Resized { worker, .. } => Some(worker),
        _ => None,
    }
}

/// The root of a group's tree. The children of node `i` are nodes `2 * i` and `2 * i + 1`, and with `n` leaves the node
/// of slot `i` is `n + i`.
const ROOT: usize = 1;

fn elementwise_max(a: &Size, b: &Size) -> Size {
    Size {
        cpu_milli: a.cpu_milli.max(b.cpu_milli),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// What a worker of a group has and has left.
#[derive(Clone, Copy, Debug)]
struct Member {
    free: Size,
    capacity: Size,
}

/// The place of a worker in a group.
#[derive(Clone, Debug)]
struct Slot {
    worker: WorkerId,
    /// `None` while the worker is not usable.
    member: Option<Member>,
    /// Whether the worker has left.
    vacant: bool,
}

/// Workers that are eligible for the same steps.
///
/// The members have slots in the order of their ids, the leaves of a binary tree in which each node holds the maximum of
/// what is free below it, per resource. A search skips each node that cannot hold the size sought. So it takes constant
/// time if no worker has enough of some resource, and otherwise logarithmic time for each worker found. It is slower
/// only where many workers have enough of one resource and many others enough of another.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerGroup {
    slots: Vec<Slot>,
    /// The workers that get a slot when [`WorkerGroup::admit_joined`] is called.
    joined: BTreeMap<WorkerId, Option<Member>>,
    /// The elementwise maximum of the free capacity below each node; `None` below which there are no members.
    max_free: Vec<Option<Size>>,
    /// How many workers the group has, usable or not.
    workers: usize,
    total_capacity: Size,
    total_free: Size,
    /// How many members have each amount of a resource as their capacity.
    capacities: [BTreeMap<u64, u32>; 3],
    /// The slot at which the next search for free capacity begins.
    pub(crate) next_free: usize,
    /// The slot at which the next search for members without free capacity begins.
    pub(crate) next_full: usize,
}

impl WorkerGroup {
    fn is_empty(&self) -> bool {
        self.workers == 0
    }

    /// Returns how many workers the group has, usable or not.
    pub(crate) fn len(&self) -> usize {
        self.workers
    }

    /// Returns the total capacity of the members.
    pub(crate) fn total_capacity(&self) -> Size {
        self.total_capacity
    }

    /// Returns the total free capacity of the members.
    pub(crate) fn total_free(&self) -> Size {
        self.total_free
    }

    /// Returns the smallest capacity of any member, per resource; zero without members.
    pub(crate) fn min_capacity(&self) -> Size {
        let [cpu_milli, memory_mb, accelerators] = self
            .capacities
            .each_ref()
            .map(|c| c.first_key_value().map_or(0, |(amount, _)| *amount));
        Size { cpu_milli, memory_mb, accelerators }
    }

    /// Returns whether some member has at least a size free.
    pub(crate) fn has_free(&self, size: &Size) -> bool {
        self.next_with_free(0, size).is_some()
    }

    /// Iterates over the members with at least a size free, with their slots, beginning at a slot and wrapping around.
    pub(crate) fn with_free_from<'a>(
        &'a self,
        start: usize,
        size: &'a Size,
    ) -> impl Iterator<Item = (usize, &'a WorkerId)> + use<'a> {
        let behind = self.with_free_in(start, self.slots.len(), size);
        behind.chain(self.with_free_in(0, start.min(self.slots.len()), size))
    }

    fn with_free_in<'a>(
        &'a self,
        start: usize,
        end: usize,
        size: &'a Size,
    ) -> impl Iterator<Item = (usize, &'a WorkerId)> + use<'a> {
        let mut from = start;
        std::iter::from_fn(move || {
            let slot = self.next_with_free(from, size).filter(|slot| *slot < end)?;
            from = slot + 1;
            Some((slot, &self.slots[slot].worker))
        })
    }

    /// Iterates over all members with their slots, beginning at a slot and wrapping around.
    pub(crate) fn members_from(&self, start: usize) -> impl Iterator<Item = (usize, &WorkerId)> {
        let start = start.min(self.slots.len());
        let slots = (start..self.slots.len()).chain(0..start);
        let members = slots.filter(|slot| self.slots[*slot].member.is_some());
        members.map(|slot| (slot, &self.slots[slot].worker))
    }

    /// Returns the first slot from `from` on whose member has at least a size free.
    fn next_with_free(&self, from: usize, size: &Size) -> Option<usize> {
        if from >= self.slots.len() {
            return None;
        }
        let leaves = self.max_free.len() / 2;
        let may_hold = |node: usize| self.max_free[node].is_some_and(|free| size.fits(&free));
        let mut node = leaves + from;
        loop {
            if may_hold(node) {
                if node >= leaves {
                    return Some(node - leaves);
                }
                node *= 2;
                continue;
            }
            // Continues with the next node to the right, as high in the tree as possible.
            while node % 2 == 1 {
                if node == ROOT {
                    return None;
                }
                node /= 2;
            }
            node += 1;
        }
    }

    fn slot_of(&self, worker: &WorkerId) -> Option<usize> {
        self.slots.binary_search_by(|s| s.worker.cmp(worker)).ok()
    }

    /// Updates the capacity of a worker, or lets it join; `None` if it is not usable.
    fn update(&mut self, worker: &WorkerId, member: Option<Member>) {
        match self.slot_of(worker) {
            Some(slot) => {
                self.workers += usize::from(std::mem::take(&mut self.slots[slot].vacant));
                self.set(slot, member);
            }
            None => {
                let is_new = self.joined.insert(worker.clone(), member).is_none();
                self.workers += usize::from(is_new);
            }
        }
    }

    fn remove(&mut self, worker: &WorkerId) {
        let had_joined = self.joined.remove(worker).is_some();
        self.workers -= usize::from(had_joined);
        if let Some(slot) = self.slot_of(worker) {
            let was_vacant = std::mem::replace(&mut self.slots[slot].vacant, true);
            self.workers -= usize::from(!was_vacant);
            self.set(slot, None);
        }
    }

    /// Gives slots to the workers that have joined, and drops those of workers that have left. This takes time in
    /// proportion to the group, so it is done once for all workers that join before a plan.
    fn admit_joined(&mut self) {
        if self.joined.is_empty() {
            return;
        }
        let joined = std::mem::take(&mut self.joined);
        joined.values().flatten().for_each(|member| self.count(member, true));
        self.slots.retain(|s| !s.vacant);
        let slots = joined.into_iter();
        self.slots.extend(slots.map(|(worker, member)| Slot { worker, member, vacant: false }));
        // Both parts are sorted, which a stable sort takes advantage of.
        self.slots.sort_by(|a, b| a.worker.cmp(&b.worker));
        let leaves = self.slots.len().next_power_of_two();
        self.max_free.clear();
        self.max_free.resize(2 * leaves, None);
        for (slot, max_free) in self.slots.iter().zip(&mut self.max_free[leaves..]) {
            *max_free = slot.member.map(|m| m.free);
        }
        (ROOT..leaves).rev().for_each(|node| self.combine(node));
    }

    fn set(&mut self, slot: usize, member: Option<Member>) {
        let previous = std::mem::replace(&mut self.slots[slot].member, member);
        if let Some(previous) = previous {
            self.count(&previous, false);
        }
        if let Some(member) = member {
            self.count(&member, true);
        }
        let mut node = self.max_free.len() / 2 + slot;
        self.max_free[node] = member.map(|m| m.free);
        while node > ROOT {
            node /= 2;
            self.combine(node);
        }
    }

    fn combine(&mut self, node: usize) {
        let (left, right) = (self.max_free[2 * node], self.max_free[2 * node + 1]);
        self.max_free[node] = match (left, right) {
            (Some(left), Some(right)) => Some(elementwise_max(&left, &right)),
            (one, other) => one.or(other),
        };
    }

    /// Adds a member to the totals, or subtracts it.
    fn count(&mut self, member: &Member, add: bool) {
        let sum =
            |total: &Size, size: &Size| if add { total.plus(size) } else { total.minus(size) };
        self.total_capacity = sum(&self.total_capacity, &member.capacity);
        self.total_free = sum(&self.total_free, &member.free);
        for (counts, dimension) in self.capacities.iter_mut().zip(Dimension::ALL) {
            let amount = member.capacity.get(dimension);
            let count = counts.entry(amount).or_default();
            *count = if add { *count + 1 } else { *count - 1 };
            if *count == 0 {
                counts.remove(&amount);
            }
        }
    }
}

/// The workers of one service.
#[derive(Clone, Debug, Default)]
struct ServiceWorkers {
    all: WorkerGroup,
    by_label: BTreeMap<Name, WorkerGroup>,
}

/// What the index knows of a worker.
#[derive(Clone, Debug)]
struct IndexedWorker {
    service: Name,
    labels: Vec<Name>,
    is_usable: bool,
}

/// The workers of all services by their free capacity.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityIndex {
    services: BTreeMap<Name, ServiceWorkers>,
    workers: BTreeMap<WorkerId, IndexedWorker>,
    /// Whether workers have joined that no search finds yet.
    any_joined: bool,
}

impl CapacityIndex {
    /// Returns an index of some workers.
    pub(crate) fn of<'a>(workers: impl Iterator<Item = &'a Worker>) -> CapacityIndex {
        let mut index = CapacityIndex::default();
        workers.for_each(|w| index.update(w));
        index.admit_joined();
        index
    }

    /// Adds a worker, or updates it after a change of its capacity or its runs. A worker that is added is found once
    /// [`CapacityIndex::admit_joined`] was called.
    pub(crate) fn update(&mut self, worker: &Worker) {
        let info = &worker.info;
        let indexed = self.workers.entry(info.id.clone()).or_insert_with(|| {
            self.any_joined = true;
            let mut labels = info.labels.clone();
            labels.sort_unstable();
            labels.dedup();
            IndexedWorker { service: info.service.clone(), labels, is_usable: false }
        });
        let member = Member { free: worker.free(), capacity: info.capacity };
        let member = indexed.is_usable.then_some(member);
        let service = self.services.entry(info.service.clone()).or_default();
        service.all.update(&info.id, member);
        for label in &indexed.labels {
            match service.by_label.get_mut(label) {
                Some(group) => group.update(&info.id, member),
                None => service.by_label.entry(label.clone()).or_default().update(&info.id, member),
            }
        }
    }

    /// Sets whether a known worker is usable. Until then it is not.
    pub(crate) fn set_usable(&mut self, worker: &Worker, is_usable: bool) {
        let Some(indexed) = self.workers.get_mut(&worker.info.id) else { return };
        if std::mem::replace(&mut indexed.is_usable, is_usable) != is_usable {
            self.update(worker);
        }
    }

    /// Lets searches find the workers that have joined.
    pub(crate) fn admit_joined(&mut self) {
        if !std::mem::take(&mut self.any_joined) {
            return;
        }
        for service in self.services.values_mut() {
            service.all.admit_joined();
            service.by_label.values_mut().for_each(WorkerGroup::admit_joined);
        }
    }

    /// Removes a worker.
    pub(crate) fn remove(&mut self, worker: &WorkerId) {
        let Some(IndexedWorker { service: name, labels, .. }) = self.workers.remove(worker) else {
            return;
        };
        let Some(service) = self.services.get_mut(&name) else { return };
        service.all.remove(worker);
        for label in labels {
            let Some(group) = service.by_label.get_mut(&label) else { continue };
            group.remove(worker);
            // A label may be used by one worker only, so groups must not outlive their members.
            if group.is_empty() {
                service.by_label.remove(&label);
            }
        }
        if service.all.is_empty() {
            self.services.remove(&name);
        }
    }

    /// Returns the workers of a service, or only those with a label; `None` if there are none.
    pub(crate) fn group(&self, service: &Name, label: Option<&Name>) -> Option<&WorkerGroup> {
        let service = self.services.get(service)?;
        match label {
            None => Some(&service.all),
            Some(label) => service.by_label.get(label),
        }
    }

    /// Returns the same group, to move the positions of its rotation.
    pub(crate) fn group_mut(
        &mut self,
        service: &Name,
        label: Option<&Name>,
    ) -> Option<&mut WorkerGroup> {
        let service = self.services.get_mut(service)?;
        match label {
            None => Some(&mut service.all),
            Some(label) => service.by_label.get_mut(label),
        }
    }

    /// Iterates over the workers of a service, or only those with a label, with at least a size free.
    pub(crate) fn with_free<'a>(
        &'a self,
        service: &Name,
        label: Option<&Name>,
        size: &'a Size,
    ) -> impl Iterator<Item = &'a WorkerId> + use<'a> {
        let group = self.group(service, label).into_iter();
        group.flat_map(move |g| g.with_free_from(0, size)).map(|(_, worker)| worker)
    }

    /// Returns whether a worker of a service, or one of those with a label, has at least a size free.
    pub(crate) fn has_free(&self, service: &Name, label: Option<&Name>, size: &Size) -> bool {
        self.group(service, label).is_some_and(|g| g.has_free(size))
    }

    /// Iterates over all workers of a service, or only those with a label.
    pub(crate) fn members(
        &self,
        service: &Name,
        label: Option<&Name>,
    ) -> impl Iterator<Item = &WorkerId> + use<'_> {
        let group = self.group(service, label).into_iter();
        group.flat_map(|g| g.members_from(0)).map(|(_, worker)| worker)
    }

    /// Returns whether the index agrees with some workers, of which those are usable that `is_usable` accepts.
    pub(crate) fn agrees_with(
        &self,
        workers: &BTreeMap<WorkerId, Worker>,
        is_usable: impl Fn(&Worker) -> bool,
    ) -> bool {
        let member = |w: &Worker| {
            let group = self.group(&w.info.service, None)?;
            group.slots[group.slot_of(&w.info.id)?].member
        };
        let agrees = |w: &Worker| match member(w) {
            Some(m) => is_usable(w) && m.free == w.free() && m.capacity == w.info.capacity,
            None => !is_usable(w),
        };
        let free = workers.values().filter(|w| is_usable(w)).map(Worker::free);
        let indexed = self.services.values().map(|s| s.all.total_free());
        let sum = |a: Size, b: Size| a.plus(&b);
        self.workers.len() == workers.len()
            && workers.values().all(agrees)
            && indexed.fold(Size::ZERO, sum) == free.fold(Size::ZERO, sum)
    }
}
