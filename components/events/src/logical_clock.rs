//! A logical clock that orders events of several processes by cause.

use std::sync::atomic::{AtomicU64, Ordering};

use clock::wall_now;

/// Room for events within one millisecond.
const COUNTER_BITS: u32 = 20;

/// A hybrid logical clock: wall time in the upper bits, so that numbers of unrelated events lie
/// near each other, and always beyond every number that was seen in a message.
#[derive(Debug, Default)]
pub struct LogicalClock {
    last: AtomicU64,
}

impl LogicalClock {
    /// Gives the number of a new event or message.
    pub fn next(&self) -> u64 {
        let wall = wall_now().0 << COUNTER_BITS;
        let advance = |last: u64| Some(wall.max(last + 1));
        let before = self.last.fetch_update(Ordering::SeqCst, Ordering::SeqCst, advance);
        wall.max(before.unwrap_or_default() + 1)
    }

    /// Notes the number of a message that came in: whatever follows comes after it.
    pub fn observe(&self, order: u64) {
        self.last.fetch_max(order, Ordering::SeqCst);
    }
}
