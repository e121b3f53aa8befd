//! The waiting jobs of one class and organisation, and the order in which a planning round tries
//! them.
//!
//! When hundreds of an organisation's jobs wait and the oldest of them cannot start anywhere, a
//! round that tried only the oldest would never reach the jobs behind them, however much capacity
//! is free. Each round therefore also tries some of the younger jobs, in rotation.

use std::collections::BTreeMap;

use model::JobName;

/// The maximum number of stuck jobs that a round skips from the front of the queue. It bounds the
/// duration of a round.
const MAX_SKIPPED_OLDEST: usize = 64;
/// The maximum number of stuck jobs behind those that a round skips. With a round every 20 ms, each
/// of 800 such jobs is tried once a second, at the cost of a quarter more jobs examined in each
/// round.
const MAX_SKIPPED_IN_ROTATION: usize = 16;

/// Waiting jobs, by age.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrganisationQueue {
    jobs: BTreeMap<u64, JobName>,
    /// The order of the job that was last skipped in rotation.
    last_rotated: u64,
    pass: Pass,
}

/// The progress of the rotation through all jobs. Without it the planner could not tell when there
/// is nothing left to try, and would plan continuously while a long queue is stuck.
#[derive(Clone, Copy, Debug, Default)]
struct Pass {
    /// The planner's number of the pass. A higher number starts a new pass.
    number: u64,
    /// The order of the job after which the pass started.
    from: u64,
    has_wrapped: bool,
    is_complete: bool,
}

impl Pass {
    /// Records that the rotation has reached the job at `order`.
    fn record_reached(&mut self, order: u64) {
        self.is_complete |= self.has_wrapped && order >= self.from;
    }
}

/// The position of a round in a queue.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cursor {
    /// The order of the job after which the round continues.
    after: Option<u64>,
    skipped: usize,
}

impl OrganisationQueue {
    pub(crate) fn insert(&mut self, order: u64, job: JobName) {
        self.jobs.insert(order, job);
    }

    pub(crate) fn remove(&mut self, order: u64) {
        self.jobs.remove(&order);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns whether the pass has tried every job. Valid after a round that went as far as it
    /// may.
    pub(crate) fn is_pass_complete(&self) -> bool {
        self.jobs.len() <= MAX_SKIPPED_OLDEST || self.pass.is_complete
    }

    /// Returns the next job for the round to try.
    pub(crate) fn next(&self, cursor: &Cursor) -> Option<&JobName> {
        if cursor.skipped >= MAX_SKIPPED_OLDEST + MAX_SKIPPED_IN_ROTATION {
            return None;
        }
        self.first_after(cursor.after)
    }

    fn first_after(&self, after: Option<u64>) -> Option<&JobName> {
        let from = after.map_or(0, |order| order + 1);
        self.jobs.range(from..).next().map(|(_, job)| job)
    }

    /// Records that a round of a pass skips the job at `order`.
    pub(crate) fn skip_job(&mut self, order: u64, cursor: &mut Cursor, pass: u64) {
        cursor.skipped += 1;
        cursor.after = Some(order);
        if cursor.skipped == MAX_SKIPPED_OLDEST {
            cursor.after = Some(self.resume_after(order, pass));
        } else if cursor.skipped > MAX_SKIPPED_OLDEST {
            self.last_rotated = order;
            self.pass.record_reached(order);
        }
    }

    /// Returns the order of the job after which the rotation resumes. After the last job it starts
    /// over.
    fn resume_after(&mut self, oldest: u64, pass: u64) -> u64 {
        let can_resume =
            self.last_rotated > oldest && self.first_after(Some(self.last_rotated)).is_some();
        let after = if can_resume { self.last_rotated } else { oldest };
        if self.pass.number != pass {
            self.pass = Pass { number: pass, from: after, ..Pass::default() };
        } else if !can_resume {
            self.pass.has_wrapped = true;
        }
        self.pass.record_reached(after);
        after
    }
}
