//! The thread that maintains the replicated log. Syncing a disk takes milliseconds, so it happens on a thread
//! of its own that blocks nothing else. Inputs that arrive during a sync are synced together by the next one.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

use clock::{Clock, Millis, SystemClock, thread_cpu_time};
use consensus::{Committed, Envelope, Flushed, Membership, Notice, Payload, Replica};
use errors::{Error, Result};
use model::{Incarnation, InstanceId};
use tokio::sync::mpsc::UnboundedSender;
use transport::Links;
use workload::{Command, ReplicatedState};

use crate::log_store::{self, OpenedLog};
use crate::message::Message;
use crate::settings::NodeSettings;

/// The interval of the log's ticks when no input arrives.
const TICK_INTERVAL: Millis = Millis(25);
/// How many entries the log may hold after the last snapshot. Restoring them takes well under a second; more
/// would delay a restart.
const MAX_LOG_ENTRIES: usize = 4_000;
/// The pause between two attempts to use a disk that has failed. A full disk mostly has free space again
/// within seconds, and each attempt reads the whole log.
pub(crate) const DISK_RETRY_INTERVAL: Millis = Millis(500);

/// An input to the log thread.
pub(crate) enum LogInput {
    /// A message of another member.
    Message(Envelope),
    /// A batch of commands of the leader's dispatcher.
    Propose { term: u64, batch: u64, commands: Vec<Command> },
    /// An instance that wants to become a member.
    Admit { id: InstanceId, disk: Incarnation },
    /// Instances that may know the cell.
    Contacts(Vec<InstanceId>),
    /// A request to hand over leadership, for a planned stop.
    HandOver,
}

/// An event from the log thread.
pub(crate) enum LogEvent {
    /// This instance became the leader; `replicated` is the committed state at that point.
    LeadershipGained { term: u64, replicated: Box<ReplicatedState> },
    /// Every batch up to this one is committed.
    Committed { term: u64, batch: u64 },
    /// This instance no longer leads.
    LeadershipLost { term: u64, reason: String },
    /// An instance leads, possibly this one.
    LeaderChanged { term: u64, leader: InstanceId },
    /// The members changed, or were restored at the start.
    MembersChanged { voters: Vec<InstanceId>, learners: usize },
    /// The disk cannot be used; until it can, the instance does not participate in the log.
    DiskFailed(Error),
    /// The disk can be used again, after the given time.
    DiskRecovered(Millis),
    /// The log is permanently unusable, so the process must exit.
    Failed(Error),
}

/// The handle to the log thread.
pub(crate) struct LogHandle {
    tx: Sender<LogInput>,
    leads_until: Arc<AtomicU64>,
    cpu_micros: Arc<AtomicU64>,
    /// The incarnation of the disk, under which this instance votes.
    pub(crate) disk: Incarnation,
}

impl LogHandle {
    /// Sends an input to the log thread.
    pub(crate) fn send(&self, input: LogInput) {
        // The thread ends only when its disk has failed permanently, which it has reported.
        let _ = self.tx.send(input);
    }

    /// Returns the processor time that the log thread has used.
    pub(crate) fn cpu_time(&self) -> Duration {
        Duration::from_micros(self.cpu_micros.load(Ordering::Relaxed))
    }

    /// Returns until when this instance leads and no other one can.
    pub(crate) fn leads_until(&self) -> Millis {
        Millis(self.leads_until.load(Ordering::Acquire))
    }
}

/// Starts the log thread.
///
/// # Errors
/// Returns [`Error::Refused`] if the thread cannot be started.
pub(crate) fn spawn(
    opened: OpenedLog,
    settings: NodeSettings,
    clock: Arc<SystemClock>,
    links: Arc<Links>,
    events: UnboundedSender<LogEvent>,
) -> Result<LogHandle> {
    let (tx, rx) = channel();
    let leads_until = Arc::new(AtomicU64::new(0));
    let cpu_micros = Arc::new(AtomicU64::new(0));
    let disk = opened.disk;
    let log = LogThread {
        replica: Some(opened.replica),
        replicated: opened.replicated,
        applied: opened.applied,
        settings,
        disk_failed_at: Millis::ZERO,
        next_disk_retry_at: Millis::ZERO,
        clock,
        links,
        events,
        leads_until: leads_until.clone(),
        cpu_micros: cpu_micros.clone(),
        proposed: VecDeque::new(),
        leading_term: None,
        reported_leader: None,
        failed: false,
    };
    thread::Builder::new()
        .name("log".into())
        .spawn(move || log.run(&rx))
        .map_err(|e| Error::Refused(format!("cannot start a thread: {e}")))?;
    Ok(LogHandle { tx, leads_until, cpu_micros, disk })
}

