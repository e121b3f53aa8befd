//! A control instance: it stores the replicated log, receives announcements of workers and calls of
//! operators, and leads while it is elected.

use std::sync::Arc;

use clock::{Clock, Millis, SystemClock, wall_now};
use dispatch::{Input, Moment, WorkerAnnouncement};
use errors::{Error, Result};
use events::{kinds, log_decision};
use metrics::Registry;
use model::InstanceId;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep, timeout};
use transport::{Links, Packet};
use workload::PolicyReader;

use crate::advice_calls::{AdviceCall, spawn_advice_call};
use crate::arrivals::Arrivals;
use crate::control_event::ControlEvent;
use crate::job_report::JobReport;
use crate::leader_term::LeaderTerm;
use crate::leader_timings::Phase;
use crate::leaving_workers::LeavingAcknowledgements;
use crate::log_thread::{LogEvent, LogHandle, LogInput};
use crate::message::Message;
use crate::node_handle::{InboundEvent, NodeHandle, Signal};
use crate::peers::Peers;
use crate::pending_calls::PendingCalls;
use crate::ports::Ports;
use crate::recent_announcements::RecentAnnouncements;
use crate::relay::{Relay, RelayAction};
use crate::role_support::{begin_stop, log_leader, log_reload, log_unreadable, sync_links};
use crate::settings::NodeSettings;
use crate::stall_detection::{StallDetector, log_stall};
use crate::timing::{FINAL_ANSWERS_TIME, SETTINGS_READ_INTERVAL, TICK_INTERVAL};

/// How often a leader sets its gauges and logs its load.
const LOAD_REPORT_INTERVAL: Millis = Millis(1_000);
/// The maximum number of workers' announcements in a message, so that a new leader that gets those
/// of all workers handles other messages in between.
const MAX_ANNOUNCEMENTS_PER_MESSAGE: usize = 200;
/// How long a control instance continues to serve after it was asked to stop. If it exits sooner, another
/// one may not lead yet, and calls that it has accepted remain unanswered.
const STOP_DELAY: Millis = Millis(1_500);

/// The state of a control instance.
pub(crate) struct ControlInstance {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Arc<SystemClock>,
    pub(crate) stall_detector: StallDetector,
    pub(crate) arrivals: Arrivals,
    pub(crate) links: Arc<Links>,
    pub(crate) log: LogHandle,
    pub(crate) peers: Peers,
    pub(crate) relay: Relay,
    pub(crate) pending_calls: PendingCalls,
    pub(crate) metrics: Arc<Registry>,
    pub(crate) ports: Ports,
    pub(crate) reader: Arc<dyn PolicyReader>,
    pub(crate) handle: NodeHandle,
    pub(crate) events: UnboundedSender<ControlEvent>,
    pub(crate) leader_term: Option<LeaderTerm>,
    pub(crate) recent_announcements: RecentAnnouncements,
    pub(crate) leaving_acknowledgements: LeavingAcknowledgements,
    /// The voters, as far as this instance knows.
    pub(crate) voters: Vec<InstanceId>,
    pub(crate) stop_at: Option<Millis>,
    pub(crate) next_tick_at: Millis,
    pub(crate) next_load_report_at: Millis,
    /// The entry instances that may hold renewals for this leader, as of the last tick.
    pub(crate) renewal_holders: Vec<InstanceId>,
    /// When the delegated renewals are checked next.
    pub(crate) next_delegation_check_at: Millis,
    /// When the settings file is read next.
    pub(crate) next_settings_read_at: Millis,
    pub(crate) failed: Option<Error>,
    pub(crate) reload: Box<dyn Fn() -> Option<NodeSettings>>,
}

pub(crate) fn log_disk_unusable(settings: &NodeSettings, e: &Error) {
    log_decision(&kinds::DISK_UNUSABLE, &settings.name, &format!("fault={:?}", e.to_string()));
}

