//! Capacity reservations for waiting gangs and large tasks. A gang starts only where all of its
//! tasks fit at the same time, and a large task only where much is freed on one worker; smaller
//! tasks would take each part of that as it is freed. So capacity is reserved for them on the
//! workers where it will be free first, and freed there by preempting runs that have slack.

use std::collections::BTreeSet;

use events::kinds;
use model::{Dimension, Name, Size};
use workload::{StepKey, StepSpec, TaskKey, Worker, WorkerId};

use crate::candidates::max_additional_tasks;
use crate::capacity_index::WorkerGroup;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    LARGE_TASK_DIVISOR, MAX_RESERVATIONS, MAX_RESERVED_DIVISOR, MIN_PREEMPTION_SLACK,
    MIN_PREEMPTOR_RUN_TIME, MOVE_COST, OVERDUE_EXAMINATION_BUDGET,
};
use crate::planning::PlanPass;
use crate::worker_health::WorkerTier;
use crate::worker_view::{Stage, WorkerView};

/// The workers that are eligible for a step, whatever capacity they have free. Reservations are
/// limited per such set, so that steps waiting for some workers do not use up the limit of those
/// waiting for others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkerSelector {
    service: Name,
    label: Option<Name>,
}

impl WorkerSelector {
    pub(crate) fn service(&self) -> &Name {
        &self.service
    }

    pub(crate) fn label(&self) -> Option<&Name> {
        self.label.as_ref()
    }
}

/// What a plan reserves on the workers that are eligible for the same steps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReservedCapacity {
    /// The number of steps for which capacity was sought.
    steps: u32,
    /// The reserved capacity that is idle so far.
    idle: Size,
    /// The total capacity of these workers.
    total_capacity: Size,
}

impl ReservedCapacity {
    /// Returns whether `idle` more may be reserved idle. The first reservation is always allowed,
    /// whatever its size.
    fn allows(&self, idle: &Size) -> bool {
        self.idle == Size::ZERO
            || self.idle.plus(idle).times(MAX_RESERVED_DIVISOR).fits(&self.total_capacity)
    }
}

/// A run that may be preempted for another.
struct Victim {
    task: TaskKey,
    run: u32,
    size: Size,
}

/// A worker that tasks of a step may wait for.
struct ReservationCandidate {
    worker: WorkerId,
    capacity: Size,
    /// What is free, or will be once runs that are being stopped have ended, less what is reserved.
    free: Size,
    /// The part of that which is free now.
    idle: Size,
    /// The runs that may be preempted, those that free the most first.
    victims: Vec<Victim>,
    /// What all other runs on the worker take that end by themselves.
    ending: Size,
    /// How many more tasks of the step the worker may run.
    max_tasks: u64,
    /// What the tasks need that wait for the ends of runs here.
    required: Size,
    /// The number of tasks of the step for which capacity is reserved here.
    reserved_tasks: u64,
    /// The runs to preempt for them.
    to_preempt: Vec<Victim>,
}

/// What one more task has to wait for on a worker, ordered from the cheapest to the most expensive.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RequiredWait {
    /// Nothing: the capacity is free, or will be in a moment.
    None,
    /// This many runs have to be preempted.
    Preemptions(usize),
    /// Runs have to end by themselves until so many thousandths of the worker's capacity are freed.
    RunEnds(u64),
}

/// Returns whether a task takes so much of a worker that it does not fit into what the end of any
/// run frees.
fn is_large(size: &Size, capacity: &Size) -> bool {
    let large = |d: &Dimension| {
        size.get(*d).saturating_mul(LARGE_TASK_DIVISOR) >= capacity.get(*d) && size.get(*d) > 0
    };
    Dimension::ALL.iter().any(large)
}

