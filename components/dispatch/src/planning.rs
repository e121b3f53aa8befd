//! Placement of waiting tasks on workers: one plan examines open steps in order of urgency and
//! starts what it can.

use std::collections::BTreeMap;

use clock::Millis;
use events::kinds;
use model::{Name, Size};
use workload::{Command, OpenStep, StepKey, StepSpec, TaskKey, Worker, WorkerId};

use crate::advice::AdvicePriority;
use crate::advice_requests::StepNeedingAdvice;
use crate::candidates::Assignment;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    EXAMINATIONS_PER_STEP, MAX_OVERDUE_STEPS, MAX_STARTS_IN_FLIGHT, MIN_LOGGED_WAIT,
    OVERDUE_ROTATION_INTERVAL,
};
use crate::step_selection::SelectedSteps;
use crate::worker_health::WorkerTier;
use crate::worker_view::{Order, Stage, WorkerView};

/// Which of a step's tasks a plan places, and in which order relative to other steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlanPass {
    /// Overdue long-running tasks, before all other work.
    Overdue,
    /// Tasks of steps that have long lacked a call for advice although half-empty workers may run
    /// them.
    Aged,
    /// All waiting tasks, by urgency.
    Normal,
}

impl Dispatcher {
    /// Starts the tasks that can start, and requests the advice that is missing. Returns the cost
    /// of the plan, in workers examined.
    pub(crate) fn plan(&mut self, m: Moment) -> u64 {
        self.update_usable_workers();
        self.long_running_waits.update(m, &self.replicated);
        self.wait_logger.choose(m.now, &self.long_running_waits);
        self.update_service_order(m);
        let SelectedSteps { urgent, mut in_rotation, skipped } = self.select_steps();
        in_rotation.extend(self.long_waiting_steps(m, &urgent, &in_rotation));
        let steps = (urgent.len() + in_rotation.len()) as u64;
        let lacked_callers = self.plan_state.without_caller > 0;
        self.plan_state.begin(skipped + steps * EXAMINATIONS_PER_STEP);
        self.find_young_suspects(m);
        self.find_deprioritised(m);
        self.advice_scheduler.begin_plan(m.now, lacked_callers);
        let overdue = self.overdue_steps(m);
        self.plan_state.examined += overdue.len() as u64 * EXAMINATIONS_PER_STEP;
        self.advice_scheduler.reexamine(
            m.now,
            AdvicePriority::Overdue,
            overdue.iter().map(|e| &e.key),
            overdue.len(),
        );
        self.advice_scheduler.reexamine(
            m.now,
            AdvicePriority::Normal,
            urgent.iter().map(|e| &e.key),
            urgent.len(),
        );
        let rotation_keys = in_rotation.iter().map(|e| &e.key);
        self.advice_scheduler.reexamine(
            m.now,
            AdvicePriority::Normal,
            rotation_keys,
            in_rotation.len(),
        );
        let aged = self.aged_steps(m, urgent.iter().chain(&in_rotation));
        self.reexamine_aged(m, &aged);
        let mut in_flight = self.starts_in_flight();
        self.plan_steps(m, PlanPass::Overdue, overdue, &mut in_flight);
        self.plan_steps(m, PlanPass::Aged, aged, &mut in_flight);
        self.plan_steps(m, PlanPass::Normal, urgent, &mut in_flight);
        // Tickets are kept valid only for the steps that get freed capacity first.
        let kept_deferred = self.plan_state.deferred.len();
        self.plan_steps(m, PlanPass::Normal, in_rotation, &mut in_flight);
        self.plan_state.deferred.truncate(kept_deferred);
        self.request_advice_for_waiting(m);
        for entry in self.advice_scheduler.due_ahead(m.now) {
            if self.is_at_limit(&entry.key) {
                continue;
            }
            self.request_advice_ahead(m, entry);
        }
        self.log_remaining_waits(m);
        self.plan_state.examined
    }

