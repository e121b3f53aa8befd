//! The core: the one thread that owns the cell state and the zone's part, and takes in inputs one
//! after the other. Whatever a batch of inputs changed is synced once, and only then acted on.

mod apply;
mod changes;
mod notes;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::{Arc, atomic::AtomicBool};
use std::time::Duration;

use cell::{Cell, Command};
use clock::Millis;
use consensus::Replica;
use errors::Result;
use events::{Subject, kinds};
use model::{Epoch, InstanceId, Name};
use routing::TargetState;
use tokio::sync::{mpsc::UnboundedSender, oneshot};
use transport::{Links, Packet};
use upstream::{PlatformList, SyncReply, SyncRequest, WorkerState};
use zone::Action;

use crate::calls::{Asker, Forwarded, InLog, Reads};
use crate::keeper::{AskReply, ZoneKeeper};
use crate::message::{Change, Message, Outcome, ZoneAsk};
use crate::saved::InForce;
use crate::shared::{Shared, lock};
use crate::zone_role::ZoneRole;

/// How often time passes for the pure parts.
const TICK: Millis = Millis(20);
/// How often a zone's instance talks to the leader.
const ASK_EVERY: Millis = Millis(500);
/// How often an instance tells the broker what it needs.
const DEMAND_EVERY: Millis = Millis(100);
/// How often an instance that has not caught up asks how far it has to.
const BARRIER_EVERY: Millis = Millis(100);
/// How often an instance's events are copied to the others of its zone.
const COPIES_EVERY: Millis = Millis(200);
/// How often a process that has started asks for the copies that the one before it kept.
const COPY_ASKS: u32 = 20;
/// How many events are copied at once.
const MOST_COPIES: usize = 2_000;
/// How often the leader looks for zones that are cut off.
const MOVES_EVERY: Millis = Millis(1_000);
/// How many inputs are taken in between two syncs at the most.
const BATCH: usize = 4_096;
/// How many entries the log may hold before it is replaced by a snapshot.
const COMPACT_AFTER: usize = 2_000;

/// A question about the core's state, answered on its thread.
pub(crate) type Query = Box<dyn FnOnce(&Core) + Send>;

/// What the core takes in.
pub(crate) enum Input {
    /// A message from another instance.
    Packet(Packet<Message>),
    /// A change that a call on this instance asks for.
    Change { change: Change, tx: oneshot::Sender<Outcome> },
    /// A read that must hold every change accepted before it.
    Read { tx: oneshot::Sender<bool> },
    /// A question about the state.
    Query(Query),
    /// A worker's answer.
    WorkerReply { epoch: Epoch, worker: Name, seq: u64, reply: Result<SyncReply> },
    /// The platform's list.
    List(PlatformList),
    /// An upstream told this instance that it is leaving.
    Leaving(Name),
    /// Give up the epoch and leadership, for a planned stop.
    HandOver { tx: oneshot::Sender<()> },
    /// End the thread.
    Stop,
}

/// A call to a worker, for the thread that makes it.
#[derive(Debug)]
pub(crate) struct WorkerCall {
    pub(crate) epoch: Epoch,
    pub(crate) worker: Name,
    pub(crate) addr: std::net::SocketAddr,
    pub(crate) req: SyncRequest,
    pub(crate) timeout: Millis,
}

/// When something regular is next due.
#[derive(Default)]
struct Timers {
    ask: Millis,
    demand: Millis,
    moves: Millis,
    copies: Millis,
    copy_ask: Millis,
    barrier: Millis,
}

fn is_due(now: Millis, next: &mut Millis, every: Millis) -> bool {
    if now < *next {
        return false;
    }
    *next = now + every;
    true
}

