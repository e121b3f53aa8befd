//! How long a right lasts, on both sides of a link.
//!
//! Two rights run out by themselves: a worker's lease, which its zone's allocator renews, and the
//! allocator's own zone lease, which the cell's leader renews. Whoever relies on the end of a right
//! waits longer than its holder keeps it, by the drift allowed between two clocks.

use clock::Millis;
use model::Epoch;

/// How long an allocator may renew leases of movable tasks after it last asked the cell's leader.
pub const ZONE_LEASE: Millis = Millis(4_000);
/// By how many percent two clocks may run apart.
const DRIFT_PERCENT: u64 = 5;
/// What is waited beyond the drift, for clocks that count whole milliseconds.
pub const CLOCK_MARGIN: Millis = Millis(50);

/// One confirmation by the leader.
#[derive(Clone, Copy, Debug)]
struct Confirmed {
    until: Millis,
    needs_applied: u64,
}

/// How many confirmations are kept: several, because a newer one counts only once more of the log
/// is applied, and the one before it counts until then.
const KEPT: usize = 16;

/// The allocator's right to renew movable tasks.
#[derive(Clone, Debug, Default)]
pub struct ZoneLease {
    epoch: Epoch,
    confirmed: Vec<Confirmed>,
}

impl ZoneLease {
    /// Notes that the leader confirmed `epoch` in answer to a question asked at `asked_at`. The
    /// confirmation counts only once this instance has applied the log up to `last_index`, so that
    /// it acts on no share that was moved away meanwhile.
    pub fn confirm(&mut self, epoch: Epoch, asked_at: Millis, last_index: u64) {
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            *self = ZoneLease { epoch, confirmed: Vec::new() };
        }
        let fresh = Confirmed { until: asked_at + ZONE_LEASE, needs_applied: last_index };
        self.confirmed.push(fresh);
        if self.confirmed.len() > KEPT {
            self.confirmed.remove(0);
        }
    }

    /// Tells whether the lease holds.
    pub fn holds(&self, now: Millis, epoch: Epoch, applied: u64) -> bool {
        let counts = |c: &Confirmed| now < c.until && applied >= c.needs_applied;
        epoch == self.epoch && self.confirmed.iter().any(counts)
    }
}

/// Gives when a lease of `length` that counts from `since` has surely run out at its holder.
pub fn lease_bound(since: Millis, length: Millis) -> Millis {
    since + length.plus_percent(DRIFT_PERCENT) + CLOCK_MARGIN
}

/// Gives how long the leader waits after it last confirmed an allocator, or after it became leader
/// itself, before it grants the zone to another instance.
pub fn takeover_wait() -> Millis {
    lease_bound(Millis::ZERO, ZONE_LEASE)
}

/// Gives how long the leader waits likewise before it gives movable tasks to another zone: the
/// zone's lease and then the workers' have to run out.
pub fn move_wait(worker_lease: Millis) -> Millis {
    takeover_wait() + lease_bound(Millis::ZERO, worker_lease)
}