struct LogThread {
    /// The member with its disk; `None` while the disk cannot be used.
    replica: Option<Replica>,
    /// The committed state.
    replicated: ReplicatedState,
    applied: u64,
    settings: NodeSettings,
    /// When the disk failed.
    disk_failed_at: Millis,
    /// When the next attempt to use the disk is made.
    next_disk_retry_at: Millis,
    clock: Arc<SystemClock>,
    links: Arc<Links>,
    events: UnboundedSender<LogEvent>,
    leads_until: Arc<AtomicU64>,
    cpu_micros: Arc<AtomicU64>,
    /// The uncommitted batches of this term, each with the index of its entry.
    proposed: VecDeque<(u64, u64)>,
    /// The term for which this instance's leadership was reported.
    leading_term: Option<u64>,
    reported_leader: Option<(u64, InstanceId)>,
    /// Whether the log is permanently unusable.
    failed: bool,
}

impl LogThread {
    fn run(mut self, rx: &Receiver<LogInput>) {
        let mut next_tick_at = Millis::ZERO;
        if let Some(replica) = &self.replica {
            self.report_members(replica.node().membership());
        }
        while !self.failed {
            let wait = next_tick_at.since(self.clock.now());
            match rx.recv_timeout(wait.duration()) {
                Ok(input) => {
                    self.on_input(input);
                    while let Ok(input) = rx.try_recv() {
                        self.on_input(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.now();
            if now >= next_tick_at {
                next_tick_at = now + TICK_INTERVAL;
                match &mut self.replica {
                    Some(replica) => replica.tick(now),
                    None => self.reopen_disk(now),
                }
            }
            if let Err(e) = self.flush() {
                self.disk_failed(e);
            }
            let micros = thread_cpu_time().as_micros() as u64;
            self.cpu_micros.store(micros, Ordering::Relaxed);
        }
    }

    /// Drops the member whose disk has failed, with everything that was not synced. To the other members the
    /// instance appears to be down; nothing is acknowledged until the disk has recovered.
    fn disk_failed(&mut self, e: Error) {
        self.lose_leadership("the disk failed");
        self.replica = None;
        self.disk_failed_at = self.clock.now();
        self.next_disk_retry_at = self.disk_failed_at + DISK_RETRY_INTERVAL;
        self.failed = !log_store::is_transient(&e);
        self.send_event(if self.failed { LogEvent::Failed(e) } else { LogEvent::DiskFailed(e) });
    }

    /// Restores the member from the disk once it can be used again.
    fn reopen_disk(&mut self, now: Millis) {
        if now < self.next_disk_retry_at {
            return;
        }
        match log_store::reopen(&self.settings, &self.clock) {
            Ok(opened) => {
                self.replicated = opened.replicated;
                self.applied = opened.applied;
                self.report_members(opened.replica.node().membership());
                self.replica = Some(opened.replica);
                self.reported_leader = None;
                self.send_event(LogEvent::DiskRecovered(
                    self.clock.now().since(self.disk_failed_at),
                ));
            }
            Err(e) if log_store::is_transient(&e) => {
                self.next_disk_retry_at = self.clock.now() + DISK_RETRY_INTERVAL
            }
            Err(e) => {
                self.failed = true;
                self.send_event(LogEvent::Failed(e));
            }
        }
    }

    fn send_event(&self, event: LogEvent) {
        // The send fails only if the process is about to exit.
        let _ = self.events.send(event);
    }

    fn report_members(&self, m: &Membership) {
        let voters = m.voters.keys().cloned().collect();
        self.send_event(LogEvent::MembersChanged { voters, learners: m.learners.len() });
    }

    fn on_input(&mut self, input: LogInput) {
        let now = self.clock.now();
        // Without a disk nothing can be made durable, so all inputs are dropped; the senders will repeat them.
        let Some(replica) = &mut self.replica else { return };
        match input {
            LogInput::Message(envelope) => replica.receive(now, envelope),
            LogInput::Propose { term, batch, commands } => {
                self.propose(now, term, batch, &commands)
            }
            LogInput::Admit { id, disk } => replica.admit(now, &id, disk),
            LogInput::Contacts(ids) => replica.add_contacts(ids),
            LogInput::HandOver => replica.transfer_leadership(now),
        }
    }

    fn propose(&mut self, now: Millis, term: u64, batch: u64, commands: &[Command]) {
        let Some(replica) = self.replica.as_mut().filter(|_| self.leading_term == Some(term))
        else {
            return;
        };
        let Ok(data) = postcard::to_allocvec(commands) else {
            self.lose_leadership("a batch could not be written");
            return;
        };
        match replica.propose(now, data.into()) {
            Ok((index, in_term)) if in_term == term => self.proposed.push_back((index, batch)),
            // The leader of another term does not know this dispatcher's batches.
            _ => self.lose_leadership("a proposal was refused"),
        }
    }

    fn lose_leadership(&mut self, reason: &str) {
        if let Some(term) = self.leading_term.take() {
            self.proposed.clear();
            self.leads_until.store(0, Ordering::Release);
            self.send_event(LogEvent::LeadershipLost { term, reason: reason.to_string() });
        }
    }

    fn flush(&mut self) -> Result<()> {
        let Some(replica) = &mut self.replica else { return Ok(()) };
        let ahead = replica.take_ready_before_sync();
        self.apply_flushed(ahead)?;
        let Some(replica) = &mut self.replica else { return Ok(()) };
        let flushed = replica.flush()?;
        self.apply_flushed(flushed)?;
        let Some(replica) = &mut self.replica else { return Ok(()) };
        if replica.node().log_len() > MAX_LOG_ENTRIES && self.applied > 0 {
            let data = self.replicated.encode()?;
            replica.compact(self.applied, data.into())?;
        }
        Ok(())
    }

    /// Sends the messages, handles the notices and applies the committed entries of a flush.
    fn apply_flushed(&mut self, flushed: Flushed) -> Result<()> {
        for envelope in flushed.messages {
            let to = envelope.to.clone();
            self.links.send(&to, 0, Message::Log(envelope));
        }
        for notice in flushed.notices {
            self.on_notice(notice);
        }
        for committed in flushed.committed {
            self.apply_committed(committed)?;
        }
        self.report_changes();
        Ok(())
    }

    fn on_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Resigned { reason, .. } => self.lose_leadership(reason),
            Notice::MembershipChanged(m) => self.report_members(&m),
            Notice::Bootstrapped | Notice::BecameLeader { .. } => {}
        }
    }

    fn apply_committed(&mut self, committed: Committed) -> Result<()> {
        match committed {
            Committed::Snapshot(snapshot) => {
                self.replicated = ReplicatedState::decode(&snapshot.data)?;
                self.applied = snapshot.last_index;
            }
            Committed::Entry(entry) => {
                self.applied = entry.index;
                if let Payload::Command(data) = &entry.payload {
                    let fault = |e: postcard::Error| Error::Decode {
                        what: "a batch of commands",
                        reason: e.to_string(),
                    };
                    let commands: Vec<Command> = postcard::from_bytes(data).map_err(fault)?;
                    commands.iter().for_each(|c| self.replicated.apply(c));
                }
            }
        }
        Ok(())
    }

    /// Reports changes of the leader and newly committed batches.
    fn report_changes(&mut self) {
        let now = self.clock.now();
        let Some(replica) = &self.replica else { return };
        let node = replica.node();
        let (term, lease_until) = (node.term(), node.lease_until(now));
        if let Some(leader) = node.leader().cloned() {
            let current = Some((term, leader.clone()));
            if self.reported_leader != current {
                self.reported_leader = current;
                self.send_event(LogEvent::LeaderChanged { term, leader });
            }
        }
        if self.leading_term.is_some_and(|t| t != term) {
            self.lose_leadership("a newer term");
        }
        if self.leading_term.is_none() && lease_until > now {
            self.leading_term = Some(term);
            self.send_event(LogEvent::LeadershipGained {
                term,
                replicated: Box::new(self.replicated.clone()),
            });
        }
        if self.leading_term.is_some() {
            self.leads_until.store(lease_until.0, Ordering::Release);
        }
        let mut last_committed = None;
        while self.proposed.front().is_some_and(|(index, _)| *index <= self.applied) {
            last_committed = self.proposed.pop_front().map(|(_, batch)| batch);
        }
        if let (Some(batch), Some(term)) = (last_committed, self.leading_term) {
            self.send_event(LogEvent::Committed { term, batch });
        }
    }
}
