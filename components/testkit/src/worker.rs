//! The worker stand-in's core: it holds a lease, runs tasks and reports. Pure but for its records.

use std::collections::BTreeMap;

use clock::Millis;
use model::{Epoch, Size};
use upstream::{
    EndedTask, Lease, RunningTask, StartTask, SyncReply, SyncRequest, TaskEnding, WorkerReport,
};

use crate::records::{RecordKind, Recorder};

/// What a worker is like.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    /// What it has.
    pub total: Size,
    /// Its process; another one after each restart.
    pub boot: u64,
    /// Whether every task fails at once.
    pub fails_tasks: bool,
    /// How long a task really runs, in percent of what is declared.
    pub run_percent: u64,
    /// By how much its reports of use lag.
    pub usage_lag: Millis,
}

#[derive(Clone, Debug)]
struct Running {
    start: StartTask,
    since: Millis,
}

/// A worker's state.
#[derive(Debug)]
pub struct WorkerCore {
    cfg: WorkerConfig,
    epoch: Epoch,
    seq: u64,
    lease: Option<Lease>,
    running: BTreeMap<RunningTask, Running>,
    ended: BTreeMap<RunningTask, EndedTask>,
    leaving: bool,
    used: Vec<(Millis, Size)>,
    overcommits: u32,
    recorder: Recorder,
}

impl WorkerCore {
    /// Starts a worker that runs nothing.
    pub fn new(cfg: WorkerConfig, mut recorder: Recorder) -> WorkerCore {
        recorder.note(RecordKind::Boot, &cfg.boot.to_string(), cfg.total.cpu_milli);
        WorkerCore {
            cfg,
            epoch: Epoch(0),
            seq: 0,
            lease: None,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            leaving: false,
            used: Vec::new(),
            overcommits: 0,
            recorder,
        }
    }

    /// Takes in a call of an allocator.
    pub fn sync(&mut self, now: Millis, req: &SyncRequest) -> SyncReply {
        self.tick(now);
        let outdated = req.epoch < self.epoch;
        let repeated = req.epoch == self.epoch && req.seq <= self.seq;
        if outdated || repeated {
            return SyncReply::Refused { epoch: self.epoch, seq: self.seq };
        }
        self.epoch = req.epoch;
        self.seq = req.seq;
        if req.boot == self.cfg.boot {
            self.obey(now, req);
        }
        SyncReply::Done(self.report(now))
    }

    fn obey(&mut self, now: Millis, req: &SyncRequest) {
        if let Some(lease) = req.lease {
            self.lease = Some(lease);
            self.tick(now);
        }
        for forgotten in &req.forget {
            self.ended.remove(forgotten);
        }
        for stop in &req.stop {
            let task = RunningTask { task: stop.task.clone(), generation: stop.generation };
            self.end(now, &task, TaskEnding::Stopped);
        }
        for start in &req.start {
            self.start(now, start);
        }
    }

    fn start(&mut self, now: Millis, start: &StartTask) {
        let task = RunningTask { task: start.task.clone(), generation: start.generation };
        if self.running.contains_key(&task) || self.ended.contains_key(&task) {
            return;
        }
        if !self.lease_covers(now, start.may_move) {
            return;
        }
        let name = record_name(&task);
        if !start.size.fits(&self.free()) {
            self.overcommits += 1;
            self.recorder.note(RecordKind::Overcommit, &name, start.size.cpu_milli);
            return;
        }
        self.recorder.note(RecordKind::Start, &name, start.size.cpu_milli);
        self.running.insert(task.clone(), Running { start: start.clone(), since: now });
        if self.cfg.fails_tasks {
            self.end(now, &task, TaskEnding::Failed("this worker fails every task".into()));
        }
    }

    fn lease_covers(&self, now: Millis, may_move: bool) -> bool {
        let Some(lease) = self.lease else { return false };
        now < if may_move { lease.movable_until } else { lease.fixed_until }
    }

    fn end(&mut self, now: Millis, task: &RunningTask, ending: TaskEnding) {
        if let Some(running) = self.running.remove(task) {
            self.recorder.note(RecordKind::End, &record_name(task), running.start.size.cpu_milli);
            let ran = now.since(running.since);
            self.ended.insert(task.clone(), EndedTask { task: task.clone(), ending, ran });
        }
    }

    /// Lets time pass: ends tasks that are through and those whose lease has run out.
    pub fn tick(&mut self, now: Millis) {
        let mut over = Vec::new();
        for (task, running) in &self.running {
            let real = running.start.run_time.0 * self.cfg.run_percent / 100;
            let finite = running.start.run_time > Millis::ZERO;
            if !self.lease_covers(now, running.start.may_move) {
                over.push((task.clone(), TaskEnding::Stopped));
            } else if finite && now.since(running.since).0 >= real {
                over.push((task.clone(), TaskEnding::Done));
            }
        }
        for (task, ending) in over {
            self.end(now, &task, ending);
        }
        self.used.push((now, self.taken()));
        let keep = now.since(Millis::ZERO).0.saturating_sub(self.cfg.usage_lag.0);
        while self.used.len() > 1 && self.used[1].0.0 <= keep {
            self.used.remove(0);
        }
    }

    /// Tells the worker that it is about to leave.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Tells whether it is about to leave.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Gives the tasks that run.
    pub fn running(&self) -> impl Iterator<Item = &RunningTask> {
        self.running.keys()
    }

    /// Gives what the running tasks take.
    pub fn taken(&self) -> Size {
        self.running.values().fold(Size::ZERO, |sum, r| sum.plus(&r.start.size))
    }

    /// Gives how many starts were refused because they would not fit.
    pub fn overcommits(&self) -> u32 {
        self.overcommits
    }

    /// Writes a record down.
    pub fn note(&mut self, kind: RecordKind, what: &str, amount: u64) {
        self.recorder.note(kind, what, amount);
    }

    fn free(&self) -> Size {
        self.cfg.total.minus(&self.taken())
    }

    fn report(&self, now: Millis) -> WorkerReport {
        WorkerReport {
            boot: self.cfg.boot,
            now,
            total: self.cfg.total,
            leaving: self.leaving,
            running: self.running.keys().cloned().collect(),
            taken: self.taken(),
            ended: self.ended.values().cloned().collect(),
            used: self.used.first().map(|u| u.1).unwrap_or_default(),
        }
    }
}

fn record_name(task: &RunningTask) -> String {
    format!("{}@{}", task.task, task.generation)
}
