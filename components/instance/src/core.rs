//! The core: the one thread that owns the cell state and the zone's part, and takes in inputs one
//! after the other. Whatever a batch of inputs changed is synced once, and only then acted on.

mod apply;
mod changes;
mod event_logging;
mod handover;
mod messages;
mod reads;
mod timers;
mod upstreams;
mod zone_messages;

use std::path::PathBuf;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::{Arc, atomic::AtomicBool};
use std::time::Duration;

use cell::Cell;
use clock::Millis;
use consensus::Replica;
use errors::Result;
use events::{Subject, kinds};
use model::{Epoch, InstanceId, Name};
use tokio::sync::{mpsc::UnboundedSender, oneshot};
use transport::{Links, Packet};
use upstream::{PlatformList, SyncReply, SyncRequest};
use zone::Action;

use self::timers::{ASK_EVERY, BARRIER_EVERY, Timers, is_due};
use crate::active_config::InForce;
use crate::message::{Change, Message, Outcome};
use crate::pending_changes::{Forwarded, InLog};
use crate::pending_reads::PendingReads;
use crate::shared::{Shared, lock};
use crate::zone_role::ZoneRole;
use crate::zone_supervisor::ZoneSupervisor;

/// How often time passes for the pure parts.
const TICK: Millis = Millis(20);
/// How often a process that has started asks for the copies that the one before it kept.
const COPY_ASKS: u32 = 20;
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

/// The core's state.
pub(crate) struct Core {
    pub(crate) shared: Arc<Shared>,
    pub(crate) replica: Replica,
    pub(crate) cell: Cell,
    pub(crate) role: ZoneRole,
    pub(crate) zone_supervisor: ZoneSupervisor,
    links: Links,
    workers: UnboundedSender<WorkerCall>,
    in_force_file: Option<PathBuf>,
    in_force: InForce,
    forwarded: Forwarded,
    in_log: InLog,
    reads: PendingReads,
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
    pub(crate) in_force_file: Option<PathBuf>,
}

impl Core {
    /// Joins the parts and puts in force what was in force before a restart.
    ///
    /// # Errors
    /// If what was saved does not read back.
    pub(crate) fn new(parts: Parts) -> Result<Core> {
        let Parts { shared, replica, cell, links, workers, in_force_file } = parts;
        let settings = &shared.settings;
        let (zone, id) = (settings.own.zone.clone(), settings.own.id.clone());
        let mates = settings.peers.values().filter(|p| p.zone == zone && p.id != id);
        let mates = mates.map(|p| p.id.clone()).collect();
        let role = ZoneRole::new(zone, id, mates, settings.longest_request);
        let in_force = match &in_force_file {
            Some(path) => InForce::load(path)?,
            None => None,
        };
        let mut core = Core {
            shared,
            replica,
            cell,
            role,
            zone_supervisor: ZoneSupervisor::default(),
            links,
            workers,
            in_force_file,
            in_force: InForce::default(),
            forwarded: Forwarded::default(),
            in_log: InLog::default(),
            reads: PendingReads::default(),
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
            self.shared.journal.record(&kinds::DISK_FAILED, Subject::default(), e.to_string());
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

    fn leader(&self) -> Option<InstanceId> {
        self.replica.node().leader().cloned()
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

    fn act(&mut self, now: Millis, action: Action) {
        match action {
            Action::Sync { worker, addr, req, timeout } => {
                let call = WorkerCall { epoch: req.epoch, worker, addr, req, timeout };
                // The thread that makes calls ends only with the process.
                let _ = self.workers.send(call);
            }
            Action::Propose(command) => self.ask_for(now, command),
            Action::Event(note) => self.note_zone(note),
        }
    }

    /// Syncs what changed and acts on it, until nothing follows any more.
    fn settle(&mut self) -> Result<()> {
        loop {
            let ahead = self.replica.take_ready_before_sync();
            let mut again = !ahead.committed.is_empty();
            self.act_on(ahead)?;
            let flushed = self.replica.flush()?;
            self.synced += flushed.synced as u64;
            again |= !flushed.committed.is_empty();
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
        self.shared.journal.record(&kinds::LOG_COMPACTED, Subject::default(), text);
        Ok(())
    }

    /// Refuses the links to these instances, for tests of cut links.
    pub(crate) fn refuse_links(&self, peers: std::collections::BTreeSet<InstanceId>) {
        self.links.set_refused_peers(peers);
    }
}
