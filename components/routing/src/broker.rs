//! Lending the slots that no instance has for ever.
//!
//! The broker sits with the zone's allocator, so there is one for an epoch. A loan runs out by
//! itself, but requests sent under it may still be under way then: what was lent is lent again only
//! when the borrower says that it no longer uses it, or when the longest request has surely ended.

use std::collections::BTreeMap;

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
    /// Counts the asker's demands, so that an old one does not undo a newer one.
    pub seq: u64,
    /// For each upstream: how many slots beyond its own it uses or keeps now, and how many beyond
    /// its own it would like to have.
    pub upstreams: Vec<(Name, u32, u32)>,
}

/// What the broker lends one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The epoch of the broker.
    pub epoch: Epoch,
    /// Who borrows.
    pub instance: InstanceId,
    /// The demand that this answers.
    pub seq: u64,
    /// For each upstream: how many slots beyond its own the instance may use.
    pub upstreams: Vec<(Name, u32)>,
}

#[derive(Clone, Debug, Default)]
struct Lent {
    slots: u32,
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
    lent: BTreeMap<Name, BTreeMap<InstanceId, Lent>>,
    last_seq: BTreeMap<InstanceId, u64>,
}

impl Broker {
    /// Starts a broker. It lends nothing until loans of an earlier epoch have surely ended.
    pub fn new(now: Millis, epoch: Epoch, longest_request: Millis) -> Broker {
        Broker {
            epoch,
            longest_request,
            opens_at: loan_end(now, longest_request),
            lent: BTreeMap::new(),
            last_seq: BTreeMap::new(),
        }
    }

    /// Answers a demand. `pool` is what each upstream has to lend.
    pub fn answer(&mut self, now: Millis, demand: &Demand, pool: u32) -> Option<Loan> {
        let last = self.last_seq.entry(demand.instance.clone()).or_default();
        if demand.seq <= *last {
            return None;
        }
        *last = demand.seq;
        let mut upstreams = Vec::with_capacity(demand.upstreams.len());
        for (name, used, wanted) in &demand.upstreams {
            let granted = self.lend(now, name, &demand.instance, (*used, *wanted), pool);
            upstreams.push((name.clone(), granted));
        }
        let (epoch, instance, seq) = (self.epoch, demand.instance.clone(), demand.seq);
        Some(Loan { epoch, instance, seq, upstreams })
    }

    fn lend(
        &mut self,
        now: Millis,
        upstream: &Name,
        borrower: &InstanceId,
        (used, wanted): (u32, u32),
        pool: u32,
    ) -> u32 {
        if now < self.opens_at {
            return 0;
        }
        let lent = self.lent.entry(upstream.clone()).or_default();
        lent.retain(|_, l| l.slots > 0 && now < l.surely_free_at);
        let others: u32 = lent.iter().filter(|(id, _)| *id != borrower).map(|(_, l)| l.slots).sum();
        let claimants = lent.len().max(1) as u32 + u32::from(!lent.contains_key(borrower));
        // Nobody may keep more than its part of the pool while others ask for theirs.
        let fair = if others > 0 { pool.div_ceil(claimants.max(2)) } else { pool };
        let most = pool.saturating_sub(others).min(fair.max(1));
        let granted = wanted.min(most);
        // What is still in use stays lent, even if it is no longer granted.
        let slots = granted.max(used.min(pool.saturating_sub(others)));
        let surely_free_at = loan_end(now, self.longest_request);
        lent.insert(borrower.clone(), Lent { slots, surely_free_at });
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
pub struct LoanBook {
    epoch: Epoch,
    seq: u64,
    sent_at: BTreeMap<u64, Millis>,
    slots: BTreeMap<Name, u32>,
    until: Millis,
}

impl LoanBook {
    /// Numbers the next demand.
    pub fn next_seq(&mut self, now: Millis) -> u64 {
        self.seq += 1;
        self.sent_at.retain(|_, at| now.since(*at) < LOAN_LENGTH);
        self.sent_at.insert(self.seq, now);
        self.seq
    }

    /// Takes in a loan. It counts from when its demand was sent, whenever it arrives.
    pub fn take(&mut self, now: Millis, loan: &Loan) {
        let Some(&asked_at) = self.sent_at.get(&loan.seq) else { return };
        let newest = self.sent_at.range(loan.seq + 1..).next().is_none() || loan.seq == self.seq;
        if loan.epoch < self.epoch || now.since(asked_at) >= LOAN_LENGTH || !newest {
            return;
        }
        self.epoch = loan.epoch;
        self.slots = loan.upstreams.iter().cloned().collect();
        self.until = asked_at + LOAN_LENGTH;
    }

    /// Gives how many slots beyond its own the instance may use on an upstream now.
    pub fn slots(&self, now: Millis, upstream: &Name) -> u32 {
        if now >= self.until {
            return 0;
        }
        self.slots.get(upstream).copied().unwrap_or(0)
    }
}
