//! Clocks: the system's, and one that tests move by hand.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::ClockId;

use crate::Millis;

/// A clock that never runs backwards within one process.
pub trait Clock: Send + Sync {
    /// Gives the time since some fixed point of this process.
    fn now(&self) -> Millis;
}

/// Where a [`SystemClock`] reads the time.
pub trait TimeSource: Send + Sync {
    /// Gives the time since some fixed point, without the time that the machine was suspended.
    fn monotonic(&self) -> Millis;

    /// Gives the same with that time.
    fn boottime(&self) -> Millis;
}

/// The operating system's own clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct OsTime;

fn read(id: ClockId) -> Millis {
    // Both clocks are there on every Linux since 2.6.39, so reading them cannot fail.
    id.now().map_or(Millis::ZERO, |t| Millis(Duration::from(t).as_millis() as u64))
}

impl TimeSource for OsTime {
    fn monotonic(&self) -> Millis {
        read(ClockId::CLOCK_MONOTONIC)
    }

    fn boottime(&self) -> Millis {
        read(ClockId::CLOCK_BOOTTIME)
    }
}

/// The system's clock, counted from its making. It goes on while the machine is suspended.
#[derive(Debug)]
pub struct SystemClock<S = OsTime> {
    source: S,
    started_awake: Millis,
    started: Millis,
}

impl Default for SystemClock {
    fn default() -> Self {
        SystemClock::with_source(OsTime)
    }
}

impl<S: TimeSource> SystemClock<S> {
    /// Makes a clock that reads the time at a source.
    pub fn with_source(source: S) -> Self {
        let (started_awake, started) = (source.monotonic(), source.boottime());
        SystemClock { source, started_awake, started }
    }

    /// Gives for how long the machine was suspended since the clock was made.
    pub fn suspended(&self) -> Millis {
        let monotonic = self.source.monotonic().since(self.started_awake);
        self.now().since(monotonic)
    }
}

impl<S: TimeSource> Clock for SystemClock<S> {
    fn now(&self) -> Millis {
        // Leases and promises run out while a machine is suspended, so that time must count.
        self.source.boottime().since(self.started)
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
