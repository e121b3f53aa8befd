//! Sums of the work that unfinished jobs have left, by declared run times, for the forecast of
//! waits.
//!
//! Load pattern: thousands of steps wait and hundreds of calls come in a second. A call that summed
//! up the waiting steps would cost more the more of them wait, at the very time at which the leader
//! has the least time. So each change of a job updates the sums that the job is part of, and a
//! forecast reads a few sums.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{Name, Size};
use workload::{Job, JobId, JobState};

/// How many different times by which jobs with the same objective become late are told apart.
const LATE_FROM_STEPS: u64 = 16;
/// The shortest difference of such times that is told apart.
const MIN_LATE_FROM_STEP: Millis = Millis(64);

/// An amount of work: a capacity times the time for which it is taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// The processor work in thousandths of a core times milliseconds.
    pub cpu_milli_ms: u128,
    /// The memory work in megabytes times milliseconds.
    pub memory_mb_ms: u128,
}

impl Work {
    /// Returns the work of a number of tasks of a size.
    pub(crate) fn of(size: &Size, tasks: u32, estimate: Millis) -> Work {
        let factor = u128::from(tasks) * u128::from(estimate.0);
        // Callers choose run times and sizes freely; a capped product cannot overflow the sums.
        let product = |amount: u64| (u128::from(amount).saturating_mul(factor)).min(1 << 100);
        Work { cpu_milli_ms: product(size.cpu_milli), memory_mb_ms: product(size.memory_mb) }
    }

    pub(crate) fn plus(self, other: Work) -> Work {
        Work {
            cpu_milli_ms: self.cpu_milli_ms.saturating_add(other.cpu_milli_ms),
            memory_mb_ms: self.memory_mb_ms.saturating_add(other.memory_mb_ms),
        }
    }

    pub(crate) fn minus(self, other: Work) -> Work {
        Work {
            cpu_milli_ms: self.cpu_milli_ms.saturating_sub(other.cpu_milli_ms),
            memory_mb_ms: self.memory_mb_ms.saturating_sub(other.memory_mb_ms),
        }
    }

    pub(crate) fn half(self) -> Work {
        Work { cpu_milli_ms: self.cpu_milli_ms / 2, memory_mb_ms: self.memory_mb_ms / 2 }
    }

    pub(crate) fn is_zero(self) -> bool {
        self == Work::default()
    }

    /// Returns the number of binary digits of the processor work, by which late jobs are ordered.
    pub(crate) fn magnitude(self) -> u32 {
        u128::BITS - self.cpu_milli_ms.leading_zeros()
    }
}

/// The work that jobs have left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WorkLeft {
    /// The work of tasks that have no run. Steps that are not open yet count as long as nothing of
    /// their job has started: later they follow what runs already, and are no backlog.
    pub(crate) waiting: Work,
    /// The work of tasks that have a run. Half of it is left on average.
    pub(crate) running: Work,
}

impl WorkLeft {
    fn plus(self, other: WorkLeft) -> WorkLeft {
        WorkLeft {
            waiting: self.waiting.plus(other.waiting),
            running: self.running.plus(other.running),
        }
    }

    fn minus(self, other: WorkLeft) -> WorkLeft {
        WorkLeft {
            waiting: self.waiting.minus(other.waiting),
            running: self.running.minus(other.running),
        }
    }

    fn is_zero(self) -> bool {
        self.waiting.is_zero() && self.running.is_zero()
    }
}

/// The place of a job in the service order, as far as the forecast distinguishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Level {
    /// Whether the job can no longer be in time.
    pub(crate) is_late: bool,
    pub(crate) priority: u8,
    /// The magnitude of the work that a late job has left; zero for others.
    pub(crate) magnitude: u32,
    /// From when on the job can no longer be in time, rounded up; zero for late jobs. Rounded down,
    /// jobs submitted together with the new one would not count at the end of its slack.
    pub(crate) late_from: Millis,
}

/// Sums of work by level.
#[derive(Clone, Debug, Default)]
pub(crate) struct Levels {
    by_level: BTreeMap<Level, WorkLeft>,
}

impl Levels {
    /// Returns the waiting work of the levels, each multiplied by its weight in halves: 0, 1 or 2.
    pub(crate) fn waiting(&self, halves: impl Fn(&Level) -> u8) -> Work {
        let weighted = |(level, left): (&Level, &WorkLeft)| match halves(level) {
            0 => Work::default(),
            1 => left.waiting.half(),
            _ => left.waiting,
        };
        self.by_level.iter().map(weighted).fold(Work::default(), Work::plus)
    }

    /// Returns the work of all levels.
    pub(crate) fn total(&self) -> WorkLeft {
        self.by_level.values().copied().fold(WorkLeft::default(), WorkLeft::plus)
    }

    fn add(&mut self, level: Level, left: WorkLeft) {
        if !left.is_zero() {
            let sum = self.by_level.entry(level).or_default();
            *sum = sum.plus(left);
        }
    }

