//! Replays seeded work through the planner and compares policies: waits by class, and packing.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use clock::Millis;
use model::{Class, JobName, JobSpec, Profile, Size, TaskId};
use placement::{Baseline, Decision, Planner, Policy, WorkerIndex, WorkerInfo};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::figure::{Waits, figure};
use crate::trace::{Event, SPAN, TARGET_ZONE, USERS, User, make};

/// How long a task takes to checkpoint and stop.
const CHECKPOINT: Millis = Millis(800);
/// How many seeds are averaged.
const SEEDS: u64 = 3;

/// A policy under comparison.
struct Entrant {
    name: &'static str,
    profile: Profile,
    baseline: Option<Baseline>,
    backfill: bool,
}

const ENTRANTS: [Entrant; 5] = [
    Entrant { name: "waiting", profile: Profile::Waiting, baseline: None, backfill: true },
    Entrant { name: "packing", profile: Profile::Packing, baseline: None, backfill: true },
    Entrant {
        name: "packing_no_backfill",
        profile: Profile::Packing,
        baseline: None,
        backfill: false,
    },
    Entrant {
        name: "first_fit",
        profile: Profile::Packing,
        baseline: Some(Baseline::FirstFit),
        backfill: true,
    },
    Entrant {
        name: "spread_only",
        profile: Profile::Packing,
        baseline: Some(Baseline::SpreadOnly),
        backfill: true,
    },
];

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Ends(TaskId, u64),
    Stopped(TaskId, u64),
}

/// What one replay gives.
#[derive(Default)]
struct Outcome {
    waits: BTreeMap<Class, Waits>,
    gang_waits: Waits,
    /// Used thousandths of each dimension, summed over looks while work waited.
    packing: [u64; 3],
    looks: u64,
    started: u64,
    evicted: u64,
    hopeless: u64,
}

struct Replay<'a> {
    planner: Planner,
    out: &'a mut Outcome,
    really: BTreeMap<JobName, Millis>,
    arrived: BTreeMap<JobName, Millis>,
    order: Vec<JobName>,
    due: BinaryHeap<Reverse<(Millis, Due)>>,
    /// Counts the starts of each task, so that an end of an earlier one is not taken for a later's.
    starts: BTreeMap<TaskId, u64>,
    /// What checkpointed tasks have left to run.
    left: BTreeMap<TaskId, Millis>,
    now: Millis,
}

impl Replay<'_> {
    fn arrive(&mut self, spec: JobSpec, really: Millis) {
        let (name, tasks) = (spec.name.clone(), spec.tasks);
        self.really.insert(name.clone(), really);
        self.arrived.insert(name.clone(), self.now);
        self.order.push(name);
        self.planner.submit(self.now, &Arc::new(spec), 1, 0..tasks);
    }

    fn plan(&mut self) {
        for decision in self.planner.plan(self.now, usize::MAX) {
            match decision {
                Decision::Start { task, .. } => self.start(task),
                Decision::Evict { task, .. } => {
                    self.out.evicted += 1;
                    let start = self.starts[&task];
                    self.due.push(Reverse((self.now + CHECKPOINT, Due::Stopped(task, start))));
                }
                Decision::Unplaceable { .. } => self.out.hopeless += 1,
            }
        }
    }

    fn start(&mut self, task: TaskId) {
        let Some(placed) = self.planner.placed(&task) else { return };
        let class = placed.spec.class;
        let wait = self.now.since(self.arrived[&task.job]);
        let count = self.starts.entry(task.clone()).or_default();
        *count += 1;
        if *count == 1 {
            self.out.started += 1;
            self.out.waits.entry(class).or_default().note(wait);
            if placed.spec.kind == model::JobKind::Gang {
                self.out.gang_waits.note(wait);
            }
        }
        let really = self.left.get(&task).copied().unwrap_or(self.really[&task.job]);
        if really < Millis::MAX {
            self.due.push(Reverse((self.now + really, Due::Ends(task, *count))));
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Ends(task, start) if self.starts.get(&task) == Some(&start) => {
                if let Some(placed) = self.planner.release(&task) {
                    let ran = self.really[&task.job];
                    self.planner.estimator.learn(&placed.spec, ran);
                }
            }
            Due::Stopped(task, start) if self.starts.get(&task) == Some(&start) => {
                if let Some(p) = self.planner.release(&task) {
                    // A checkpoint keeps what the task has done.
                    let left = self.left.entry(task.clone()).or_insert(self.really[&task.job]);
                    *left = left.since(self.now.since(p.since)).max(Millis(1));
                    self.planner.submit(self.now, &p.spec, p.generation, [task.index]);
                }
            }
            _ => {}
        }
    }

    fn rack(&mut self, rack: u32, dies: bool) {
        let name = rack_name(rack);
        let there: Vec<WorkerIndex> = self
            .planner
            .ledger
            .workers()
            .filter(|&ix| *self.planner.ledger.info(ix).rack == *name)
            .collect();
        for ix in there {
            self.planner.ledger.set_open(ix, !dies);
            if !dies {
                continue;
            }
            let lost: Vec<TaskId> = self.planner.tasks_on(ix).cloned().collect();
            for task in lost {
                if let Some(p) = self.planner.release(&task) {
                    *self.starts.entry(task.clone()).or_default() += 1;
                    self.planner.submit(self.now, &p.spec, p.generation, [task.index]);
                }
            }
        }
        self.planner.reexamine_stuck();
    }

    fn cancel(&mut self, jobs: usize) {
        let newest: Vec<JobName> = self.order.iter().rev().take(jobs).cloned().collect();
        for job in newest {
            self.planner.withdraw(&job);
            let placed: Vec<TaskId> = self
                .planner
                .all_placed()
                .filter(|(t, _)| t.job == job)
                .map(|(t, _)| t.clone())
                .collect();
            placed.iter().for_each(|t| {
                self.planner.release(t);
            });
        }
    }

    fn look(&mut self) {
        if self.planner.queue().is_empty() {
            return;
        }
        self.out.looks += 1;
        for (sum, used) in self.out.packing.iter_mut().zip(self.planner.packing()) {
            *sum += used;
        }
    }
}

