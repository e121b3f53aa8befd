//! Lending the slots that no instance has for ever.
//!
//! The broker sits with the zone's allocator, so there is one for an epoch. A loan runs out by
//! itself, but requests sent under it may still be under way then: what was lent is lent again only
//! when the borrower says that it no longer uses it, or when the longest request has surely ended.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{Epoch, InstanceId, Name};
use serde::{Deserialize, Serialize};

/// How long a loan may be used to send new requests.
const LOAN_LENGTH: Millis = Millis(1_000);
/// How many percent two clocks may run apart.
const DRIFT_PERCENT: u64 = 5;

/// What an instance asks of the broker, and tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Who asks.
    pub instance: InstanceId,
    /// The asker's process; a later one has a higher number.
    pub process: u64,
    /// Counts the process's demands, so that an old one does not undo a newer one.
    pub seq: u64,
    /// The newest epoch that the asker knows; it takes loans of this one only.
    pub epoch: Epoch,
    /// What it asks of each upstream.
    pub upstream_demands: Vec<UpstreamDemand>,
}

/// What an instance asks of one upstream, in slots beyond its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDemand {
    /// The upstream.
    pub upstream: Name,
    /// How many it has requests in.
    pub used: u32,
    /// How many an earlier loan still lets it use.
    pub held: u32,
    /// How many it would like to have.
    pub wanted: u32,
}

/// What the broker lends one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The epoch of the broker.
    pub epoch: Epoch,
    /// Who borrows.
    pub instance: InstanceId,
    /// The process that borrows.
    pub process: u64,
    /// The demand that this answers.
    pub seq: u64,
    /// What is lent of each upstream.
    pub slots: Vec<LentSlots>,
}

/// How many slots beyond its own an instance may use on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentSlots {
    /// The upstream.
    pub upstream: Name,
    /// How many.
    pub slots: u32,
}

#[derive(Clone, Debug, Default)]
struct Lent {
    slots: u32,
    /// What the borrower last asked for.
    wanted: u32,
    /// When even the longest request sent under the loan has ended.
    surely_free_at: Millis,
}

/// The lender of one zone under one epoch.
#[derive(Clone, Debug)]
pub struct Broker {
    epoch: Epoch,
    longest_request: Millis,
    /// When loans of earlier epochs have surely ended.
    opens_at: Millis,
    /// The zone's instances that have not asked under this epoch yet. Once all have, what they still
    /// hold of earlier loans is known.
    unheard: BTreeSet<InstanceId>,
    lent: BTreeMap<Name, BTreeMap<InstanceId, Lent>>,
    last: BTreeMap<InstanceId, Heard>,
}

/// The newest demand of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Heard {
    process: u64,
    seq: u64,
}

impl Broker {
    /// Starts a broker. It lends nothing new until it knows what each of `instances` holds of loans
    /// of an earlier epoch, or those have surely ended.
    pub fn new(
        now: Millis,
        epoch: Epoch,
        longest_request: Millis,
        instances: BTreeSet<InstanceId>,
    ) -> Broker {
        Broker {
            epoch,
            longest_request,
            opens_at: loan_end(now, longest_request),
            unheard: instances,
            lent: BTreeMap::new(),
            last: BTreeMap::new(),
        }
    }

    /// Answers a demand. `pool` is what each upstream has to lend.
    pub fn answer(&mut self, now: Millis, demand: &Demand, pool: u32) -> Option<Loan> {
        let heard = Heard { process: demand.process, seq: demand.seq };
        let last = self.last.entry(demand.instance.clone()).or_default();
        if heard <= *last || demand.epoch != self.epoch {
            return None;
        }
        *last = heard;
        self.unheard.remove(&demand.instance);
        let mut slots = Vec::with_capacity(demand.upstream_demands.len());
        for wish in &demand.upstream_demands {
            let granted = self.lend(now, &demand.instance, wish, pool);
            slots.push(LentSlots { upstream: wish.upstream.clone(), slots: granted });
        }
        let (epoch, instance) = (self.epoch, demand.instance.clone());
        Some(Loan { epoch, instance, process: demand.process, seq: demand.seq, slots })
    }

