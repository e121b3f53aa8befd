//! What a control instance does while it leads: it feeds the dispatcher, does what that wants done,
//! and answers the calls of all instances.

use std::collections::BTreeMap;

use clock::{Clock, Millis};
use dispatch::{Action, Answer, Dispatcher, Input, OrganisationFigures, Setup};
use events::{kinds, log_decision};
use model::{InstanceId, Name};

use crate::control::Control;
use crate::control_event::ControlEvent;
use crate::leader_term::{Asker, LeaderTerm};
use crate::log_thread::LogInput;
use crate::message::Message;
use crate::ports::LocalFuture;
use crate::timing::TICK;

/// The workers of each service that get nothing for a while since they fail what they run.
const WORKERS_ASIDE: &str = "heathvale_workers_aside";
/// What each organisation has running, and may have, in thousandths of a core.
const ORGANISATION_USED: &str = "heathvale_organisation_cpu_millis_used";
const ORGANISATION_LIMIT: &str = "heathvale_organisation_cpu_millis_limit";
/// The steps of each organisation that wait, and those of them that its limit holds back.
const ORGANISATION_OPEN: &str = "heathvale_organisation_open_steps";
const ORGANISATION_HELD: &str = "heathvale_organisation_steps_at_limit";
/// The tasks of each service that last and wait for a worker.
const LASTING_WAITING: &str = "heathvale_lasting_waiting";

impl Control {
    pub(crate) fn lead(&mut self, term: u64, replicated: workload::ReplicatedState) {
        let (jobs, workers) = (replicated.jobs().len(), replicated.workers().len());
        let details = format!("term={term} jobs={jobs} workers={workers}");
        log_decision(&kinds::TERM_BEGUN, &self.settings.name, &details);
        let m = self.moment();
        let setup =
            Setup { limits: self.settings.limits, term, reader: self.reader.clone(), replicated };
        let dispatcher = Dispatcher::new(setup, m);
        self.leading = Some(LeaderTerm::new(term, dispatcher));
        self.peers.update_leader(self.settings.id(), term, m.now);
        self.relay.leader_changed(m.now);
        let news = self.news.fresh(m.now);
        news.into_iter().for_each(|news| self.feed(Input::Announcement(news)));
        let welcome = self.welcome();
        for id in self.peers.ids() {
            self.links.send(id, 0, welcome.clone());
        }
    }

    pub(crate) fn measure_commit(&mut self, now: Millis, batch: u64) {
        let Some(leading) = &mut self.leading else { return };
        while let Some(at) = leading.pop_committed(batch) {
            self.metrics.record_ms("heathvale_commit_seconds", now.since(at).0);
        }
    }

    /// Tells what the leader has to do with at the moment.
    pub(crate) fn measure_book(&self) {
        let Some(leading) = &self.leading else { return };
        let figures = leading.dispatcher.figures();
        self.metrics.set("heathvale_term", leading.term);
        self.metrics.set("heathvale_jobs", figures.jobs);
        self.metrics.set("heathvale_open_steps", figures.open_steps);
        self.metrics.set("heathvale_runs", figures.runs);
        self.metrics.set("heathvale_orders_unsettled", figures.orders_unsettled);
        self.metrics.set("heathvale_workers", figures.workers);
        self.metrics.set("heathvale_workers_in_contact", figures.workers_in_contact);
        self.metrics.set("heathvale_cpu_millis_capacity", figures.capacity.cpu_milli);
        self.metrics.set("heathvale_cpu_millis_used", figures.used.cpu_milli);
        self.metrics.set("heathvale_memory_megabytes_capacity", figures.capacity.memory_mb);
        self.metrics.set("heathvale_memory_megabytes_used", figures.used.memory_mb);
        self.metrics.set("heathvale_plan_scans", u64::from(figures.scans));
        self.metrics.set("heathvale_advice_callers", figures.advice_callers);
        self.metrics.set("heathvale_advice_callers_busy", figures.advice_callers_busy);
        self.metrics.set("heathvale_steps_without_caller", figures.steps_without_caller);
        self.metrics.set("heathvale_steps_without_look", figures.steps_not_examined);
        let of = leading.dispatcher.service_figures();
        let aside = of.iter().map(|(service, f)| (service.clone(), f.quarantined_workers));
        self.metrics.set_by_service(WORKERS_ASIDE, aside.collect());
        let waiting = of.iter().map(|(service, f)| (service.clone(), f.long_running_waiting));
        self.metrics.set_by_service(LASTING_WAITING, waiting.collect());
        self.measure_organisations(&leading.dispatcher.organisation_figures());
        let connections = self.ports.workers.connections();
        self.metrics.set("heathvale_connections_open", connections.open as u64);
        self.metrics.set("heathvale_connections_limit", connections.limit as u64);
        self.metrics.set("heathvale_connections_opened_total", connections.opened);
        let details = format!(
            "cpu_milli={}/{} memory_mb={}/{} runs={} open_steps={} unsettled={} workers={}/{} scans={} advice_callers={}/{} without_caller={} without_look={} aside={} lasting_waiting={} connections={}/{} opened={}",
            figures.used.cpu_milli,
            figures.capacity.cpu_milli,
            figures.used.memory_mb,
            figures.capacity.memory_mb,
            figures.runs,
            figures.open_steps,
            figures.orders_unsettled,
            figures.workers_in_contact,
            figures.workers,
            figures.scans,
            figures.advice_callers_busy,
            figures.advice_callers,
            figures.steps_without_caller,
            figures.steps_not_examined,
            figures.quarantined_workers,
            figures.long_running_waiting,
            connections.open,
            connections.limit,
            connections.opened,
        );
        log_decision(&kinds::LOAD_TOLD, &self.settings.name, &details);
    }

