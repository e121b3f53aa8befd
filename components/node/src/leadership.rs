//! The duties of a control instance while it leads: it passes inputs to the dispatcher, executes the
//! dispatcher's actions, and answers the calls of all instances.

use std::collections::BTreeMap;

use clock::{Clock, Millis};
use dispatch::{
    Action, Answer, Backlog, Dispatcher, Input, Moment, OrganisationFigures, QueueFigures, Setup,
};
use events::{kinds, log_decision, log_summary};
use model::{InstanceId, Name};

use crate::control::ControlInstance;
use crate::control_event::ControlEvent;
use crate::leader_term::{CallOrigin, LeaderTerm};
use crate::leader_timings::{LeaderTimings, Phase};
use crate::log_thread::LogInput;
use crate::message::Message;
use crate::ports::LocalFuture;
use crate::timing::TICK_INTERVAL;

/// The gauge of quarantined workers by service: they get no tasks for a while as their runs fail.
const QUARANTINED_WORKERS: &str = "heathvale_workers_aside";
/// The gauges of used and permitted processor capacity by organisation, in thousandths of a core.
const ORGANISATION_USED: &str = "heathvale_organisation_cpu_millis_used";
const ORGANISATION_LIMIT: &str = "heathvale_organisation_cpu_millis_limit";
/// The gauges of waiting steps by organisation, and of those that the organisation's limit holds back.
const ORGANISATION_OPEN: &str = "heathvale_organisation_open_steps";
const ORGANISATION_AT_LIMIT: &str = "heathvale_organisation_steps_at_limit";
/// The gauge of an organisation's recent usage, in thousandths of its share by weight.
const ORGANISATION_SHARE_RATIO: &str = "heathvale_organisation_share_ratio_per_mille";
/// The gauge of long-running tasks that wait for a worker, by service.
const LONG_RUNNING_WAITING: &str = "heathvale_lasting_waiting";

/// The value that a gauge of the backlog reports.
type BacklogValue = fn(&QueueFigures) -> u64;

/// The gauges of the work that waits: the name by queue, the name by organisation, and the value.
const BACKLOG_GAUGES: [(&str, &str, BacklogValue); 4] = [
    ("heathvale_queue_waiting_steps", "heathvale_organisation_waiting_steps", |f| f.waiting_steps),
    ("heathvale_queue_oldest_wait_ms", "heathvale_organisation_oldest_wait_ms", |f| {
        f.oldest_wait.0
    }),
    ("heathvale_queue_cpu_millis_requested", "heathvale_organisation_cpu_millis_requested", |f| {
        f.requested.cpu_milli
    }),
    ("heathvale_queue_late_jobs", "heathvale_organisation_late_jobs", |f| f.late_jobs),
];

impl ControlInstance {
    /// Starts leading: creates a dispatcher from the replicated state, gives it the recent announcements of
    /// workers and notifies all other instances.
    pub(crate) fn begin_term(&mut self, term: u64, replicated: workload::ReplicatedState) {
        let (jobs, workers) = (replicated.jobs().len(), replicated.workers().len());
        let details = format!("term={term} jobs={jobs} workers={workers}");
        log_decision(&kinds::TERM_BEGUN, &self.settings.name, &details);
        let m = self.moment();
        let setup =
            Setup { limits: self.settings.limits, term, reader: self.reader.clone(), replicated };
        let dispatcher = Dispatcher::new(setup, m);
        let timings = LeaderTimings::new(self.log.cpu_time());
        self.leader_term = Some(LeaderTerm::new(term, dispatcher, timings));
        self.peers.update_leader(self.settings.id(), term, m.now);
        self.relay.leader_changed(m.now);
        let announcement = self.recent_announcements.recent(m.now);
        announcement
            .into_iter()
            .for_each(|announcement| self.handle_input(Input::Announcement(announcement)));
        let welcome = self.welcome();
        let stated = self.clock.now();
        for id in self.peers.ids() {
            self.links.send(id, stated.0, welcome.clone());
        }
    }

    /// Records the commit latency of `batch` and of earlier batches that were committed with it.
    pub(crate) fn record_commit_latency(&mut self, now: Millis, batch: u64) {
        let Some(leader_term) = &mut self.leader_term else { return };
        while let Some(at) = leader_term.pop_committed(batch) {
            leader_term.timings.record_commit(now.since(at));
            self.metrics.record_ms("heathvale_commit_seconds", now.since(at).0);
        }
    }

