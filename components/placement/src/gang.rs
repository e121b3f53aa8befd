//! Reservations for gangs: either all tasks of a gang start together or none does, and no gang
//! holds capacity for only some of its tasks.
//!
//! A gang that does not fit gets a reservation: the workers that can hold it soonest, and the time
//! at which they can. The reservation takes no capacity. Other work may start on those workers only
//! if it is expected to end before that time.

use clock::Millis;
use model::{JobSpec, Size};

use crate::planner::Planner;
use crate::reservation::Reservation;
use crate::worker::WorkerIndex;

/// How long a reservation is valid before it is recomputed.
const REFRESH_INTERVAL: Millis = Millis(1_000);
/// How long workers stay reserved for a gang without interruption. The tasks that the gang waits
/// for may run far beyond their estimates, and without a limit other work would wait beside the
/// reserved capacity indefinitely.
const RESERVED_PERIOD: Millis = Millis(120_000);
/// How long other work may use the reserved workers after each [`RESERVED_PERIOD`].
const RELEASED_PERIOD: Millis = Millis(5_000);

impl Planner {
    /// Returns whether a task of `spec` that ends at `end` must not use worker `ix` because a gang
    /// has reserved it.
    pub(crate) fn is_reserved_for_gang(
        &self,
        spec: &JobSpec,
        ix: WorkerIndex,
        end: Millis,
    ) -> bool {
        let Some(r) = &self.reservation else { return false };
        if r.job == spec.name || !r.workers.contains(&ix) || is_released(r) {
            return false;
        }
        let in_time = self.policy.backfill && end <= r.starts_by;
        spec.class != model::Class::Urgent && !in_time
    }

    /// Recomputes the reservation when it is older than [`REFRESH_INTERVAL`], or drops it if its
    /// gang no longer waits.
    pub(crate) fn refresh_reservation(&mut self, now: Millis) {
        let Some(r) = &self.reservation else { return };
        if now.since(r.computed_at) < REFRESH_INTERVAL {
            return;
        }
        let (job, since, was_released) = (r.job.clone(), r.since, is_released(r));
        self.reservation = None;
        let Some(waiting_job) = self.queue.get(&job) else { return };
        let (spec, tasks) = (waiting_job.spec.clone(), waiting_job.waiting.len());
        self.reserve_for_gang(now, &spec, tasks);
        let Some(r) = &mut self.reservation else { return };
        r.since = since;
        if is_released(r) && !was_released {
            self.ledger.note_change();
        }
    }

    /// Reserves the workers that can hold `tasks` tasks of `spec` soonest.
    pub(crate) fn reserve_for_gang(&mut self, now: Millis, spec: &JobSpec, tasks: usize) {
        let mut slots: Vec<(Millis, WorkerIndex)> = Vec::new();
        for ix in self.ledger.workers().filter(|&ix| self.ledger.is_open(ix)) {
            slots.extend(self.fitting_times(now, ix, &spec.size, tasks).map(|at| (at, ix)));
        }
        slots.sort_unstable();
        if slots.len() < tasks {
            return;
        }
        slots.truncate(tasks);
        let starts_by = slots.last().map_or(now, |p| p.0);
        self.reservation = Some(Reservation {
            job: spec.name.clone(),
            workers: slots.into_iter().map(|p| p.1).collect(),
            starts_by,
            since: now,
            computed_at: now,
        });
    }

    /// Returns the times at which the first, second and further copies of `size` fit on a worker,
    /// given the expected ends of its tasks. Services never end.
    fn fitting_times(
        &self,
        now: Millis,
        ix: WorkerIndex,
        size: &Size,
        max: usize,
    ) -> impl Iterator<Item = Millis> + use<> {
        let mut ends: Vec<(Millis, Size)> = Vec::new();
        for task in self.tasks_on(ix) {
            if let Some(p) = self.placed.get(task) {
                // A task that has overrun its estimate may end at any time.
                ends.push((p.expected_end.max(now), p.spec.size));
            }
        }
        ends.sort_unstable_by_key(|e| e.0);
        let mut free = self.ledger.free(ix);
        let mut times = Vec::new();
        take_copies(&mut free, size, now, max, &mut times);
        for (at, freed) in ends.into_iter().filter(|e| e.0 < Millis::MAX) {
            free = free.plus(&freed);
            take_copies(&mut free, size, at, max, &mut times);
        }
        times.into_iter()
    }
}

/// Returns whether the reserved workers are currently released to other work. Reserved and released
/// periods alternate.
fn is_released(r: &Reservation) -> bool {
    let elapsed = r.computed_at.since(r.since).0 % (RESERVED_PERIOD + RELEASED_PERIOD).0;
    elapsed >= RESERVED_PERIOD.0
}

fn take_copies(free: &mut Size, size: &Size, at: Millis, max: usize, times: &mut Vec<Millis>) {
    while size.fits(free) && times.len() < max {
        *free = free.minus(size);
        times.push(at);
    }
}
