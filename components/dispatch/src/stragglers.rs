//! Moves stragglers and deprioritises slow workers.

use events::kinds;
use workload::{TaskKey, WorkerId};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    MAX_MOVES_PER_TASK, MIN_STRAGGLER_AGE, SLOW_WORKER_BACKOFF, SLOW_WORKER_SPEED_RATIO,
};
use crate::speed::Progress;
use crate::worker_messages::RunStatus;
use crate::worker_view::Stage;

impl Dispatcher {
    /// Measures the progress of a worker's runs, moves those that would finish sooner elsewhere,
    /// and deprioritises the worker if it is slow as a whole.
    pub(crate) fn watch_speed(&mut self, m: Moment, id: &WorkerId, running: &[RunStatus]) {
        if !self.limits.mechanisms.moves_stragglers {
            return;
        }
        let stop_time = self.limits.stop_time;
        let mut speed_ratios = Vec::new();
        let mut stragglers = Vec::new();
        for status in running {
            let Some(spec) = self.replicated.step_spec(&status.task.step) else { continue };
            let Some(view) = self.worker_views.get_mut(id) else { return };
            let Some(order) = view.orders.get(&status.task) else { continue };
            if spec.long_running || spec.filler || order.run != status.run {
                continue;
            }
            let fresh = Progress::new(order.since, m.now, status.percent);
            let progress = view.progress.entry(status.task).or_insert(fresh);
            progress.record(m.now, status.percent);
            let Some(speed) = progress.speed() else { continue };
            let step_speeds = self.step_speeds.entry(status.task.step).or_default();
            step_speeds.record(id, speed);
            let Some(elsewhere) = step_speeds.elsewhere(id) else { continue };
            speed_ratios.push(speed / elsewhere);
            let settled = matches!(order.stage, Stage::Confirmed { .. })
                && progress.age(m.now) >= MIN_STRAGGLER_AGE;
            if settled
                && !spec.gang
                && progress.is_straggler(elsewhere, spec.checkpointing, stop_time)
            {
                stragglers.push((status.task, status.run));
            }
        }
        self.deprioritise_if_slow(m, id, &speed_ratios);
        for (task, run) in stragglers {
            self.move_straggler(m, id, &task, run);
        }
    }

    fn deprioritise_if_slow(&mut self, m: Moment, id: &WorkerId, speed_ratios: &[f64]) {
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

    /// Stops a run so that it starts on another worker. Each worker gets one attempt at a task.
    fn move_straggler(&mut self, m: Moment, id: &WorkerId, task: &TaskKey, run: u32) {
        if !self.has_capacity_elsewhere(m, &task.step, id) {
            return;
        }
        let tried = self.avoided_workers.entry(*task).or_default();
        if tried.insert(id.clone()) && tried.len() <= MAX_MOVES_PER_TASK {
            self.log_event(&kinds::RUN_STRAGGLES, task, format!("run={run} worker={id}"));
            self.stop_when_committed(id.clone(), *task, run);
        }
    }
}
