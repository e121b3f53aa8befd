//! Moves stragglers and deprioritises slow workers.

use clock::Millis;
use events::kinds;
use workload::{StepSpec, TaskKey, WorkerId};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    MAX_MOVES_PER_TASK, MIN_SPEED_WINDOW, MIN_STRAGGLER_AGE, SLOW_WORKER_BACKOFF,
    SLOW_WORKER_SPEED_RATIO,
};
use crate::speed::Progress;
use crate::worker_health::WorkerTier;
use crate::worker_messages::RunStatus;
use crate::worker_speeds::start_time;
use crate::worker_view::{Order, Stage};

impl Dispatcher {
    /// Measures the progress of a worker's runs, moves those that would finish sooner elsewhere,
    /// and deprioritises the worker if it is slow as a whole.
    pub(crate) fn watch_speed(&mut self, m: Moment, id: &WorkerId, running: &[RunStatus]) {
        if !self.limits.mechanisms.moves_stragglers {
            return;
        }
        let stop_time = self.limits.stop_time;
        let learns_speeds = self.limits.mechanisms.prefers_suitable_speeds;
        let own_speed = self.replicated.worker(id).map_or(1.0, |w| self.speed(w));
        let mut speed_ratios = Vec::new();
        let mut stragglers = Vec::new();
        for status in running {
            let Some(spec) = self.replicated.step_spec(&status.task.step) else { continue };
            let Some(view) = self.worker_views.get_mut(id) else { return };
            let Some(order) = view.orders.get(&status.task) else { continue };
            if spec.long_running || spec.filler || order.run != status.run {
                continue;
            }
            let began = (learns_speeds && !spec.gang && !may_have_resumed(spec, order))
                .then(|| start_time(order))
                .flatten();
            let fresh = match began {
                Some(began) => Progress::since_start(order.since, began),
                None => Progress::new(order.since, m.now, status.percent),
            };
            let is_confirmed = matches!(order.stage, Stage::Confirmed { .. });
            let progress = view.progress.entry(status.task).or_insert(fresh);
            progress.record(m.now, status.percent);
            let Some(speed) = progress.speed() else { continue };
            let step_speeds = self.step_speeds.entry(status.task.step).or_default();
            // What the run's speed would be on a machine of the usual speed.
            step_speeds.record(id, speed / own_speed);
            let run_times = self.worker_speeds.run_times();
            let queue = &self.replicated.job(status.task.step.job).map(|j| &j.queue);
            let longest = || run_times.longest_usual((*queue)?, spec).map(|t| 100.0 / t);
            let usual = match step_speeds.elsewhere(id) {
                Some(median) => {
                    speed_ratios.push(speed / (median * own_speed));
                    median
                }
                None if learns_speeds => match longest() {
                    Some(usual) => usual,
                    None => continue,
                },
                None => continue,
            };
            let is_quick =
                self.replicated.job(status.task.step.job).is_some_and(|j| j.priority == 0);
            // A quick job's objective has often passed when its run is as old as that.
            let min_age = match learns_speeds && is_quick {
                true => MIN_STRAGGLER_AGE.min(Millis((50.0 / usual) as u64)).max(MIN_SPEED_WINDOW),
                false => MIN_STRAGGLER_AGE,
            };
            if is_confirmed && progress.age(m.now) >= min_age && !spec.gang {
                let keeps_progress = spec.checkpointing;
                let (task, run, progress) = (status.task, status.run, progress.clone());
                stragglers.push(Straggler { task, run, progress, usual, keeps_progress });
            }
        }
        self.deprioritise_if_slow(m, id, &speed_ratios);
        for straggler in stragglers {
            if straggler.would_end_sooner(self.worker_speeds.fastest(), stop_time) {
                self.move_straggler(m, id, &straggler);
            }
        }
    }

