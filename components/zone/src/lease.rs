//! Leases and commitments: how long each lasts at its holder, and how long the other side waits for its end.
//!
//! Three permissions expire by themselves: a worker's lease, which the zone's allocator renews; the allocator's own zone
//! lease, which the cell's leader renews; and, for an allocator that is partitioned from the leader, the commitments of
//! all other instances of its zone not to allocate. A process that relies on the expiry waits longer than the holder
//! uses the permission, by the drift allowed between two clocks.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{Epoch, InstanceId};

/// How long an allocator may renew the leases of movable tasks, counted from when it sent the request that the cell's
/// leader confirmed.
pub const ZONE_LEASE_DURATION: Millis = Millis(4_000);
/// How long a commitment not to allocate is valid, counted from the request for it.
pub const COMMITMENT_DURATION: Millis = Millis(2_000);
/// The allowed drift between two clocks, in percent. If clocks drifted further apart, a task could run twice; a greater
/// value delays takeovers.
const DRIFT_PERCENT: u64 = 5;
/// The additional wait beyond the drift, because clocks count whole milliseconds.
pub const CLOCK_MARGIN: Millis = Millis(50);

/// A confirmation of the zone lease by the leader.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    until: Millis,
    needs_applied: u64,
}

/// The number of confirmations that are kept. One is not enough: a newer confirmation is valid only once more of the log
/// is applied, and until then the previous one is needed.
const MAX_CONFIRMATIONS: usize = 16;

/// The zone lease: the allocator's permission to renew the leases of movable tasks.
#[derive(Clone, Debug, Default)]
pub struct ZoneLease {
    epoch: Epoch,
    confirmed: Vec<Confirmation>,
}

impl ZoneLease {
    /// Records that the leader confirmed `epoch` in reply to a request sent at `asked_at`. The confirmation is valid only
    /// once this instance has applied the log up to `last_index`, so that it does not act on a share that was moved to
    /// another zone in the meantime.
    pub fn confirm(&mut self, epoch: Epoch, asked_at: Millis, last_index: u64) {
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            *self = ZoneLease { epoch, confirmed: Vec::new() };
        }
        let confirmation =
            Confirmation { until: asked_at + ZONE_LEASE_DURATION, needs_applied: last_index };
        self.confirmed.push(confirmation);
        if self.confirmed.len() > MAX_CONFIRMATIONS {
            self.confirmed.remove(0);
        }
    }

    /// Returns whether the lease is valid at `now`.
    pub fn holds(&self, now: Millis, epoch: Epoch, applied: u64) -> bool {
        let counts = |c: &Confirmation| now < c.until && applied >= c.needs_applied;
        epoch == self.epoch && self.confirmed.iter().any(counts)
    }
}

/// What an allocator is permitted to do at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// Everything: the cell's leader has confirmed the allocator.
    Full,
    /// Renewing and starting tasks that may not move, while the leases of movable ones expire: the allocator is
    /// partitioned from the leader, but no other instance of its zone will allocate.
    ZoneOnly,
    /// Renewing tasks that may not move, so that they keep running, but starting none: another instance may have been
    /// granted the zone.
    RenewOnly,
}

/// The commitments not to allocate that an allocator has received from its zone's other instances.
#[derive(Clone, Debug, Default)]
pub struct PeerCommitments {
    epoch: Epoch,
    until: BTreeMap<InstanceId, Millis>,
}

impl PeerCommitments {
    /// Records a commitment made in reply to a request sent at `asked_at`.
    pub fn note(&mut self, epoch: Epoch, peer: &InstanceId, asked_at: Millis) {
        if epoch > self.epoch {
            *self = PeerCommitments { epoch, until: BTreeMap::new() };
        }
        if epoch == self.epoch {
            let until = self.until.entry(peer.clone()).or_default();
            *until = (*until).max(asked_at + COMMITMENT_DURATION);
        }
    }

    /// Returns whether the commitments of all `peers` are valid at `now`.
    pub fn hold(&self, now: Millis, epoch: Epoch, peers: &BTreeSet<InstanceId>) -> bool {
        let committed = |peer: &InstanceId| self.until.get(peer).is_some_and(|until| now < *until);
        epoch == self.epoch && peers.iter().all(committed)
    }
}

/// The commitment not to allocate that an instance has made to its zone's allocator.
#[derive(Clone, Debug, Default)]
pub struct OwnCommitment {
    until: Millis,
}

impl OwnCommitment {
    /// Commits to the allocator of `epoch` and returns true, or returns false if this instance knows of a newer epoch.
    pub fn give(&mut self, now: Millis, epoch: Epoch, newest_known: Epoch) -> bool {
        if newest_known > epoch {
            return false;
        }
        self.until = self.until.max(lease_expiry_bound(now, COMMITMENT_DURATION));
        true
    }

    /// Returns whether the commitment has expired, so that this instance may act on a grant.
    pub fn is_over(&self, now: Millis) -> bool {
        now >= self.until
    }
}

/// Returns when a lease of `length` that counts from `since` has certainly expired at its holder.
pub fn lease_expiry_bound(since: Millis, length: Millis) -> Millis {
    since + length.plus_percent(DRIFT_PERCENT) + CLOCK_MARGIN
}

/// Returns how long the leader waits before it grants the zone to another instance, counted from its last confirmation of
/// the allocator or from its own election.
pub fn takeover_delay() -> Millis {
    lease_expiry_bound(Millis::ZERO, ZONE_LEASE_DURATION)
}

/// Returns how long the leader waits before it moves movable tasks to another zone: first the zone's lease and then the
/// workers' leases have to expire.
pub fn share_move_delay(worker_lease: Millis) -> Millis {
    takeover_delay() + lease_expiry_bound(Millis::ZERO, worker_lease)
}
