//! The core: the thread that owns the cell state and the zone role and processes inputs
//! sequentially. The changes of a batch of inputs are synced to disk once before they take effect.

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

use self::timers::{BARRIER_INTERVAL, LEADER_REQUEST_INTERVAL, Timers, is_due};
use crate::active_config::ActiveConfig;
use crate::message::{Change, Message, Outcome};
use crate::pending_changes::{ForwardedChanges, ProposedChanges};
use crate::pending_reads::PendingReads;
use crate::shared::{Shared, lock};
use crate::zone_role::ZoneRole;
use crate::zone_supervisor::ZoneSupervisor;

/// The interval at which the components that are driven by time advance.
const TICK_INTERVAL: Millis = Millis(20);
/// The maximum number of requests by a started process for the event copies that its zone's other
/// instances keep.
const MAX_COPY_REQUESTS: u32 = 20;
/// The maximum number of inputs that are processed between two syncs.
const MAX_BATCH_INPUTS: usize = 4_096;
/// The number of log entries after which the log is compacted into a snapshot.
const COMPACT_AFTER_ENTRIES: usize = 2_000;

/// A query on the core's state that runs on the core's thread.
pub(crate) type Query = Box<dyn FnOnce(&Core) + Send>;

/// An input of the core.
pub(crate) enum Input {
    /// A message from another instance.
    Packet(Packet<Message>),
    /// A change requested by a call on this instance.
    Change { change: Change, tx: oneshot::Sender<Outcome> },
    /// A read that must reflect every change accepted before it.
    Read { tx: oneshot::Sender<bool> },
    /// A query on the state.
    Query(Query),
    /// A worker's reply.
    WorkerReply { epoch: Epoch, worker: Name, seq: u64, reply: Result<SyncReply> },
    /// The platform's list of workers.
    List(PlatformList),
    /// An upstream announced to this instance that it is leaving.
    Leaving(Name),
    /// Releases the epoch and leadership for a planned stop.
    Handover { tx: oneshot::Sender<()> },
    /// Ends the thread.
    Stop,
}

/// A call to a worker, made by the thread for worker calls.
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
    active_config_file: Option<PathBuf>,
    active_config: ActiveConfig,
    forwarded: ForwardedChanges,
    proposed_changes: ProposedChanges,
    reads: PendingReads,
    timers: Timers,
    self_messages: Vec<Message>,
    handover_waiter: Option<oneshot::Sender<()>>,
    last_leader: Option<InstanceId>,
    /// The remaining number of requests to the zone's other instances for the events that they keep.
    copy_requests_left: u32,
    /// The number of synced records, for the metrics.
    pub(crate) synced: u64,
}

/// The components of the core.
pub(crate) struct Parts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) replica: Replica,
    pub(crate) cell: Cell,
    pub(crate) links: Links,
    pub(crate) workers: UnboundedSender<WorkerCall>,
    pub(crate) active_config_file: Option<PathBuf>,
}

impl Core {
    /// Creates the core and activates the configuration that was active before a restart.
    ///
    /// # Errors
    /// Returns an error if the saved configuration cannot be read.
    pub(crate) fn new(parts: Parts) -> Result<Core> {
        let Parts { shared, replica, cell, links, workers, active_config_file } = parts;
        let settings = &shared.settings;
        let (zone, id) = (settings.own.zone.clone(), settings.own.id.clone());
        let zone_peers = settings.peers.values().filter(|p| p.zone == zone && p.id != id);
        let zone_peers = zone_peers.map(|p| p.id.clone()).collect();
        let role = ZoneRole::new(zone, id, zone_peers, settings.longest_request);
        let active_config = match &active_config_file {
            Some(path) => ActiveConfig::load(path)?,
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
            active_config_file,
            active_config: ActiveConfig::default(),
            forwarded: ForwardedChanges::default(),
            proposed_changes: ProposedChanges::default(),
            reads: PendingReads::default(),
            timers: Timers::default(),
            self_messages: Vec::new(),
            handover_waiter: None,
            last_leader: None,
            copy_requests_left: MAX_COPY_REQUESTS,
            synced: 0,
        };
        if let Some(active_config) = active_config {
            core.shared.put_config(active_config.config.clone());
            core.shared.put_drained(active_config.drained.clone());
            let zone_drained = active_config.drained_zones.contains(core.shared.zone());
            core.shared.set_zone_drained(zone_drained);
            core.active_config = active_config;
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
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for input in inputs.try_iter().take(MAX_BATCH_INPUTS) {
                match input {
                    Input::Stop => return Ok(()),
                    input => self.handle_input(input),
                }
            }
            let now = self.now();
            if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
                self.tick(now);
            }
            self.sync_and_apply()?;
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.shared.now()
    }