/// The core's state.
pub(crate) struct Core {
    pub(crate) shared: Arc<Shared>,
    pub(crate) replica: Replica,
    pub(crate) cell: Cell,
    pub(crate) role: ZoneRole,
    pub(crate) keeper: ZoneKeeper,
    links: Links,
    workers: UnboundedSender<WorkerCall>,
    saved: Option<PathBuf>,
    in_force: InForce,
    forwarded: Forwarded,
    in_log: InLog,
    reads: Reads,
    timers: Timers,
    to_self: Vec<Message>,
    handing_over: Option<oneshot::Sender<()>>,
    last_leader: Option<InstanceId>,
    /// How often the zone's other instances are still asked for the events that they keep.
    copy_asks_left: u32,
    /// Counts what was synced, for figures.
    pub(crate) synced: u64,
}

/// What the core is made of.
pub(crate) struct Parts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) replica: Replica,
    pub(crate) cell: Cell,
    pub(crate) links: Links,
    pub(crate) workers: UnboundedSender<WorkerCall>,
    pub(crate) saved: Option<PathBuf>,
}

impl Core {
    /// Joins the parts and puts in force what was in force before a restart.
    ///
    /// # Errors
    /// If what was saved does not read back.
    pub(crate) fn new(parts: Parts) -> Result<Core> {
        let Parts { shared, replica, cell, links, workers, saved } = parts;
        let settings = &shared.settings;
        let (zone, id) = (settings.own.zone.clone(), settings.own.id.clone());
        let mates = settings.peers.values().filter(|p| p.zone == zone && p.id != id);
        let mates = mates.map(|p| p.id.clone()).collect();
        let role = ZoneRole::new(zone, id, mates, settings.longest_request);
        let in_force = match &saved {
            Some(path) => InForce::load(path)?,
            None => None,
        };
        let mut core = Core {
            shared,
            replica,
            cell,
            role,
            keeper: ZoneKeeper::default(),
            links,
            workers,
            saved,
            in_force: InForce::default(),
            forwarded: Forwarded::default(),
            in_log: InLog::default(),
            reads: Reads::default(),
            timers: Timers::default(),
            to_self: Vec::new(),
            handing_over: None,
            last_leader: None,
            copy_asks_left: COPY_ASKS,
            synced: 0,
        };
        if let Some(in_force) = in_force {
            core.shared.put_config(in_force.config.clone());
            core.shared.put_drained(in_force.drained.clone());
            core.in_force = in_force;
            core.shared.set_ready();
        }
        Ok(core)
    }

    /// Runs until [`Input::Stop`].
    pub(crate) fn run(mut self, inputs: &Receiver<Input>, failed: &AtomicBool) {
        if let Err(e) = self.serve(inputs) {
            self.shared.journal.note(&kinds::DISK_FAILED, Subject::default(), e.to_string());
            failed.store(true, std::sync::atomic::Ordering::SeqCst);
        }
    }

    fn serve(&mut self, inputs: &Receiver<Input>) -> Result<()> {
        let mut next_tick = Millis::ZERO;
        loop {
            let wait = next_tick.since(self.now()).duration().max(Duration::from_millis(1));
            match inputs.recv_timeout(wait) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for input in inputs.try_iter().take(BATCH) {
                match input {
                    Input::Stop => return Ok(()),
                    input => self.take(input),
                }
            }
            let now = self.now();
            if now >= next_tick {
                next_tick = now + TICK;
                self.tick(now);
            }
            self.settle()?;
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.shared.now()
    }

    fn take(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Packet(packet) => {
                self.shared.journal.clock().observe(packet.order);
                self.on_message(now, packet.from, packet.message);
            }
            Input::Change { change, tx } => self.on_change(now, change, tx),
            Input::Read { tx } => self.on_read(now, tx),
            Input::Query(query) => query(self),
            Input::WorkerReply { epoch, worker, seq, reply } => {
                self.role.on_reply(now, epoch, &worker, seq, reply);
            }
            Input::List(list) => self.on_list(now, list),
            Input::Leaving(name) => self.on_leaving(&name, true),
            Input::HandOver { tx } => self.on_hand_over(now, tx),
            Input::Stop => {}
        }
    }