    /// Selects the open steps that a plan examines.
    fn select_steps(&mut self) -> SelectedSteps {
        let mut selector = std::mem::take(&mut self.step_selector);
        let selected = selector.next(self.service_order.ranked(), |key| self.is_at_limit(key));
        self.step_selector = selector;
        selected
    }

    /// Returns the first steps with long-waiting, long-running tasks that this plan would not
    /// examine otherwise. They are examined however many steps precede them.
    fn long_waiting_steps(
        &self,
        m: Moment,
        urgent: &[OpenStep],
        in_rotation: &[OpenStep],
    ) -> Vec<OpenStep> {
        let waits = self
            .long_running_waits
            .steps()
            .filter(|(_, since)| m.now.since(*since) >= MIN_LOGGED_WAIT);
        let mut waits: Vec<(Millis, StepKey)> = waits.map(|(key, at)| (at, *key)).collect();
        waits.sort_unstable();
        let entries = waits.into_iter().filter_map(|(_, key)| self.open_step(key));
        let is_new = |e: &OpenStep| !urgent.contains(e) && !in_rotation.contains(e);
        entries
            .filter(is_new)
            .filter(|e| !self.is_at_limit(&e.key))
            .take(MAX_OVERDUE_STEPS)
            .collect()
    }

    /// Returns a step with its position among the waiting steps.
    fn open_step(&self, key: StepKey) -> Option<OpenStep> {
        let job = self.replicated.job(key.job)?;
        Some(OpenStep { priority: job.priority, order: job.order, key })
    }

    /// Returns the steps with overdue long-running tasks, as many as a plan places first. If there
    /// are more, they rotate after a fixed time, so that steps that can start nowhere do not block
    /// the others.
    ///
    /// Load pattern: a backlog of smaller tasks, more and less urgent ones, takes all capacity as
    /// it is freed and all calls for advice. A long-running task needs little and waits once in a
    /// while, but never gets both at the same time.
    fn overdue_steps(&self, m: Moment) -> Vec<OpenStep> {
        let overdue =
            self.long_running_waits.overdue_steps(m.now).filter(|(key, _)| !self.is_at_limit(key));
        let mut overdue: Vec<(Millis, StepKey)> = overdue.map(|(k, at)| (at, *k)).collect();
        overdue.sort_unstable();
        if overdue.len() > MAX_OVERDUE_STEPS {
            let rotations = (m.now.0 / OVERDUE_ROTATION_INTERVAL.0) as usize;
            let first = rotations * (MAX_OVERDUE_STEPS / 2) % overdue.len();
            overdue.rotate_left(first);
            overdue.truncate(MAX_OVERDUE_STEPS);
        }
        overdue.into_iter().filter_map(|(_, key)| self.open_step(key)).collect()
    }

    /// Places what it can of some steps, and adds the placed tasks to the starts in flight.
    fn plan_steps(
        &mut self,
        m: Moment,
        pass: PlanPass,
        steps: Vec<OpenStep>,
        in_flight: &mut usize,
    ) {
        for entry in steps {
            if *in_flight >= MAX_STARTS_IN_FLIGHT {
                break;
            }
            *in_flight += self.plan_step(m, pass, entry);
        }
    }

