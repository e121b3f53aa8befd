//! Detects that this process did not run for a while.

use clock::Millis;
use events::{kinds, log_decision};

use crate::timing::TICK_INTERVAL;

/// The time between two checks from which a process counts as stalled: twenty of its ticks. A busy machine delays
/// a process by a tenth of that, so a much smaller value would report ordinary delays.
const MIN_STALL: Millis = Millis(1_000);

/// A period in which a process did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// The time since the last check.
    pub elapsed: Millis,
    /// For how much of it the machine was suspended. For the rest the process was frozen or waited for a processor.
    pub suspended: Millis,
}

pub(crate) fn log_stall(name: &str, stall: &Stall) {
    let Stall { elapsed, suspended } = stall;
    let details = format!("away_ms={} suspended_ms={}", elapsed.0, suspended.0);
    log_decision(&kinds::PROCESS_AWAY, name, &details);
}

/// A detector of stalls that compares the clock at every tick. Without it a process does not notice that it
/// did not run, and its log has an unexplained gap.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    checked_at: Millis,
    suspended: Millis,
}

impl StallDetector {
    /// Creates a detector at the time `now`, with the total time that the machine was suspended so far.
    pub fn new(now: Millis, suspended: Millis) -> StallDetector {
        StallDetector { checked_at: now, suspended }
    }

    /// Returns a stall since the last check, given the time and the total time that the machine was suspended.
    /// A check within a tick of the last one is skipped, so that a busy process does not read two more clocks
    /// for each event.
    pub fn check(&mut self, now: Millis, suspended: impl FnOnce() -> Millis) -> Option<Stall> {
        let elapsed = now.since(self.checked_at);
        if elapsed < TICK_INTERVAL {
            return None;
        }
        let suspended = suspended();
        let stall = Stall { elapsed, suspended: suspended.since(self.suspended) };
        *self = StallDetector::new(now, suspended);
        (elapsed >= MIN_STALL).then_some(stall)
    }
}
