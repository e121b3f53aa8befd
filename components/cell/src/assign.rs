//! Assignment of a new job's tasks to zones.

use model::{JobKind, JobSpec, Size, Spread, ZoneId};

use crate::Share;

/// The capacity that a zone last reported. It is only a hint: the zone's own ledger is authoritative.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneCapacity {
    /// The zone.
    pub zone: ZoneId,
    /// The free capacity of all its workers, minus the demand of its waiting tasks.
    pub free: Size,
    /// The total capacity of its largest worker.
    pub largest: Size,
}

/// Splits a job over the zones. Returns `None` if no zone is known.
pub fn assign(spec: &JobSpec, capacities: &[ZoneCapacity]) -> Option<Vec<Share>> {
    if capacities.is_empty() {
        return None;
    }
    let mut ranked: Vec<&ZoneCapacity> = capacities.iter().collect();
    // Zones with a sufficiently large worker come first, ordered by free capacity.
    ranked.sort_by_key(|r| {
        let fits = spec.size.fits(&r.largest);
        (!fits, std::cmp::Reverse(spec.size.copies_in(&r.free)), r.zone.clone())
    });
    let one_zone = spec.kind == JobKind::Gang || spec.spread != Spread::Zone;
    if one_zone && spec.kind != JobKind::Batch {
        return Some(vec![share(ranked[0], 0, spec.tasks)]);
    }
    if spec.spread == Spread::Zone {
        let usable: Vec<&&ZoneCapacity> =
            ranked.iter().filter(|r| spec.size.fits(&r.largest)).collect();
        let zones = if usable.is_empty() { ranked.iter().collect() } else { usable };
        return Some(split_evenly(spec.tasks, &zones));
    }
    Some(split_by_capacity(spec, &ranked))
}

/// Returns the zone with the most free capacity other than `from`, for tasks that must move.
pub fn choose_target_zone(
    spec: &JobSpec,
    from: &ZoneId,
    capacities: &[ZoneCapacity],
) -> Option<ZoneId> {
    let others = capacities.iter().filter(|r| r.zone != *from && spec.size.fits(&r.largest));
    let best = others.max_by_key(|r| (spec.size.copies_in(&r.free), r.zone.clone()))?;
    Some(best.zone.clone())
}

fn share(capacity: &ZoneCapacity, first: u32, count: u32) -> Share {
    Share { zone: capacity.zone.clone(), first, count }
}

fn split_evenly(tasks: u32, zones: &[&&ZoneCapacity]) -> Vec<Share> {
    let n = zones.len() as u32;
    let mut shares = Vec::new();
    let mut first = 0;
    for (i, capacity) in zones.iter().enumerate() {
        let count = tasks / n + u32::from((i as u32) < tasks % n);
        if count > 0 {
            shares.push(share(capacity, first, count));
        }
        first += count;
    }
    shares
}

/// Fills the zones in order of free capacity. Tasks that fit nowhere wait in the last zone that
/// received a share, or in the first zone if none did.
fn split_by_capacity(spec: &JobSpec, ranked: &[&ZoneCapacity]) -> Vec<Share> {
    let mut shares: Vec<Share> = Vec::new();
    let mut first = 0;
    for capacity in ranked.iter().filter(|r| spec.size.fits(&r.largest)) {
        let count = spec.size.copies_in(&capacity.free).min(u64::from(spec.tasks - first)) as u32;
        if count > 0 {
            shares.push(share(capacity, first, count));
            first += count;
        }
    }
    let remaining = spec.tasks - first;
    match shares.last_mut() {
        Some(last) => last.count += remaining,
        None => shares.push(share(ranked[0], 0, remaining)),
    }
    shares
}