    /// Places what it can of a step. Returns how many tasks were placed.
    fn plan_step(&mut self, m: Moment, pass: PlanPass, entry: OpenStep) -> usize {
        let key = entry.key;
        let Some(job) = self.replicated.job(key.job) else { return 0 };
        self.advice_scheduler.forget_ahead(&key);
        let (queue, job) = (job.queue.clone(), job.spec.clone());
        let spec = &job.steps[key.step as usize];
        let Some(step) = self.replicated.step(&key) else { return 0 };
        // The members of a gang start to wait at the same time, so all of them are eligible or none
        // is.
        let is_included = |index: &u32| {
            pass != PlanPass::Overdue
                || self.long_running_waits.is_overdue(m.now, &TaskKey { step: key, index: *index })
        };
        let next_run = step.last_run() + 1;
        let included: Vec<u32> = step.waiting().filter(is_included).collect();
        let included = self.within_limit(&key, spec, included);
        let allowed_count = included.len();
        let waiting = self.may_start(m, &key, spec, included);
        let held_back = allowed_count - waiting.len();
        if held_back > 0 {
            self.probe_unanswered_runs(m, &key);
        }
        if waiting.is_empty() {
            self.log_wait(m, &key, true);
            return 0;
        }
        let advice = self.advice_policies.get(&queue).copied();
        let worker_tier = self.worker_tier(m, &key, spec, pass, advice.is_some());
        let mut candidates = self.candidates(m, worker_tier, &key, spec, advice.is_some());
        self.plan_state.examined += candidates.len() as u64;
        let placed = match spec.gang {
            true => self.assign_gang(m, &key, spec, &waiting, &mut candidates),
            false => self.assign_each(m, &key, spec, &waiting, &mut candidates),
        };
        let (placed_count, remaining) = (placed.len(), waiting.len() - placed.len());
        if !placed.is_empty() {
            self.start_tasks(m, &key, spec, placed, next_run);
        }
        // The step may use the capacity that is reserved from here on, so its wait is logged before
        // that.
        self.log_wait(m, &key, true);
        if remaining == 0 && held_back > 0 {
            // The suspects that are held back may start as soon as the others seem healthy, so
            // their tickets are requested ahead.
            if let Some(policy) = advice {
                let (tasks, advice_priority) =
                    (held_back as u64, Dispatcher::advice_priority(pass));
                self.request_advice(
                    m,
                    StepNeedingAdvice {
                        key,
                        queue,
                        policy,
                        job,
                        tasks,
                        worker_tier,
                        advice_priority,
                    },
                );
            }
            return placed_count;
        }
        if remaining == 0 && pass == PlanPass::Overdue {
            return placed_count;
        }
        if remaining == 0 {
            self.advice_scheduler.record_all_placed(&key);
            self.schedule_advice(m, entry);
            return placed_count;
        }
        // This precedes the reservation, because capacity that the step reserves is free for the
        // step itself.
        if let Some(policy) = advice {
            let (job, tasks, advice_priority) =
                (job.clone(), remaining as u64, Dispatcher::advice_priority(pass));
            self.request_advice(
                m,
                StepNeedingAdvice { key, queue, policy, job, tasks, worker_tier, advice_priority },
            );
        }
        self.reserve_capacity(m, worker_tier, &key, spec, remaining, pass);
        placed_count
    }

    /// Returns the worker if tasks of a step may run there, whatever capacity it has free.
    pub(crate) fn suitable_worker(
        &self,
        m: Moment,
        worker_tier: WorkerTier,
        key: &StepKey,
        spec: &StepSpec,
        id: &WorkerId,
    ) -> Option<&Worker> {
        let worker = self.replicated.worker(id)?;
        let view = self.worker_views.get(id)?;
        let job = self.replicated.job(key.job)?;
        self.is_suitable(m, worker_tier, &job.service, spec, worker, view).then_some(worker)
    }

    /// Returns whether tasks of a step may run on a worker, for a caller that has looked up the
    /// service, the worker and its view.
    pub(crate) fn is_suitable(
        &self,
        m: Moment,
        worker_tier: WorkerTier,
        service: &Name,
        spec: &StepSpec,
        worker: &Worker,
        view: &WorkerView,
    ) -> bool {
        let has_label = spec.constraint.as_ref().is_none_or(|l| worker.info.labels.contains(l));
        let is_match = worker.info.service == *service && has_label;
        is_match
            && self.is_eligible(m, worker_tier, worker, view)
            && self.is_compatible(spec, worker)
    }

