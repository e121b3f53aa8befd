//! Probes workers for whether a run that others wait for has survived.
//!
//! The tasks of a faulty step start one after the other, each once a response of the previous
//! task's worker shows that run as healthy. A worker that ran nothing before holds a renewal for up
//! to two seconds, so its next response may come late. A repeated start is confirmed immediately
//! where its run is present, and has no other effect.

use workload::{StepKey, TaskKey, WorkerId};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::SEEMS_HEALTHY_AGE;
use crate::worker_view::{Order, Stage, WorkerView};

/// Returns whether a run is old enough to seem healthy and its worker has neither answered nor been
/// probed since.
fn needs_probe(m: Moment, view: &WorkerView, order: &Order) -> bool {
    let confirmed = matches!(order.stage, Stage::Confirmed { .. });
    let seems_healthy_at = order.since + SEEMS_HEALTHY_AGE;
    let answered = view.clock_reading.is_some_and(|r| r.at >= seems_healthy_at);
    let probed = order.sent_at >= seems_healthy_at;
    confirmed && view.is_usable() && m.now >= seems_healthy_at && !answered && !probed
}

impl Dispatcher {
    /// Probes the workers that run tasks of a faulty step that are not yet known to seem healthy.
    pub(crate) fn probe_unanswered_runs(&mut self, m: Moment, key: &StepKey) {
        for (worker, task, run) in self.unanswered_runs(m, key) {
            self.resend_start(m, &worker, &task, run);
        }
    }

    fn unanswered_runs(&self, m: Moment, key: &StepKey) -> Vec<(WorkerId, TaskKey, u32)> {
        let Some(step) = self.replicated.step(key) else { return Vec::new() };
        let placed = (0..).zip(&step.tasks).filter_map(|(i, t)| Some((i, t.at.as_ref()?, t.run)));
        let runs = placed.map(|(index, worker, run)| (worker, TaskKey { step: *key, index }, run));
        let unanswered = runs.filter(|(worker, task, run)| {
            let view = self.worker_views.get(*worker);
            // No start is sent to a drained zone, not even for a run that is there.
            let Some(view) = view.filter(|_| !self.replicated.is_drained(worker)) else {
                return false;
            };
            let order = view.orders.get(task).filter(|o| o.run == *run);
            order.is_some_and(|o| needs_probe(m, view, o))
        });
        unanswered.map(|(worker, task, run)| (worker.clone(), task, run)).collect()
    }
}
