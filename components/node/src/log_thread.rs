//! The thread that keeps the replicated log. Syncing a disk takes milliseconds, so it happens here
//! and nothing else waits for it; what comes in meanwhile is synced together next time.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;

use clock::{Clock, Millis, SystemClock};
use consensus::{
    Committed, Disk, Envelope, FileDisk, Membership, MemoryDisk, Node, NodeConfig, Notice, Payload,
    Replica, Restored, Timing,
};
use errors::{Error, Result};
use model::{Incarnation, InstanceId};
use storage::DataFolder;
use tokio::sync::mpsc::UnboundedSender;
use transport::Links;
use workload::{Book, Command};

use crate::message::Message;
use crate::settings::NodeSettings;

/// How often time passes for the log when nothing happens.
const TICK: Millis = Millis(25);
/// How many entries may lie behind the last snapshot. Reading them back takes well under a second.
const COMPACT_AFTER: usize = 4_000;
/// After what silence a voter is removed once others are enough. Longer than any planned absence.
const SILENT_AFTER: Millis = Millis(8_000);
/// After what silence a voter's place goes to a caught-up reserve: longer than any pause of a process
/// that only waits for its processor, shorter than most restarts. A voter that comes back joins the
/// reserve, so a change made too early costs three small entries.
const REPLACE_AFTER: Millis = Millis(1_000);
/// Heartbeats and elections: every tenth of a second without a leader makes jobs late. A process may
/// go without its processor for a tenth of a second; a leader whose disk takes longer than the rest
/// for a sync does better to lose its lead.
const TIMING: Timing = Timing {
    heartbeat: Millis(50),
    election_min: Millis(250),
    election_max: Millis(450),
    drift_percent: 5,
};

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
    Leads { term: u64, book: Box<Book> },
    /// Every batch up to this one is committed.
    Committed { term: u64, batch: u64 },
    /// This instance leads no more.
    Deposed { term: u64, why: String },
    /// Somebody leads, maybe this instance.
    Leader { term: u64, leader: InstanceId },
    /// The members changed, or this is what they were at the start.
    Members { voters: Vec<InstanceId>, learners: usize },
    /// The disk failed, so the process must end.
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

/// A disk that is open, before the links are.
pub(crate) struct OpenedLog {
    replica: Replica,
    book: Book,
    applied: u64,
    disk: Incarnation,
    /// How many torn bytes were cut from the log's end.
    pub(crate) cut: u64,
    /// How many bytes the snapshot holds.
    pub(crate) snapshot_bytes: usize,
    /// How many entries were read back behind it.
    pub(crate) entries: usize,
}

impl OpenedLog {
    /// Gives the disk's number.
    pub(crate) fn disk(&self) -> Incarnation {
        self.disk
    }
}

/// Opens the disk and reads back what it remembers.
///
/// # Errors
/// If the disk cannot be used.
pub(crate) fn open(settings: &NodeSettings, clock: &SystemClock) -> Result<OpenedLog> {
    let mut disk: Box<dyn Disk> = Box::new(MemoryDisk);
    let mut incarnation = Incarnation(rand::random());
    let mut restored = Restored::default();
    let mut cut = 0;
    if let Some(path) = &settings.data_folder {
        let folder = DataFolder::open(path)?;
        incarnation = Incarnation(folder.incarnation());
        let (file, found) = FileDisk::open(folder)?;
        cut = file.cut();
        disk = Box::new(file);
        restored = found;
    }
    let cfg = NodeConfig {
        id: settings.id(),
        incarnation,
        founders: if settings.founds { settings.seeds.clone() } else { BTreeSet::new() },
        contacts: settings.seeds.clone(),
        observers: BTreeSet::new(),
        keep_voters: settings.keep_voters,
        silent_after: Some(SILENT_AFTER),
        replace_after: Some(REPLACE_AFTER),
        timing: TIMING,
        seed: rand::random(),
    };
    let book = Book::decode(&restored.snapshot.data)?;
    let applied = restored.snapshot.last_index;
    let (snapshot_bytes, entries) = (restored.snapshot.data.len(), restored.entries.len());
    let replica = Replica::new(Node::new(cfg, restored, clock.now()), disk);
    Ok(OpenedLog { replica, book, applied, disk: incarnation, cut, snapshot_bytes, entries })
}