    /// Sets the leader's gauges and logs its current load.
    pub(crate) fn report_load(&mut self) {
        let Some(leader_term) = &mut self.leader_term else { return };
        let timings = leader_term.timings.take(self.log.cpu_time());
        log_summary(&kinds::LEADER_TIMINGS, &self.settings.name, &timings);
        let Some(leader_term) = &self.leader_term else { return };
        let figures = leader_term.dispatcher.figures();
        self.metrics.set("heathvale_term", leader_term.term);
        self.metrics.set("heathvale_jobs", figures.jobs);
        self.metrics.set("heathvale_job_bytes", figures.job_memory);
        self.metrics.set("heathvale_jobs_refused_for_memory", figures.refused_for_memory);
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
        self.metrics.set("heathvale_plan_workers_scanned", figures.workers_scanned);
        self.metrics.set("heathvale_plan_workers_checked", figures.workers_checked);
        self.metrics.set("heathvale_advice_callers", figures.advice_callers);
        self.metrics.set("heathvale_advice_callers_busy", figures.advice_callers_busy);
        self.metrics.set("heathvale_steps_without_caller", figures.steps_without_caller);
        self.metrics.set("heathvale_steps_without_look", figures.steps_not_examined);
        self.metrics.set("heathvale_machines_slow", figures.slow_machines);
        self.metrics.set("heathvale_starts_held", figures.starts_held);
        self.metrics.set("heathvale_starts_unanswered", figures.starts_unanswered);
        self.metrics.set("heathvale_workers_on_probation", figures.probation_workers);
        self.metrics.set("heathvale_workers_slow", figures.slow_workers);
        self.metrics.set("heathvale_calls_late", figures.late_calls);
        self.metrics.set("heathvale_admission_efficiency_per_mille", figures.efficiency_per_mille);
        let services = leader_term.dispatcher.service_figures();
        let quarantined =
            services.iter().map(|(service, f)| (service.clone(), f.quarantined_workers));
        self.metrics.set_by_service(QUARANTINED_WORKERS, quarantined.collect());
        let waiting = services.iter().map(|(service, f)| (service.clone(), f.long_running_waiting));
        self.metrics.set_by_service(LONG_RUNNING_WAITING, waiting.collect());
        self.record_organisation_gauges(&leader_term.dispatcher.organisation_figures());
        self.record_backlog_gauges(&leader_term.dispatcher.backlog(self.moment()));
        let delegated = leader_term.delegated_renewals.count();
        self.metrics.set("heathvale_renewals_delegated", delegated as u64);
        let connections = self.ports.workers.connections();
        self.metrics.set("heathvale_connections_open", connections.open as u64);
        self.metrics.set("heathvale_connections_limit", connections.limit as u64);
        self.metrics.set("heathvale_connections_opened_total", connections.opened);
        let details = format!(
            "cpu_milli={}/{} memory_mb={}/{} runs={} open_steps={} unsettled={} held={} unanswered={} workers={}/{} scans={} scanned={} checked={} advice_callers={}/{} without_caller={} without_look={} aside={} probation={} slow={} efficiency={} refused={} lasting_waiting={} delegated={delegated} connections={}/{} opened={}",
            figures.used.cpu_milli,
            figures.capacity.cpu_milli,
            figures.used.memory_mb,
            figures.capacity.memory_mb,
            figures.runs,
            figures.open_steps,
            figures.orders_unsettled,
            figures.starts_held,
            figures.starts_unanswered,
            figures.workers_in_contact,
            figures.workers,
            figures.scans,
            figures.workers_scanned,
            figures.workers_checked,
            figures.advice_callers_busy,
            figures.advice_callers,
            figures.steps_without_caller,
            figures.steps_not_examined,
            figures.quarantined_workers,
            figures.probation_workers,
            figures.slow_workers,
            figures.efficiency_per_mille,
            figures.refused,
            figures.long_running_waiting,
            connections.open,
            connections.limit,
            connections.opened,
        );
        log_summary(&kinds::LOAD_TOLD, &self.settings.name, &details);
    }