    fn subtract(&mut self, level: Level, left: WorkLeft) {
        let Some(sum) = self.by_level.get_mut(&level) else { return };
        *sum = sum.minus(left);
        if sum.is_zero() {
            self.by_level.remove(&level);
        }
    }
}

/// The work of one unfinished job.
#[derive(Clone, Debug)]
pub(crate) struct JobWork {
    service: Name,
    organisation: Option<Name>,
    priority: u8,
    /// From when on the job can no longer be in time.
    late_from: Millis,
    /// The time to which `late_from` is rounded in sums.
    late_from_step: Millis,
    is_recurring: bool,
    /// The work by the label that its workers must have.
    by_label: BTreeMap<Option<Name>, WorkLeft>,
    /// The work of the tasks that are done.
    done: Work,
    /// The capacity that long-running tasks take, which no end of theirs will free soon.
    held: Size,
}

impl JobWork {
    /// Returns the work of a job. Rounds that are not due at `wall` do not count, nor do tasks
    /// that fit into no worker: nothing waits for them.
    pub(crate) fn of(
        job: &Job,
        organisation: Option<Name>,
        (late_from, objective): (Millis, Millis),
        wall: Millis,
        largest: Option<&Size>,
    ) -> JobWork {
        let mut work = JobWork {
            service: job.service.clone(),
            organisation,
            priority: job.priority,
            late_from,
            late_from_step: rounding_step(objective),
            is_recurring: job.spec.rounds > 0,
            by_label: BTreeMap::new(),
            done: Work::default(),
            held: Size::ZERO,
        };
        let due = (0..).zip(&job.rounds).take_while(|(round, _)| wall >= job.spec.due(*round));
        let steps = due.flat_map(|(_, r)| r.steps.iter().zip(&job.spec.steps).map(move |s| (r, s)));
        for (round, (step, spec)) in steps {
            let size = spec.required_capacity();
            if spec.long_running {
                work.held = work.held.plus(&size.times(u64::from(step.placed)));
                continue;
            }
            work.done = work.done.plus(Work::of(&size, step.done, spec.estimate));
            if largest.is_some_and(|largest| !size.fits(largest)) {
                continue;
            }
            let left = (step.tasks.len() as u32).saturating_sub(step.done);
            let placed = step.placed.min(left);
            let waits = job.state == JobState::Queued || round.is_open(&spec.depends_on);
            let waiting = if waits { left - placed } else { 0 };
            let left = WorkLeft {
                waiting: Work::of(&size, waiting, spec.estimate),
                running: Work::of(&size, placed, spec.estimate),
            };
            if !left.is_zero() {
                let sum = work.by_label.entry(spec.constraint.clone()).or_default();
                *sum = sum.plus(left);
            }
        }
        work
    }

    fn total(&self) -> WorkLeft {
        self.by_label.values().copied().fold(WorkLeft::default(), WorkLeft::plus)
    }

    fn level(&self, is_late: bool) -> Level {
        let total = self.total();
        let magnitude = if is_late { total.waiting.plus(total.running).magnitude() } else { 0 };
        let step = self.late_from_step.0;
        let rounded = Millis(self.late_from.0.div_ceil(step).saturating_mul(step));
        let late_from = if is_late { Millis::ZERO } else { rounded };
        Level { is_late, priority: self.priority, magnitude, late_from }
    }
}

/// Returns the time to which the ends of an objective of this length are rounded, so that jobs with
/// like objectives share some tens of sums, however many of them there are.
fn rounding_step(objective: Millis) -> Millis {
    let step = (objective.0 / LATE_FROM_STEPS).clamp(MIN_LATE_FROM_STEP.0, 1 << 62);
    Millis(step.next_power_of_two())
}

/// The workers that some work needs: a service, and a label if its workers must have one.
type Pool = (Name, Option<Name>);

/// The work that unfinished jobs have left.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backlog {
    /// Each unfinished job with its level.
    jobs: BTreeMap<JobId, (JobWork, Level)>,
    /// The jobs that can still be in time, by when that ends.
    by_late_time: BTreeSet<(Millis, JobId)>,
    /// The unfinished jobs with rounds: a round becomes due without any change.
    recurring: BTreeSet<JobId>,
    by_pool: BTreeMap<Pool, Levels>,
    /// The work of each organisation, and that of jobs without one, by service.
    by_owner: BTreeMap<(Name, Option<Name>), Levels>,
    /// The capacity taken by long-running tasks, by service.
    held: BTreeMap<Name, Size>,
    /// The work of the tasks that were done since it was last taken, by service.
    completed: BTreeMap<Name, Work>,
}

