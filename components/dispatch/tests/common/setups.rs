//! Setups that several tests share.

use clock::Millis;
use model::Size;
use workload::StepSpec;

use super::fleet::Fleet;
use super::step;

/// How many instances call for advice.
const CALLERS: usize = 12;

/// Returns a step whose tasks take `cores` each.
pub fn wide(count: u32, cores: u64) -> StepSpec {
    let estimate = Millis(2_000);
    StepSpec { size: Size::new(cores * 1_000, 1_000, 0), estimate, ..step(count) }
}

/// Returns a fleet whose workers bear a label and have joined.
pub fn fleet_of(seed: u64, label: &str, count: usize, capacity: Size) -> Fleet {
    with_workers(Fleet::new(seed, CALLERS), label, count, capacity)
}

/// Returns such a fleet where the advice service allows every worker for every step.
pub fn fleet_allowing_all(seed: u64, label: &str, count: usize, capacity: Size) -> Fleet {
    let mut f = Fleet::new(seed, CALLERS);
    f.allow_all();
    with_workers(f, label, count, capacity)
}

fn with_workers(mut f: Fleet, label: &str, count: usize, capacity: Size) -> Fleet {
    f.join(label, count, capacity);
    f.advance(Millis(500));
    f
}
