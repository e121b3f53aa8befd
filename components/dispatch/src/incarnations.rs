//! Workers that begin to tell their incarnation, as after an update of the instances or of the workers.
//!
//! An id is one life of a worker. Those that the log holds without an incarnation go on under an id with one, so that the
//! next life is not taken for theirs.

use events::kinds;
use workload::{Command, TaskKey, Worker, WorkerId, WorkerInfo};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::worker_view::Stage;

impl Dispatcher {
    /// Tells whether a life of this worker is known that has told its incarnation.
    pub(crate) fn knows_incarnation(&self, worker: &WorkerId) -> bool {
        let first = worker.incarnation_prefix();
        let prefix = first.0.clone();
        let ids = self.worker_views.range(first..).map(|(id, _)| id);
        let mut lives = ids.take_while(|id| id.0.starts_with(prefix.as_ref()));
        lives.any(|id| id.name() == worker.name() && id.incarnation().is_some())
    }

    /// Takes in an announcement that tells an incarnation. A life keeps its address, so one that is called elsewhere is
    /// none that the log holds without its incarnation.
    pub(crate) fn apply_incarnation(&mut self, m: Moment, info: &WorkerInfo) {
        if self.worker_views.contains_key(&info.id) {
            return;
        }
        let untold = info.id.without_incarnation();
        if self.replicated.worker(&untold).is_some_and(|w| w.info.address == info.address) {
            self.assign_incarnation(m, &untold, info.id.clone());
        }
    }

    /// Has a worker that was known without its incarnation go on under the id of a life that is not known, with its runs.
    /// Whether these are of this life is told by its first report, as after a change of leader. Its ends are numbered by
    /// this life, and the last number that the log holds may be of one before: so it begins anew.
    pub(crate) fn assign_incarnation(&mut self, m: Moment, worker: &WorkerId, life: WorkerId) {
        let Some(Worker { info, runs, .. }) = self.replicated.worker(worker).cloned() else {
            return;
        };
        let Some(mut view) = self.worker_views.remove(worker) else { return };
        let runs: Vec<(TaskKey, u32)> = runs.into_iter().collect();
        self.propose(Command::WorkerJoined(WorkerInfo { id: life.clone(), ..info }));
        self.propose(Command::NotStarted { worker: worker.clone(), runs: runs.clone() });
        self.propose(Command::Started { worker: life.clone(), runs });
        self.propose(Command::WorkerGone { worker: worker.clone(), saved: Vec::new() });
        view.reset_calls(m.now);
        let held = view.orders.iter().filter(|(_, o)| o.stage == Stage::Held);
        let held: Vec<(TaskKey, u32)> = held.map(|(task, o)| (*task, o.run)).collect();
        self.worker_views.insert(life.clone(), view);
        for (task, run) in held {
            self.start_when_committed(life.clone(), task, run);
        }
        self.clean_up_runs_of(&life);
        self.log_event(&kinds::WORKER_JOINED, &life, format!("was={worker}"));
    }
}
