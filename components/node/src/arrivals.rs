//! Bounds when a call arrived that is read now.
//!
//! A process that did not run for a while finds calls in its sockets that arrived meanwhile, and nothing tells how long they
//! have waited. They are taken to have arrived when the process last ran: docs/design/platform.md, "Calls that are held up".

use clock::Millis;

use crate::timing::TICK_INTERVAL;

/// The time without a turn of the event loop from which calls may have waited: four of its ticks, since a busy machine delays
/// a process by one or two.
const MIN_STALL: Millis = Millis(4 * TICK_INTERVAL.0);
/// How long the process may have to run to read what has waited during a stall. With a smaller value the last calls that
/// waited would be taken for new ones.
const READ_TIME: Millis = Millis(1_000);

/// A period in which the process did not run, and what it has run since.
#[derive(Clone, Copy, Debug)]
struct Stall {
    began_at: Millis,
    /// For how long the process has run since, without further stalls.
    ran_for: Millis,
}

/// The times at which the process ran, as far as they matter to the calls that are read now.
#[derive(Clone, Copy, Debug)]
pub struct Arrivals {
    ran_at: Millis,
    stall: Option<Stall>,
}

impl Arrivals {
    /// Starts with a process that runs now.
    pub fn new(now: Millis) -> Arrivals {
        Arrivals { ran_at: now, stall: None }
    }

    /// Records that the process runs now. It has to do so before it handles any call.
    pub fn record_turn(&mut self, now: Millis) {
        let passed = now.since(self.ran_at);
        // What waited during an earlier stall may not have been read yet.
        let unread = self.stall.filter(|s| s.ran_for < READ_TIME);
        self.stall = match passed >= MIN_STALL {
            true => unread.or(Some(Stall { began_at: self.ran_at, ran_for: Millis::ZERO })),
            false => unread.map(|s| Stall { ran_for: s.ran_for + passed, ..s }),
        };
        self.ran_at = now;
    }

    /// Returns when a call that is read now arrived, or an earlier time.
    pub fn arrived_after(&self, now: Millis) -> Millis {
        let passed = now.since(self.ran_at);
        let unread = self.stall.filter(|s| s.ran_for + passed < READ_TIME);
        unread.map_or(now, |s| s.began_at.min(now))
    }
}
