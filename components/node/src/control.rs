//! A control instance: it keeps the log, takes in what workers and operators say, and leads if it is
//! elected.

use std::sync::Arc;

use clock::{Clock, Millis, SystemClock, wall_now};
use dispatch::{Input, Moment};
use errors::{Error, Result};
use events::{kinds, log_decision};
use metrics::Registry;
use model::InstanceId;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep, timeout};
use transport::{Links, Packet};
use workload::PolicyReader;

use crate::advice_calls::{AdviceCall, spawn_advice};
use crate::control_event::ControlEvent;
use crate::leader_term::LeaderTerm;
use crate::leaving_workers::LeavingAcknowledgements;
use crate::log_thread::{LogEvent, LogHandle, LogInput};
use crate::message::Message;
use crate::node_handle::{Arrival, NodeHandle, Signal};
use crate::peers::Peers;
use crate::pending_calls::Waiters;
use crate::ports::Ports;
use crate::recent_announcements::RecentAnnouncements;
use crate::relay::{Relay, RelayAction};
use crate::role_support::{begin_stop, sync_links, tell_leader, tell_reload, tell_unreadable};
use crate::settings::NodeSettings;
use crate::stall_detection::{StallDetector, log_stall};
use crate::timing::{LAST_ANSWERS, READ_SETTINGS_EVERY, TICK};

/// How often the gauges are set.
const MEASURE_EVERY: Millis = Millis(1_000);
/// How long a control instance serves on after it was told to stop, so that another one leads and
/// what it has taken in is answered.
const STOP_AFTER: Millis = Millis(1_500);

/// The state of a control instance.
pub(crate) struct Control {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Arc<SystemClock>,
    pub(crate) away: StallDetector,
    pub(crate) links: Arc<Links>,
    pub(crate) log: LogHandle,
    pub(crate) peers: Peers,
    pub(crate) relay: Relay,
    pub(crate) waiters: Waiters,
    pub(crate) metrics: Arc<Registry>,
    pub(crate) ports: Ports,
    pub(crate) reader: Arc<dyn PolicyReader>,
    pub(crate) handle: NodeHandle,
    pub(crate) events: UnboundedSender<ControlEvent>,
    pub(crate) leading: Option<LeaderTerm>,
    pub(crate) news: RecentAnnouncements,
    pub(crate) leaving_waits: LeavingAcknowledgements,
    /// The instances that vote, as far as this one knows.
    pub(crate) voters: Vec<InstanceId>,
    pub(crate) stops_at: Option<Millis>,
    pub(crate) tick_at: Millis,
    pub(crate) measure_at: Millis,
    /// When the settings file is looked at next.
    pub(crate) read_at: Millis,
    pub(crate) failed: Option<Error>,
    pub(crate) reload: Box<dyn Fn() -> Option<NodeSettings>>,
}

pub(crate) fn tell_disk_unusable(settings: &NodeSettings, e: &Error) {
    log_decision(&kinds::DISK_UNUSABLE, &settings.name, &format!("fault={:?}", e.to_string()));
}

impl Control {
    pub(crate) async fn run(mut self, mut rx: UnboundedReceiver<ControlEvent>) -> Result<()> {
        let (listen, disk) = (self.settings.listen, self.log.disk);
        let details = format!("role=control listen={listen} disk={:016x}", disk.0);
        log_decision(&kinds::NODE_STARTED, &self.settings.name, &details);
        loop {
            let wait = self.tick_at.since(self.clock.now());
            let first = timeout(wait.duration(), rx.recv()).await;
            if let Ok(Some(event)) = first {
                self.take(event);
                while let Ok(event) = rx.try_recv() {
                    self.take(event);
                }
            }
            if self.clock.now() >= self.tick_at {
                let now = self.clock.now();
                let absence = self.away.check(now, || self.clock.suspended());
                absence.inspect(|a| log_stall(&self.settings.name, a));
                self.tick_at = now + TICK;
                self.tend();
            }
            self.decide();
            if let Some(e) = self.failed.take() {
                return Err(e);
            }
            if self.stops_at.is_some_and(|t| self.clock.now() >= t) {
                break;
            }
        }
        sleep(LAST_ANSWERS.duration()).await;
        log_decision(&kinds::NODE_STOPPED, &self.settings.name, "");
        Ok(())
    }