impl ReservationCandidate {
    /// Returns what one more task would have to wait for here, or `None` if it cannot start
    /// here.
    fn required_wait(&self, size: &Size) -> Option<RequiredWait> {
        if self.reserved_tasks >= self.max_tasks {
            return None;
        }
        // While tasks wait for the ends of runs here, nothing is left for another one before that.
        let mut available = if self.required == Size::ZERO { self.free } else { Size::ZERO };
        for preemptions in 0..=self.victims.len() {
            if size.fits(&available) {
                return Some(if preemptions == 0 {
                    RequiredWait::None
                } else {
                    RequiredWait::Preemptions(preemptions)
                });
            }
            available =
                self.victims.get(preemptions).map_or(available, |v| available.plus(&v.size));
        }
        let (required, available) = (self.required.plus(size), self.free);
        let fits = required.fits(&available.plus(&self.ending));
        fits.then(|| RequiredWait::RunEnds(self.shortfall(&required, &available)))
    }

    /// Returns how much of what is required is not available, in thousandths of the worker's capacity. Runs free
    /// capacity on all workers at about the same rate, so a step starts soonest where it lacks the least: a gang that
    /// waited for a few workers to be empty held their capacity idle until the last run there had ended.
    fn shortfall(&self, required: &Size, available: &Size) -> u64 {
        let lacking = required.minus(available);
        let share = |d: &Dimension| lacking.get(*d) * 1_000 / self.capacity.get(*d).max(1);
        Dimension::ALL.iter().map(share).max().unwrap_or(0)
    }

    /// Reserves capacity for one more task.
    fn reserve_task(&mut self, size: &Size, wait: RequiredWait) {
        if let RequiredWait::Preemptions(preemptions) = wait {
            for victim in self.victims.drain(..preemptions) {
                self.free = self.free.plus(&victim.size);
                self.to_preempt.push(victim);
            }
        }
        // What has to be freed for the tasks so far is due before anything is left for the next one.
        match wait {
            RequiredWait::RunEnds(_) => self.required = self.required.plus(size),
            _ => self.free = self.free.minus(size),
        }
        self.reserved_tasks += 1;
    }

    /// Returns the reserved capacity that is idle here until the tasks start.
    fn idle_reserved(&self, size: &Size) -> Size {
        self.idle.elementwise_min(&size.times(self.reserved_tasks))
    }
}

