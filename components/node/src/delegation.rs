//! How a leader delegates renewals to entry instances and takes them back.

use std::collections::BTreeSet;

use clock::{Clock, Millis};
use dispatch::{CallError, Input, RenewOrder, Report};
use model::{InstanceId, Name};
use workload::WorkerId;

use crate::control::ControlInstance;
use crate::delegated_renewals::Watch;
use crate::message::Message;

/// How often a leader checks whether to take delegated renewals back. Each check goes through all
/// of them.
const DELEGATION_CHECK_INTERVAL: Millis = Millis(250);

impl ControlInstance {
    /// Delegates the renewal of a worker that runs nothing. Returns false if this instance must carry
    /// it out by itself.
    pub(crate) fn delegate_renewal(
        &mut self,
        worker: &WorkerId,
        address: &Name,
        order: &RenewOrder,
    ) -> bool {
        let (now, holders) = (self.clock.now(), &self.renewal_holders);
        let delegated = self.leader_term.as_mut().map(|l| &mut l.delegated_renewals);
        delegated.is_some_and(|d| d.delegate(now, (worker, address), order, holders))
    }

    /// Sends the renewals that were delegated since the last call.
    pub(crate) fn send_watches(&mut self) {
        let Some(leader_term) = &mut self.leader_term else { return };
        let term = leader_term.term;
        for (holder, watches) in leader_term.delegated_renewals.take_unsent() {
            self.links.send(&holder, 0, Message::Watch { term, watches });
        }
    }

    /// Handles the result of a delegated renewal.
    pub(crate) fn on_watch_ended(
        &mut self,
        term: u64,
        (id, worker): (u64, WorkerId),
        broke: bool,
        result: Result<Report, CallError>,
    ) {
        let leader_term = self.leader_term.as_mut().filter(|l| l.term == term);
        let sent_at = leader_term.and_then(|l| l.delegated_renewals.end(&worker, id));
        if let Some(sent_at) = sent_at {
            self.handle_input(Input::WatchEnded { worker, sent_at, broke, result });
        }
    }

    /// Handles the list of renewals that an instance holds.
    pub(crate) fn on_watching(
        &mut self,
        now: Millis,
        term: u64,
        held: Vec<(u64, WorkerId, Option<Millis>)>,
    ) {
        let Some(leader_term) = self.leader_term.as_mut().filter(|l| l.term == term) else {
            return;
        };
        let delegated = &mut leader_term.delegated_renewals;
        let current = held.into_iter().filter(|(id, w, _)| delegated.record_listed(now, w, *id));
        let clocks = current.filter_map(|(_, worker, clock)| Some((worker, clock?))).collect();
        self.handle_input(Input::WorkerClocks(clocks));
    }

    /// Carries out the renewals that an instance returns as it stops.
    pub(crate) fn on_watches_returned(&mut self, term: u64, held: Vec<(u64, WorkerId)>) {
        let Some(leader_term) = self.leader_term.as_mut().filter(|l| l.term == term) else {
            return;
        };
        let delegated = &mut leader_term.delegated_renewals;
        let returned = held.iter().filter_map(|(id, worker)| delegated.take_returned(worker, *id));
        let returned: Vec<Watch> = returned.collect();
        returned.into_iter().for_each(|watch| self.renew_directly(watch));
    }

    /// Takes back the renewal of a worker if a call of this leader to it had no answer.
    pub(crate) fn take_back_if_unanswered(&mut self, input: &Input) {
        let (Input::Started { worker, result, .. } | Input::Stopped { worker, result, .. }) = input
        else {
            return;
        };
        if !matches!(result, Err(CallError::Silent(_) | CallError::NotSent(_))) {
            return;
        }
        let now = self.clock.now();
        let delegated = self.leader_term.as_mut().map(|l| &mut l.delegated_renewals);
        if let Some(watch) = delegated.and_then(|d| d.take_unanswered(now, worker)) {
            self.renew_directly(watch);
        }
    }

    /// Updates the instances that may hold renewals, and takes back those whose answers may never
    /// arrive.
    pub(crate) fn take_back_overdue(&mut self, now: Millis) {
        if now < self.next_delegation_check_at {
            return;
        }
        self.next_delegation_check_at = now + DELEGATION_CHECK_INTERVAL;
        self.renewal_holders = self.peers.entry_instances(now);
        let holders: BTreeSet<&InstanceId> = self.renewal_holders.iter().collect();
        let Some(leader_term) = &mut self.leader_term else { return };
        let replicated = leader_term.dispatcher.replicated();
        let is_busy = |id: &WorkerId| replicated.worker(id).is_some_and(|w| !w.runs.is_empty());
        let delegated = &mut leader_term.delegated_renewals;
        let overdue = delegated.take_overdue(now, |id| holders.contains(id), is_busy);
        overdue.into_iter().for_each(|watch| self.renew_directly(watch));
    }

    /// Carries out a renewal that was taken back. The answer is awaited at once, since the worker may
    /// run something by now.
    fn renew_directly(&self, watch: Watch) {
        let Watch { worker, address, order, .. } = watch;
        let order = RenewOrder { wait: Millis::ZERO, deadline: None, ..order };
        let (clock, sent_at) = (self.clock.clone(), self.clock.now());
        let due = sent_at + order.answer_timeout;
        let call = self.ports.workers.renew(&worker, &address, order);
        self.spawn_call(call, move |result| {
            let broke = clock.now() < due;
            Input::WatchEnded { worker, sent_at, broke, result }
        });
    }
}