    fn on_message(&mut self, now: Millis, from: InstanceId, message: Message) {
        match message {
            Message::Consensus(envelope) => self.replica.receive(now, envelope),
            Message::Change { token, change } => {
                self.propose_change(now, change, Asker::Peer(from, token));
            }
            Message::Changed { token, outcome } => self.forwarded.answer(token, outcome),
            Message::ReadAsk { token } => {
                let index = self.certain_index(now);
                self.send(&from, Message::ReadAt { token, index });
            }
            Message::ReadAt { token, index } => self.reads.told(token, index),
            Message::ZoneAsk(ask) => self.on_zone_ask(now, &from, &ask),
            Message::ZoneConfirmed { epoch, asked_at, last_index } => {
                self.role.confirm(epoch, asked_at, last_index);
            }
            Message::PledgeAsk { epoch, asked_at } => {
                if self.role.pledge(now, epoch, &self.cell) {
                    self.send(&from, Message::Pledge { epoch, asked_at });
                }
            }
            Message::Pledge { epoch, asked_at } => self.role.take_pledge(epoch, &from, asked_at),
            Message::Demand(demand) => {
                let config = self.shared.config();
                let pool = crate::plane::pool_to_lend(&config.config);
                if let Some(loan) = self.role.lend(now, &demand, pool) {
                    self.send(&from, Message::Loan(loan));
                }
            }
            Message::Loan(loan) => lock(&self.shared.plane).take_loan(now, &loan),
            Message::Leaving(name) => self.on_leaving(&name, false),
            Message::Events(copies) if from != *self.shared.id() => {
                self.shared.journal.keep_copies(copies);
            }
            Message::Events(_) => {}
            Message::EventsAsk => {
                for part in self.shared.journal.all_copies().chunks(MOST_COPIES) {
                    self.send(&from, Message::EventsKept(part.to_vec()));
                }
            }
            Message::EventsKept(copies) => {
                self.shared.journal.keep_copies(copies);
                self.copy_asks_left = 0;
            }
        }
    }

    pub(crate) fn send(&mut self, to: &InstanceId, message: Message) {
        if to == self.shared.id() {
            self.to_self.push(message);
        } else {
            self.links.send(to, self.shared.journal.clock().next(), message);
        }
    }

    fn send_to_mates(&mut self, message: &Message) {
        let id = self.shared.id().clone();
        let peers = self.shared.settings.peers.values();
        let mates = peers.filter(|p| p.zone == *self.shared.zone() && p.id != id);
        let ids: Vec<InstanceId> = mates.map(|p| p.id.clone()).collect();
        for id in ids {
            self.send(&id, message.clone());
        }
    }

    fn send_to_zone(&mut self, message: &Message) {
        let zone = self.shared.zone().clone();
        let peers = self.shared.settings.peers.values().filter(|p| p.zone == zone);
        let ids: Vec<InstanceId> = peers.map(|p| p.id.clone()).collect();
        for id in ids {
            self.send(&id, message.clone());
        }
    }

    fn leader(&self) -> Option<InstanceId> {
        self.replica.node().leader().cloned()
    }

    /// Gives the entry up to which a state holds every accepted change, if this instance surely
    /// leads. What is committed in a batch of inputs is applied only at its end, so that this may lie
    /// ahead of the state.
    fn certain_index(&self, now: Millis) -> Option<u64> {
        let node = self.replica.node();
        node.lease_holds(now).then(|| node.commit())
    }

    fn on_read(&mut self, now: Millis, tx: oneshot::Sender<bool>) {
        match self.leader() {
            Some(leader) if leader == *self.shared.id() => match self.certain_index(now) {
                Some(index) => self.reads.wait_for(index, tx),
                None => {
                    // The caller may have gone.
                    let _ = tx.send(false);
                }
            },
            Some(leader) => {
                let token = self.reads.ask(now, tx);
                self.send(&leader, Message::ReadAsk { token });
            }
            None => {
                let _ = tx.send(false);
            }
        }
    }

