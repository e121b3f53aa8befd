//! The thread that keeps the replicated log. Syncing a disk takes milliseconds, so it happens here
//! and nothing else waits for it; what comes in meanwhile is synced together next time.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;

use clock::{Clock, Millis, SystemClock};
use consensus::{Committed, Envelope, Flushed, Membership, Notice, Payload, Replica};
use errors::{Error, Result};
use model::{Incarnation, InstanceId};
use tokio::sync::mpsc::UnboundedSender;
use transport::Links;
use workload::{Command, ReplicatedState};

use crate::log_store::{self, OpenedLog};
use crate::message::Message;
use crate::settings::NodeSettings;

/// How often time passes for the log when nothing happens.
const TICK: Millis = Millis(25);
/// How many entries may lie behind the last snapshot. Reading them back takes well under a second.
const COMPACT_AFTER: usize = 4_000;
/// The pause between two tries to use a disk that has failed. A full disk mostly has room again within
/// seconds, and a try costs reading the log back.
pub(crate) const DISK_RETRY: Millis = Millis(500);

/// What the log takes in.
pub(crate) enum LogInput {
    /// Another member's message.
    Message(Envelope),
    /// The leader's dispatcher has a batch.
    Propose { term: u64, batch: u64, commands: Vec<Command> },
    /// An instance wants to be a member.
    Admit { id: InstanceId, disk: Incarnation },
    /// Instances that may know the cell.
    Contacts(Vec<InstanceId>),
    /// Lead no more, for a planned stop.
    HandOver,
}

/// What the log tells.
pub(crate) enum LogEvent {
    /// This instance leads, and this is everything committed up to there.
    Leads { term: u64, replicated: Box<ReplicatedState> },
    /// Every batch up to this one is committed.
    Committed { term: u64, batch: u64 },
    /// This instance leads no more.
    Deposed { term: u64, why: String },
    /// Somebody leads, maybe this instance.
    Leader { term: u64, leader: InstanceId },
    /// The members changed, or this is what they were at the start.
    Members { voters: Vec<InstanceId>, learners: usize },
    /// The disk cannot be used; the instance takes no part in the log until it can.
    DiskFailed(Error),
    /// The disk can be used again, after so long.
    DiskBack(Millis),
    /// The log cannot be used and will not be, so the process must end.
    Failed(Error),
}

/// The way to the log.
pub(crate) struct LogHandle {
    tx: Sender<LogInput>,
    leads_until: Arc<AtomicU64>,
    /// The disk that this instance votes by.
    pub(crate) disk: Incarnation,
}

impl LogHandle {
    /// Hands the log something to take in.
    pub(crate) fn send(&self, input: LogInput) {
        // The thread ends only when its disk fails, which it has told.
        let _ = self.tx.send(input);
    }

    /// Gives until when nobody else can lead.
    pub(crate) fn leads_until(&self) -> Millis {
        Millis(self.leads_until.load(Ordering::Acquire))
    }
}

/// Starts the thread.
///
/// # Errors
/// [`Error::Refused`] if no thread can be had.
pub(crate) fn spawn(
    opened: OpenedLog,
    settings: NodeSettings,
    clock: Arc<SystemClock>,
    links: Arc<Links>,
    events: UnboundedSender<LogEvent>,
) -> Result<LogHandle> {
    let (tx, rx) = channel();
    let leads_until = Arc::new(AtomicU64::new(0));
    let disk = opened.disk;
    let log = LogThread {
        replica: Some(opened.replica),
        replicated: opened.replicated,
        applied: opened.applied,
        settings,
        failed_at: Millis::ZERO,
        retry_at: Millis::ZERO,
        clock,
        links,
        events,
        leads_until: leads_until.clone(),
        proposed: VecDeque::new(),
        leads: None,
        told_leader: None,
        ended: false,
    };
    thread::Builder::new()
        .name("log".into())
        .spawn(move || log.run(&rx))
        .map_err(|e| Error::Refused(format!("cannot start a thread: {e}")))?;
    Ok(LogHandle { tx, leads_until, disk })
}

struct LogThread {
    /// The member with its disk; nothing while the disk cannot be used.
    replica: Option<Replica>,
    /// What is committed.
    replicated: ReplicatedState,
    applied: u64,
    settings: NodeSettings,
    /// When the disk failed, and when it is tried again.
    failed_at: Millis,
    retry_at: Millis,
    clock: Arc<SystemClock>,
    links: Arc<Links>,
    events: UnboundedSender<LogEvent>,
    leads_until: Arc<AtomicU64>,
    /// The batches of this term that are not committed, by the index of their entries.
    proposed: VecDeque<(u64, u64)>,
    /// The term in which the dispatcher was told that it leads.
    leads: Option<u64>,
    told_leader: Option<(u64, InstanceId)>,
    /// Whether the log cannot be used any more.
    ended: bool,
}

