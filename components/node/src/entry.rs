//! An entry instance: it relays callers' calls to the leader and calls the advice service on the
//! leader's behalf.

use std::sync::Arc;

use clock::{Clock, Millis, SystemClock};
use errors::Result;
use events::{kinds, log_decision};
use metrics::Registry;
use model::InstanceId;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{sleep, timeout};
use transport::{Links, Packet};

use crate::advice_calls::{AdviceCall, spawn_advice_call};
use crate::arrivals::Arrivals;
use crate::held_renewals::HeldRenewals;
use crate::job_report::JobReport;
use crate::message::Message;
use crate::node_handle::{InboundEvent, NodeHandle, Signal};
use crate::peers::{Peers, PeersConfig, Reachability};
use crate::pending_calls::PendingCalls;
use crate::ports::Ports;
use crate::relay::{Relay, RelayAction};
use crate::role_support::{
    begin_stop, forward_events, log_leader, log_reload, log_unreadable, open_links, sync_links,
};
use crate::settings::NodeSettings;
use crate::stall_detection::{StallDetector, log_stall};
use crate::timing::{FINAL_ANSWERS_TIME, SETTINGS_READ_INTERVAL, TICK_INTERVAL};

/// How long before the end of its grace period a process that was asked to stop exits. With a smaller
/// margin it may be killed while it sends an answer.
const STOP_MARGIN: Millis = Millis(900);

/// An event that an entry instance handles.
enum Event {
    Packet(Result<Packet<Message>>),
    Inbound(InboundEvent),
    Advised {
        to: InstanceId,
        message: Message,
    },
    /// A renewal that this instance held has ended.
    WatchEnded {
        to: InstanceId,
        message: Message,
    },
}

struct EntryInstance {
    settings: NodeSettings,
    clock: Arc<SystemClock>,
    stall_detector: StallDetector,
    arrivals: Arrivals,
    links: Arc<Links>,
    peers: Peers,
    relay: Relay,
    held_renewals: HeldRenewals,
    pending_calls: PendingCalls,
    ports: Ports,
    handle: NodeHandle,
    events: UnboundedSender<Event>,
    stop_at: Option<Millis>,
    /// When the settings file is read next.
    next_settings_read_at: Millis,
    /// Whether the leader and a majority of the voters could be reached at the last tick.
    connected: bool,
    reload: Box<dyn Fn() -> Option<NodeSettings>>,
}

/// Runs an entry instance until it is asked to stop. `serve` opens the listeners, which submit calls
/// through the handle; `reload` returns the settings if they have changed.
///
/// # Errors
/// Fails if the instance cannot start.
pub async fn run_entry<F, S>(
    settings: NodeSettings,
    ports: Ports,
    serve: F,
    reload: Box<dyn Fn() -> Option<NodeSettings>>,
) -> Result<()>
where
    F: FnOnce(NodeHandle) -> Result<S>,
{
    let clock = Arc::new(SystemClock::default());
    let (tx, rx) = unbounded_channel::<Event>();
    let links = open_links(&settings, {
        let tx = tx.clone();
        // The send fails only if the process is about to exit.
        move |packet| drop(tx.send(Event::Packet(packet)))
    })?;
    let metrics = Arc::new(Registry::default());
    let (handle, inbound_rx) = NodeHandle::open(metrics.clone())?;
    let cfg = PeersConfig { id: settings.id(), disk: None, calls_advice: true };
    let entry = EntryInstance {
        peers: Peers::new(cfg, settings.seeds.clone(), clock.now()),
        relay: Relay::new(u64::from(rand::random::<u32>())),
        held_renewals: HeldRenewals::default(),
        pending_calls: PendingCalls::new(metrics),
        stall_detector: StallDetector::new(clock.now(), clock.suspended()),
        arrivals: Arrivals::new(clock.now()),
        clock,
        links,
        ports,
        handle: handle.clone(),
        events: tx.clone(),
        stop_at: None,
        next_settings_read_at: Millis::ZERO,
        connected: false,
        reload,
        settings,
    };
    let _server = serve(handle)?;
    ntex::rt::spawn(forward_events(inbound_rx, tx, Event::Inbound));
    entry.run(rx).await;
    Ok(())
}

impl EntryInstance {
    async fn run(mut self, mut rx: UnboundedReceiver<Event>) {
        let listen = self.settings.listen;
        log_decision(
            &kinds::NODE_STARTED,
            &self.settings.name,
            &format!("role=entry listen={listen}"),
        );
        loop {
            let first = timeout(TICK_INTERVAL.duration(), rx.recv()).await;
            // All events of one iteration are handled with the same time.
            let now = self.clock.now();
            self.arrivals.record_turn(now);
            if let Ok(Some(event)) = first {
                self.on_event(now, event);
                while let Ok(event) = rx.try_recv() {
                    self.on_event(now, event);
                }
            }
            self.on_tick(now);
            let stall = self.stall_detector.check(now, || self.clock.suspended());
            stall.inspect(|s| log_stall(&self.settings.name, s));
            if self.stop_at.is_some_and(|t| now >= t && !self.relay.has_pending()) {
                break;
            }
        }
        sleep(FINAL_ANSWERS_TIME.duration()).await;
        log_decision(&kinds::NODE_STOPPED, &self.settings.name, "");
    }

