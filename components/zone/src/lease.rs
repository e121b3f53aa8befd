//! How long a right lasts, on both sides of a link.
//!
//! Three rights run out by themselves: a worker's lease, which its zone's allocator renews; the
//! allocator's own zone lease, which the cell's leader renews; and, for an allocator that is cut off
//! from the leader, the pledges of all its zone's other instances not to allocate. Whoever relies on
//! the end of a right waits longer than its holder keeps it, by the drift allowed between two clocks.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{Epoch, InstanceId};

/// How long an allocator may renew leases of movable tasks after it last asked the cell's leader.
pub const ZONE_LEASE_DURATION: Millis = Millis(4_000);
/// How long a pledge not to allocate counts, from when it was asked for.
pub const COMMITMENT_DURATION: Millis = Millis(2_000);
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
        let fresh = Confirmed { until: asked_at + ZONE_LEASE_DURATION, needs_applied: last_index };
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

/// What an allocator may do at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// The cell's leader confirms it: everything.
    Full,
    /// It is cut off from the leader, but no other instance of its zone will allocate: tasks that may
    /// not move are renewed and started, movable ones are left to run out.
    ZoneOnly,
    /// Another instance may have been granted the zone: tasks that may not move are renewed, so that
    /// they run on, and nothing is started.
    RenewOnly,
}

/// The pledges that an allocator has from its zone's other instances.
#[derive(Clone, Debug, Default)]
pub struct PeerCommitments {
    epoch: Epoch,
    until: BTreeMap<InstanceId, Millis>,
}

impl PeerCommitments {
    /// Notes a pledge in answer to a question asked at `asked_at`.
    pub fn note(&mut self, epoch: Epoch, mate: &InstanceId, asked_at: Millis) {
        if epoch > self.epoch {
            *self = PeerCommitments { epoch, until: BTreeMap::new() };
        }
        if epoch == self.epoch {
            let until = self.until.entry(mate.clone()).or_default();
            *until = (*until).max(asked_at + COMMITMENT_DURATION);
        }
    }

    /// Tells whether all of `mates` have pledged for now.
    pub fn hold(&self, now: Millis, epoch: Epoch, mates: &BTreeSet<InstanceId>) -> bool {
        let pledged = |m: &InstanceId| self.until.get(m).is_some_and(|until| now < *until);
        epoch == self.epoch && mates.iter().all(pledged)
    }
}

/// The promise that an instance gave to the allocator of its zone.
#[derive(Clone, Debug, Default)]
pub struct OwnCommitment {
    until: Millis,
}

impl OwnCommitment {
    /// Gives a pledge for `epoch`, unless this instance knows of a newer one.
    pub fn give(&mut self, now: Millis, epoch: Epoch, newest_known: Epoch) -> bool {
        if newest_known > epoch {
            return false;
        }
        self.until = self.until.max(lease_expiry_bound(now, COMMITMENT_DURATION));
        true
    }

    /// Tells whether this instance may act on a grant.
    pub fn is_over(&self, now: Millis) -> bool {
        now >= self.until
    }
}

/// Gives when a lease of `length` that counts from `since` has surely run out at its holder.
pub fn lease_expiry_bound(since: Millis, length: Millis) -> Millis {
    since + length.plus_percent(DRIFT_PERCENT) + CLOCK_MARGIN
}

/// Gives how long the leader waits after it last confirmed an allocator, or after it became leader
/// itself, before it grants the zone to another instance.
pub fn takeover_delay() -> Millis {
    lease_expiry_bound(Millis::ZERO, ZONE_LEASE_DURATION)
}

/// Gives how long the leader waits likewise before it gives movable tasks to another zone: the
/// zone's lease and then the workers' have to run out.
pub fn share_move_delay(worker_lease: Millis) -> Millis {
    takeover_delay() + lease_expiry_bound(Millis::ZERO, worker_lease)
}