    fn record_organisation_gauges(&self, figures: &BTreeMap<Name, OrganisationFigures>) {
        let gauge = |name: &'static str, value: fn(&OrganisationFigures) -> u64| {
            let values = figures.iter().map(|(organisation, f)| (organisation.clone(), value(f)));
            self.metrics.set_by_organisation(name, values.collect());
        };
        gauge(ORGANISATION_USED, |f| f.used.cpu_milli);
        gauge(ORGANISATION_LIMIT, |f| f.limit.cpu_milli);
        gauge(ORGANISATION_OPEN, |f| f.open_steps);
        gauge(ORGANISATION_AT_LIMIT, |f| f.steps_at_limit);
        gauge(ORGANISATION_SHARE_RATIO, |f| f.share_ratio_per_mille);
    }

    fn record_backlog_gauges(&self, backlog: &Backlog) {
        for (by_queue, by_organisation, value) in BACKLOG_GAUGES {
            let values = |figures: &BTreeMap<Name, QueueFigures>| {
                figures.iter().map(|(name, f)| (name.clone(), value(f))).collect()
            };
            self.metrics.set_by_queue(by_queue, values(&backlog.by_queue));
            self.metrics.set_by_organisation(by_organisation, values(&backlog.by_organisation));
        }
    }

    /// Clears the gauges that only a leader sets, so that no alert is based on outdated values.
    pub(crate) fn clear_leader_gauges(&self) {
        self.metrics.set_by_service(QUARANTINED_WORKERS, BTreeMap::new());
        self.metrics.set_by_service(LONG_RUNNING_WAITING, BTreeMap::new());
        self.record_organisation_gauges(&BTreeMap::new());
        self.record_backlog_gauges(&Backlog::default());
    }

    /// Passes the call in a message to the dispatcher, or rejects it if this instance does not lead.
    pub(crate) fn on_call(&mut self, from: InstanceId, message: Message) {
        let (token, call, repeated, timing) = match message {
            Message::Call { token, call } => (token, call, false, None),
            Message::RepeatedCall { token, call } => (token, call, true, None),
            Message::TimedCall { token, call, repeated, term, times } => {
                (token, call, repeated, Some((term, times)))
            }
            // No other message carries a call.
            _ => return,
        };
        let origin = match from == self.settings.id() {
            true => CallOrigin::Local(token),
            false => CallOrigin::Peer { id: from, token },
        };
        // The times of a call for another term are by another clock.
        let in_term = |l: &&mut LeaderTerm| timing.as_ref().is_none_or(|(term, _)| *term == l.term);
        let Some(leader_term) = self.leader_term.as_mut().filter(in_term) else {
            let retry_after = TICK_INTERVAL;
            self.answer(origin, Answer::NotDone { retry_after });
            return;
        };
        let token = leader_term.add_call(origin);
        self.handle_input(match (timing, repeated) {
            (Some((_, times)), _) => Input::TimedCall { token, call, repeated, times },
            (None, false) => Input::Call { token, call },
            (None, true) => Input::RepeatedCall { token, call },
        });
    }

    /// Sends an answer to the instance that the call came from.
    pub(crate) fn answer(&mut self, origin: CallOrigin, answer: Answer) {
        match origin {
            CallOrigin::Peer { id, token } => {
                self.links.send(&id, 0, Message::Answer { token, answer });
            }
            CallOrigin::Local(token) => {
                let action = self.relay.on_answer(self.clock.now(), token, answer);
                self.perform(action.into_iter().collect());
            }
        }
    }

    /// Lets the dispatcher decide, proposes its batch of commands and executes its actions.
    pub(crate) fn decide(&mut self) {
        let m = self.moment();
        let Some(leader_term) = &mut self.leader_term else { return };
        let (batch, actions) = leader_term.dispatcher.decide(m);
        leader_term.timings.end_phase(Phase::Decide);
        let decided_at = self.clock.now();
        let decided = Moment { now: decided_at, ..m };
        leader_term.dispatcher.record_decision_time(decided, decided_at.since(m.now));
        let term = leader_term.term;
        if let Some((batch, commands)) = batch {
            self.metrics.add("heathvale_commands_total", "proposed", commands.len() as u64);
            leader_term.record_proposed(m.now, batch);
            self.log.send(LogInput::Propose { term, batch, commands });
        }
        for action in actions {
            self.execute(action);
        }
        self.send_watches();
        if let Some(leader_term) = &mut self.leader_term {
            leader_term.timings.end_phase(Phase::Execute);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Reply { token, answer } => {
                let origin = self.leader_term.as_mut().and_then(|l| l.take_call(token));
                if let Some(origin) = origin {
                    self.answer(origin, answer);
                }
            }
            Action::Renew { worker, address, order, runs_nothing } => {
                if runs_nothing && self.delegate_renewal(&worker, &address, &order) {
                    return;
                }
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
            Action::RequestAdvice(request) if request.caller == self.settings.id() => {
                let call = self.ports.advice.request(request.step, request.workers);
                let id = request.id;
                self.spawn_call(call, move |advice| Input::Advised {
                    id,
                    valid: advice.as_ref().and_then(|a| a.valid),
                    allowed: advice.map(|a| a.allowed),
                });
            }
            Action::RequestAdvice(request) => {
                let (id, step, workers) = (request.id, request.step, request.workers);
                self.links.send(&request.caller, 0, Message::AdviceRequest { id, step, workers });
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

    /// Records how long a call to a worker took.
    pub(crate) fn record_answer(&mut self, called_at: Millis, input: &Input) {
        let took = self.clock.now().since(called_at);
        let Some(leader_term) = &mut self.leader_term else { return };
        match input {
            Input::Started { .. } => leader_term.timings.record_start(took),
            Input::Renewed { result: Ok(report), .. } => {
                leader_term.timings.record_report(report.ends.len());
            }
            _ => {}
        }
    }

    /// Runs a call in the background and sends its result as an event of the current term.
    pub(crate) fn spawn_call<T: 'static>(
        &self,
        call: LocalFuture<T>,
        wrap: impl FnOnce(T) -> Input + 'static,
    ) {
        let Some(term) = self.leader_term.as_ref().map(|l| l.term) else { return };
        let events = self.events.clone();
        let called_at = self.clock.now();
        ntex::rt::spawn(async move {
            let input = wrap(call.await);
            // The send fails only if the process is about to exit.
            let _ = events.send(ControlEvent::Called { term, called_at, input });
        });
    }
}
