//! The session with one worker: its pending commands, its last report and the expiry of its lease.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use clock::Millis;
use model::{Name, Size, TaskId};
use upstream::{Lease, RunningTask, StartTask, StopTask, SyncRequest};

use crate::lease::{Authority, lease_expiry_bound};

/// How many times a lease is renewed within its length.
const RENEWALS_PER_LEASE: u64 = 3;
/// The maximum number of tasks started by one call. It bounds the size of the call.
const MAX_STARTS_PER_CALL: usize = 256;
/// After how many unanswered calls in a row a worker gets no new tasks.
const SILENT_AFTER_CALLS: u32 = 2;

/// The header of a worker's last report.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    /// The id of the worker's process.
    boot: u64,
    /// The worker's clock when it made the report.
    worker_now: Millis,
    /// When the report was received, by this instance's clock. The worker read its own clock before that.
    at: Millis,
}

/// The session with one worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerSession {
    pub(crate) name: Name,
    pub(crate) addr: SocketAddr,
    pub(crate) listed_as_leaving: bool,
    pub(crate) reported_leaving: bool,
    last_report: Option<LastReport>,
    seq: u64,
    in_flight: Option<u64>,
    next_call: Millis,
    unanswered: u32,
    /// When every lease granted so far has certainly expired at the worker.
    lease_expires_by: Millis,
    running: BTreeSet<RunningTask>,
    /// The capacity that the worker uses for tasks not placed by this allocator. Those tasks are being stopped.
    pub(crate) stray: Size,
    pub(crate) to_start: BTreeMap<TaskId, QueuedStart>,
    pub(crate) to_stop: BTreeMap<RunningTask, bool>,
    pub(crate) to_forget: BTreeSet<RunningTask>,
}

/// A task start that the worker has not confirmed in a report yet.
#[derive(Clone, Debug)]
pub(crate) struct QueuedStart {
    pub(crate) start: StartTask,
    /// Whether it was part of any call, so that the worker may have started the task.
    pub(crate) sent: bool,
}

impl WorkerSession {
    pub(crate) fn new(name: Name, addr: SocketAddr, now: Millis) -> WorkerSession {
        WorkerSession {
            name,
            addr,
            listed_as_leaving: false,
            reported_leaving: false,
            last_report: None,
            seq: 0,
            in_flight: None,
            next_call: now,
            unanswered: 0,
            lease_expires_by: Millis::ZERO,
            running: BTreeSet::new(),
            stray: Size::ZERO,
            to_start: BTreeMap::new(),
            to_stop: BTreeMap::new(),
            to_forget: BTreeSet::new(),
        }
    }

    pub(crate) fn has_reported(&self) -> bool {
        self.last_report.is_some()
    }

    pub(crate) fn is_answering(&self) -> bool {
        self.last_report.is_some() && self.unanswered < SILENT_AFTER_CALLS
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.listed_as_leaving || self.reported_leaving
    }

    pub(crate) fn is_running(&self, task: &TaskId) -> bool {
        let from = RunningTask { task: task.clone(), generation: 0 };
        self.running.range(from..).next().is_some_and(|r| r.task == *task)
    }

    /// Returns whether `seq` is the call in flight, and marks that call as answered.
    pub(crate) fn accept_reply(&mut self, seq: u64) -> bool {
        let current = self.in_flight == Some(seq);
        if current {
            self.in_flight = None;
        }
        current
    }

    pub(crate) fn record_report(
        &mut self,
        now: Millis,
        boot: u64,
        worker_now: Millis,
        running: impl Iterator<Item = RunningTask>,
    ) {
        self.last_report = Some(LastReport { boot, worker_now, at: now });
        self.unanswered = 0;
        self.running = running.collect();
    }

    /// Returns the id of the process that sent the last report, or zero if there is none.
    pub(crate) fn boot(&self) -> u64 {
        self.last_report.map_or(0, |l| l.boot)
    }

    pub(crate) fn record_no_answer(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Skips the sequence numbers of calls that another process made under the same epoch.
    pub(crate) fn advance_seq_to(&mut self, seq: u64) {
        self.seq = self.seq.max(seq);
    }

    pub(crate) fn call_soon(&mut self, now: Millis) {
        self.next_call = self.next_call.min(now);
    }

    pub(crate) fn is_lost(&self, now: Millis) -> bool {
        self.last_report.is_some() && self.unanswered > 0 && now >= self.lease_expires_by
    }

    /// Discards the tasks of a worker whose lease has expired. The worker has to report again before it gets tasks.
    pub(crate) fn discard_tasks(&mut self) {
        self.last_report = None;
        // A reply still in flight would report tasks that have been stopped since.
        self.in_flight = None;
        self.running.clear();
        self.to_start.clear();
        self.to_stop.clear();
    }

    pub(crate) fn is_due(&self, now: Millis, authority: Authority) -> bool {
        let starts = self.to_start.values().any(|q| may_start(authority, &q.start));
        let has_commands = starts || !self.to_stop.is_empty() || !self.to_forget.is_empty();
        let answered = self.unanswered == 0 && self.last_report.is_some();
        self.in_flight.is_none() && (now >= self.next_call || (has_commands && answered))
    }

    /// Builds the next call. The first call only requests a report, because a lease is expressed in the worker's own
    /// clock, which is known only from a report.
    pub(crate) fn next_request(
        &mut self,
        now: Millis,
        epoch: model::Epoch,
        worker_lease: Millis,
        authority: Authority,
    ) -> SyncRequest {
        self.seq += 1;
        self.in_flight = Some(self.seq);
        self.next_call = now + renewal_interval(worker_lease);
        let mut req = SyncRequest {
            epoch,
            seq: self.seq,
            boot: 0,
            lease: None,
            start: Vec::new(),
            stop: Vec::new(),
            forget: Vec::new(),
        };
        let Some(last) = self.last_report else { return req };
        let until = last.worker_now + worker_lease;
        req.boot = last.boot;
        req.lease = Some(Lease {
            fixed_until: until,
            movable_until: if authority == Authority::Full { until } else { Millis::ZERO },
        });
        self.lease_expires_by =
            self.lease_expires_by.max(lease_expiry_bound(last.at, worker_lease));
        let allowed = self.to_start.values_mut().filter(|q| may_start(authority, &q.start));
        for queued in allowed.take(MAX_STARTS_PER_CALL) {
            queued.sent = true;
            req.start.push(queued.start.clone());
        }
        req.stop = self.to_stop.iter().map(|(r, &checkpoint)| stop(r, checkpoint)).collect();
        req.forget = self.to_forget.iter().cloned().collect();
        req
    }
}

/// Returns the interval between calls to a worker, which is also the timeout of a call.
pub(crate) fn renewal_interval(worker_lease: Millis) -> Millis {
    Millis(worker_lease.0 / RENEWALS_PER_LEASE)
}

/// Returns whether the allocator is permitted to send a start. Until it is, the start stays queued in the session.
fn may_start(authority: Authority, start: &StartTask) -> bool {
    match authority {
        Authority::Full => true,
        Authority::ZoneOnly => !start.may_move,
        Authority::RenewOnly => false,
    }
}

fn stop(running: &RunningTask, checkpoint: bool) -> StopTask {
    StopTask { task: running.task.clone(), generation: running.generation, checkpoint }
}
