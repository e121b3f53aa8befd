//! The listeners' way into a process: calls go in, answers come back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use clock::Millis;
use dispatch::{Answer, Call, WorkerAnnouncement};
use errors::{Error, Result};
use events::{kinds, log_decision};
use metrics::Registry;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::timeout;
use workload::WorkerId;

/// The figure that counts announcements which name no worker, by their fault.
const FAULTY_ANNOUNCEMENTS: &str = "heathvale_announcements_faulty_total";
/// The most signs of an id that is no worker's in the log.
const LONGEST_SUBJECT: usize = 64;

/// What listeners and signals tell a process.
pub(crate) enum Arrival {
    /// Somebody asks for something and waits.
    Call { call: Call, patience: Millis, tx: oneshot::Sender<Answer> },
    /// A worker announced itself.
    Announcement(WorkerAnnouncement),
    /// A worker announced that it is leaving; the leader's word on it is awaited.
    Leaving { news: WorkerAnnouncement, tx: oneshot::Sender<()> },
    /// A worker said that it ends.
    Left(WorkerId),
    /// The process was told something.
    Signal(Signal),
}

/// What a process is told from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Finish what is under way and end.
    Stop,
    /// The settings have changed.
    Reload,
}

/// Hands what listeners take in to the process.
#[derive(Clone)]
pub struct NodeHandle {
    tx: UnboundedSender<Arrival>,
    ready: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
    metrics: Arc<Registry>,
}

impl NodeHandle {
    /// Makes a gate through which signals come, too, and gives what arrives at it.
    ///
    /// # Errors
    /// If the signals cannot be watched.
    pub(crate) fn open(metrics: Arc<Registry>) -> Result<(NodeHandle, UnboundedReceiver<Arrival>)> {
        let (tx, rx) = unbounded_channel();
        let handle = NodeHandle { tx, ready: Arc::default(), stopping: Arc::default(), metrics };
        watch_signals(&handle)?;
        Ok((handle, rx))
    }

    /// Gives the process's figures in text form.
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }

    /// Has a call answered. It gives up after `patience`, and says then whether the call may have
    /// been carried out.
    pub async fn call(&self, call: Call, patience: Millis) -> Answer {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Arrival::Call { call, patience, tx }).is_err() {
            return Answer::NotDone { retry_after: patience };
        }
        // The process drops a call only when it ends, when nobody knows what became of it.
        rx.await.unwrap_or(Answer::Unsure { retry_after: Millis::ZERO })
    }

    /// Takes in a worker's announcement.
    pub fn announce(&self, news: WorkerAnnouncement) {
        // A process that ends has no use for it; the worker announces itself elsewhere next time.
        let _ = self.tx.send(Arrival::Announcement(news));
    }

    /// Counts an announcement that names no worker, and tells of the first one with each fault. Another writer may
    /// send them for ever, and the log must not fill with them.
    pub fn record_faulty_announcement(&self, fault: &'static str, id: &str) {
        if self.metrics.add(FAULTY_ANNOUNCEMENTS, fault, 1) == 1 {
            let subject: String = id.escape_default().take(LONGEST_SUBJECT).collect();
            let details = format!("fault={fault} counted_as={FAULTY_ANNOUNCEMENTS}");
            log_decision(&kinds::ANNOUNCEMENT_FAULTY, &subject, &details);
        }
    }

    /// Takes in that a worker is leaving, and tells whether the leader knows of it within `patience`: only
    /// then will surely nothing more be started there.
    pub async fn announce_leaving(&self, news: WorkerAnnouncement, patience: Millis) -> bool {
        let (tx, rx) = oneshot::channel();
        // As for news.
        let _ = self.tx.send(Arrival::Leaving { news, tx });
        matches!(timeout(patience.duration(), rx).await, Ok(Ok(())))
    }

    /// Takes in that a worker ends.
    pub fn deregister(&self, worker: WorkerId) {
        // As for news.
        let _ = self.tx.send(Arrival::Left(worker));
    }

    /// Tells whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Tells whether the process was told to stop, so that connections should not be kept.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn signal(&self, signal: Signal) {
        // A process that ends needs no signal.
        let _ = self.tx.send(Arrival::Signal(signal));
    }
}

/// Hands the signals of the operating system to a process.
///
/// # Errors
/// [`Error::Refused`] if signals cannot be taken in.
fn watch_signals(handle: &NodeHandle) -> Result<()> {
    let refused = |e: std::io::Error| Error::Refused(format!("cannot take in signals: {e}"));
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(refused)?;
    let handle = handle.clone();
    let watch = move || {
        for signal in signals.forever() {
            handle.signal(if signal == SIGHUP { Signal::Reload } else { Signal::Stop });
        }
    };
    thread::Builder::new().name("signals".into()).spawn(watch).map_err(refused)?;
    Ok(())
}
