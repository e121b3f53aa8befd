//! What the core does regularly, and when it is next due.

use clock::Millis;

/// How often a zone's instance talks to the leader.
pub(super) const LEADER_REQUEST_INTERVAL: Millis = Millis(500);
/// How often an instance tells the broker what it needs.
pub(super) const DEMAND_INTERVAL: Millis = Millis(100);
/// How often an instance's events are copied to the others of its zone.
pub(super) const COPY_INTERVAL: Millis = Millis(200);
/// How often the leader looks for zones that are cut off.
pub(super) const MOVE_CHECK_INTERVAL: Millis = Millis(1_000);
/// How often an instance that has not caught up asks how far it has to.
pub(super) const BARRIER_INTERVAL: Millis = Millis(100);

/// When something regular is next due.
#[derive(Default)]
pub(super) struct Timers {
    pub(super) leader_request: Millis,
    pub(super) demand: Millis,
    pub(super) moves: Millis,
    pub(super) copies: Millis,
    pub(super) copy_request: Millis,
    pub(super) barrier: Millis,
}

/// Tells whether something regular is due, and if so, notes when it is due again.
pub(super) fn is_due(now: Millis, next: &mut Millis, every: Millis) -> bool {
    if now < *next {
        return false;
    }
    *next = now + every;
    true
}