    fn on_list(&mut self, now: Millis, list: PlatformList) {
        self.role.set_list(now, list.clone());
        let zone = self.shared.zone().clone();
        let drained = self.shared.drained();
        let here = list.workers.iter().filter(|w| w.zone == zone);
        let mut targets = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for worker in here {
            let out = worker.state == WorkerState::Leaving || drained.contains(&worker.name);
            let state = if out { TargetState::Leaving } else { TargetState::Live };
            targets.insert(worker.name.clone(), state);
            addresses.insert(worker.name.clone(), worker.addr);
        }
        self.shared.put_addresses(addresses);
        lock(&self.shared.plane).set_targets(targets);
    }

    fn on_leaving(&mut self, name: &Name, tell: bool) {
        let news = lock(&self.shared.plane).note_leaving(name);
        if !news {
            return;
        }
        let text = format!("{name} is leaving");
        self.shared.journal.note(&kinds::UPSTREAM_LEAVING, Subject::default(), text);
        if tell {
            self.send_to_zone(&Message::Leaving(name.clone()));
        }
    }

    fn on_hand_over(&mut self, now: Millis, tx: oneshot::Sender<()>) {
        if let Some(release) = self.role.release() {
            self.ask_for(now, release);
        }
        self.handing_over = Some(tx);
    }

    fn on_zone_ask(&mut self, now: Millis, from: &InstanceId, ask: &ZoneAsk) {
        if self.certain_index(now) != Some(self.cell.applied) {
            return;
        }
        match self.keeper.ask(now, &self.cell, from, ask) {
            AskReply::Confirm => {
                let (epoch, asked_at) = (ask.epoch, ask.asked_at);
                let last_index = self.replica.node().last_index();
                self.send(from, Message::ZoneConfirmed { epoch, asked_at, last_index });
            }
            AskReply::Grant(command) => self.propose_zone_change(now, command),
            AskReply::Wait => {}
        }
    }

    fn propose_zone_change(&mut self, now: Millis, command: Command) {
        let zone = match &command {
            Command::GrantEpoch { zone, .. } => zone.clone(),
            Command::MoveShare { from, .. } => from.clone(),
            _ => return,
        };
        self.propose_change(now, Change::Command { key: None, command }, Asker::Nobody);
        self.keeper.changing(&zone, self.replica.node().last_index());
    }

    fn tick(&mut self, now: Millis) {
        self.replica.tick(now);
        lock(&self.shared.plane).tick(now);
        self.forwarded.expire(now);
        self.follow_leader();
        if self.reads.is_past_barrier(self.cell.applied) {
            self.become_ready();
        } else if is_due(now, &mut self.timers.barrier, BARRIER_EVERY) {
            self.ask_barrier(now);
        }
        if is_due(now, &mut self.timers.ask, ASK_EVERY) {
            self.ask_leader(now);
        }
        self.talk_to_zone(now);
        self.move_shares(now);
        let (actions, change) = self.role.tick(now, &self.cell);
        self.note_right(change);
        for action in actions {
            self.act(now, action);
        }
        self.reads.settle(now, self.cell.applied);
    }

    /// Whoever waits for a leader that is gone gets the final answer now.
    fn follow_leader(&mut self) {
        let leader = self.leader();
        if leader != self.last_leader {
            self.forwarded.give_up();
            self.last_leader = leader;
        }
    }

    fn talk_to_zone(&mut self, now: Millis) {
        if is_due(now, &mut self.timers.demand, DEMAND_EVERY) {
            let id = self.shared.id().clone();
            let epoch = self.cell.zones.epoch(self.shared.zone());
            let demand = lock(&self.shared.plane).demand(now, epoch, &id);
            self.send_to_zone(&Message::Demand(demand));
        }
        if self.copy_asks_left > 0 && is_due(now, &mut self.timers.copy_ask, ASK_EVERY) {
            self.copy_asks_left -= 1;
            self.send_to_mates(&Message::EventsAsk);
        }
        if is_due(now, &mut self.timers.copies, COPIES_EVERY) {
            let copies = self.shared.journal.to_copy(MOST_COPIES);
            if !copies.is_empty() {
                self.send_to_zone(&Message::Events(copies));
            }
        }
    }

