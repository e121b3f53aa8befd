//! Lends the upstream slots that are not permanently assigned to an instance.
//!
//! The broker runs beside the zone's allocator, so there is one for each epoch. A loan expires by
//! itself, but requests sent under it may still be in flight then. Lent slots are therefore lent
//! again only when the borrower reports that it no longer uses them, or when the longest request
//! must have ended.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{Epoch, InstanceId, Name};
use serde::{Deserialize, Serialize};

/// How long a loan may be used to send new requests.
const LOAN_DURATION: Millis = Millis(1_000);
/// The maximum drift between two clocks, in percent. With a smaller allowance a loan could be lent
/// again while a borrower with a slow clock still uses it.
const DRIFT_PERCENT: u64 = 5;

/// What an instance requests from the broker and reports to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The requesting instance.
    pub instance: InstanceId,
    /// The process number of the instance. A later process has a higher number.
    pub process: u64,
    /// The sequence number of the demand within the process, so that an old demand does not
    /// override a newer one.
    pub seq: u64,
    /// The newest epoch that the instance knows. It accepts loans of this epoch only.
    pub epoch: Epoch,
    /// The demand for each upstream.
    pub upstream_demands: Vec<UpstreamDemand>,
}

/// The demand of an instance for one upstream, in slots beyond its own share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDemand {
    /// The upstream.
    pub upstream: Name,
    /// The number of slots in use by requests in flight.
    pub used: u32,
    /// The number of slots that an earlier loan still allows it to use.
    pub held: u32,
    /// The number of slots that it would like to borrow.
    pub wanted: u32,
}

/// A loan of the broker to one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The epoch of the broker.
    pub epoch: Epoch,
    /// The borrowing instance.
    pub instance: InstanceId,
    /// The process number of the borrower.
    pub process: u64,
    /// The sequence number of the demand that this loan answers.
    pub seq: u64,
    /// The slots lent of each upstream.
    pub slots: Vec<LentSlots>,
}

/// The number of slots beyond its own share that an instance may use on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentSlots {
    /// The upstream.
    pub upstream: Name,
    /// The number of slots.
    pub slots: u32,
}

#[derive(Clone, Debug, Default)]
struct Lent {
    slots: u32,
    /// The number that the borrower last requested.
    wanted: u32,
    /// The time by which the longest request sent under the loan must have ended.
    ends_by: Millis,
}

/// The broker of one zone under one epoch.
#[derive(Clone, Debug)]
pub struct Broker {
    epoch: Epoch,
    max_request_duration: Millis,
    /// The time by which loans of earlier epochs, and all requests sent under them, must have
    /// ended.
    earlier_loans_end: Millis,
    /// The instances of the zone that have not sent a demand under this epoch yet. Once all have,
    /// the slots that they still hold from earlier loans are known.
    awaiting_demand: BTreeSet<InstanceId>,
    lent: BTreeMap<Name, BTreeMap<InstanceId, Lent>>,
    last_demands: BTreeMap<InstanceId, DemandNumber>,
}

/// Identifies the newest demand of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct DemandNumber {
    process: u64,
    seq: u64,
}

impl Broker {
    /// Creates a broker. It lends nothing new until it knows what each of `instances` still holds
    /// from loans of an earlier epoch, or until those loans must have ended.
    pub fn new(
        now: Millis,
        epoch: Epoch,
        max_request_duration: Millis,
        instances: BTreeSet<InstanceId>,
    ) -> Broker {
        Broker {
            epoch,
            max_request_duration,
            earlier_loans_end: loan_end(now, max_request_duration),
            awaiting_demand: instances,
            lent: BTreeMap::new(),
            last_demands: BTreeMap::new(),
        }
    }

    /// Answers a demand. `pool` is the number of slots that each upstream has for lending.
    pub fn answer(&mut self, now: Millis, demand: &Demand, pool: u32) -> Option<Loan> {
        let number = DemandNumber { process: demand.process, seq: demand.seq };
        let last = self.last_demands.entry(demand.instance.clone()).or_default();
        if number <= *last || demand.epoch != self.epoch {
            return None;
        }
        *last = number;
        self.awaiting_demand.remove(&demand.instance);
        let mut slots = Vec::with_capacity(demand.upstream_demands.len());
        for upstream_demand in &demand.upstream_demands {
            let granted = self.lend(now, &demand.instance, upstream_demand, pool);
            slots.push(LentSlots { upstream: upstream_demand.upstream.clone(), slots: granted });
        }
        let (epoch, instance) = (self.epoch, demand.instance.clone());
        Some(Loan { epoch, instance, process: demand.process, seq: demand.seq, slots })
    }

