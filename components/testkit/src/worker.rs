//! The core of a simulated worker: it holds a lease, runs tasks and reports. It does no I/O except for its records.

use std::collections::BTreeMap;

use clock::Millis;
use model::{Epoch, Size};
use upstream::{
    EndedTask, Lease, RunningTask, StartTask, SyncReply, SyncRequest, TaskEnding, WorkerReport,
};

use crate::records::{RecordKind, Recorder};

/// The capacity and behaviour of a simulated worker.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    /// Its total capacity.
    pub total: Size,
    /// The id of its process, which changes with each restart.
    pub boot: u64,
    /// Whether every task fails immediately after its start.
    pub fails_tasks: bool,
    /// The actual run time of a task, in percent of the declared one.
    pub run_percent: u64,
    /// The delay with which it reports its resource usage.
    pub usage_lag: Millis,
}

#[derive(Clone, Debug)]
struct Running {
    start: StartTask,
    since: Millis,
}

/// The state of a simulated worker.
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
    /// Creates a worker without tasks and records its boot.
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

    /// Handles a sync call of an allocator. Refuses one with an outdated epoch or a repeated sequence number.
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
            self.apply_request(now, req);
        }
        SyncReply::Done(self.report(now))
    }

    fn apply_request(&mut self, now: Millis, req: &SyncRequest) {
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

    /// Advances the time: ends tasks that are done and those whose lease has expired, and samples the usage.
    pub fn tick(&mut self, now: Millis) {
        let mut finished = Vec::new();
        for (task, running) in &self.running {
            let actual = running.start.run_time.0 * self.cfg.run_percent / 100;
            let finite = running.start.run_time > Millis::ZERO;
            if !self.lease_covers(now, running.start.may_move) {
                finished.push((task.clone(), TaskEnding::Stopped));
            } else if finite && now.since(running.since).0 >= actual {
                finished.push((task.clone(), TaskEnding::Done));
            }
        }
        for (task, ending) in finished {
            self.end(now, &task, ending);
        }
        self.used.push((now, self.taken()));
        let oldest_needed = now.since(Millis::ZERO).0.saturating_sub(self.cfg.usage_lag.0);
        while self.used.len() > 1 && self.used[1].0.0 <= oldest_needed {
            self.used.remove(0);
        }
    }

    /// Marks the worker as leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether the worker is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the running tasks.
    pub fn running(&self) -> impl Iterator<Item = &RunningTask> {
        self.running.keys()
    }

    /// Returns the total size of the running tasks.
    pub fn taken(&self) -> Size {
        self.running.values().fold(Size::ZERO, |sum, r| sum.plus(&r.start.size))
    }

    /// Returns the number of starts refused because the task did not fit.
    pub fn overcommits(&self) -> u32 {
        self.overcommits
    }

    /// Appends a record.
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
