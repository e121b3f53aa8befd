//! The link to one worker: what it is to be told, what it last said, until when it may run tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use clock::Millis;
use model::{Name, Size, TaskId};
use upstream::{Lease, RunningTask, StartTask, StopTask, SyncRequest};

use crate::lease::{Authority, lease_expiry_bound};

/// A lease is renewed three times in its length.
const RENEWALS_PER_LEASE: u64 = 3;
/// The most tasks told to start in one call, so that a call stays small.
const MAX_STARTS: usize = 256;
/// After so many unanswered calls a worker gets no new tasks.
const SILENT_AFTER: u32 = 2;

/// What a worker said last.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    /// The worker's process.
    boot: u64,
    /// The worker's clock in the report.
    worker_now: Millis,
    /// When the report came, by our clock: the worker read its clock before that.
    at: Millis,
}

/// The link to one worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerSession {
    pub(crate) name: Name,
    pub(crate) addr: SocketAddr,
    pub(crate) leaving_listed: bool,
    pub(crate) leaving_reported: bool,
    last: Option<LastReport>,
    seq: u64,
    in_flight: Option<u64>,
    next_call: Millis,
    unanswered: u32,
    /// When every lease given so far has surely run out at the worker.
    lease_ends: Millis,
    running: BTreeSet<RunningTask>,
    /// What the worker spends on tasks that are not ours, which are being stopped.
    pub(crate) stray: Size,
    pub(crate) to_start: BTreeMap<TaskId, QueuedStart>,
    pub(crate) to_stop: BTreeMap<RunningTask, bool>,
    pub(crate) to_forget: BTreeSet<RunningTask>,
}

/// A start that the worker has not reported yet.
#[derive(Clone, Debug)]
pub(crate) struct QueuedStart {
    pub(crate) start: StartTask,
    /// Whether any call has carried it, so that the worker may have started it.
    pub(crate) sent: bool,
}

impl WorkerSession {
    pub(crate) fn new(name: Name, addr: SocketAddr, now: Millis) -> WorkerSession {
        WorkerSession {
            name,
            addr,
            leaving_listed: false,
            leaving_reported: false,
            last: None,
            seq: 0,
            in_flight: None,
            next_call: now,
            unanswered: 0,
            lease_ends: Millis::ZERO,
            running: BTreeSet::new(),
            stray: Size::ZERO,
            to_start: BTreeMap::new(),
            to_stop: BTreeMap::new(),
            to_forget: BTreeSet::new(),
        }
    }

    pub(crate) fn has_reported(&self) -> bool {
        self.last.is_some()
    }

    pub(crate) fn is_answering(&self) -> bool {
        self.last.is_some() && self.unanswered < SILENT_AFTER
    }

    pub(crate) fn leaving(&self) -> bool {
        self.leaving_listed || self.leaving_reported
    }

    pub(crate) fn runs(&self, task: &TaskId) -> bool {
        let from = RunningTask { task: task.clone(), generation: 0 };
        self.running.range(from..).next().is_some_and(|r| r.task == *task)
    }

    /// Tells whether `seq` is the call that is out, and notes that it is answered.
    pub(crate) fn takes_reply(&mut self, seq: u64) -> bool {
        let current = self.in_flight == Some(seq);
        if current {
            self.in_flight = None;
        }
        current
    }

    pub(crate) fn note_report(
        &mut self,
        now: Millis,
        boot: u64,
        worker_now: Millis,
        running: impl Iterator<Item = RunningTask>,
    ) {
        self.last = Some(LastReport { boot, worker_now, at: now });
        self.unanswered = 0;
        self.running = running.collect();
    }

    /// Gives the process that reported last, zero if none did.
    pub(crate) fn boot(&self) -> u64 {
        self.last.map_or(0, |l| l.boot)
    }

    pub(crate) fn note_silence(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Jumps ahead of calls that another process made under the same epoch.
    pub(crate) fn skip_to(&mut self, seq: u64) {
        self.seq = self.seq.max(seq);
    }

    pub(crate) fn call_soon(&mut self, now: Millis) {
        self.next_call = self.next_call.min(now);
    }

    pub(crate) fn lost(&self, now: Millis) -> bool {
        self.last.is_some() && self.unanswered > 0 && now >= self.lease_ends
    }

    /// Forgets what a worker ran whose lease has run out. It has to report before it gets tasks.
    pub(crate) fn forget_tasks(&mut self) {
        self.last = None;
        // An answer that is still under way tells of tasks that have been stopped since.
        self.in_flight = None;
        self.running.clear();
        self.to_start.clear();
        self.to_stop.clear();
    }

    pub(crate) fn is_due(&self, now: Millis, right: Authority) -> bool {
        let starts = self.to_start.values().any(|q| may_start(right, &q.start));
        let news = starts || !self.to_stop.is_empty() || !self.to_forget.is_empty();
        let answered = self.unanswered == 0 && self.last.is_some();
        self.in_flight.is_none() && (now >= self.next_call || (news && answered))
    }

    /// Makes the next call. Without a report there is no clock to give a lease by, so that the
    /// first call asks for a report only.
    pub(crate) fn next_request(
        &mut self,
        now: Millis,
        epoch: model::Epoch,
        worker_lease: Millis,
        right: Authority,
    ) -> SyncRequest {
        self.seq += 1;
        self.in_flight = Some(self.seq);
        self.next_call = now + renewal_period(worker_lease);
        let mut req = SyncRequest {
            epoch,
            seq: self.seq,
            boot: 0,
            lease: None,
            start: Vec::new(),
            stop: Vec::new(),
            forget: Vec::new(),
        };
        let Some(last) = self.last else { return req };
        let until = last.worker_now + worker_lease;
        req.boot = last.boot;
        req.lease = Some(Lease {
            fixed_until: until,
            movable_until: if right == Authority::Full { until } else { Millis::ZERO },
        });
        self.lease_ends = self.lease_ends.max(lease_expiry_bound(last.at, worker_lease));
        let allowed = self.to_start.values_mut().filter(|q| may_start(right, &q.start));
        for queued in allowed.take(MAX_STARTS) {
            queued.sent = true;
            req.start.push(queued.start.clone());
        }
        req.stop = self.to_stop.iter().map(|(r, &checkpoint)| stop(r, checkpoint)).collect();
        req.forget = self.to_forget.iter().cloned().collect();
        req
    }
}

/// Gives how often a worker is called, and how long an answer is waited for.
pub(crate) fn renewal_period(worker_lease: Millis) -> Millis {
    Millis(worker_lease.0 / RENEWALS_PER_LEASE)
}

/// A start waits in the link while the allocator may not make it.
fn may_start(right: Authority, start: &StartTask) -> bool {
    match right {
        Authority::Full => true,
        Authority::ZoneOnly => !start.may_move,
        Authority::RenewOnly => false,
    }
}

fn stop(running: &RunningTask, checkpoint: bool) -> StopTask {
    StopTask { task: running.task.clone(), generation: running.generation, checkpoint }
}
