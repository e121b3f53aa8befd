//! Workers that begin to say when their lives began, as after an update of the instances or of the workers.
//!
//! An id is one life of a worker. Those that the log holds without a birth go on under an id with one, so that the next
//! life is not taken for theirs.

use events::kinds;
use workload::{Command, TaskKey, WorkerId, WorkerInfo};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::view::{Stage, View};

impl Dispatcher {
    /// Tells whether a life of this worker is known that said when it began.
    pub(crate) fn knows_birth(&self, worker: &WorkerId) -> bool {
        self.lives_of(worker).next().is_some()
    }

    /// Gives the lives of a worker that said when they began.
    pub(crate) fn lives_of<'a>(
        &'a self,
        worker: &'a WorkerId,
    ) -> impl Iterator<Item = (&'a WorkerId, &'a View)> {
        let lives = self.views.range(worker.any_birth()..);
        let lives = lives.take_while(|(id, _)| id.name().starts_with(worker.name()));
        lives.filter(|(id, _)| id.name() == worker.name() && id.born().is_some())
    }

    /// Takes in an announcement that says when a life began. A life keeps its address, so one that is called elsewhere is none
    /// that the log holds without its birth.
    pub(crate) fn heed_birth(&mut self, m: Moment, info: &WorkerInfo) {
        let untold = info.id.without_birth();
        let known = self.book.worker(&untold);
        if known.is_some_and(|w| w.info.address == info.address) {
            self.name_life(m, &untold, info.id.clone());
        }
    }

    /// Has a worker that was known without its birth go on under the id of this life, with its runs. Whether these are of
    /// this life is told by its first report, as after a change of leader. Its ends are numbered by this life, and
    /// the last number that the log holds may be of one before: so it begins anew.
    pub(crate) fn name_life(&mut self, m: Moment, worker: &WorkerId, life: WorkerId) {
        if self.views.contains_key(&life) {
            return;
        }
        let Some(mut info) = self.book.worker(worker).map(|w| w.info.clone()) else { return };
        let Some(mut view) = self.views.remove(worker) else { return };
        info.id = life.clone();
        let runs: Vec<(TaskKey, u32)> = self
            .book
            .worker(worker)
            .into_iter()
            .flat_map(|w| &w.runs)
            .map(|(k, r)| (*k, *r))
            .collect();
        self.propose(Command::WorkerJoined(info));
        self.propose(Command::NotStarted { worker: worker.clone(), runs: runs.clone() });
        self.propose(Command::Started { worker: life.clone(), runs });
        self.propose(Command::WorkerGone { worker: worker.clone(), saved: Vec::new() });
        view.forget_calls(m.now);
        let held = view.orders.iter().filter(|(_, o)| o.stage == Stage::Held);
        let held: Vec<(TaskKey, u32)> = held.map(|(task, o)| (*task, o.run)).collect();
        self.views.insert(life.clone(), view);
        for (task, run) in held {
            self.start_when_committed(life.clone(), task, run);
        }
        self.sweep_runs_of(&life);
        self.note(&kinds::WORKER_JOINED, &life, format!("was={worker}"));
    }
}