    fn move_shares(&mut self, now: Millis) {
        let leads = self.certain_index(now) == Some(self.cell.applied);
        if leads && is_due(now, &mut self.timers.moves, MOVES_EVERY) {
            for command in self.keeper.moves(now, &self.cell) {
                self.propose_zone_change(now, command);
            }
        }
    }

    /// Asks the leader how far the log is committed. Only an answer to this process's own question
    /// tells that; a heartbeat may be late, or come from a leader that does not know yet.
    fn ask_barrier(&mut self, now: Millis) {
        match self.leader() {
            Some(leader) if leader == *self.shared.id() => {
                let index = self.certain_index(now);
                self.reads.pass_barrier(index);
            }
            Some(leader) => {
                let token = self.reads.ask_barrier();
                self.send(&leader, Message::ReadAsk { token });
            }
            None => {}
        }
    }

    fn become_ready(&mut self) {
        self.role.ready(self.cell.applied);
        if !self.shared.is_ready() {
            let text = format!("caught up at entry {}", self.cell.applied);
            self.shared.journal.note(&kinds::CAUGHT_UP, Subject::default(), text);
            self.shared.set_ready();
        }
    }

    fn ask_leader(&mut self, now: Millis) {
        if self.role.wants_pledges() {
            let ask = Message::PledgeAsk { epoch: self.role.epoch(), asked_at: now };
            self.send_to_mates(&ask);
        }
        let Some(leader) = self.leader() else { return };
        if let Some(release) = self.role.set_drained(self.shared.is_drained()) {
            self.ask_for(now, release);
        }
        if let Some(ask) = self.role.ask(now, self.cell.applied) {
            self.send(&leader, Message::ZoneAsk(ask));
        }
    }

    fn act(&mut self, now: Millis, action: Action) {
        match action {
            Action::Sync { worker, addr, req, timeout } => {
                let call = WorkerCall { epoch: req.epoch, worker, addr, req, timeout };
                // The thread that makes calls ends only with the process.
                let _ = self.workers.send(call);
            }
            Action::Propose(command) => self.ask_for(now, command),
            Action::Note(note) => self.note_zone(note),
        }
    }

    /// Syncs what changed and acts on it, until nothing follows any more.
    fn settle(&mut self) -> Result<()> {
        loop {
            let flushed = self.replica.flush()?;
            self.synced += flushed.synced as u64;
            let again = !flushed.committed.is_empty();
            self.act_on(flushed)?;
            for message in std::mem::take(&mut self.to_self) {
                let (now, id) = (self.now(), self.shared.id().clone());
                self.on_message(now, id, message);
            }
            if !again && self.to_self.is_empty() {
                break;
            }
        }
        self.compact()?;
        self.finish_hand_over();
        Ok(())
    }

    fn compact(&mut self) -> Result<()> {
        if self.replica.node().log_len() < COMPACT_AFTER {
            return Ok(());
        }
        let index = self.cell.applied;
        self.replica.compact(index, self.cell.encode().into())?;
        let text = format!("up to entry {index}");
        self.shared.journal.note(&kinds::LOG_COMPACTED, Subject::default(), text);
        Ok(())
    }

    /// Hands leadership over once the release of the epoch is in the log.
    fn finish_hand_over(&mut self) {
        let Some(tx) = self.handing_over.take() else { return };
        let now = self.now();
        let grant = self.cell.zones.grant(self.shared.zone());
        let holds = grant.is_some_and(|g| g.holder.as_ref() == Some(self.shared.id()));
        if holds && self.leader().is_some() && !tx.is_closed() {
            self.handing_over = Some(tx);
            return;
        }
        self.replica.hand_over(now);
        if let Ok(flushed) = self.replica.flush() {
            for envelope in flushed.messages {
                let to = envelope.to.clone();
                self.send(&to, Message::Consensus(envelope));
            }
        }
        // The one who waits may have given up.
        let _ = tx.send(());
    }

    /// Refuses the links to these instances, for tests of cut links.
    pub(crate) fn refuse_links(&self, peers: std::collections::BTreeSet<InstanceId>) {
        self.links.refuse(peers);
    }
}
