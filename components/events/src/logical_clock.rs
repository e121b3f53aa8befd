//! A logical clock that orders the events of several processes causally.

use std::sync::atomic::{AtomicU64, Ordering};

use clock::wall_now;

/// The number of bits that count the events within one millisecond. Fewer bits would let the clock run further
/// ahead of wall time under load; more would leave fewer bits for the wall time.
const COUNTER_BITS: u32 = 20;

/// A hybrid logical clock. Its numbers hold wall time in the upper bits, so that unrelated events are ordered
/// roughly by time, and are always greater than every number seen in a message.
#[derive(Debug, Default)]
pub struct LogicalClock {
    last: AtomicU64,
}

impl LogicalClock {
    /// Returns the number of a new event or message.
    pub fn next(&self) -> u64 {
        let wall = wall_now().0 << COUNTER_BITS;
        let advance = |last: u64| Some(wall.max(last + 1));
        let before = self.last.fetch_update(Ordering::SeqCst, Ordering::SeqCst, advance);
        wall.max(before.unwrap_or_default() + 1)
    }

    /// Records the number of a received message, so that all later numbers are greater.
    pub fn observe(&self, order: u64) {
        self.last.fetch_max(order, Ordering::SeqCst);
    }
}
