//! Capacity reservations for waiting gangs and large tasks. A gang starts only where all of its
//! tasks fit at the same time, and a large task only where much is freed on one worker; smaller
//! tasks would take each part of that as it is freed. So capacity is reserved for them on the
//! workers where it will be free first, and freed there by preempting runs that have slack.

use std::collections::BTreeSet;

use clock::Millis;
use events::kinds;
use model::{Dimension, Name, Size};
use workload::{StepKey, StepSpec, TaskKey, Worker, WorkerId, WorkerInfo};

use crate::candidates::max_additional_tasks;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    LARGE_TASK_DIVISOR, MAX_RESERVATIONS, MAX_RESERVED_DIVISOR, MIN_PREEMPTION_SLACK,
    MIN_PREEMPTOR_RUN_TIME, OVERDUE_EXAMINATION_BUDGET,
};
use crate::planning::PlanPass;
use crate::worker_health::Eligibility;
use crate::worker_view::{Stage, WorkerView};

/// The workers that are eligible for a step, whatever capacity they have free. Reservations are
/// limited per such set, so that steps waiting for some workers do not use up the limit of those
/// waiting for others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkerSelector {
    service: Name,
    label: Option<Name>,
}

/// What a plan reserves on the workers that are eligible for the same steps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReservedCapacity {
    /// The number of steps for which capacity was sought.
    steps: u32,
    /// The reserved capacity that is idle so far.
    idle: Size,
    /// The total capacity of these workers.
    of: Size,
}

impl ReservedCapacity {
    /// Returns whether `idle` more may be reserved idle. The first reservation is always allowed,
    /// whatever its size.
    fn allows(&self, idle: &Size) -> bool {
        self.idle == Size::ZERO || self.idle.plus(idle).times(MAX_RESERVED_DIVISOR).fits(&self.of)
    }
}

/// A run that may be preempted for another.
struct Victim {
    task: TaskKey,
    run: u32,
    size: Size,
}

/// A worker that tasks of a step may wait for.
struct Place {
    worker: WorkerId,
    /// What is free, or will be once runs that are being stopped have ended, less what is reserved.
    free: Size,
    /// The part of that which is free now.
    idle: Size,
    /// The runs that may be preempted, those that free the most first.
    victims: Vec<Victim>,
    /// What all other runs on the worker take that end by themselves.
    ending: Size,
    /// How many more tasks of the step the worker may run.
    most: u64,
    /// The number of tasks of the step for which capacity is reserved here.
    taken: u64,
    /// The runs to preempt for them.
    stopped: Vec<Victim>,
}

/// What one more task has to wait for on a worker, ordered from the cheapest to the most expensive.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Wait {
    /// Nothing: the capacity is free, or will be in a moment.
    None,
    /// This many runs have to be preempted.
    Stops(usize),
    /// Runs that take so many accelerators and so much processor time have to end by themselves.
    Ends(u64, u64),
}

/// Returns whether a task takes so much of a worker that it does not fit into what the end of any
/// run frees.
fn is_large(size: &Size, capacity: &Size) -> bool {
    let large = |d: &Dimension| {
        size.get(*d).saturating_mul(LARGE_TASK_DIVISOR) >= capacity.get(*d) && size.get(*d) > 0
    };
    Dimension::ALL.iter().any(large)
}

impl Place {
    /// Returns what one more task would have to wait for here, or `None` if it can never start
    /// here.
    fn wait(&self, size: &Size) -> Option<Wait> {
        if self.taken >= self.most {
            return None;
        }
        let mut room = self.free;
        for stops in 0..=self.victims.len() {
            if size.fits(&room) {
                return Some(if stops == 0 { Wait::None } else { Wait::Stops(stops) });
            }
            room = self.victims.get(stops).map_or(room, |v| room.plus(&v.size));
        }
        let fits = size.fits(&room.plus(&self.ending));
        fits.then_some(Wait::Ends(self.ending.accelerators, self.ending.cpu_milli))
    }

