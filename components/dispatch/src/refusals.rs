//! Keeps the last refused jobs, so that operators can tell why a job was refused, and counts and
//! logs refusals.
//!
//! Load pattern: hundreds of jobs are refused in a second, each up to four times. What is kept and
//! logged of them is bounded.

use std::collections::{BTreeMap, VecDeque};

use clock::Millis;
use events::kinds;
use model::Name;
use workload::JobId;

use crate::admission::WaitForecast;
use crate::call::Answer;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::job_memory::MemoryShortage;
use crate::limits::{
    MAX_KEPT_REFUSALS, MAX_REFUSAL_LINES_PER_SECOND, MIN_REFUSAL_RETRY, REFUSAL_LINE_WINDOW,
};

/// A job that was refused, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusedJob {
    /// When it was last refused, by the leader's monotonic clock.
    pub at: Millis,
    /// When it was last refused, by the leader's wall clock.
    pub at_wall: Millis,
    /// How often it was refused, as far as it was kept.
    pub times: u32,
    /// Its queue.
    pub queue: Name,
    /// Its organisation, if it has one.
    pub organisation: Option<Name>,
    /// After how long its caller was told to retry.
    pub retry_after: Millis,
    /// The reason.
    pub cause: RefusalCause,
}

/// Why a job was refused.
#[derive(Clone, Debug, PartialEq)]
pub enum RefusalCause {
    /// It would end too late, by this forecast.
    Wait(WaitForecast),
    /// There is no memory for it.
    Memory(MemoryShortage),
}

/// The refusals of this leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct Refusals {
    by_job: BTreeMap<JobId, RefusedJob>,
    /// The refusals that are kept, the oldest first. One is outdated if its job was refused again
    /// later or was accepted.
    order: VecDeque<(Millis, JobId)>,
    pub(crate) by_queue: BTreeMap<Name, u64>,
    pub(crate) by_organisation: BTreeMap<Name, u64>,
    pub(crate) total: u64,
    /// How many of them were for want of memory.
    pub(crate) for_memory: u64,
    /// When the log lines of the last second were written.
    recent_lines: VecDeque<Millis>,
    /// The number of refusals without a log line since the last one with a line.
    not_logged: u64,
}

impl Refusals {
    fn record(&mut self, id: JobId, mut refused: RefusedJob) {
        self.total += 1;
        *self.by_queue.entry(refused.queue.clone()).or_default() += 1;
        if let Some(organisation) = &refused.organisation {
            *self.by_organisation.entry(organisation.clone()).or_default() += 1;
        }
        refused.times += self.by_job.get(&id).map_or(0, |earlier| earlier.times);
        self.order.push_back((refused.at, id));
        self.by_job.insert(id, refused);
        while self.order.len() > MAX_KEPT_REFUSALS {
            let Some((at, oldest)) = self.order.pop_front() else { return };
            if self.by_job.get(&oldest).is_some_and(|r| r.at == at) {
                self.by_job.remove(&oldest);
            }
        }
    }

    /// Returns how many refusals were not logged since the last line, if one may be written now.
    fn next_line(&mut self, now: Millis) -> Option<u64> {
        self.recent_lines.retain(|at| now.since(*at) < REFUSAL_LINE_WINDOW);
        if self.recent_lines.len() >= MAX_REFUSAL_LINES_PER_SECOND {
            self.not_logged += 1;
            return None;
        }
        self.recent_lines.push_back(now);
        Some(std::mem::take(&mut self.not_logged))
    }
}

impl Dispatcher {
    /// Returns why a job was last refused, if it is among the last refused jobs and was not
    /// accepted since.
    pub fn refusal(&self, id: JobId) -> Option<&RefusedJob> {
        self.refusals.by_job.get(&id)
    }

    /// Returns how many submissions were refused in this term, by queue.
    pub fn refused_by_queue(&self) -> &BTreeMap<Name, u64> {
        &self.refusals.by_queue
    }

    /// Returns the answer to a call that repeats one that was just refused. Entry instances send a
    /// call again if its answer is late, and callers are told that a refused job never runs, so a
    /// copy that is still in transit must not be accepted.
    pub(crate) fn refuse_copy(&self, m: Moment, id: JobId) -> Option<Answer> {
        let refused = self.refusal(id)?;
        let passed = m.now.since(refused.at);
        let retry_after = refused.retry_after.since(passed);
        (passed < MIN_REFUSAL_RETRY).then_some(Answer::NotDone { retry_after })
    }

    /// Forgets the refusal of a job that is accepted now.
    pub(crate) fn forget_refusal(&mut self, id: JobId) {
        self.refusals.by_job.remove(&id);
    }

    /// Records the refusal of a job, and logs it unless there are too many.
    pub(crate) fn record_refusal(
        &mut self,
        m: Moment,
        id: JobId,
        queue: &Name,
        organisation: Option<Name>,
        (retry_after, cause): (Millis, RefusalCause),
    ) {
        let kind = match cause {
            RefusalCause::Wait(_) => &kinds::JOB_REFUSED,
            RefusalCause::Memory(_) => &kinds::JOB_REFUSED_FOR_MEMORY,
        };
        self.refusals.for_memory += u64::from(matches!(cause, RefusalCause::Memory(_)));
        if let Some(not_logged) = self.refusals.next_line(m.now) {
            let of = organisation.as_deref().unwrap_or("-");
            let about = format!("queue={queue} organisation={of} retry_after_ms={}", retry_after.0);
            let (why, term) = (describe(&cause), self.term);
            let details = format!("{about} {why} term={term} not_logged={not_logged}");
            self.log_event(kind, id, details);
        }
        let refused = RefusedJob {
            at: m.now,
            at_wall: m.wall,
            times: 1,
            queue: queue.clone(),
            organisation,
            retry_after,
            cause,
        };
        self.refusals.record(id, refused);
    }
}

/// Returns what a refusal was decided by, for the log.
fn describe(cause: &RefusalCause) -> String {
    match cause {
        RefusalCause::Wait(f) => format!(
            "starts_in_ms={} ends_in_ms={} objective_ms={} ahead_core_ms={} ahead_mb_ms={} \
             own_core_ms={} share={:.3} capacity_milli={} efficiency={:.2}",
            f.starts_in.0,
            f.ends_in.0,
            f.objective.0,
            f.ahead.cpu_milli_ms / 1_000,
            f.ahead.memory_mb_ms,
            f.own_ahead.cpu_milli_ms / 1_000,
            f.share,
            f.capacity.cpu_milli,
            f.efficiency,
        ),
        RefusalCause::Memory(s) => {
            format!("footprint={} taken={} limit={}", s.footprint, s.taken, s.limit)
        }
    }
}