    fn deprioritise_if_slow(&mut self, m: Moment, id: &WorkerId, speed_ratios: &[f64]) {
        // Where speeds differ, a worker is known by more than one run, which may be a long one.
        let machine = self.replicated.worker(id).map(|w| &w.info.machine);
        let is_known = machine.is_some_and(|m| self.worker_speeds.is_known(m));
        if speed_ratios.len() == 1 && is_known && !self.worker_speeds.is_uniform() {
            return;
        }
        let mean = speed_ratios.iter().sum::<f64>() / speed_ratios.len().max(1) as f64;
        let Some(view) = self.worker_views.get_mut(id) else { return };
        if !speed_ratios.is_empty() && mean < SLOW_WORKER_SPEED_RATIO {
            let was_slow = view.health.is_slow(m.now);
            view.health.mark_slow(m.now + SLOW_WORKER_BACKOFF);
            self.restricted_workers.insert(id.clone());
            if !was_slow {
                self.log_event(
                    &kinds::WORKER_SLOW,
                    id,
                    format!("speed={mean:.2} runs={}", speed_ratios.len()),
                );
            }
        }
    }

    /// Stops a run so that it starts on another worker, if it would end sooner on one that has
    /// capacity. Each worker gets one attempt at a task.
    fn move_straggler(&mut self, m: Moment, id: &WorkerId, straggler: &Straggler) {
        let Straggler { task, run, .. } = straggler;
        // A run without any progress would never end.
        if straggler.progress.makes_progress() && self.is_moved_too_late(m, task) {
            return;
        }
        let Some(speed) = self.speed_elsewhere(m, task, id) else { return };
        if !straggler.would_end_sooner(speed, self.limits.stop_time) {
            return;
        }
        let tried = self.avoided_workers.entry(*task).or_default();
        if tried.insert(id.clone()) && tried.len() <= MAX_MOVES_PER_TASK {
            self.log_event(&kinds::RUN_STRAGGLES, task, format!("run={run} worker={id}"));
            self.stop_when_committed(id.clone(), *task, *run);
        }
    }

    /// Returns whether a quick job has missed its objective, so that its caller gains little from a
    /// move while other quick jobs need the capacity.
    fn is_moved_too_late(&self, m: Moment, task: &TaskKey) -> bool {
        self.limits.mechanisms.prefers_suitable_speeds
            && self.replicated.job(task.step.job).is_some_and(|j| j.priority == 0)
            && self.has_missed_objective(m, &task.step)
    }

    /// Returns the speed of the fastest other worker that has capacity for a task and may run it.
    fn speed_elsewhere(&self, m: Moment, task: &TaskKey, excluded: &WorkerId) -> Option<f64> {
        if self.worker_speeds.is_uniform() {
            return self.has_capacity_elsewhere(m, &task.step, excluded).then_some(1.0);
        }
        let job = self.replicated.job(task.step.job)?;
        let spec = &job.spec.steps[task.step.step as usize];
        let needs_advice = self.advice_policies.contains_key(&job.queue);
        let tried = self.avoided_workers.get(task);
        let speed = |id: &WorkerId| {
            let is_excluded = id == excluded || tried.is_some_and(|t| t.contains(id));
            if is_excluded || (needs_advice && !self.advice_scheduler.is_allowed(&task.step, id)) {
                return None;
            }
            let worker = self.suitable_worker(m, WorkerTier::Preferred, &task.step, spec, id)?;
            let fits = spec.size.fits(&self.free_capacity_for(spec, worker));
            fits.then(|| self.speed(worker))
        };
        self.worker_views.keys().filter_map(speed).max_by(f64::total_cmp)
    }
}

/// A run that may end sooner on another worker.
struct Straggler {
    task: TaskKey,
    run: u32,
    progress: Progress,
    /// The speed of a run of its step on a machine of the usual speed, in percent per millisecond.
    usual: f64,
    keeps_progress: bool,
}

impl Straggler {
    /// Returns whether a run on a machine of a speed would certainly end sooner.
    fn would_end_sooner(&self, speed: f64, stop_time: Millis) -> bool {
        self.progress.is_straggler(self.usual * speed, self.keeps_progress, stop_time)
    }
}

/// Returns whether a run may have begun with the progress of an earlier one.
fn may_have_resumed(spec: &StepSpec, order: &Order) -> bool {
    spec.checkpointing && order.run > 1
}