impl LogThread {
    fn run(mut self, rx: &Receiver<LogInput>) {
        let mut tick_at = Millis::ZERO;
        if let Some(replica) = &self.replica {
            self.tell_members(replica.node().membership());
        }
        while !self.ended {
            let wait = tick_at.since(self.clock.now());
            match rx.recv_timeout(wait.duration()) {
                Ok(input) => {
                    self.take(input);
                    while let Ok(input) = rx.try_recv() {
                        self.take(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.now();
            if now >= tick_at {
                tick_at = now + TICK;
                match &mut self.replica {
                    Some(replica) => replica.tick(now),
                    None => self.try_disk(now),
                }
            }
            if let Err(e) = self.flush() {
                self.disk_failed(e);
            }
        }
    }

    /// Drops the member whose disk has failed, with all that it had not synced. To the others the
    /// instance falls silent, as if its process had ended; nothing is acknowledged until the disk is back.
    fn disk_failed(&mut self, e: Error) {
        self.depose("the disk failed");
        self.replica = None;
        self.failed_at = self.clock.now();
        self.retry_at = self.failed_at + DISK_RETRY;
        self.ended = !log_store::may_pass(&e);
        self.tell(if self.ended { LogEvent::Failed(e) } else { LogEvent::DiskFailed(e) });
    }

    /// Begins anew from the disk once it can be used again.
    fn try_disk(&mut self, now: Millis) {
        if now < self.retry_at {
            return;
        }
        match log_store::open_again(&self.settings, &self.clock) {
            Ok(opened) => {
                self.replicated = opened.replicated;
                self.applied = opened.applied;
                self.tell_members(opened.replica.node().membership());
                self.replica = Some(opened.replica);
                self.told_leader = None;
                self.tell(LogEvent::DiskBack(self.clock.now().since(self.failed_at)));
            }
            Err(e) if log_store::may_pass(&e) => self.retry_at = self.clock.now() + DISK_RETRY,
            Err(e) => {
                self.ended = true;
                self.tell(LogEvent::Failed(e));
            }
        }
    }

    fn tell(&self, event: LogEvent) {
        // The process ends soon if nobody listens.
        let _ = self.events.send(event);
    }

    fn tell_members(&self, m: &Membership) {
        let voters = m.voters.keys().cloned().collect();
        self.tell(LogEvent::Members { voters, learners: m.learners.len() });
    }

    fn take(&mut self, input: LogInput) {
        let now = self.clock.now();
        // Without a disk nothing can be promised, so everything is dropped; whoever sent it asks again.
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
        let Some(replica) = self.replica.as_mut().filter(|_| self.leads == Some(term)) else {
            return;
        };
        let Ok(data) = postcard::to_allocvec(commands) else {
            self.depose("a batch could not be written");
            return;
        };
        match replica.propose(now, data.into()) {
            Ok((index, in_term)) if in_term == term => self.proposed.push_back((index, batch)),
            // Another term's leader knows nothing of this dispatcher's batches.
            _ => self.depose("a proposal was refused"),
        }
    }

    fn depose(&mut self, why: &str) {
        if let Some(term) = self.leads.take() {
            self.proposed.clear();
            self.leads_until.store(0, Ordering::Release);
            self.tell(LogEvent::Deposed { term, why: why.to_string() });
        }
    }

    fn flush(&mut self) -> Result<()> {
        let Some(replica) = &mut self.replica else { return Ok(()) };
        let ahead = replica.take_ready_before_sync();
        self.act_on(ahead)?;
        let Some(replica) = &mut self.replica else { return Ok(()) };
        let flushed = replica.flush()?;
        self.act_on(flushed)?;
        let Some(replica) = &mut self.replica else { return Ok(()) };
        if replica.node().log_len() > COMPACT_AFTER && self.applied > 0 {
            let data = self.replicated.encode()?;
            replica.compact(self.applied, data.into())?;
        }
        Ok(())
    }

    /// Sends and applies what may leave.
    fn act_on(&mut self, flushed: Flushed) -> Result<()> {
        for envelope in flushed.messages {
            let to = envelope.to.clone();
            self.links.send(&to, 0, Message::Log(envelope));
        }
        for notice in flushed.notices {
            self.on_notice(notice);
        }
        for committed in flushed.committed {
            self.apply(committed)?;
        }
        self.announce();
        Ok(())
    }

    fn on_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Resigned { reason, .. } => self.depose(reason),
            Notice::MembershipChanged(m) => self.tell_members(&m),
            Notice::Bootstrapped | Notice::BecameLeader { .. } => {}
        }
    }

    fn apply(&mut self, committed: Committed) -> Result<()> {
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

    /// Tells what has changed: who leads, and what is committed.
    fn announce(&mut self) {
        let now = self.clock.now();
        let Some(replica) = &self.replica else { return };
        let node = replica.node();
        let (term, until) = (node.term(), node.lease_until(now));
        if let Some(leader) = node.leader().cloned() {
            let told = Some((term, leader.clone()));
            if self.told_leader != told {
                self.told_leader = told;
                self.tell(LogEvent::Leader { term, leader });
            }
        }
        if self.leads.is_some_and(|t| t != term) {
            self.depose("a newer term");
        }
        if self.leads.is_none() && until > now {
            self.leads = Some(term);
            self.tell(LogEvent::Leads { term, replicated: Box::new(self.replicated.clone()) });
        }
        if self.leads.is_some() {
            self.leads_until.store(until.0, Ordering::Release);
        }
        let mut done = None;
        while self.proposed.front().is_some_and(|(index, _)| *index <= self.applied) {
            done = self.proposed.pop_front().map(|(_, batch)| batch);
        }
        if let (Some(batch), Some(term)) = (done, self.leads) {
            self.tell(LogEvent::Committed { term, batch });
        }
    }
}