    fn handle_input(&mut self, input: Input) {
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
            Input::Handover { tx } => self.on_handover(now, tx),
            Input::Stop => {}
        }
    }

    fn leader(&self) -> Option<InstanceId> {
        self.replica.node().leader().cloned()
    }

    fn tick(&mut self, now: Millis) {
        self.replica.tick(now);
        lock(&self.shared.request_plane).tick(now);
        self.forwarded.expire(now);
        self.handle_leader_change();
        if self.reads.is_past_barrier(self.cell.applied) {
            self.become_ready();
        } else if is_due(now, &mut self.timers.barrier, BARRIER_INTERVAL) {
            self.request_barrier(now);
        }
        if is_due(now, &mut self.timers.leader_request, LEADER_REQUEST_INTERVAL) {
            self.send_leader_requests(now);
        }
        self.send_zone_messages(now);
        self.move_shares(now);
        let (actions, change) = self.role.tick(now, &self.cell);
        self.log_authority_change(change);
        for action in actions {
            self.perform(now, action);
        }
        self.reads.complete_due(now, self.cell.applied);
    }

    /// Completes the changes forwarded to a leader that has changed: their outcome is unknown.
    fn handle_leader_change(&mut self) {
        let leader = self.leader();
        if leader != self.last_leader {
            self.forwarded.abandon_all();
            self.last_leader = leader;
        }
    }

    fn perform(&mut self, now: Millis, action: Action) {
        match action {
            Action::Sync { worker, addr, req, timeout } => {
                let call = WorkerCall { epoch: req.epoch, worker, addr, req, timeout };
                // The thread for worker calls ends only with the process.
                let _ = self.workers.send(call);
            }
            Action::Propose(command) => self.request_change(now, command),
            Action::Event(event) => self.log_allocator_event(event),
        }
    }

    /// Syncs changes and applies what was committed, until nothing further is committed.
    fn sync_and_apply(&mut self) -> Result<()> {
        loop {
            let ready = self.replica.take_ready_before_sync();
            let mut more_committed = !ready.committed.is_empty();
            self.process_flushed(ready)?;
            let flushed = self.replica.flush()?;
            self.synced += flushed.synced as u64;
            more_committed |= !flushed.committed.is_empty();
            self.process_flushed(flushed)?;
            for message in std::mem::take(&mut self.self_messages) {
                let (now, id) = (self.now(), self.shared.id().clone());
                self.on_message(now, id, message);
            }
            if !more_committed && self.self_messages.is_empty() {
                break;
            }
        }
        self.compact()?;
        self.finish_handover();
        Ok(())
    }

    fn compact(&mut self) -> Result<()> {
        if self.replica.node().log_len() < COMPACT_AFTER_ENTRIES {
            return Ok(());
        }
        let index = self.cell.applied;
        self.replica.compact(index, self.cell.encode().into())?;
        let text = format!("up to entry {index}");
        self.shared.journal.record(&kinds::LOG_COMPACTED, Subject::default(), text);
        Ok(())
    }

    /// Refuses the links to these instances, for tests of network partitions.
    pub(crate) fn refuse_links(&self, peers: std::collections::BTreeSet<InstanceId>) {
        self.links.set_refused_peers(peers);
    }
}