    fn lend(
        &mut self,
        now: Millis,
        borrower: &InstanceId,
        upstream_demand: &UpstreamDemand,
        pool: u32,
    ) -> u32 {
        let open = self.awaiting_demand.is_empty() || now >= self.earlier_loans_end;
        let lent = self.lent.entry(upstream_demand.upstream.clone()).or_default();
        lent.retain(|_, l| (l.slots > 0 || l.wanted > 0) && now < l.ends_by);
        let others = lent.iter().filter(|(id, _)| *id != borrower);
        let (mut others_hold, mut others_want, mut claimants) = (0, 0, 1);
        for (_, other) in others {
            others_hold += other.slots;
            others_want += other.wanted;
            claimants += 1;
        }
        // When the demands exceed the pool, each borrower gets at least an equal share.
        let unwanted = pool.saturating_sub(others_want);
        let fair = unwanted.max(pool.div_ceil(claimants));
        let allowed =
            if open { fair.min(pool.saturating_sub(others_hold)) } else { upstream_demand.held };
        let granted = upstream_demand.wanted.min(allowed);
        // The borrower acts on its earlier loan until it receives the answer, and its requests in
        // flight continue in any case.
        let slots = granted.max(upstream_demand.held).max(upstream_demand.used);
        let ends_by = loan_end(now, self.max_request_duration);
        let wanted = upstream_demand.wanted;
        lent.insert(borrower.clone(), Lent { slots, wanted, ends_by });
        granted
    }

    /// Returns how many slots of an upstream are lent to all instances together.
    pub fn lent(&self, upstream: &Name) -> u32 {
        self.lent.get(upstream).map_or(0, |l| l.values().map(|l| l.slots).sum())
    }
}

fn loan_end(now: Millis, max_request_duration: Millis) -> Millis {
    now + (LOAN_DURATION + max_request_duration).plus_percent(DRIFT_PERCENT) + Millis(1)
}

/// The slots that an instance has borrowed.
#[derive(Clone, Debug, Default)]
pub struct BorrowedSlots {
    epoch: Epoch,
    process: u64,
    seq: u64,
    /// When the newest demand was sent. Only the answer to that demand is accepted, so that a late
    /// answer to an earlier one does not restore slots that have been given up.
    demanded_at: Millis,
    slots: BTreeMap<Name, u32>,
    valid_until: Millis,
}

impl BorrowedSlots {
    /// Creates an empty record for a process. A later process of the same instance has a higher
    /// number.
    pub fn new(process: u64) -> BorrowedSlots {
        BorrowedSlots { process, ..BorrowedSlots::default() }
    }

    /// Returns the next demand to send.
    pub fn demand(
        &mut self,
        now: Millis,
        epoch: Epoch,
        instance: &InstanceId,
        upstream_demands: Vec<UpstreamDemand>,
    ) -> Demand {
        self.seq += 1;
        self.demanded_at = now;
        self.epoch = self.epoch.max(epoch);
        let (process, seq, epoch) = (self.process, self.seq, self.epoch);
        Demand { instance: instance.clone(), process, seq, epoch, upstream_demands }
    }

    /// Applies a loan. Its duration counts from when its demand was sent, not from when it arrives.
    pub fn take(&mut self, now: Millis, loan: &Loan) {
        let is_answer = loan.process == self.process && loan.seq == self.seq;
        if !is_answer || loan.epoch != self.epoch || now.since(self.demanded_at) >= LOAN_DURATION {
            return;
        }
        self.slots = loan.slots.iter().map(|l| (l.upstream.clone(), l.slots)).collect();
        self.valid_until = self.demanded_at + LOAN_DURATION;
    }

    /// Returns how many slots beyond its own share the instance may use on an upstream now.
    pub fn slots(&self, now: Millis, upstream: &Name) -> u32 {
        if now >= self.valid_until {
            return 0;
        }
        self.slots.get(upstream).copied().unwrap_or(0)
    }
}
