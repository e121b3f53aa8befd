//! Clocks: the system's, and one that tests move by hand.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::Millis;

/// A clock that never runs backwards within one process.
pub trait Clock: Send + Sync {
    /// Gives the time since some fixed point of this process.
    fn now(&self) -> Millis;
}

/// The system's monotonic clock, counted from its making.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        SystemClock { start: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }
}

/// A clock that stands still until it is moved.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: Millis) {
        self.now.fetch_add(span.0, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        Millis(self.now.load(Ordering::SeqCst))
    }
}

/// Gives the wall clock since 1970. It may jump, so it only labels events and callers' keys.
pub fn wall_now() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis(since.as_millis() as u64)
}
