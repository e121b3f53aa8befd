//! Workers that crash. After a while another incarnation, which runs nothing, answers at the same address.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use workload::{JobId, TaskKey, WorkerId};

use super::Fleet;
use crate::common::host::Host;

/// When a faulty task crashes the worker that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// While it starts, so that the start gets no answer.
    AtStart,
    /// This long after it began.
    After(Millis),
}

/// The faulty tasks, and the crashes of workers.
pub struct Crashes {
    faults: BTreeMap<TaskKey, Fault>,
    /// The crashes to come: the time, the worker and the run that causes it.
    due: Vec<(Millis, WorkerId, TaskKey, u32)>,
    /// The restarts to come: the time and the crashed worker.
    due_restarts: Vec<(Millis, WorkerId)>,
    /// How long a crashed worker is down.
    pub down_for: Millis,
    /// Whether crashed workers restart at all.
    pub come_back: bool,
    /// How many workers have crashed with each task on them, whatever the cause.
    pub under: BTreeMap<TaskKey, u32>,
    /// How many workers the faulty tasks of each job have crashed.
    pub by_job: BTreeMap<JobId, u32>,
}

impl Default for Crashes {
    fn default() -> Crashes {
        Crashes {
            faults: BTreeMap::new(),
            due: Vec::new(),
            due_restarts: Vec::new(),
            down_for: Millis(3_200),
            come_back: true,
            under: BTreeMap::new(),
            by_job: BTreeMap::new(),
        }
    }
}

impl Crashes {
    /// Returns how many workers have crashed with a task on them.
    pub fn under(&self, task: &TaskKey) -> u32 {
        self.under.get(task).copied().unwrap_or(0)
    }

    /// Returns how many workers the faulty tasks of a job have crashed.
    pub fn by_job(&self, job: JobId) -> u32 {
        self.by_job.get(&job).copied().unwrap_or(0)
    }

    /// Returns the jobs that have a faulty task.
    pub fn faulty_jobs(&self) -> BTreeSet<JobId> {
        self.faults.keys().map(|task| task.step.job).collect()
    }

    /// Moves the crashes and restarts to come of a worker to its new id.
    pub(super) fn rename(&mut self, old: &WorkerId, new: &WorkerId) {
        let due = self.due.iter_mut().map(|(_, worker, ..)| worker);
        let due_restarts = self.due_restarts.iter_mut().map(|(_, worker)| worker);
        due.chain(due_restarts).filter(|w| *w == old).for_each(|w| *w = new.clone());
    }

    pub(super) fn crashes_at_start(&self, task: &TaskKey) -> bool {
        self.faults.get(task) == Some(&Fault::AtStart)
    }

    /// Records that a run has begun, and plans the crash that it causes, if any.
    pub(super) fn note_start(&mut self, now: Millis, worker: &WorkerId, task: &TaskKey, run: u32) {
        let after = match self.faults.get(task) {
            None => return,
            Some(Fault::AtStart) => Millis::ZERO,
            Some(Fault::After(span)) => *span,
        };
        self.due.push((now + after, worker.clone(), *task, run));
    }
}

impl Fleet {
    /// Makes a task crash each worker that runs it.
    pub fn make_faulty(&mut self, task: TaskKey, fault: Fault) {
        self.crashes.faults.insert(task, fault);
        self.wait_checker.faulty.insert(task.step.job);
    }

    /// Crashes a worker immediately with all that it runs; it restarts as another incarnation.
    pub fn crash(&mut self, id: &WorkerId) {
        self.note_disturbance();
        let now = self.harness.now;
        let Some(host) = self.hosts.get_mut(id) else { return };
        for task in host.crash() {
            *self.crashes.under.entry(task).or_default() += 1;
        }
        if self.crashes.come_back {
            self.crashes.due_restarts.push((now + self.crashes.down_for, id.clone()));
        }
    }

    pub(super) fn crash_due_workers(&mut self) {
        let now = self.harness.now;
        let is_due = |due: &(Millis, WorkerId, TaskKey, u32)| due.0 <= now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.crashes.due).into_iter().partition(is_due);
        self.crashes.due = rest;
        for (_, worker, task, run) in due {
            let runs = |h: &Host| h.fake.running.get(&task) == Some(&run);
            if self.hosts.get(&worker).is_some_and(runs) {
                *self.crashes.by_job.entry(task.step.job).or_default() += 1;
                self.crash(&worker);
            }
        }
    }

    pub(super) fn restart_due_workers(&mut self) {
        let now = self.harness.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.crashes.due_restarts)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.crashes.due_restarts = rest;
        for (_, old) in due {
            let Some(host) = self.hosts.get_mut(&old) else { continue };
            host.replaced = true;
            host.fake.silent = false;
            let mut info = host.info.clone();
            // A worker that announces its incarnation keeps its name.
            info.id = match old.incarnation() {
                Some(_) => WorkerId::with_incarnation(old.name(), Some(self.harness.now.0)),
                None => WorkerId::from(format!("{old}'").as_str()),
            };
            self.note_disturbance();
            self.admit(info);
        }
    }
}