impl Dispatcher {
    /// Reserves capacity for those tasks of a step that could not be placed, and preempts runs for
    /// them that are less urgent, keep checkpoints and have slack. Does nothing for small tasks,
    /// unless they are overdue, nor for a gang where the workers that are known to be allowed
    /// cannot hold all of it.
    pub(crate) fn reserve_capacity(
        &mut self,
        m: Moment,
        worker_tier: WorkerTier,
        key: &StepKey,
        spec: &StepSpec,
        tasks: usize,
        pass: PlanPass,
    ) {
        let disabled = !self.limits.mechanisms.reserves_capacity;
        if disabled || spec.filler {
            return;
        }
        let Some(selector) = self.worker_selector(key, spec) else { return };
        let needs_advice = self.step_needs_advice(key);
        let mut reserved = match self.plan_state.reservations.get(&selector) {
            Some(reserved) => *reserved,
            None => ReservedCapacity {
                total_capacity: self.selected_capacity(&selector),
                ..ReservedCapacity::default()
            },
        };
        if reserved.steps >= MAX_RESERVATIONS {
            return;
        }
        let group = self.capacity_index.group(&selector.service, selector.label.as_ref());
        let allowed = self.advice_scheduler.allowed(key);
        let is_large_task = || match needs_advice {
            true => allowed
                .iter()
                .filter_map(|id| self.replicated.worker(id))
                .any(|w| is_large(&spec.size, &w.info.capacity)),
            false => group.is_some_and(|g| is_large(&spec.size, &g.min_capacity())),
        };
        // An overdue long-running task waits for capacity like a large one, because smaller tasks
        // take what is freed.
        let is_overdue =
            pass == PlanPass::Overdue && self.plan_state.examined < OVERDUE_EXAMINATION_BUDGET;
        let waits_for_capacity = spec.gang || is_overdue;
        if !waits_for_capacity && !is_large_task() {
            return;
        }
        // Examining all workers for each waiting step would take a quarter of the leader's processor
        // with 350 workers, and few of them are allowed.
        let ids: Vec<&WorkerId> = match needs_advice {
            true => allowed.iter().collect(),
            false => group.into_iter().flat_map(|g| g.members_from(0)).map(|(_, id)| id).collect(),
        };
        let may_preempt = self.may_preempt(m, &selector, spec);
        let candidates = ids
            .into_iter()
            .filter_map(|id| self.reservation_candidate(m, worker_tier, key, may_preempt, id));
        let mut candidates: Vec<ReservationCandidate> = candidates.collect();
        self.plan_state.examined += candidates.len() as u64;
        reserved.steps += 1;
        self.plan_state.reservations.insert(selector.clone(), reserved);
        for _ in 0..tasks {
            let waits =
                candidates.iter_mut().filter_map(|c| Some((c.required_wait(&spec.size)?, c)));
            match waits.min_by_key(|(wait, _)| *wait) {
                Some((wait, candidate)) => candidate.reserve_task(&spec.size, wait),
                None if spec.gang => return,
                None => break,
            }
        }
        candidates.retain(|c| c.reserved_tasks > 0);
        let sum = |a: Size, c: &ReservationCandidate| a.plus(&c.idle_reserved(&spec.size));
        if spec.gang && !reserved.allows(&candidates.iter().fold(Size::ZERO, sum)) {
            return;
        }
        for candidate in candidates {
            let idle = candidate.idle_reserved(&spec.size);
            if !spec.gang && !reserved.allows(&idle) {
                break;
            }
            reserved.idle = reserved.idle.plus(&idle);
            self.apply_reservation(key, spec, candidate);
        }
        self.plan_state.reservations.insert(selector, reserved);
    }

    /// Records the reservation on one worker, and preempts the runs that it needs ended.
    fn apply_reservation(
        &mut self,
        key: &StepKey,
        spec: &StepSpec,
        candidate: ReservationCandidate,
    ) {
        let required = spec.size.times(candidate.reserved_tasks);
        let reserved =
            self.plan_state.reserved_capacity.entry(candidate.worker.clone()).or_default();
        *reserved = reserved.plus(&required);
        for victim in candidate.to_preempt {
            self.preempt(&candidate.worker, key, &victim);
        }
    }

    /// Returns the total capacity of the workers that are eligible for some steps.
    fn selected_capacity(&self, selector: &WorkerSelector) -> Size {
        let WorkerSelector { service, label } = selector;
        let group = self.capacity_index.group(service, label.as_ref());
        group.map_or(Size::ZERO, WorkerGroup::total_capacity)
    }

    /// Returns whether a step needs advice.
    fn step_needs_advice(&self, key: &StepKey) -> bool {
        self.replicated.job(key.job).is_some_and(|j| self.advice_policies.contains_key(&j.queue))
    }

    /// Returns which workers are eligible for a step.
    pub(crate) fn worker_selector(&self, key: &StepKey, spec: &StepSpec) -> Option<WorkerSelector> {
        let service = self.replicated.job(key.job)?.service.clone();
        Some(WorkerSelector { service, label: spec.constraint.clone() })
    }

    /// Logs and stops a run to free its capacity for a step.
    fn preempt(&mut self, worker: &WorkerId, preemptor: &StepKey, victim: &Victim) {
        let details = format!("run={} worker={worker} for={preemptor}", victim.run);
        self.log_event(&kinds::RUN_PREEMPTED, victim.task, details);
        self.send_stop(worker, &victim.task, victim.run);
    }

