//! Tests that the system clock includes the time for which a machine was suspended. Otherwise a lease would appear to be
//! valid for that much longer, and a leader that resumes would keep leading beside the one elected in the meantime.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use clock::{Clock, Millis, OsTime, SystemClock, TimeSource};

/// A time source for a simulated machine that tests run and suspend.
#[derive(Clone, Default)]
struct Machine {
    monotonic: Arc<AtomicU64>,
    suspended: Arc<AtomicU64>,
}

impl Machine {
    fn run(&self, ms: u64) {
        self.monotonic.fetch_add(ms, Ordering::SeqCst);
    }

    fn suspend(&self, ms: u64) {
        self.suspended.fetch_add(ms, Ordering::SeqCst);
    }
}

impl TimeSource for Machine {
    fn monotonic(&self) -> Millis {
        Millis(self.monotonic.load(Ordering::SeqCst))
    }

    fn boottime(&self) -> Millis {
        self.monotonic() + Millis(self.suspended.load(Ordering::SeqCst))
    }
}

#[test]
fn the_clock_includes_the_suspended_time() {
    let machine = Machine::default();
    machine.suspend(500);
    let clock = SystemClock::with_source(machine.clone());
    machine.run(100);
    machine.suspend(7_000);
    machine.run(20);
    assert_eq!(clock.now(), Millis(7_120));
}

#[test]
fn the_clock_reports_the_suspended_time() {
    let machine = Machine::default();
    machine.suspend(500);
    let clock = SystemClock::with_source(machine.clone());
    machine.run(100);
    assert_eq!(clock.suspended(), Millis::ZERO);
    machine.suspend(7_000);
    assert_eq!(clock.suspended(), Millis(7_000));
}

#[test]
fn the_operating_system_provides_both_clocks() {
    let monotonic = OsTime.monotonic();
    assert!(monotonic > Millis::ZERO);
    assert!(OsTime.boottime() >= monotonic);
}
