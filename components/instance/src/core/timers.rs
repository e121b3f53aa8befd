//! The periodic actions of the core and their next due times.

use clock::Millis;

/// The interval at which an instance sends its zone's request to the leader.
pub(super) const LEADER_REQUEST_INTERVAL: Millis = Millis(500);
/// The interval at which an instance reports its slot demand to the broker.
pub(super) const DEMAND_INTERVAL: Millis = Millis(100);
/// The interval at which an instance's events are copied to the other instances of its zone.
pub(super) const COPY_INTERVAL: Millis = Millis(200);
/// The interval at which the leader checks for silent zones.
pub(super) const MOVE_CHECK_INTERVAL: Millis = Millis(1_000);
/// The interval at which an instance that has not caught up requests the commit index.
pub(super) const BARRIER_INTERVAL: Millis = Millis(100);

/// The next due time of each periodic action.
#[derive(Default)]
pub(super) struct Timers {
    pub(super) leader_request: Millis,
    pub(super) demand: Millis,
    pub(super) moves: Millis,
    pub(super) copies: Millis,
    pub(super) copy_request: Millis,
    pub(super) barrier: Millis,
}

/// Returns whether a periodic action is due, and if so, schedules the next one.
pub(super) fn is_due(now: Millis, next: &mut Millis, every: Millis) -> bool {
    if now < *next {
        return false;
    }
    *next = now + every;
    true
}