    fn on_event(&mut self, now: Millis, event: Event) {
        match event {
            Event::Packet(Ok(packet)) => self.on_packet(now, packet),
            Event::Packet(Err(e)) => log_unreadable(&e),
            Event::Inbound(InboundEvent::Call { call, max_wait, tx }) => {
                let arrived_after = self.arrivals.arrived_after(now);
                let token = self.relay.accept(now, arrived_after, call.clone(), max_wait);
                self.pending_calls.add(token, now, &call, tx);
            }
            Event::Inbound(InboundEvent::Signal(signal)) => self.on_signal(now, signal),
            Event::Inbound(InboundEvent::Explain { tx, .. }) => {
                // The operator may have disconnected.
                let _ = tx.send(JobReport::NotLeader(self.peers.leader(now).cloned()));
            }
            // Workers call only control instances.
            Event::Inbound(
                InboundEvent::Announcement(_)
                | InboundEvent::Leaving { .. }
                | InboundEvent::Left(_),
            ) => {}
            Event::Advised { to, message } => self.links.send(&to, 0, message),
            Event::WatchEnded { to, message } => {
                if let Message::WatchEnded { term, id, .. } = &message {
                    self.held_renewals.ended(*term, *id);
                }
                self.links.send(&to, 0, message);
            }
        }
    }

    fn on_signal(&mut self, now: Millis, signal: Signal) {
        match signal {
            Signal::Reload => self.read_settings(now),
            Signal::Stop => {
                begin_stop(&self.settings, &self.handle);
                self.peers.stop_calling();
                if let Some((to, message)) = self.held_renewals.return_all() {
                    self.links.send(&to, 0, message);
                }
                let ends_at = now + self.settings.grace.since(STOP_MARGIN);
                self.stop_at.get_or_insert(ends_at);
            }
        }
    }

    /// Applies the settings if they have changed.
    fn read_settings(&mut self, now: Millis) {
        if let Some(settings) = (self.reload)() {
            log_reload(&settings);
            self.peers.set_seeds(settings.seeds, now);
        }
    }

    fn on_packet(&mut self, now: Millis, packet: Packet<Message>) {
        self.peers.record_contact(&packet.from, now);
        match packet.message {
            Message::Welcome { leader, term, voters, .. } => {
                let stated = Millis(packet.order);
                if self.peers.on_welcome_at_entry(&packet.from, leader, term, voters, now) {
                    log_leader(&packet.from, term);
                    self.relay.leader_changed(now);
                }
                self.peers.record_leader_time(&packet.from, term, stated, now);
            }
            Message::Answer { token, answer } => {
                let action = self.relay.on_answer(now, token, answer);
                self.perform(now, action.into_iter().collect());
            }
            Message::AdviceRequest { id, step, workers } => {
                let events = self.events.clone();
                let call = AdviceCall { leader: packet.from, id, step, workers };
                // The send fails only if the process is about to exit.
                let on_response =
                    move |to, message| drop(events.send(Event::Advised { to, message }));
                spawn_advice_call(&self.ports, call, on_response);
            }
            Message::Watch { term, watches } => {
                let events = self.events.clone();
                // The send fails only if the process is about to exit.
                let on_end =
                    move |to, message| drop(events.send(Event::WatchEnded { to, message }));
                let with = (&self.ports, &self.clock);
                self.held_renewals.hold((&packet.from, term), watches, with, on_end);
            }
            // Only control instances receive these.
            Message::Log(_)
            | Message::Hello { .. }
            | Message::Call { .. }
            | Message::RepeatedCall { .. }
            | Message::TimedCall { .. }
            | Message::Announcement(_)
            | Message::Announcements(_)
            | Message::LeavingAcknowledged { .. }
            | Message::WatchEnded { .. }
            | Message::Watching { .. }
            | Message::WatchesReturned { .. }
            | Message::Left(_)
            | Message::Advised { .. } => {}
        }
    }

    fn on_tick(&mut self, now: Millis) {
        sync_links(&self.links, &mut self.peers, now);
        if now >= self.next_settings_read_at {
            self.next_settings_read_at = now + SETTINGS_READ_INTERVAL;
            self.read_settings(now);
        }
        for (to, hello) in self.peers.due_hellos(now) {
            self.links.send(&to, 0, hello);
        }
        self.held_renewals.observe_term(self.peers.term());
        if let Some((to, message)) = self.held_renewals.due_list(now) {
            self.links.send(&to, 0, message);
        }
        let reachability = self.peers.reachability(now);
        let connected = self.peers.is_connected(now) && reachability == Reachability::Majority;
        if connected != self.connected {
            self.connected = connected;
            let term = self.peers.term();
            let kind = if connected { &kinds::LEADER_KNOWN } else { &kinds::LEADER_LOST };
            log_decision(kind, &self.settings.name, &format!("term={term}"));
        }
        self.handle.set_ready(connected);
        self.relay.set_reachability(now, reachability);
        // Without a majority of the voters a call would be lost, and its caller would not know whether it was
        // carried out.
        let has_majority = reachability == Reachability::Majority;
        let leader = self.peers.leader_with_clock(now).filter(|_| has_majority);
        let actions = self.relay.tick(now, leader.as_ref());
        self.perform(now, actions);
    }

    fn perform(&mut self, now: Millis, actions: Vec<RelayAction>) {
        for action in actions {
            match action {
                RelayAction::Send(to, message) => self.links.send(&to, 0, message),
                RelayAction::Answer(token, answer) => self.pending_calls.answer(now, token, answer),
            }
        }
    }
}
