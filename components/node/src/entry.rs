//! An entry instance: it relays callers' calls to the leader and calls for advice on its behalf.

use std::sync::Arc;

use clock::{Clock, Millis, SystemClock};
use errors::Result;
use events::{kinds, log_decision};
use metrics::Registry;
use model::InstanceId;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{sleep, timeout};
use transport::{Links, Packet};

use crate::advice_calls::{AdviceCall, spawn_advice};
use crate::message::Message;
use crate::node_handle::{Arrival, NodeHandle, Signal};
use crate::peers::{Peers, PeersConfig, Reachability};
use crate::pending_calls::Waiters;
use crate::ports::Ports;
use crate::relay::{Relay, RelayAction};
use crate::role_support::{
    begin_stop, open_links, pass_on, sync_links, tell_leader, tell_reload, tell_unreadable,
};
use crate::settings::NodeSettings;
use crate::stall_detection::{StallDetector, log_stall};
use crate::timing::{LAST_ANSWERS, READ_SETTINGS_EVERY, TICK};

/// How long before the end of its grace a process that is told to stop ends by itself, so that it is
/// never killed in the middle of an answer.
const STOP_MARGIN: Millis = Millis(900);

/// Everything that an entry instance waits for.
enum Event {
    Packet(Result<Packet<Message>>),
    Arrival(Arrival),
    Advised { to: InstanceId, message: Message },
}

struct Entry {
    settings: NodeSettings,
    clock: Arc<SystemClock>,
    away: StallDetector,
    links: Arc<Links>,
    peers: Peers,
    relay: Relay,
    waiters: Waiters,
    ports: Ports,
    handle: NodeHandle,
    events: UnboundedSender<Event>,
    stops_at: Option<Millis>,
    /// When the settings file is looked at next.
    read_at: Millis,
    /// Whether a leader was spoken of just now.
    connected: bool,
    reload: Box<dyn Fn() -> Option<NodeSettings>>,
}

/// Runs an entry instance until it is told to stop. `serve` opens the listeners on the gate.
///
/// # Errors
/// If the instance cannot start.
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
        // The process ends soon if nobody listens.
        move |packet| drop(tx.send(Event::Packet(packet)))
    })?;
    let metrics = Arc::new(Registry::default());
    let (handle, arrivals_rx) = NodeHandle::open(metrics.clone())?;
    let cfg = PeersConfig { id: settings.id(), disk: None, calls_advice: true };
    let entry = Entry {
        peers: Peers::new(cfg, settings.seeds.clone(), clock.now()),
        relay: Relay::new(u64::from(rand::random::<u32>())),
        waiters: Waiters::new(metrics),
        away: StallDetector::new(clock.now(), clock.suspended()),
        clock,
        links,
        ports,
        handle: handle.clone(),
        events: tx.clone(),
        stops_at: None,
        read_at: Millis::ZERO,
        connected: false,
        reload,
        settings,
    };
    let _server = serve(handle)?;
    ntex::rt::spawn(pass_on(arrivals_rx, tx, Event::Arrival));
    entry.run(rx).await;
    Ok(())
}

impl Entry {
    async fn run(mut self, mut rx: UnboundedReceiver<Event>) {
        let listen = self.settings.listen;
        log_decision(
            &kinds::NODE_STARTED,
            &self.settings.name,
            &format!("role=entry listen={listen}"),
        );
        loop {
            let first = timeout(TICK.duration(), rx.recv()).await;
            // One reading serves for all that has come and for what is done about it.
            let now = self.clock.now();
            if let Ok(Some(event)) = first {
                self.take(now, event);
                while let Ok(event) = rx.try_recv() {
                    self.take(now, event);
                }
            }
            self.tend(now);
            let absence = self.away.check(now, || self.clock.suspended());
            absence.inspect(|a| log_stall(&self.settings.name, a));
            if self.stops_at.is_some_and(|t| now >= t && !self.relay.has_pending()) {
                break;
            }
        }
        sleep(LAST_ANSWERS.duration()).await;
        log_decision(&kinds::NODE_STOPPED, &self.settings.name, "");
    }