fn rack_name(rack: u32) -> String {
    format!("r{rack}")
}

fn replay(user: &User, entrant: &Entrant, seed: u64, out: &mut Outcome) {
    let mut rng = StdRng::seed_from_u64(seed);
    let events = make(user, &mut rng);
    let policy = Policy {
        profile: entrant.profile,
        baseline: entrant.baseline,
        backfill: entrant.backfill,
        ..Policy::default()
    };
    let mut planner = Planner::new(policy);
    for i in 0..user.workers {
        let ix = planner.ledger.add(WorkerInfo {
            name: format!("w{i}").as_str().into(),
            rack: rack_name(i / 8).as_str().into(),
            total: Size::new(user.cpu, user.memory, 0),
        });
        planner.ledger.set_open(ix, true);
    }
    let mut r = Replay {
        planner,
        out,
        really: BTreeMap::new(),
        arrived: BTreeMap::new(),
        order: Vec::new(),
        due: BinaryHeap::new(),
        starts: BTreeMap::new(),
        left: BTreeMap::new(),
        now: Millis::ZERO,
    };
    let mut events = events.into_iter().peekable();
    loop {
        let next_due = r.due.peek().map(|Reverse((at, _))| *at);
        let next_event = events.peek().map(|(at, _)| *at);
        let Some(at) = next_due.into_iter().chain(next_event).min() else { break };
        if at > SPAN {
            break;
        }
        r.now = at;
        while r.due.peek().is_some_and(|Reverse((due, _))| *due <= at) {
            if let Some(Reverse((_, due))) = r.due.pop() {
                r.happen(due);
            }
        }
        while let Some((_, event)) = events.next_if(|(t, _)| *t <= at) {
            match event {
                Event::Arrive(a) => r.arrive(a.spec, a.really),
                Event::RackDies(rack) => r.rack(rack, true),
                Event::RackReturns(rack) => r.rack(rack, false),
                Event::CancelWave(jobs) => r.cancel(jobs),
            }
        }
        r.plan();
        r.look();
    }
}

fn measure(user: &User, entrant: &Entrant, seeds: u64) {
    let mut out = Outcome::default();
    for seed in 0..seeds {
        replay(user, entrant, seed, &mut out);
    }
    let name = format!("{}_{}", user.name, entrant.name);
    for (class, waits) in &out.waits {
        waits.print(&format!("task_wait_{name}_{}", class.as_str()));
    }
    out.gang_waits.print(&format!("task_wait_{name}_gang"));
    for (dimension, sum) in ["cpu", "memory"].iter().zip(out.packing) {
        let part = sum as f64 / out.looks.max(1) as f64 / 10.0;
        figure(&format!("packing_{name}_{dimension}"), part, "percent");
    }
    figure(&format!("tasks_started_{name}"), out.started as f64 / seeds as f64, "tasks");
    figure(&format!("tasks_evicted_{name}"), out.evicted as f64 / seeds as f64, "tasks");
}

/// Replays each user's work under each policy, and a zone of the target under ours.
pub fn run() {
    for user in &USERS {
        for entrant in &ENTRANTS {
            measure(user, entrant, SEEDS);
        }
    }
    for entrant in ENTRANTS.iter().filter(|e| e.baseline.is_none() && e.backfill) {
        measure(&TARGET_ZONE, entrant, 1);
    }
}