    fn lend(
        &mut self,
        now: Millis,
        borrower: &InstanceId,
        wish: &UpstreamDemand,
        pool: u32,
    ) -> u32 {
        let open = self.unheard.is_empty() || now >= self.opens_at;
        let lent = self.lent.entry(wish.upstream.clone()).or_default();
        lent.retain(|_, l| (l.slots > 0 || l.wanted > 0) && now < l.surely_free_at);
        let others = lent.iter().filter(|(id, _)| *id != borrower);
        let (mut others_hold, mut others_want, mut claimants) = (0, 0, 1);
        for (_, other) in others {
            others_hold += other.slots;
            others_want += other.wanted;
            claimants += 1;
        }
        // While there is not enough for all wishes, each gets at least an equal part.
        let unwanted = pool.saturating_sub(others_want);
        let fair = unwanted.max(pool.div_ceil(claimants));
        let allowed = if open { fair.min(pool.saturating_sub(others_hold)) } else { wish.held };
        let granted = wish.wanted.min(allowed);
        // Until the borrower has the answer it goes on by its earlier loan, and requests that are
        // under way go on in any case.
        let slots = granted.max(wish.held).max(wish.used);
        let surely_free_at = loan_end(now, self.longest_request);
        let wanted = wish.wanted;
        lent.insert(borrower.clone(), Lent { slots, wanted, surely_free_at });
        granted
    }

    /// Gives what is lent of an upstream in all.
    pub fn lent(&self, upstream: &Name) -> u32 {
        self.lent.get(upstream).map_or(0, |l| l.values().map(|l| l.slots).sum())
    }
}

fn loan_end(now: Millis, longest_request: Millis) -> Millis {
    now + (LOAN_LENGTH + longest_request).plus_percent(DRIFT_PERCENT) + Millis(1)
}

/// What an instance has borrowed.
#[derive(Clone, Debug, Default)]
pub struct BorrowedSlots {
    epoch: Epoch,
    process: u64,
    seq: u64,
    /// When the newest demand was sent. Only its answer is taken, so that a late answer to an
    /// earlier one does not bring back what has been given up.
    asked_at: Millis,
    slots: BTreeMap<Name, u32>,
    until: Millis,
}

impl BorrowedSlots {
    /// Starts a book for a process; a later process of the same instance has a higher number.
    pub fn new(process: u64) -> BorrowedSlots {
        BorrowedSlots { process, ..BorrowedSlots::default() }
    }

    /// Writes the next demand.
    pub fn demand(
        &mut self,
        now: Millis,
        epoch: Epoch,
        instance: &InstanceId,
        upstream_demands: Vec<UpstreamDemand>,
    ) -> Demand {
        self.seq += 1;
        self.asked_at = now;
        self.epoch = self.epoch.max(epoch);
        let (process, seq, epoch) = (self.process, self.seq, self.epoch);
        Demand { instance: instance.clone(), process, seq, epoch, upstream_demands }
    }

    /// Takes in a loan. It counts from when its demand was sent, whenever it arrives.
    pub fn take(&mut self, now: Millis, loan: &Loan) {
        let is_answer = loan.process == self.process && loan.seq == self.seq;
        if !is_answer || loan.epoch != self.epoch || now.since(self.asked_at) >= LOAN_LENGTH {
            return;
        }
        self.slots = loan.slots.iter().map(|l| (l.upstream.clone(), l.slots)).collect();
        self.until = self.asked_at + LOAN_LENGTH;
    }

    /// Gives how many slots beyond its own the instance may use on an upstream now.
    pub fn slots(&self, now: Millis, upstream: &Name) -> u32 {
        if now >= self.until {
            return 0;
        }
        self.slots.get(upstream).copied().unwrap_or(0)
    }
}