    /// Reserves capacity for one more task.
    fn take(&mut self, size: &Size, wait: Wait) {
        if let Wait::Stops(stops) = wait {
            for victim in self.victims.drain(..stops) {
                self.free = self.free.plus(&victim.size);
                self.stopped.push(victim);
            }
        }
        if matches!(wait, Wait::Ends(..)) {
            self.free = self.free.plus(&self.ending);
            self.ending = Size::ZERO;
        }
        self.free = self.free.minus(size);
        self.taken += 1;
    }

    /// Returns the reserved capacity that is idle here until the tasks start.
    fn kept_idle(&self, size: &Size) -> Size {
        self.idle.elementwise_min(&size.times(self.taken))
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
        eligibility: Eligibility,
        key: &StepKey,
        spec: &StepSpec,
        tasks: usize,
        turn: PlanPass,
    ) {
        let off = !self.limits.mechanisms.reserves_capacity;
        if off || spec.filler {
            return;
        }
        let Some(sought) = self.sought(key, spec) else { return };
        let by_advice = self.is_by_advice(key);
        let mut kept = match self.plan_state.reservations.get(&sought) {
            Some(kept) => *kept,
            None => ReservedCapacity { of: self.room_of(&sought), ..ReservedCapacity::default() },
        };
        if kept.steps >= MAX_RESERVATIONS {
            return;
        }
        // Scanning all workers for each waiting step would take a quarter of the leader's processor
        // with 350 workers, and few of them are allowed.
        let ids: Vec<&WorkerId> = match by_advice {
            true => self.advice_scheduler.allowed(key).collect(),
            false => self.worker_views.keys().collect(),
        };
        let mut workers = ids.iter().filter_map(|id| self.replicated.worker(id));
        // An overdue long-running task waits for capacity like a large one, because smaller tasks
        // take what is freed.
        let owed =
            turn == PlanPass::Overdue && self.plan_state.examined < OVERDUE_EXAMINATION_BUDGET;
        let waits_for_capacity = spec.gang || owed;
        if !waits_for_capacity && !workers.any(|w| is_large(&spec.size, &w.info.capacity)) {
            return;
        }
        let places = ids.into_iter().filter_map(|id| self.place(m, eligibility, key, spec, id));
        let mut places: Vec<Place> = places.collect();
        self.plan_state.examined += places.len() as u64;
        kept.steps += 1;
        self.plan_state.reservations.insert(sought.clone(), kept);
        for _ in 0..tasks {
            let waits = places.iter_mut().filter_map(|p| Some((p.wait(&spec.size)?, p)));
            match waits.min_by_key(|(wait, _)| *wait) {
                Some((wait, place)) => place.take(&spec.size, wait),
                None if spec.gang => return,
                None => break,
            }
        }
        places.retain(|p| p.taken > 0);
        let sum = |a: Size, p: &Place| a.plus(&p.kept_idle(&spec.size));
        if spec.gang && !kept.allows(&places.iter().fold(Size::ZERO, sum)) {
            return;
        }
        for place in places {
            let idle = place.kept_idle(&spec.size);
            if !spec.gang && !kept.allows(&idle) {
                break;
            }
            kept.idle = kept.idle.plus(&idle);
            self.keep(key, spec, place);
        }
        self.plan_state.reservations.insert(sought, kept);
    }

    /// Records the reservation on one worker, and preempts the runs that it needs ended.
    fn keep(&mut self, key: &StepKey, spec: &StepSpec, place: Place) {
        let wanted = spec.size.times(place.taken);
        let kept = self.plan_state.reserved_capacity.entry(place.worker.clone()).or_default();
        *kept = kept.plus(&wanted);
        for victim in place.stopped {
            self.preempt(&place.worker, key, &victim);
        }
    }

    /// Returns the total capacity of the workers that are eligible for some steps.
    fn room_of(&self, sought: &WorkerSelector) -> Size {
        let WorkerSelector { service, label } = sought;
        let infos = self.replicated.workers().values().map(|w| &w.info);
        let labelled = |i: &WorkerInfo| label.as_ref().is_none_or(|l| i.labels.contains(l));
        let sought = infos.filter(|i| i.service == *service && labelled(i));
        sought.fold(Size::ZERO, |a, i| a.plus(&i.capacity))
    }

