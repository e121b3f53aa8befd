//! The renewals that a leader has delegated to entry instances.
//!
//! A worker that runs nothing needs no lease, but a renewal waits there all the same, since its end
//! shows at once that the worker is lost. For one leader that is a connection and a call each two
//! seconds for every worker of the fleet. Entry instances grow in number with the fleet, so the
//! leader has them hold these renewals and hears only of what changes. docs/design/whole-fleet.md
//! weighs this against other ways.
//!
//! Messages may be lost, and an instance may end with the renewals it holds. So the leader takes a
//! renewal back, that is, carries it out by itself, if the instance is out of contact or no longer
//! lists it, or if the worker runs something and no answer has arrived in time.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use clock::Millis;
use dispatch::RenewOrder;
use model::{InstanceId, Name};
use serde::{Deserialize, Serialize};
use workload::WorkerId;

/// How long after the last list of an instance that names a renewal the leader takes it back: more
/// than two of the intervals at which instances send their lists.
const UNLISTED_TIMEOUT: Millis = Millis(10_000);
/// How long after a worker began to run something the leader takes back a renewal without an
/// answer. An answer comes within the two seconds that a renewal waits, and a lease lasts five.
const BUSY_TIMEOUT: Millis = Millis(2_500);
/// For how long the leader itself renews after a call of its own to the worker had no answer: the
/// instance may reach a worker that the leader does not.
const DIRECT_PERIOD: Millis = Millis(10_000);

/// A renewal that an instance is to hold at a worker until something changes there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// Identifies the renewal in the messages about it.
    pub id: u64,
    /// The worker.
    pub worker: WorkerId,
    /// The worker's address.
    pub address: Name,
    /// The renewal.
    pub order: RenewOrder,
}

#[derive(Clone, Debug)]
struct Delegation {
    watch: Watch,
    holder: InstanceId,
    delegated_at: Millis,
    /// When the holder last listed it.
    listed_at: Millis,
    /// Since when the worker has run something.
    busy_since: Option<Millis>,
}

/// The renewals that a leader has delegated in its term.
#[derive(Clone, Debug, Default)]
pub struct DelegatedRenewals {
    by_worker: BTreeMap<WorkerId, Delegation>,
    /// Until when the leader itself renews the leases of some workers.
    direct_until: BTreeMap<WorkerId, Millis>,
    /// The renewals that have not been sent to their holders yet.
    unsent: BTreeMap<InstanceId, Vec<Watch>>,
    last_id: u64,
}

impl DelegatedRenewals {
    /// Delegates a renewal to one of the holders, which is always the same one for a worker as long
    /// as the holders do not change. Returns false if the leader must carry it out by itself.
    pub fn delegate(
        &mut self,
        now: Millis,
        (worker, address): (&WorkerId, &Name),
        order: &RenewOrder,
        holders: &[InstanceId],
    ) -> bool {
        let is_direct = self.direct_until.get(worker).is_some_and(|until| now < *until);
        if holders.is_empty() || is_direct {
            return false;
        }
        let holder = holders[position(worker, holders.len())].clone();
        self.last_id += 1;
        let (worker, address, order) = (worker.clone(), address.clone(), order.clone());
        let watch = Watch { id: self.last_id, worker: worker.clone(), address, order };
        self.unsent.entry(holder.clone()).or_default().push(watch.clone());
        let (delegated_at, listed_at, busy_since) = (now, now, None);
        let delegation = Delegation { watch, holder, delegated_at, listed_at, busy_since };
        self.by_worker.insert(worker, delegation);
        true
    }

    /// Returns the renewals to send, by their holders.
    pub fn take_unsent(&mut self) -> BTreeMap<InstanceId, Vec<Watch>> {
        std::mem::take(&mut self.unsent)
    }

    /// Ends a renewal whose result has arrived. Returns when it was delegated, or `None` if the
    /// leader has taken it back.
    pub fn end(&mut self, worker: &WorkerId, id: u64) -> Option<Millis> {
        if self.by_worker.get(worker)?.watch.id != id {
            return None;
        }
        self.by_worker.remove(worker).map(|d| d.delegated_at)
    }

    /// Records that a holder lists a renewal. Returns whether it is still delegated.
    pub fn record_listed(&mut self, now: Millis, worker: &WorkerId, id: u64) -> bool {
        let delegation = self.by_worker.get_mut(worker).filter(|d| d.watch.id == id);
        let Some(delegation) = delegation else { return false };
        delegation.listed_at = now;
        true
    }

    /// Takes back a renewal because its holder returns it.
    pub fn take_returned(&mut self, worker: &WorkerId, id: u64) -> Option<Watch> {
        self.by_worker.get(worker).filter(|d| d.watch.id == id)?;
        self.by_worker.remove(worker).map(|d| d.watch)
    }

    /// Takes back the renewal of a worker because a call of the leader to it had no answer. The
    /// leader itself renews for a while from then on.
    pub fn take_unanswered(&mut self, now: Millis, worker: &WorkerId) -> Option<Watch> {
        self.direct_until.insert(worker.clone(), now + DIRECT_PERIOD);
        self.by_worker.remove(worker).map(|d| d.watch)
    }

    /// Takes back the renewals whose answers may never arrive.
    pub fn take_overdue(
        &mut self,
        now: Millis,
        is_in_contact: impl Fn(&InstanceId) -> bool,
        is_busy: impl Fn(&WorkerId) -> bool,
    ) -> Vec<Watch> {
        self.direct_until.retain(|_, until| now < *until);
        let mut overdue = Vec::new();
        self.by_worker.retain(|worker, delegation| {
            delegation.busy_since = match is_busy(worker) {
                true => delegation.busy_since.or(Some(now)),
                false => None,
            };
            let is_late = delegation.busy_since.is_some_and(|at| now.since(at) >= BUSY_TIMEOUT);
            let is_unlisted = now.since(delegation.listed_at) >= UNLISTED_TIMEOUT;
            let is_kept = !is_late && !is_unlisted && is_in_contact(&delegation.holder);
            if !is_kept {
                overdue.push(delegation.watch.clone());
            }
            is_kept
        });
        overdue
    }

    /// Returns how many renewals are delegated.
    pub fn count(&self) -> usize {
        self.by_worker.len()
    }
}

/// Returns the position of a worker's holder among `holders` instances.
fn position(worker: &WorkerId, holders: usize) -> usize {
    let mut hasher = DefaultHasher::new();
    worker.hash(&mut hasher);
    (hasher.finish() % holders as u64) as usize
}
