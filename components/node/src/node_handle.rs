//! The handle through which listeners and signals reach a process.

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
use workload::{JobId, WorkerId};

use crate::job_report::JobReport;

/// The counter of faulty announcements, by fault.
const FAULTY_ANNOUNCEMENTS_METRIC: &str = "heathvale_announcements_faulty_total";
/// The counter of the clients that were turned away, by cause.
const TURNED_AWAY_METRIC: &str = "heathvale_clients_turned_away_total";
/// How many characters of an invalid worker id are logged.
const MAX_SUBJECT_LENGTH: usize = 64;

/// An event from a listener or a signal handler.
pub(crate) enum InboundEvent {
    /// A call whose caller waits for the answer.
    Call { call: Call, max_wait: Millis, tx: oneshot::Sender<Answer> },
    /// A worker sent an announcement.
    Announcement(WorkerAnnouncement),
    /// A worker announced that it is leaving and awaits the leader's acknowledgement.
    Leaving { announcement: WorkerAnnouncement, tx: oneshot::Sender<()> },
    /// A worker deregistered.
    Left(WorkerId),
    /// The process received a signal.
    Signal(Signal),
    /// An operator asks about a job.
    Explain { id: JobId, tx: oneshot::Sender<JobReport> },
}

/// A request to the process from the operating system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Finish the calls in progress and exit.
    Stop,
    /// Read the settings again.
    Reload,
}

/// The handle through which listeners submit calls and announcements to the process.
#[derive(Clone)]
pub struct NodeHandle {
    tx: UnboundedSender<InboundEvent>,
    ready: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
    metrics: Arc<Registry>,
}

impl NodeHandle {
    /// Creates a handle and the receiver of its events, and starts to watch the process's signals.
    ///
    /// # Errors
    /// Fails if the signals cannot be watched.
    pub(crate) fn open(
        metrics: Arc<Registry>,
    ) -> Result<(NodeHandle, UnboundedReceiver<InboundEvent>)> {
        let (tx, rx) = unbounded_channel();
        let handle = NodeHandle { tx, ready: Arc::default(), stopping: Arc::default(), metrics };
        watch_signals(&handle)?;
        Ok((handle, rx))
    }

    /// Returns the process's metrics in text form.
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }

    /// Submits a call and returns its answer. After `max_wait` the answer says whether the call may have
    /// been carried out.
    pub async fn call(&self, call: Call, max_wait: Millis) -> Answer {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(InboundEvent::Call { call, max_wait, tx }).is_err() {
            return Answer::NotDone { retry_after: max_wait };
        }
        // The process drops a call only when it exits; the outcome of the call is then unknown.
        rx.await.unwrap_or(Answer::Unsure { retry_after: Millis::ZERO })
    }

    /// Submits a worker's announcement.
    pub fn announce(&self, announcement: WorkerAnnouncement) {
        // The send fails only if the process is exiting; the worker's next announcement goes to another instance.
        let _ = self.tx.send(InboundEvent::Announcement(announcement));
    }

    /// Counts a faulty announcement, and logs only the first one with each fault: another writer may send them
    /// indefinitely, and they must not flood the log.
    pub fn record_faulty_announcement(&self, fault: &'static str, id: &str) {
        if self.metrics.add(FAULTY_ANNOUNCEMENTS_METRIC, fault, 1) == 1 {
            let subject: String = id.escape_default().take(MAX_SUBJECT_LENGTH).collect();
            let details = format!("fault={fault} counted_as={FAULTY_ANNOUNCEMENTS_METRIC}");
            log_decision(&kinds::ANNOUNCEMENT_FAULTY, &subject, &details);
        }
    }

    /// Counts a client that a listener turned away.
    pub fn count_turned_away(&self, cause: &'static str) {
        self.metrics.add(TURNED_AWAY_METRIC, cause, 1);
    }

    /// Sets a gauge of a listener.
    pub fn set_gauge(&self, name: &'static str, value: u64) {
        self.metrics.set(name, value);
    }

    /// Submits an announcement that a worker is leaving. Returns whether the leader acknowledged it within
    /// `max_wait`: only then it is certain that nothing more will be started on the worker.
    pub async fn announce_leaving(
        &self,
        announcement: WorkerAnnouncement,
        max_wait: Millis,
    ) -> bool {
        let (tx, rx) = oneshot::channel();
        // The send fails only if the process is exiting.
        let _ = self.tx.send(InboundEvent::Leaving { announcement, tx });
        matches!(timeout(max_wait.duration(), rx).await, Ok(Ok(())))
    }

    /// Submits that a worker has left.
    pub fn deregister(&self, worker: WorkerId) {
        // The send fails only if the process is exiting.
        let _ = self.tx.send(InboundEvent::Left(worker));
    }

    /// Returns what this instance knows about a job: the leader explains it, another instance names the leader.
    pub async fn explain(&self, id: JobId) -> JobReport {
        let (tx, rx) = oneshot::channel();
        // The send fails only if the process is exiting, which then no longer leads.
        let _ = self.tx.send(InboundEvent::Explain { id, tx });
        rx.await.unwrap_or(JobReport::NotLeader(None))
    }

    /// Returns whether callers should be sent to this instance.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Returns whether the process is stopping, so that connections should not be kept open.
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
        // The send fails only if the process is already exiting.
        let _ = self.tx.send(InboundEvent::Signal(signal));
    }
}

/// Starts a thread that forwards the signals of the operating system to the process.
///
/// # Errors
/// Returns [`Error::Refused`] if the signals cannot be watched.
fn watch_signals(handle: &NodeHandle) -> Result<()> {
    let refused = |e: std::io::Error| Error::Refused(format!("cannot watch signals: {e}"));
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