    /// Returns a worker as a candidate for reservations, or `None` if it is not suitable or smaller
    /// than one task.
    fn reservation_candidate(
        &self,
        m: Moment,
        worker_tier: WorkerTier,
        key: &StepKey,
        may_preempt: bool,
        id: &WorkerId,
    ) -> Option<ReservationCandidate> {
        let spec = self.replicated.step_spec(key)?;
        let worker = self.suitable_worker(m, worker_tier, key, spec, id)?;
        if !spec.size.fits(&worker.info.capacity) {
            return None;
        }
        let view = self.worker_views.get(id)?;
        let (victims, being_freed, ending) = self.classify_runs(m, key, may_preempt, worker, view);
        let reserved_capacity = self.reserved_on(id);
        let free = worker.free_after(&being_freed).minus(&reserved_capacity);
        Some(ReservationCandidate {
            worker: id.clone(),
            free,
            idle: worker.free().minus(&reserved_capacity),
            victims,
            ending,
            max_tasks: max_additional_tasks(key, spec, worker),
            required: Size::ZERO,
            capacity: worker.info.capacity,
            reserved_tasks: 0,
            to_preempt: Vec::new(),
        })
    }

    /// Returns whether runs may be preempted for tasks of a step. A preemption costs the leader a stop
    /// and another start, and takes as long as the stop. Where the ends of runs free a task's
    /// capacity on each worker in that time, it gains nothing.
    fn may_preempt(&self, m: Moment, selector: &WorkerSelector, spec: &StepSpec) -> bool {
        if !self.limits.mechanisms.preempts || spec.estimate < MIN_PREEMPTOR_RUN_TIME {
            return false;
        }
        let group = self.capacity_index.group(&selector.service, selector.label.as_ref());
        let workers = group.map_or(0, WorkerGroup::len) as u64;
        let span = (self.limits.stop_time + MOVE_COST).0 as f64;
        let freed = self.release_rates.expected(m.now, &selector.service, span);
        !spec.size.times(workers).fits(&freed)
    }

    /// Splits the runs on a worker into those that may be preempted for a step, the capacity of
    /// those that are being stopped, and the capacity of those that end by themselves.
    fn classify_runs(
        &self,
        m: Moment,
        key: &StepKey,
        may_preempt: bool,
        worker: &Worker,
        view: &WorkerView,
    ) -> (Vec<Victim>, Size, Size) {
        let (mut victims, mut being_freed, mut ending) = (Vec::new(), Size::ZERO, Size::ZERO);
        let priority = self.replicated.job(key.job).map_or(0, |j| j.priority);
        let mut steps_with_slack: BTreeSet<StepKey> = BTreeSet::new();
        for (task, run) in &worker.runs {
            let Some(spec) = self.replicated.step_spec(&task.step) else { continue };
            let Some(order) = view.orders.get(task) else { continue };
            let size = spec.required_capacity();
            if matches!(order.stage, Stage::Stopping | Stage::Stopped { .. }) {
                being_freed = being_freed.plus(&size);
                continue;
            }
            if spec.long_running {
                continue;
            }
            let confirmed = matches!(order.stage, Stage::Confirmed { .. });
            let is_preemptible = may_preempt && confirmed && spec.checkpointing && !spec.gang;
            let is_less_urgent =
                self.replicated.job(task.step.job).is_some_and(|j| j.priority > priority);
            if is_preemptible
                && is_less_urgent
                && (steps_with_slack.contains(&task.step)
                    || self.has_preemption_slack(m, &task.step))
            {
                steps_with_slack.insert(task.step);
                victims.push(Victim { task: *task, run: *run, size });
            } else {
                ending = ending.plus(&size);
            }
        }
        victims.sort_by_key(|v| std::cmp::Reverse((v.size.accelerators, v.size.cpu_milli)));
        (victims, being_freed, ending)
    }

    fn has_preemption_slack(&self, m: Moment, key: &StepKey) -> bool {
        self.slack(m, key) >= MIN_PREEMPTION_SLACK
    }
}
