//! Finding out that this process did not run for a while.

use clock::Millis;
use events::{kinds, log_decision};

use crate::timing::TICK;

/// From how long between two looks a process counts as having been away: twenty of its ticks. A busy machine
/// holds a process up for a tenth of that.
const AWAY: Millis = Millis(1_000);

/// For how long a process did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// The time since it last looked.
    pub elapsed: Millis,
    /// How much of it the machine was suspended; the rest the process was frozen, or waited for a processor.
    pub suspended: Millis,
}

pub(crate) fn log_stall(name: &str, absence: &Stall) {
    let Stall { elapsed, suspended } = absence;
    let details = format!("away_ms={} suspended_ms={}", elapsed.0, suspended.0);
    log_decision(&kinds::PROCESS_AWAY, name, &details);
}

/// Looks at the clock at every tick. What a process does not know otherwise is that it was away, and its log would
/// show a gap that nothing explains.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    looked_at: Millis,
    suspended: Millis,
}

impl StallDetector {
    /// Begins to watch.
    pub fn new(now: Millis, suspended: Millis) -> StallDetector {
        StallDetector { looked_at: now, suspended }
    }

    /// Takes in the time, and how long the machine was suspended in all; tells of an absence since the last look.
    /// A look within a tick of the last one is none, so that a busy process does not read two clocks more for
    /// each event.
    pub fn check(&mut self, now: Millis, suspended: impl FnOnce() -> Millis) -> Option<Stall> {
        let elapsed = now.since(self.looked_at);
        if elapsed < TICK {
            return None;
        }
        let suspended = suspended();
        let absence = Stall { elapsed, suspended: suspended.since(self.suspended) };
        *self = StallDetector::new(now, suspended);
        (elapsed >= AWAY).then_some(absence)
    }
}
