//! Handles workers that begin to report their incarnation, as after an upgrade of the instances or
//! of the workers.
//!
//! A worker id names one incarnation of a worker. Workers that the log holds without an incarnation
//! are moved to an id with one, so that the next incarnation is not mistaken for the current one.

use events::kinds;
use workload::{Command, TaskKey, Worker, WorkerId, WorkerInfo};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::worker_view::Stage;

impl Dispatcher {
    /// Returns whether any incarnation of this worker is known that has reported its number.
    pub(crate) fn knows_incarnation(&self, worker: &WorkerId) -> bool {
        let first = worker.incarnation_prefix();
        let prefix = first.0.clone();
        let ids = self.worker_views.range(first..).map(|(id, _)| id);
        let mut incarnations = ids.take_while(|id| id.0.starts_with(prefix.as_ref()));
        incarnations.any(|id| id.name() == worker.name() && id.incarnation().is_some())
    }

    /// Handles an announcement that names an incarnation. An incarnation keeps its address, so one
    /// at another address is not the one that the log holds without a number.
    pub(crate) fn apply_incarnation(&mut self, m: Moment, info: &WorkerInfo) {
        if self.worker_views.contains_key(&info.id) {
            return;
        }
        let unnumbered = info.id.without_incarnation();
        if self.replicated.worker(&unnumbered).is_some_and(|w| w.info.address == info.address) {
            self.assign_incarnation(m, &unnumbered, info.id.clone());
        }
    }

    /// Moves a worker that was known without its incarnation, with its runs, to the id of the new
    /// incarnation. As after a change of leader, its first report shows which of the runs belong to
    /// that incarnation. Run ends are numbered per incarnation, and the last number in the log may
    /// belong to an earlier one, so the numbering starts again.
    pub(crate) fn assign_incarnation(
        &mut self,
        m: Moment,
        worker: &WorkerId,
        incarnation: WorkerId,
    ) {
        let Some(Worker { info, runs, .. }) = self.replicated.worker(worker).cloned() else {
            return;
        };
        let Some(mut view) = self.worker_views.remove(worker) else { return };
        let runs: Vec<(TaskKey, u32)> = runs.into_iter().collect();
        self.propose(Command::WorkerJoined(WorkerInfo { id: incarnation.clone(), ..info }));
        self.propose(Command::NotStarted { worker: worker.clone(), runs: runs.clone() });
        self.propose(Command::Started { worker: incarnation.clone(), runs });
        self.propose(Command::WorkerGone { worker: worker.clone(), saved: Vec::new() });
        view.reset_calls(m.now);
        let held = view.orders.iter().filter(|(_, o)| o.stage == Stage::Held);
        let held: Vec<(TaskKey, u32)> = held.map(|(task, o)| (*task, o.run)).collect();
        self.worker_views.insert(incarnation.clone(), view);
        self.starting_workers.insert(incarnation.clone());
        self.restricted_workers.insert(incarnation.clone());
        for (task, run) in held {
            self.start_when_committed(incarnation.clone(), task, run);
        }
        self.clean_up_runs_of(&incarnation);
        self.log_event(&kinds::WORKER_JOINED, &incarnation, format!("was={worker}"));
    }
}
