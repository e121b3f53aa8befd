//! The system clock, and a clock that tests advance by hand.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::ClockId;

use crate::Millis;

/// A clock that never runs backwards within one process.
pub trait Clock: Send + Sync {
    /// Returns the time since a fixed point in the lifetime of this process.
    fn now(&self) -> Millis;
}

/// A source from which a [`SystemClock`] reads the time.
pub trait TimeSource: Send + Sync {
    /// Returns the time since some fixed point, without the time that the machine was suspended.
    fn monotonic(&self) -> Millis;

    /// Returns the time since some fixed point, including the time that the machine was suspended.
    fn boottime(&self) -> Millis;
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct OsTime;

fn read(id: ClockId) -> Millis {
    // Both clocks exist on every Linux since 2.6.39, so reading them cannot fail.
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

/// The system clock, counted from its creation. It advances while the machine is suspended.
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
    /// Creates a clock that reads the time from a source.
    pub fn with_source(source: S) -> Self {
        let (started_awake, started) = (source.monotonic(), source.boottime());
        SystemClock { source, started_awake, started }
    }

    /// Returns for how long the machine was suspended since the clock was created.
    pub fn suspended(&self) -> Millis {
        let monotonic = self.source.monotonic().since(self.started_awake);
        self.now().since(monotonic)
    }
}

impl<S: TimeSource> Clock for SystemClock<S> {
    fn now(&self) -> Millis {
        // Leases and promises expire while a machine is suspended, so that time must count.
        self.source.boottime().since(self.started)
    }
}

/// A clock that only advances when it is told to.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: AtomicU64,
}

impl ManualClock {
    /// Advances the clock by `span`.
    pub fn advance(&self, span: Millis) {
        self.now.fetch_add(span.0, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        Millis(self.now.load(Ordering::SeqCst))
    }
}

/// Returns the wall clock time since 1970. It may jump, so it is used only to label events and callers' keys.
pub fn wall_now() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis(since.as_millis() as u64)
}

fn processor_time(id: ClockId) -> Duration {
    // Both clocks exist on every Linux since 2.6.12, so reading them cannot fail.
    id.now().map_or(Duration::ZERO, Duration::from)
}

/// Returns the processor time that this process has used.
pub fn process_cpu_time() -> Duration {
    processor_time(ClockId::CLOCK_PROCESS_CPUTIME_ID)
}

/// Returns the processor time that the calling thread has used.
pub fn thread_cpu_time() -> Duration {
    processor_time(ClockId::CLOCK_THREAD_CPUTIME_ID)
}
