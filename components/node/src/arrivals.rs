//! Bounds when a call arrived that is read now.
//!
//! A process that did not run for a while finds calls in its sockets that arrived meanwhile, and nothing tells how long they
//! have waited. They are taken to have arrived when the process last ran: docs/design/platform.md, "Calls that are held up".

use clock::Millis;

use crate::timing::TICK_INTERVAL;

/// The time without a turn of the event loop from which calls may have waited: four of its ticks, since a busy machine delays
/// a process by one or two.
const MIN_STALL: Millis = Millis(4 * TICK_INTERVAL.0);
/// How long the listeners may take to read what has waited during a stall. With a smaller value the last calls that waited
/// would be taken for new ones.
const READ_TIME: Millis = Millis(1_000);

/// A period in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Stall {
    began_at: Millis,
    ended_at: Millis,
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
        if now.since(self.ran_at) >= MIN_STALL {
            let ran_at = self.ran_at;
            // What waited during an earlier stall may not have been read before this one.
            let unread = self.stall.filter(|s| ran_at.since(s.ended_at) < READ_TIME);
            let began_at = unread.map_or(ran_at, |s| s.began_at);
            self.stall = Some(Stall { began_at, ended_at: now });
        }
        self.ran_at = now;
    }

    /// Returns when a call that is read now arrived, or an earlier time.
    pub fn arrived_after(&self, now: Millis) -> Millis {
        let stall = self.stall.filter(|s| now.since(s.ended_at) < READ_TIME);
        stall.map_or(now, |s| s.began_at.min(now))
    }
}