    pub(crate) fn moment(&self) -> Moment {
        let leads_until = self.log.leads_until();
        Moment { now: self.clock.now(), wall: wall_now(), leads_until }
    }

    fn take(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Packet(Ok(packet)) => self.on_packet(packet),
            ControlEvent::Packet(Err(e)) => tell_unreadable(&e),
            ControlEvent::Arrival(arrival) => self.on_arrival(arrival),
            ControlEvent::Log(event) => self.on_log(event),
            ControlEvent::Called { term, input } => {
                // A later term settles what an earlier one had under way by itself.
                if self.leading.as_ref().is_some_and(|l| l.term == term) {
                    self.feed(input);
                }
            }
            ControlEvent::Advised { to, message } => self.links.send(&to, 0, message),
        }
    }

    pub(crate) fn feed(&mut self, input: Input) {
        let m = self.moment();
        if let Some(leading) = &mut self.leading {
            leading.dispatcher.handle(m, input);
        }
    }

    fn on_arrival(&mut self, arrival: Arrival) {
        let now = self.clock.now();
        match arrival {
            Arrival::Call { call, patience, tx } => {
                let token = self.relay.accept(now, call.clone(), patience);
                self.waiters.add(token, now, &call, tx);
            }
            Arrival::Announcement(news) => self.on_news(news, true),
            Arrival::Leaving { news, tx } => {
                let (worker, number) = (news.info.id.clone(), news.number);
                self.leaving_waits.add(worker.clone(), number, tx);
                self.on_news(news, true);
                if self.leading.is_some() {
                    self.leaving_waits.taken(&worker, number);
                }
            }
            Arrival::Left(worker) => {
                self.news.remove(&worker);
                self.to_leader(Message::Left(worker.clone()));
                self.feed(Input::Left(worker));
            }
            Arrival::Signal(Signal::Reload) => self.read_settings(now),
            Arrival::Signal(Signal::Stop) => {
                begin_stop(&self.settings, &self.handle);
                self.log.send(LogInput::HandOver);
                self.stops_at.get_or_insert(now + STOP_AFTER);
            }
        }
    }

    /// Takes in settings that have changed.
    fn read_settings(&mut self, now: Millis) {
        if let Some(settings) = (self.reload)() {
            tell_reload(&settings);
            let seeds: Vec<InstanceId> = settings.seeds.iter().cloned().collect();
            self.peers.set_seeds(settings.seeds, now);
            self.log.send(LogInput::Contacts(seeds));
        }
    }

    fn on_news(&mut self, news: dispatch::WorkerAnnouncement, direct: bool) {
        if direct {
            self.news.add(self.clock.now(), news.clone());
            self.to_leader(Message::Announcement(news.clone()));
        }
        self.feed(Input::Announcement(news));
    }

    fn to_leader(&self, message: Message) {
        if let Some(leader) = self.peers.leader(self.clock.now())
            && *leader != self.settings.id()
        {
            self.links.send(leader, 0, message);
        }
    }

    fn on_log(&mut self, event: LogEvent) {
        let now = self.clock.now();
        match event {
            LogEvent::Leads { term, replicated } => self.lead(term, *replicated),
            LogEvent::Committed { term, batch } => {
                if self.leading.as_ref().is_some_and(|l| l.term == term) {
                    self.measure_commit(now, batch);
                    self.feed(Input::Committed(batch));
                }
            }
            LogEvent::Deposed { term, why } => {
                log_decision(
                    &kinds::TERM_ENDED,
                    &self.settings.name,
                    &format!("term={term} why={why:?}"),
                );
                self.leading = None;
                self.forget_services();
                self.peers.clear_leader(&self.settings.id());
            }
            LogEvent::Leader { term, leader } => {
                if self.peers.update_leader(leader.clone(), term, now) {
                    tell_leader(&leader, term);
                    self.relay.leader_changed(now);
                    self.retell_news();
                }
            }
            LogEvent::Members { voters, learners } => {
                let names: Vec<&str> = voters.iter().map(|v| v.as_str()).collect();
                let details = format!("voters={} learners={learners}", names.join(","));
                self.voters = voters;
                log_decision(&kinds::VOTERS_CHANGED, &self.settings.name, &details);
            }
            LogEvent::DiskFailed(e) => tell_disk_unusable(&self.settings, &e),
            LogEvent::DiskBack(after) => {
                let details = format!("after_ms={}", after.0);
                log_decision(&kinds::DISK_USABLE, &self.settings.name, &details);
            }
            LogEvent::Failed(e) => self.failed = Some(e),
        }
    }

    /// Tells a new leader what workers have announced here.
    fn retell_news(&self) {
        for news in self.news.fresh(self.clock.now()) {
            self.to_leader(Message::Announcement(news));
        }
    }

    pub(crate) fn welcome(&self) -> Message {
        let now = self.clock.now();
        let leader = self.peers.leader(now).cloned();
        let term = match &self.leading {
            Some(l) => l.term,
            None => self.peers.term(),
        };
        let (controls, voters) = (self.peers.control_instances(), self.voters.clone());
        Message::Welcome { leader, term, controls, voters }
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
                        self.retell_news();
                        self.relay.leader_changed(now);
                    }
                }
                self.log.send(LogInput::Message(envelope));
            }
            Message::Hello { disk, calls_advice, answered } => {
                self.peers.on_hello(&from, disk, calls_advice, answered);
                if let (Some(disk), Some(_)) = (disk, &self.leading) {
                    self.log.send(LogInput::Admit { id: from.clone(), disk });
                }
                self.links.send(&from, 0, self.welcome());
            }
            Message::Welcome { leader, term, controls, .. } => {
                if self.peers.on_welcome(&from, leader, term, &controls, now) {
                    self.relay.leader_changed(now);
                    self.retell_news();
                }
                self.log.send(LogInput::Contacts(controls));
            }
            Message::Call { token, call } => self.on_call(from, token, call),
            Message::Answer { token, answer } => {
                let action = self.relay.on_answer(now, token, answer);
                self.perform(action.into_iter().collect());
            }
            Message::Announcement(news) => {
                let (worker, number) = (news.info.id.clone(), news.number);
                let leaving = news.leaving;
                self.on_news(news, false);
                if leaving && self.leading.is_some() {
                    self.links.send(&from, 0, Message::LeavingAcknowledged { worker, number });
                }
            }
            Message::LeavingAcknowledged { worker, number } => {
                self.leaving_waits.taken(&worker, number)
            }
            Message::Left(worker) => self.feed(Input::Left(worker)),
            Message::AdviceRequest { id, step, workers } => {
                let events = self.events.clone();
                let call = AdviceCall { leader: from, id, step, workers };
                // The process ends soon if nobody listens.
                let hand_on =
                    move |to, message| drop(events.send(ControlEvent::Advised { to, message }));
                spawn_advice(&self.ports, call, hand_on);
            }
            Message::Advised { id, valid, allowed } => {
                self.feed(Input::Advised { id, valid, allowed });
            }
        }
    }

    fn tend(&mut self) {
        let now = self.clock.now();
        if self.leading.is_some() {
            self.peers.confirm_leader(now);
        }
        sync_links(&self.links, &mut self.peers, now);
        self.news.forget_old(now);
        self.leaving_waits.forget_closed();
        for (to, hello) in self.peers.due_hellos(now) {
            self.links.send(&to, 0, hello);
        }
        if now >= self.read_at {
            self.read_at = now + READ_SETTINGS_EVERY;
            self.read_settings(now);
        }
        if now >= self.measure_at {
            self.measure_at = now + MEASURE_EVERY;
            self.measure_book();
        }
        let mut helpers = self.peers.advice_callers(now);
        helpers.insert(self.settings.id());
        self.feed(Input::AdviceCallers(helpers));
        self.feed(Input::Tick);
        let actions = self.relay.tick(now, self.peers.leader(now));
        self.perform(actions);
        self.handle.set_ready(self.peers.leader(now).is_some());
    }

    pub(crate) fn perform(&mut self, actions: Vec<RelayAction>) {
        for action in actions {
            match action {
                RelayAction::Send(to, Message::Call { token, call })
                    if to == self.settings.id() =>
                {
                    self.on_call(to, token, call);
                }
                RelayAction::Send(to, message) => self.links.send(&to, 0, message),
                RelayAction::Answer(token, answer) => {
                    self.waiters.answer(self.clock.now(), token, answer);
                }
            }
        }
    }
}