    /// Returns whether another worker than `excluded` has capacity for a task of a step and may run
    /// it.
    pub(crate) fn has_capacity_elsewhere(
        &self,
        m: Moment,
        key: &StepKey,
        excluded: &WorkerId,
    ) -> bool {
        let Some(job) = self.replicated.job(key.job) else { return false };
        let spec = &job.spec.steps[key.step as usize];
        let needs_advice = self.advice_policies.contains_key(&job.queue);
        let can_take = |id: &WorkerId| {
            let worker = self.suitable_worker(m, WorkerTier::Preferred, key, spec, id);
            worker.is_some_and(|w| spec.size.fits(&self.free_capacity_for(spec, w)))
        };
        let can_take_elsewhere = |id: &WorkerId| id != excluded && can_take(id);
        match needs_advice {
            true => self.advice_scheduler.allowed(key).iter().any(can_take_elsewhere),
            false => self
                .capacity_index
                .with_free(&job.service, spec.constraint.as_ref(), &spec.size)
                .any(can_take_elsewhere),
        }
    }

    /// Returns whether a step may run beside the tasks that a worker runs. Fillers disturb tasks
    /// with a target latency, so the two are kept apart.
    pub(crate) fn is_compatible(&self, spec: &StepSpec, worker: &Worker) -> bool {
        let has_target = spec.target_latency > Millis::ZERO;
        if !spec.filler && !has_target {
            return true;
        }
        let others = worker.runs.keys().filter_map(|k| self.replicated.step_spec(&k.step));
        let mut others = others.filter(|o| match spec.filler {
            true => o.target_latency > Millis::ZERO,
            false => o.filler,
        });
        others.next().is_none()
    }

    /// Returns the capacity that the current plan reserves on a worker.
    pub(crate) fn reserved_on(&self, id: &WorkerId) -> Size {
        self.plan_state.reserved_capacity.get(id).copied().unwrap_or_default()
    }

    /// Returns the free capacity of a worker that counts for a step, less what is reserved for more
    /// urgent tasks. A filler takes no processor time from other tasks, but is placed only where
    /// some is left for it.
    pub(crate) fn free_capacity_for(&self, spec: &StepSpec, worker: &Worker) -> Size {
        let free = worker.free().minus(&self.reserved_on(&worker.info.id));
        if !spec.filler {
            return free;
        }
        let fillers = worker.runs.keys().filter_map(|k| self.replicated.step_spec(&k.step));
        let taken: u64 = fillers.filter(|o| o.filler).map(|o| o.size.cpu_milli).sum();
        Size { cpu_milli: free.cpu_milli.saturating_sub(taken), ..free }
    }

    /// Records the assigned tasks as held starts, and sends each once its command is committed.
    fn start_tasks(
        &mut self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
        placed: Vec<Assignment>,
        next_run: u32,
    ) {
        let mut by_worker: BTreeMap<WorkerId, Vec<(TaskKey, u32)>> = BTreeMap::new();
        for Assignment { index, worker, ticket } in placed {
            let task = TaskKey { step: *key, index };
            let task_next_run = self.replicated.task(&task).map_or(1, |t| t.run + 1);
            let run = if spec.gang { next_run } else { task_next_run };
            let order = Order {
                run,
                stage: Stage::Held,
                retry_at: None,
                attempts: 0,
                since: m.now,
                ordered_at: Some(m.now),
                sent_at: m.now,
                ticket,
            };
            if let Some(view) = self.worker_views.get_mut(&worker) {
                view.orders.insert(task, order);
                self.starting_workers.insert(worker.clone());
            }
            self.record_placed(&worker, &task);
            by_worker.entry(worker).or_default().push((task, run));
        }
        self.propose(Command::OrderTime { at: m.wall });
        for (worker, runs) in by_worker {
            for (task, run) in &runs {
                self.log_event(&kinds::RUN_PLACED, task, format!("run={run} worker={worker}"));
            }
            self.propose(Command::Started { worker: worker.clone(), runs: runs.clone() });
            for (task, run) in runs {
                self.start_when_committed(worker.clone(), task, run);
            }
        }
    }
}