    fn take(&mut self, now: Millis, event: Event) {
        match event {
            Event::Packet(Ok(packet)) => self.on_packet(now, packet),
            Event::Packet(Err(e)) => tell_unreadable(&e),
            Event::Arrival(Arrival::Call { call, patience, tx }) => {
                let token = self.relay.accept(now, call.clone(), patience);
                self.waiters.add(token, now, &call, tx);
            }
            Event::Arrival(Arrival::Signal(signal)) => self.on_signal(now, signal),
            // Workers call control instances only.
            Event::Arrival(
                Arrival::Announcement(_) | Arrival::Leaving { .. } | Arrival::Left(_),
            ) => {}
            Event::Advised { to, message } => self.links.send(&to, 0, message),
        }
    }

    fn on_signal(&mut self, now: Millis, signal: Signal) {
        match signal {
            Signal::Reload => self.read_settings(now),
            Signal::Stop => {
                begin_stop(&self.settings, &self.handle);
                let ends_at = now + self.settings.grace.since(STOP_MARGIN);
                self.stops_at.get_or_insert(ends_at);
            }
        }
    }

    /// Takes in settings that have changed.
    fn read_settings(&mut self, now: Millis) {
        if let Some(settings) = (self.reload)() {
            tell_reload(&settings);
            self.peers.set_seeds(settings.seeds, now);
        }
    }

    fn on_packet(&mut self, now: Millis, packet: Packet<Message>) {
        self.peers.record_contact(&packet.from, now);
        match packet.message {
            Message::Welcome { leader, term, controls, voters } => {
                self.peers.set_voters(term, voters);
                if self.peers.on_welcome(&packet.from, leader, term, &controls, now) {
                    tell_leader(&packet.from, term);
                    self.relay.leader_changed(now);
                }
            }
            Message::Answer { token, answer } => {
                let action = self.relay.on_answer(now, token, answer);
                self.perform(now, action.into_iter().collect());
            }
            Message::AdviceRequest { id, step, workers } => {
                let events = self.events.clone();
                let call = AdviceCall { leader: packet.from, id, step, workers };
                // The process ends soon if nobody listens.
                let hand_on = move |to, message| drop(events.send(Event::Advised { to, message }));
                spawn_advice(&self.ports, call, hand_on);
            }
            // Meant for control instances.
            Message::Log(_)
            | Message::Hello { .. }
            | Message::Call { .. }
            | Message::Announcement(_)
            | Message::LeavingAcknowledged { .. }
            | Message::Left(_)
            | Message::Advised { .. } => {}
        }
    }

    fn tend(&mut self, now: Millis) {
        sync_links(&self.links, &mut self.peers, now);
        if now >= self.read_at {
            self.read_at = now + READ_SETTINGS_EVERY;
            self.read_settings(now);
        }
        for (to, hello) in self.peers.due_hellos(now) {
            self.links.send(&to, 0, hello);
        }
        let reach = self.peers.reach(now);
        let connected = self.peers.is_connected(now) && reach == Reachability::Majority;
        if connected != self.connected {
            self.connected = connected;
            let term = self.peers.term();
            let kind = if connected { &kinds::LEADER_KNOWN } else { &kinds::LEADER_LOST };
            log_decision(kind, &self.settings.name, &format!("term={term}"));
        }
        self.handle.set_ready(connected);
        self.relay.set_reachability(now, reach);
        // What is sent without reach is lost, and its caller would not know what became of it.
        let leader = self.peers.leader(now).filter(|_| reach == Reachability::Majority);
        let actions = self.relay.tick(now, leader);
        self.perform(now, actions);
    }

    fn perform(&mut self, now: Millis, actions: Vec<RelayAction>) {
        for action in actions {
            match action {
                RelayAction::Send(to, message) => self.links.send(&to, 0, message),
                RelayAction::Answer(token, answer) => self.waiters.answer(now, token, answer),
            }
        }
    }
}