    /// Returns whether a step needs advice.
    fn is_by_advice(&self, key: &StepKey) -> bool {
        self.replicated.job(key.job).is_some_and(|j| self.advice_policies.contains_key(&j.queue))
    }

    fn sought(&self, key: &StepKey, spec: &StepSpec) -> Option<WorkerSelector> {
        let service = self.replicated.job(key.job)?.service.clone();
        Some(WorkerSelector { service, label: spec.constraint.clone() })
    }

    fn preempt(&mut self, worker: &WorkerId, wanted_for: &StepKey, victim: &Victim) {
        let details = format!("run={} worker={worker} for={wanted_for}", victim.run);
        self.log_event(&kinds::RUN_PREEMPTED, victim.task, details);
        self.send_stop(worker, &victim.task, victim.run);
    }

    fn place(
        &self,
        m: Moment,
        eligibility: Eligibility,
        key: &StepKey,
        spec: &StepSpec,
        id: &WorkerId,
    ) -> Option<Place> {
        let worker = self.suitable_worker(m, eligibility, key, spec, id)?;
        if !spec.size.fits(&worker.info.capacity) {
            return None;
        }
        let view = self.worker_views.get(id)?;
        let (victims, coming, ending) = self.sort_runs(m, key, worker, view);
        let reserved_capacity = self.reserved_on(id);
        let free = worker.free_after(&coming).minus(&reserved_capacity);
        Some(Place {
            worker: id.clone(),
            free,
            idle: worker.free().minus(&reserved_capacity),
            victims,
            ending,
            most: max_additional_tasks(key, spec, worker),
            taken: 0,
            stopped: Vec::new(),
        })
    }

    /// Splits the runs on a worker into those that may be preempted for a step, the capacity of
    /// those that are being stopped, and the capacity of those that end by themselves.
    fn sort_runs(
        &self,
        m: Moment,
        key: &StepKey,
        worker: &Worker,
        view: &WorkerView,
    ) -> (Vec<Victim>, Size, Size) {
        let (mut victims, mut coming, mut ending) = (Vec::new(), Size::ZERO, Size::ZERO);
        let priority = self.replicated.job(key.job).map_or(0, |j| j.priority);
        let estimate = self.replicated.step_spec(key).map_or(Millis::ZERO, |s| s.estimate);
        let stops = self.limits.mechanisms.preempts && estimate >= MIN_PREEMPTOR_RUN_TIME;
        let mut spare: BTreeSet<StepKey> = BTreeSet::new();
        for (task, run) in &worker.runs {
            let Some(spec) = self.replicated.step_spec(&task.step) else { continue };
            let Some(order) = view.orders.get(task) else { continue };
            let size = spec.required_capacity();
            if matches!(order.stage, Stage::Stopping | Stage::Stopped { .. }) {
                coming = coming.plus(&size);
                continue;
            }
            if spec.long_running {
                continue;
            }
            let confirmed = matches!(order.stage, Stage::Confirmed { .. });
            let may_stop = stops && confirmed && spec.checkpointing && !spec.gang;
            let later = self.replicated.job(task.step.job).is_some_and(|j| j.priority > priority);
            if may_stop
                && later
                && (spare.contains(&task.step) || self.has_time_to_spare(m, &task.step))
            {
                spare.insert(task.step);
                victims.push(Victim { task: *task, run: *run, size });
            } else {
                ending = ending.plus(&size);
            }
        }
        victims.sort_by_key(|v| std::cmp::Reverse((v.size.accelerators, v.size.cpu_milli)));
        (victims, coming, ending)
    }

    fn has_time_to_spare(&self, m: Moment, key: &StepKey) -> bool {
        self.slack(m, key) >= MIN_PREEMPTION_SLACK
    }
}