impl ControlInstance {
    pub(crate) async fn run(mut self, mut rx: UnboundedReceiver<ControlEvent>) -> Result<()> {
        let (listen, disk) = (self.settings.listen, self.log.disk);
        let details = format!("role=control listen={listen} disk={:016x}", disk.0);
        log_decision(&kinds::NODE_STARTED, &self.settings.name, &details);
        loop {
            let wait = self.next_tick_at.since(self.clock.now());
            let first = timeout(wait.duration(), rx.recv()).await;
            let turn_began = self.clock.now();
            self.arrivals.record_turn(turn_began);
            if let Some(leader_term) = &mut self.leader_term {
                leader_term.timings.begin_turn();
            }
            if let Ok(Some(event)) = first {
                self.on_event(event);
                while let Ok(event) = rx.try_recv() {
                    self.on_event(event);
                }
            }
            if self.clock.now() >= self.next_tick_at {
                let now = self.clock.now();
                let stall = self.stall_detector.check(now, || self.clock.suspended());
                stall.inspect(|s| log_stall(&self.settings.name, s));
                self.next_tick_at = now + TICK_INTERVAL;
                self.on_tick();
            }
            if let Some(leader_term) = &mut self.leader_term {
                leader_term.timings.end_phase(Phase::Events);
            }
            self.decide();
            if let Some(leader_term) = &mut self.leader_term {
                leader_term.timings.end_turn(self.clock.now().since(turn_began));
            }
            if let Some(e) = self.failed.take() {
                return Err(e);
            }
            if self.stop_at.is_some_and(|t| self.clock.now() >= t) {
                break;
            }
        }
        sleep(FINAL_ANSWERS_TIME.duration()).await;
        log_decision(&kinds::NODE_STOPPED, &self.settings.name, "");
        Ok(())
    }

    pub(crate) fn moment(&self) -> Moment {
        let leads_until = self.log.leads_until();
        Moment { now: self.clock.now(), wall: wall_now(), leads_until }
    }

