//! The renewals that an entry instance holds at workers on behalf of the leader.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use clock::{Clock, Millis, SystemClock};
use dispatch::{CallError, RenewOrder, Report};
use model::InstanceId;
use workload::WorkerId;

use crate::delegated_renewals::Watch;
use crate::message::Message;
use crate::ports::Ports;

/// How often the leader is sent a list of the renewals held, with the workers' clocks. From an older
/// clock the leader would derive leases that are too short, since workers' clocks drift.
const LIST_INTERVAL: Millis = Millis(4_000);

/// The slowest rate of a worker's clock, in percent. The platform allows for 98, which is rounded
/// down.
const MIN_CLOCK_RATE_PERCENT: u64 = 97;

/// A renewal that is held, shared with the task that holds it.
#[derive(Debug)]
struct Held {
    worker: WorkerId,
    /// The worker's clock in its last answer, and when that arrived.
    reading: Cell<Option<(Millis, Millis)>>,
}

impl Held {
    /// Returns the worker's clock now, or a little less if its clock runs slow.
    fn clock(&self, now: Millis) -> Option<Millis> {
        let (clock, at) = self.reading.get()?;
        Some(clock + Millis(now.since(at).0 * MIN_CLOCK_RATE_PERCENT / 100))
    }
}

/// The renewals that an entry instance holds, all for the leader of one term.
#[derive(Debug, Default)]
pub(crate) struct HeldRenewals {
    leader: Option<InstanceId>,
    /// The term of that leader, which the tasks watch to end with it.
    term: Rc<Cell<u64>>,
    by_id: BTreeMap<u64, Rc<Held>>,
    next_list_at: Millis,
}

impl HeldRenewals {
    /// Drops everything held for a leader of an earlier term.
    pub(crate) fn observe_term(&mut self, term: u64) {
        if term > self.term.get() {
            self.term.set(term);
            self.leader = None;
            self.by_id.clear();
        }
    }

    /// Holds renewals for a leader, unless a later one is known, until something changes at their
    /// workers.
    pub(crate) fn hold(
        &mut self,
        (leader, term): (&InstanceId, u64),
        watches: Vec<Watch>,
        (ports, clock): (&Ports, &Arc<SystemClock>),
        on_end: impl Fn(InstanceId, Message) + Clone + 'static,
    ) {
        self.observe_term(term);
        if term < self.term.get() {
            return;
        }
        self.leader = Some(leader.clone());
        for watch in watches {
            let held = Rc::new(Held { worker: watch.worker.clone(), reading: Cell::new(None) });
            self.by_id.insert(watch.id, held.clone());
            let (ports, clock) = (ports.clone(), clock.clone());
            let (leader, current_term) = (leader.clone(), self.term.clone());
            let on_end = on_end.clone();
            ntex::rt::spawn(async move {
                let (id, worker) = (watch.id, watch.worker.clone());
                let is_current = || current_term.get() == term;
                let ended = hold_until_change(watch, &held, (&ports, &clock), is_current).await;
                if let Some((broke, result)) = ended {
                    on_end(leader, Message::WatchEnded { term, id, worker, broke, result });
                }
            });
        }
    }

    /// Records that the result of a renewal is on its way to the leader.
    pub(crate) fn ended(&mut self, term: u64, id: u64) {
        if term == self.term.get() {
            self.by_id.remove(&id);
        }
    }

    /// Returns the list for the leader if it is due.
    pub(crate) fn due_list(&mut self, now: Millis) -> Option<(InstanceId, Message)> {
        if now < self.next_list_at || self.by_id.is_empty() {
            return None;
        }
        self.next_list_at = now + LIST_INTERVAL;
        let row = |(id, h): (&u64, &Rc<Held>)| (*id, h.worker.clone(), h.clock(now));
        let held = self.by_id.iter().map(row).collect();
        let message = Message::Watching { term: self.term.get(), held };
        Some((self.leader.clone()?, message))
    }

    /// Drops all renewals, and returns the message that returns them to the leader.
    pub(crate) fn return_all(&mut self) -> Option<(InstanceId, Message)> {
        let held = std::mem::take(&mut self.by_id);
        let held = held.into_iter().map(|(id, h)| (id, h.worker.clone())).collect();
        let message = Message::WatchesReturned { term: self.term.get(), held };
        Some((self.leader.take()?, message))
    }
}

/// Returns whether the leader need not hear of an answer to a renewal that waited.
fn is_uneventful(result: &Result<Report, CallError>) -> bool {
    result.as_ref().is_ok_and(|r| r.running.is_empty() && r.ends.is_empty())
}

/// Repeats a renewal until something changes at the worker. Returns whether the connection broke,
/// and the last result, or `None` once it is held for an earlier leader.
async fn hold_until_change(
    watch: Watch,
    held: &Held,
    (ports, clock): (&Ports, &Arc<SystemClock>),
    is_current: impl Fn() -> bool,
) -> Option<(bool, Result<Report, CallError>)> {
    let Watch { worker, address, mut order, .. } = watch;
    loop {
        let due = clock.now() + order.wait + order.answer_timeout;
        let result = ports.workers.renew(&worker, &address, order.clone()).await;
        if !is_current() {
            return None;
        }
        let waited = order.wait > Millis::ZERO;
        if !waited || !is_uneventful(&result) {
            return Some((clock.now() < due, result));
        }
        held.reading.set(result.ok().map(|r| (r.clock, clock.now())));
        // The deadline belongs to the first renewal.
        order = RenewOrder { deadline: None, ..order };
    }
}
