//! Random schedules of a dispatcher over fake workers: answers lost, orders late, workers silent and
//! restarted, leaders replaced. No task may run twice at once, start again once its end is noted, or
//! take more than a worker has.

mod common;

use std::collections::BTreeMap;

use clock::Millis;
use common::worker::FakeWorker;
use common::{Bench, SILENT, spec, step};
use dispatch::{Action, CallError, Input, Refusal, Report, Verb};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use workload::{EndKind, StepSpec, TaskKey, WorkerId};

const SEEDS: u64 = 300;
const STEPS: usize = 250;
const CORES: u64 = 4;

struct World {
    bench: Bench,
    rng: StdRng,
    workers: BTreeMap<String, FakeWorker>,
    /// Orders that are carried out later, after no answer.
    late: Vec<Action>,
    term: u64,
    jobs: u64,
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            bench: Bench::new(""),
            rng: StdRng::seed_from_u64(seed),
            workers: BTreeMap::new(),
            late: Vec::new(),
            term: 1,
            jobs: 0,
        };
        for i in 0..3 {
            world.announce(&format!("w{i}-0"));
        }
        world
    }

    fn announce(&mut self, name: &str) {
        self.workers.insert(name.to_string(), FakeWorker::default());
        self.bench.feed(Input::News(common::news(name, CORES)));
    }

    /// Carries out what the dispatcher wants done, each order with its own luck.
    fn perform(&mut self) {
        for action in std::mem::take(&mut self.bench.actions) {
            match action {
                Action::Renew { .. } | Action::Start { .. } | Action::Stop { .. } => {
                    self.order(action);
                }
                _ => {}
            }
        }
    }

    fn order(&mut self, action: Action) {
        let luck = self.rng.random_range(0..20);
        let silent = self.worker_of(&action).is_some_and(|w| w.silent);
        if silent || luck == 0 {
            self.answer(&action, Err(SILENT()));
        } else if luck == 1 {
            self.late.push(action.clone());
            self.answer(&action, Err(SILENT()));
        } else if luck == 2 {
            // It is carried out, and the answer is lost.
            let _ = self.carry_out(&action);
            self.answer(&action, Err(SILENT()));
        } else {
            let result = self.carry_out(&action);
            self.answer(&action, result);
        }
    }

    fn worker_of(&mut self, action: &Action) -> Option<&mut FakeWorker> {
        let (Action::Renew { worker, .. }
        | Action::Start { worker, .. }
        | Action::Stop { worker, .. }) = action
        else {
            return None;
        };
        self.workers.get_mut(worker.0.as_ref())
    }

    fn carry_out(&mut self, action: &Action) -> Result<Report, CallError> {
        let now = self.bench.now;
        let Some(worker) = self.worker_of(action) else {
            return Err(CallError::Refused(Refusal::OtherLife));
        };
        worker.lapse(now);
        let mut began = None;
        match action {
            Action::Start { order, .. } => match worker.start(now, order) {
                Ok(true) => began = Some(order.task),
                Ok(false) => {}
                Err(why) => return Err(CallError::Refused(why)),
            },
            Action::Stop { order, .. } => worker.stop(order).map_err(CallError::Refused)?,
            Action::Renew { order, .. } => worker.renew(order).map_err(CallError::Refused)?,
            _ => {}
        }
        let report = worker.report(now);
        if let Some(key) = began {
            self.check_start(key);
        }
        Ok(report)
    }

    /// What must hold when a task begins.
    fn check_start(&self, key: TaskKey) {
        let now = self.bench.now;
        let alive = |w: &&FakeWorker| w.running.contains_key(&key) && now < w.lease;
        assert_eq!(self.workers.values().filter(alive).count(), 1, "{key} runs twice");
        for (name, worker) in &self.workers {
            let size = |key: &TaskKey| self.bench.committed.step_spec(&key.step).map(|s| s.size);
            let taken = worker.running.keys().filter_map(size).fold(0, |n, s| n + s.cpu_milli);
            assert!(taken <= CORES * 1_000, "{name} is over its room");
        }
        let noted = self.bench.committed.task(&key).is_some_and(|t| t.done);
        assert!(!noted, "{key} starts after its end was noted");
    }

    fn answer(&mut self, action: &Action, result: Result<Report, CallError>) {
        let sent_at = self.bench.now;
        let clock = result.clone().map(|r| r.clock);
        match action.clone() {
            Action::Renew { worker, .. } => {
                self.bench.feed(Input::Renewed { worker, sent_at, result });
            }
            Action::Start { worker, order, .. } => {
                let (task, run) = (order.task, order.run);
                self.bench.feed(Input::Started { worker, task, run, result: clock });
            }
            Action::Stop { worker, order, .. } => {
                let (task, run) = (order.task, order.run);
                self.bench.feed(Input::Stopped { worker, task, run, result: clock });
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..24) {
            0..=4 => {
                self.jobs += 1;
                let second = StepSpec { depends_on: vec![0], ..step(2) };
                let lasts = self.rng.random_bool(0.1);
                let gang = self.rng.random_bool(0.2);
                let first = StepSpec { long_running: lasts, gang: gang && !lasts, ..step(3) };
                let steps = if lasts { vec![first] } else { vec![first, second] };
                self.submit(steps);
            }
            5..=9 => self.finish_some(),
            10..=12 => self.bench.commit(),
            13 => {
                let id = self.rng.random_range(1..=self.jobs.max(1));
                self.bench.call_path(&format!("/q/{:016x}", id), Verb::Cancel);
            }
            14 => self.toggle_silence(),
            15 => self.restart_worker(),
            16 => self.replace_leader(),
            17 => self.carry_out_late(),
            18 => self.pass(Millis(2_000)),
            _ => self.pass(Millis(60)),
        }
        self.perform();
    }

    fn pass(&mut self, span: Millis) {
        self.bench.now += span;
        let now = self.bench.now;
        self.workers.values_mut().for_each(|w| w.lapse(now));
        self.bench.feed(Input::Tick);
    }

    /// Hands in a quick job, a batch job that may be stopped for others, or one that others are stopped for.
    fn submit(&mut self, steps: Vec<StepSpec>) {
        let keeps = StepSpec { checkpointing: true, estimate: Millis(30_000), ..step(3) };
        let size = model::Size::new(3_000, 1_000, 0);
        let large = StepSpec { size, estimate: Millis(2_000), ..step(2) };
        match self.rng.random_range(0..4) {
            0 => self.bench.submit_bulk(self.jobs, spec(vec![keeps])),
            1 => self.bench.submit_mid(self.jobs, spec(vec![large])),
            _ => self.bench.submit(self.jobs, spec(steps)),
        };
    }

    /// The members of a gang work only while all of them are there, so none is done before.
    fn can_work(&self, key: TaskKey) -> bool {
        let Some(spec) = self.bench.committed.step_spec(&key.step) else { return true };
        let runs = |w: &&FakeWorker| w.running.keys().filter(|k| k.step == key.step).count();
        let present: usize = self.workers.values().map(|w| runs(&w)).sum();
        !spec.gang || present >= spec.count as usize
    }

    fn finish_some(&mut self) {
        let kinds = [EndKind::Done, EndKind::Done, EndKind::Done, EndKind::Failed];
        for name in self.workers.keys().cloned().collect::<Vec<_>>() {
            let keys: Vec<TaskKey> = self.workers[&name].running.keys().copied().collect();
            let Some(key) = keys.choose(&mut self.rng).copied() else { continue };
            let drawn = *kinds.choose(&mut self.rng).unwrap_or(&EndKind::Done);
            let kind = if self.can_work(key) { drawn } else { EndKind::Failed };
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.end(key, kind);
            }
        }
        for name in self.workers.keys().cloned().collect::<Vec<_>>() {
            let report = Action::Renew {
                worker: WorkerId::from(name.as_str()),
                address: "".into(),
                order: dispatch::RenewOrder {
                    fence: self.term,
                    seen: 0,
                    deadline: None,
                    wait: Millis::ZERO,
                    answer_within: Millis(400),
                },
            };
            if !self.workers[&name].silent {
                let result = self.carry_out(&report);
                self.answer(&report, result);
            }
        }
    }

    fn toggle_silence(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        let name = names.choose(&mut self.rng).cloned().unwrap_or_default();
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.silent = !worker.silent;
        }
    }

    /// A worker dies with all that it runs, and another life takes its place.
    fn restart_worker(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        let name = names.choose(&mut self.rng).cloned().unwrap_or_default();
        let Some(old) = self.workers.remove(&name) else { return };
        let base = name.split('-').next().unwrap_or_default();
        let next = format!("{base}-{}", old.life + 1);
        self.announce(&next);
        if let Some(worker) = self.workers.get_mut(&next) {
            worker.life = old.life + 1;
        }
    }

    /// Another instance leads, with what is committed; what was not is lost.
    fn replace_leader(&mut self) {
        self.term += 1;
        let committed = self.bench.committed.clone();
        self.bench = Bench::take_over(committed, self.term, self.bench.now);
        for name in self.workers.keys().cloned().collect::<Vec<_>>() {
            self.bench.feed(Input::News(common::news(&name, CORES)));
        }
    }

    fn carry_out_late(&mut self) {
        if let Some(action) = self.late.pop() {
            // Nobody awaits the answer any more.
            let _ = self.carry_out(&action);
        }
    }
}

fn play(seed: u64) {
    let mut world = World::new(seed);
    for _ in 0..STEPS {
        world.step();
    }
    // In the end everything that can be done is done.
    world.workers.values_mut().for_each(|w| w.silent = false);
    let lasting = world.bench.dispatcher.book().jobs().iter();
    let lasting: Vec<_> =
        lasting.filter(|(_, j)| j.spec.is_long_running()).map(|(id, _)| *id).collect();
    for id in lasting {
        world.bench.call_path(&format!("/q/{id}"), Verb::Cancel);
    }
    for _ in 0..400 {
        world.bench.commit();
        world.perform();
        world.finish_some();
        world.pass(Millis(100));
        world.perform();
    }
    world.bench.commit();
    for (id, job) in world.bench.committed.jobs() {
        assert!(job.state.is_final(), "{id} is {:?} after all is calm: {job:#?}", job.state);
    }
}

#[test]
fn promises_hold_on_random_schedules() {
    for seed in 0..SEEDS {
        let played = std::panic::catch_unwind(|| play(seed));
        assert!(played.is_ok(), "seed {seed}");
    }
}