    fn on_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Packet(Ok(packet)) => self.on_packet(packet),
            ControlEvent::Packet(Err(e)) => log_unreadable(&e),
            ControlEvent::Inbound(event) => self.on_inbound(event),
            ControlEvent::Log(event) => self.on_log(event),
            ControlEvent::Called { term, called_at, input } => {
                // A later term handles the unfinished calls of an earlier one by itself.
                if self.leader_term.as_ref().is_some_and(|l| l.term == term) {
                    self.record_answer(called_at, &input);
                    self.take_back_if_unanswered(&input);
                    self.handle_input(input);
                }
            }
            ControlEvent::Advised { to, message } => self.links.send(&to, 0, message),
        }
    }

    /// Passes an input to the dispatcher if this instance leads.
    pub(crate) fn handle_input(&mut self, input: Input) {
        let m = self.moment();
        if let Some(leader_term) = &mut self.leader_term {
            leader_term.dispatcher.handle(m, input);
        }
    }

    fn on_inbound(&mut self, event: InboundEvent) {
        let now = self.clock.now();
        match event {
            InboundEvent::Call { call, max_wait, tx } => {
                self.arrivals.record_turn(now);
                let arrived_after = self.arrivals.arrived_after(now);
                let token = self.relay.accept(now, arrived_after, call.clone(), max_wait);
                self.pending_calls.add(token, now, &call, tx);
            }
            InboundEvent::Announcement(announcement) => self.on_announcement(announcement, true),
            InboundEvent::Leaving { announcement, tx } => {
                let (worker, number) = (announcement.info.id.clone(), announcement.number);
                self.leaving_acknowledgements.add(worker.clone(), number, tx);
                self.on_announcement(announcement, true);
                if self.leader_term.is_some() {
                    self.leaving_acknowledgements.acknowledge(&worker, number);
                }
            }
            InboundEvent::Left(worker) => {
                self.recent_announcements.remove(&worker);
                self.send_to_leader(Message::Left(worker.clone()));
                self.handle_input(Input::Left(worker));
            }
            InboundEvent::Explain { id, tx } => {
                let report = match &self.leader_term {
                    Some(l) => JobReport::new(&l.dispatcher, self.moment(), id),
                    None => JobReport::NotLeader(self.peers.leader(now).cloned()),
                };
                // The operator may have disconnected.
                let _ = tx.send(report);
            }
            InboundEvent::Signal(Signal::Reload) => self.read_settings(now),
            InboundEvent::Signal(Signal::Stop) => {
                begin_stop(&self.settings, &self.handle);
                self.log.send(LogInput::HandOver);
                self.stop_at.get_or_insert(now + STOP_DELAY);
            }
        }
    }

    /// Applies the settings if they have changed.
    fn read_settings(&mut self, now: Millis) {
        if let Some(settings) = (self.reload)() {
            log_reload(&settings);
            let seeds: Vec<InstanceId> = settings.seeds.iter().cloned().collect();
            self.peers.set_seeds(settings.seeds, now);
            self.log.send(LogInput::Contacts(seeds));
        }
    }

    fn on_announcement(&mut self, announcement: WorkerAnnouncement, direct: bool) {
        if direct {
            self.recent_announcements.add(self.clock.now(), announcement.clone());
            // A worker that is leaving waits for the leader's acknowledgement.
            if announcement.leaving {
                self.send_to_leader(Message::Announcement(announcement.clone()));
            }
        }
        self.handle_input(Input::Announcement(announcement));
    }

    /// Handles an announcement that a worker sent to another instance.
    fn on_forwarded_announcement(&mut self, from: &InstanceId, announcement: WorkerAnnouncement) {
        let (worker, number) = (announcement.info.id.clone(), announcement.number);
        let leaving = announcement.leaving;
        self.on_announcement(announcement, false);
        if leaving && self.leader_term.is_some() {
            self.links.send(from, 0, Message::LeavingAcknowledged { worker, number });
        }
    }

    fn send_to_leader(&self, message: Message) {
        if let Some(leader) = self.peers.leader(self.clock.now())
            && *leader != self.settings.id()
        {
            self.links.send(leader, 0, message);
        }
    }

    fn on_log(&mut self, event: LogEvent) {
        let now = self.clock.now();
        match event {
            LogEvent::LeadershipGained { term, replicated } => self.begin_term(term, *replicated),
            LogEvent::Committed { term, batch } => {
                if self.leader_term.as_ref().is_some_and(|l| l.term == term) {
                    self.record_commit_latency(now, batch);
                    self.handle_input(Input::Committed(batch));
                }
            }
            LogEvent::LeadershipLost { term, reason } => {
                log_decision(
                    &kinds::TERM_ENDED,
                    &self.settings.name,
                    &format!("term={term} why={reason:?}"),
                );
                self.leader_term = None;
                self.clear_leader_gauges();
                self.peers.clear_leader(&self.settings.id());
            }
            LogEvent::LeaderChanged { term, leader } => {
                if self.peers.update_leader(leader.clone(), term, now) {
                    log_leader(&leader, term);
                    self.relay.leader_changed(now);
                    self.resend_announcements();
                }
            }
            LogEvent::MembersChanged { voters, learners } => {
                let names: Vec<&str> = voters.iter().map(|v| v.as_str()).collect();
                let details = format!("voters={} learners={learners}", names.join(","));
                self.voters = voters;
                log_decision(&kinds::VOTERS_CHANGED, &self.settings.name, &details);
            }
            LogEvent::DiskFailed(e) => log_disk_unusable(&self.settings, &e),
            LogEvent::DiskRecovered(after) => {
                let details = format!("after_ms={}", after.0);
                log_decision(&kinds::DISK_USABLE, &self.settings.name, &details);
            }
            LogEvent::Failed(e) => self.failed = Some(e),
        }
    }

    /// Sends the recent announcements of workers to a new leader.
    fn resend_announcements(&self) {
        self.send_announcements(self.recent_announcements.recent(self.clock.now()));
    }

    /// Sends announcements of workers to the leader, unless this instance leads.
    fn send_announcements(&self, announcements: Vec<WorkerAnnouncement>) {
        for part in announcements.chunks(MAX_ANNOUNCEMENTS_PER_MESSAGE) {
            self.send_to_leader(Message::Announcements(part.to_vec()));
        }
    }

    /// Returns the answer to a control instance's hello: the leader and the members as this instance
    /// knows them.
    pub(crate) fn welcome(&self) -> Message {
        self.welcome_with(self.peers.control_instances())
    }

    /// Returns the answer to an entry instance's hello. Entry instances need no contact to control
    /// instances that do not vote.
    fn welcome_to_entry(&self) -> Message {
        self.welcome_with(Vec::new())
    }

    fn welcome_with(&self, controls: Vec<InstanceId>) -> Message {
        let now = self.clock.now();
        let leader = self.peers.leader(now).cloned();
        let term = match &self.leader_term {
            Some(l) => l.term,
            None => self.peers.term(),
        };
        Message::Welcome { leader, term, controls, voters: self.voters.clone() }
    }

    fn on_packet(&mut self, packet: Packet<Message>) {
        let now = self.clock.now();
        let from = packet.from;
        self.peers.record_contact(&from, now);
        match packet.message {
            Message::Log(envelope) => {
                if let consensus::Body::Append { term, .. } = &envelope.body {
                    let changed = self.peers.update_leader(from, *term, now);
                    if changed {
                        self.resend_announcements();
                        self.relay.leader_changed(now);
                    }
                }
                self.log.send(LogInput::Message(envelope));
            }
            Message::Hello { disk, calls_advice, answered } => {
                self.peers.on_hello(&from, disk, calls_advice, answered);
                if let (Some(disk), Some(_)) = (disk, &self.leader_term) {
                    self.log.send(LogInput::Admit { id: from.clone(), disk });
                }
                let welcome = match disk {
                    Some(_) => self.welcome(),
                    None => self.welcome_to_entry(),
                };
                self.links.send(&from, now.0, welcome);
            }
            Message::Welcome { leader, term, controls, .. } => {
                let stated = Millis(packet.order);
                if self.peers.on_welcome(&from, leader, term, &controls, now) {
                    self.relay.leader_changed(now);
                    self.resend_announcements();
                }
                self.peers.record_leader_time(&from, term, stated, now);
                self.log.send(LogInput::Contacts(controls));
            }
            message @ (Message::Call { .. }
            | Message::RepeatedCall { .. }
            | Message::TimedCall { .. }) => {
                self.on_call(from, message);
            }
            Message::Answer { token, answer } => {
                let action = self.relay.on_answer(now, token, answer);
                self.perform(action.into_iter().collect());
            }
            Message::Announcement(announcement) => {
                self.on_forwarded_announcement(&from, announcement);
            }
            Message::Announcements(announcements) => {
                for announcement in announcements {
                    self.on_forwarded_announcement(&from, announcement);
                }
            }
            Message::LeavingAcknowledged { worker, number } => {
                self.leaving_acknowledgements.acknowledge(&worker, number)
            }
            Message::Left(worker) => self.handle_input(Input::Left(worker)),
            Message::AdviceRequest { id, step, workers } => {
                let events = self.events.clone();
                let call = AdviceCall { leader: from, id, step, workers };
                // The send fails only if the process is about to exit.
                let on_response =
                    move |to, message| drop(events.send(ControlEvent::Advised { to, message }));
                spawn_advice_call(&self.ports, call, on_response);
            }
            Message::Advised { id, valid, allowed } => {
                self.handle_input(Input::Advised { id, valid, allowed });
            }
            Message::WatchEnded { term, id, worker, broke, result } => {
                self.on_watch_ended(term, (id, worker), broke, result);
            }
            Message::Watching { term, held } => self.on_watching(now, term, held),
            Message::WatchesReturned { term, held } => self.on_watches_returned(term, held),
            // Only entry instances hold renewals.
            Message::Watch { .. } => {}
        }
    }

    fn on_tick(&mut self) {
        let now = self.clock.now();
        if self.leader_term.is_some() {
            self.peers.confirm_leader(now);
        }
        sync_links(&self.links, &mut self.peers, now);
        let unsent = self.recent_announcements.take_unsent();
        self.send_announcements(unsent);
        self.recent_announcements.remove_old(now);
        self.leaving_acknowledgements.remove_closed();
        for (to, hello) in self.peers.due_hellos(now) {
            self.links.send(&to, 0, hello);
        }
        if now >= self.next_settings_read_at {
            self.next_settings_read_at = now + SETTINGS_READ_INTERVAL;
            self.read_settings(now);
        }
        if now >= self.next_load_report_at {
            self.next_load_report_at = now + LOAD_REPORT_INTERVAL;
            self.report_load();
        }
        self.take_back_overdue(now);
        let mut advice_callers = self.peers.advice_callers(now);
        advice_callers.insert(self.settings.id());
        self.handle_input(Input::AdviceCallers(advice_callers));
        self.handle_input(Input::Tick);
        let leader = self.peers.leader_with_clock(now);
        let actions = self.relay.tick(now, leader.as_ref());
        self.perform(actions);
        self.handle.set_ready(self.peers.leader(now).is_some());
    }

    pub(crate) fn perform(&mut self, actions: Vec<RelayAction>) {
        for action in actions {
            match action {
                RelayAction::Send(to, message) if to == self.settings.id() => {
                    self.on_call(to, message);
                }
                RelayAction::Send(to, message) => self.links.send(&to, 0, message),
                RelayAction::Answer(token, answer) => {
                    self.pending_calls.answer(self.clock.now(), token, answer);
                }
            }
        }
    }
}