impl Backlog {
    /// Sets the work of a job that has changed; `is_final` says that nothing of it will start any
    /// more.
    pub(crate) fn set(&mut self, now: Millis, id: JobId, work: JobWork, is_final: bool) {
        let previous = self.remove(id);
        if let Some(previous) = &previous {
            let completed = work.done.minus(previous.done);
            if !completed.is_zero() {
                let sum = self.completed.entry(work.service.clone()).or_default();
                *sum = sum.plus(completed);
            }
        }
        if !is_final {
            self.insert(now, id, work);
        }
    }

    /// Moves the jobs that can no longer be in time to the late ones.
    pub(crate) fn expire(&mut self, now: Millis) {
        while let Some((late_from, id)) = self.by_late_time.first().copied() {
            if now < late_from {
                return;
            }
            let Some(work) = self.remove(id) else { return };
            self.insert(now, id, work);
        }
    }

    fn insert(&mut self, now: Millis, id: JobId, work: JobWork) {
        let is_late = now >= work.late_from;
        let level = work.level(is_late);
        if !is_late {
            self.by_late_time.insert((work.late_from, id));
        }
        if work.is_recurring {
            self.recurring.insert(id);
        }
        for (label, left) in &work.by_label {
            let pool = (work.service.clone(), label.clone());
            self.by_pool.entry(pool).or_default().add(level, *left);
        }
        let total = work.total();
        if !total.is_zero() {
            let owner = (work.service.clone(), work.organisation.clone());
            self.by_owner.entry(owner).or_default().add(level, total);
        }
        if work.held != Size::ZERO {
            let held = self.held.entry(work.service.clone()).or_default();
            *held = held.plus(&work.held);
        }
        self.jobs.insert(id, (work, level));
    }

    fn remove(&mut self, id: JobId) -> Option<JobWork> {
        let (work, level) = self.jobs.remove(&id)?;
        self.by_late_time.remove(&(work.late_from, id));
        self.recurring.remove(&id);
        for (label, left) in &work.by_label {
            subtract(&mut self.by_pool, &(work.service.clone(), label.clone()), level, *left);
        }
        let owner = (work.service.clone(), work.organisation.clone());
        subtract(&mut self.by_owner, &owner, level, work.total());
        if let Some(held) = self.held.get_mut(&work.service) {
            *held = held.minus(&work.held);
        }
        Some(work)
    }

    /// Returns whether a job counts as unfinished here.
    pub(crate) fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Returns all unfinished jobs.
    pub(crate) fn jobs(&self) -> Vec<JobId> {
        self.jobs.keys().copied().collect()
    }

    /// Returns the unfinished jobs with rounds.
    pub(crate) fn recurring(&self) -> Vec<JobId> {
        self.recurring.iter().copied().collect()
    }

    /// Returns whether any work is left that the forecast counts.
    pub(crate) fn has_work(&self) -> bool {
        !self.by_pool.is_empty()
    }

    /// Returns the work of a service that any of its workers may run, or of those with a label.
    pub(crate) fn of_pool(&self, service: &Name, label: Option<&Name>) -> Option<&Levels> {
        self.by_pool.get(&(service.clone(), label.cloned()))
    }

    /// Returns the labels that waiting or running work needs, by service.
    pub(crate) fn labels(&self) -> BTreeMap<Name, BTreeSet<Name>> {
        let mut labels: BTreeMap<Name, BTreeSet<Name>> = BTreeMap::new();
        for (service, label) in self.by_pool.keys() {
            labels.entry(service.clone()).or_default().extend(label.clone());
        }
        labels
    }

    /// Returns the work of an organisation, or of the jobs without one, at a service.
    pub(crate) fn of_owner(&self, service: &Name, organisation: Option<&Name>) -> Option<&Levels> {
        self.by_owner.get(&(service.clone(), organisation.cloned()))
    }

    /// Returns the organisations with work waiting or running at a service; `None` stands for the
    /// jobs without one.
    pub(crate) fn owners(&self, service: &Name) -> impl Iterator<Item = Option<&Name>> {
        let from = (service.clone(), None);
        self.by_owner
            .range(from..)
            .map(|((service, owner), _)| (service.clone(), owner.as_ref()))
            .take_while({
                let service = service.clone();
                move |(of, _)| *of == service
            })
            .map(|(_, owner)| owner)
    }

    /// Returns the capacity that long-running tasks of a service take.
    pub(crate) fn held(&self, service: &Name) -> Size {
        self.held.get(service).copied().unwrap_or_default()
    }

    /// Returns the work of the tasks that were done since the last call, by service.
    pub(crate) fn take_completed(&mut self) -> BTreeMap<Name, Work> {
        std::mem::take(&mut self.completed)
    }
}

fn subtract<K: Ord>(sums: &mut BTreeMap<K, Levels>, key: &K, level: Level, left: WorkLeft) {
    let Some(levels) = sums.get_mut(key) else { return };
    levels.subtract(level, left);
    if levels.by_level.is_empty() {
        sums.remove(key);
    }
}