    fn measure_organisations(&self, of: &BTreeMap<Name, OrganisationFigures>) {
        let gauge = |name: &'static str, value: fn(&OrganisationFigures) -> u64| {
            let values = of.iter().map(|(organisation, f)| (organisation.clone(), value(f)));
            self.metrics.set_by_organisation(name, values.collect());
        };
        gauge(ORGANISATION_USED, |f| f.used.cpu_milli);
        gauge(ORGANISATION_LIMIT, |f| f.limit.cpu_milli);
        gauge(ORGANISATION_OPEN, |f| f.open_steps);
        gauge(ORGANISATION_HELD, |f| f.steps_at_limit);
    }

    /// Tells no more of what only a leader knows, so that no alert stands on what was.
    pub(crate) fn forget_services(&self) {
        self.metrics.set_by_service(WORKERS_ASIDE, BTreeMap::new());
        self.metrics.set_by_service(LASTING_WAITING, BTreeMap::new());
        self.measure_organisations(&BTreeMap::new());
    }

    pub(crate) fn on_call(&mut self, from: InstanceId, token: u64, call: dispatch::Call) {
        let asker = match from == self.settings.id() {
            true => Asker::Own(token),
            false => Asker::Peer { id: from, token },
        };
        let Some(leading) = &mut self.leading else {
            let retry_after = TICK;
            self.answer(asker, Answer::NotDone { retry_after });
            return;
        };
        let token = leading.add_asker(asker);
        self.feed(Input::Call { token, call });
    }

    pub(crate) fn answer(&mut self, asker: Asker, answer: Answer) {
        match asker {
            Asker::Peer { id, token } => {
                self.links.send(&id, 0, Message::Answer { token, answer });
            }
            Asker::Own(token) => {
                let action = self.relay.on_answer(self.clock.now(), token, answer);
                self.perform(action.into_iter().collect());
            }
        }
    }

    /// Has the dispatcher decide, and does what it wants done.
    pub(crate) fn decide(&mut self) {
        let m = self.moment();
        let Some(leading) = &mut self.leading else { return };
        let (batch, actions) = leading.dispatcher.decide(m);
        let term = leading.term;
        if let Some((batch, commands)) = batch {
            self.metrics.add("heathvale_commands_total", "proposed", commands.len() as u64);
            leading.note_proposed(m.now, batch);
            self.log.send(LogInput::Propose { term, batch, commands });
        }
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Reply { token, answer } => {
                let asker = self.leading.as_mut().and_then(|l| l.take_asker(token));
                if let Some(asker) = asker {
                    self.answer(asker, answer);
                }
            }
            Action::Renew { worker, address, order } => {
                let call = self.ports.workers.renew(&worker, &address, order);
                let sent_at = self.clock.now();
                self.spawn_call(call, move |result| Input::Renewed { worker, sent_at, result });
            }
            Action::Start { worker, address, order } => {
                let (task, run) = (order.task, order.run);
                let call = self.ports.workers.start(&worker, &address, order);
                self.spawn_call(call, move |result| Input::Started { worker, task, run, result });
            }
            Action::Stop { worker, address, order } => {
                let (task, run) = (order.task, order.run);
                let call = self.ports.workers.stop(&worker, &address, order);
                self.spawn_call(call, move |result| Input::Stopped { worker, task, run, result });
            }
            Action::RequestAdvice(ask) if ask.caller == self.settings.id() => {
                let call = self.ports.advice.request(ask.step, ask.workers);
                let id = ask.id;
                self.spawn_call(call, move |advice| Input::Advised {
                    id,
                    valid: advice.as_ref().and_then(|a| a.valid),
                    allowed: advice.map(|a| a.allowed),
                });
            }
            Action::RequestAdvice(ask) => {
                let (id, step, workers) = (ask.id, ask.step, ask.workers);
                self.links.send(&ask.caller, 0, Message::AdviceRequest { id, step, workers });
            }
            Action::CountCrash { service } => {
                self.metrics.add_for_service("heathvale_worker_crashes_total", &service, 1);
            }
            Action::LogEvent { kind, subject, details } => {
                self.metrics.add("heathvale_decisions_total", kind.name, 1);
                log_decision(kind, &subject, &details);
            }
        }
    }

    fn spawn_call<T: 'static>(
        &self,
        call: LocalFuture<T>,
        wrap: impl FnOnce(T) -> Input + 'static,
    ) {
        let Some(term) = self.leading.as_ref().map(|l| l.term) else { return };
        let events = self.events.clone();
        ntex::rt::spawn(async move {
            let input = wrap(call.await);
            // The process ends soon if nobody listens.
            let _ = events.send(ControlEvent::Called { term, input });
        });
    }
}