/// Starts the thread.
///
/// # Errors
/// [`Error::Refused`] if no thread can be had.
pub(crate) fn spawn(
    opened: OpenedLog,
    clock: Arc<SystemClock>,
    links: Arc<Links>,
    events: UnboundedSender<LogEvent>,
) -> Result<LogHandle> {
    let (tx, rx) = channel();
    let leads_until = Arc::new(AtomicU64::new(0));
    let disk = opened.disk;
    let log = LogThread {
        replica: opened.replica,
        book: opened.book,
        applied: opened.applied,
        clock,
        links,
        events,
        leads_until: leads_until.clone(),
        proposed: VecDeque::new(),
        leads: None,
        told_leader: None,
        failed: AtomicBool::new(false),
    };
    thread::Builder::new()
        .name("log".into())
        .spawn(move || log.run(&rx))
        .map_err(|e| Error::Refused(format!("cannot start a thread: {e}")))?;
    Ok(LogHandle { tx, leads_until, disk })
}

struct LogThread {
    replica: Replica,
    /// What is committed.
    book: Book,
    applied: u64,
    clock: Arc<SystemClock>,
    links: Arc<Links>,
    events: UnboundedSender<LogEvent>,
    leads_until: Arc<AtomicU64>,
    /// The batches of this term that are not committed, by the index of their entries.
    proposed: VecDeque<(u64, u64)>,
    /// The term in which the dispatcher was told that it leads.
    leads: Option<u64>,
    told_leader: Option<(u64, InstanceId)>,
    failed: AtomicBool,
}

impl LogThread {
    fn run(mut self, rx: &Receiver<LogInput>) {
        let mut tick_at = Millis::ZERO;
        self.tell_members(self.replica.node().membership());
        while !self.failed.load(Ordering::Relaxed) {
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
                self.replica.tick(now);
            }
            if let Err(e) = self.flush() {
                self.failed.store(true, Ordering::Relaxed);
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
        match input {
            LogInput::Message(envelope) => self.replica.receive(now, envelope),
            LogInput::Propose { term, batch, commands } => {
                self.propose(now, term, batch, &commands)
            }
            LogInput::Admit { id, disk } => self.replica.admit(now, &id, disk),
            LogInput::Contacts(ids) => self.replica.add_contacts(ids),
            LogInput::HandOver => self.replica.hand_over(now),
        }
    }

    fn propose(&mut self, now: Millis, term: u64, batch: u64, commands: &[Command]) {
        if self.leads != Some(term) {
            return;
        }
        let Ok(data) = postcard::to_allocvec(commands) else {
            self.depose("a batch could not be written");
            return;
        };
        match self.replica.propose(now, data.into()) {
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
        let flushed = self.replica.flush()?;
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
        if self.replica.node().log_len() > COMPACT_AFTER && self.applied > 0 {
            let data = self.book.encode()?;
            self.replica.compact(self.applied, data.into())?;
        }
        Ok(())
    }

    fn on_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Resigned { reason, .. } => self.depose(reason),
            Notice::MembershipChanged(m) => self.tell_members(&m),
            Notice::Founded | Notice::Leads { .. } => {}
        }
    }

    fn apply(&mut self, committed: Committed) -> Result<()> {
        match committed {
            Committed::Snapshot(snapshot) => {
                self.book = Book::decode(&snapshot.data)?;
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
                    commands.iter().for_each(|c| self.book.apply(c));
                }
            }
        }
        Ok(())
    }

    /// Tells what has changed: who leads, and what is committed.
    fn announce(&mut self) {
        let now = self.clock.now();
        let node = self.replica.node();
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
            self.tell(LogEvent::Leads { term, book: Box::new(self.book.clone()) });
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
