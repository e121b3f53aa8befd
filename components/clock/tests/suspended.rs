//! A machine may be suspended for seconds. A lease that was counted by a clock that stands still meanwhile would seem
//! to last for as much longer: a leader that wakes up would go on leading beside the one elected in its absence.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use clock::{Clock, Millis, OsTime, SystemClock, TimeSource};

/// A machine that tests let run and suspend.
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
fn the_time_that_a_machine_was_suspended_counts() {
    let machine = Machine::default();
    machine.suspend(500);
    let clock = SystemClock::with_source(machine.clone());
    machine.run(100);
    machine.suspend(7_000);
    machine.run(20);
    assert_eq!(clock.now(), Millis(7_120));
}

#[test]
fn the_clock_knows_for_how_long_that_was() {
    let machine = Machine::default();
    machine.suspend(500);
    let clock = SystemClock::with_source(machine.clone());
    machine.run(100);
    assert_eq!(clock.suspended(), Millis::ZERO);
    machine.suspend(7_000);
    assert_eq!(clock.suspended(), Millis(7_000));
}

#[test]
fn the_operating_system_tells_both_times() {
    let monotonic = OsTime.monotonic();
    assert!(monotonic > Millis::ZERO);
    assert!(OsTime.boottime() >= monotonic);
}
