//! Replays seeded workloads through the planner and compares policies by waiting times and packing.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use clock::Millis;
use model::{Class, JobName, JobSpec, Profile, Size, TaskId};
use placement::{Baseline, Decision, Planner, Policy, WorkerIndex, WorkerInfo};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::figure::{Waits, figure};
use crate::trace::{Event, SPAN, TARGET_ZONE, USERS, User, generate};

/// The time that an evicted task takes to write its checkpoint and stop.
const CHECKPOINT_TIME: Millis = Millis(800);
/// The number of seeds over which figures are taken.
const SEEDS: u64 = 3;

/// A policy to compare.
struct PolicyVariant {
    name: &'static str,
    profile: Profile,
    baseline: Option<Baseline>,
    backfill: bool,
}

const POLICY_VARIANTS: [PolicyVariant; 5] = [
    PolicyVariant { name: "waiting", profile: Profile::Waiting, baseline: None, backfill: true },
    PolicyVariant { name: "packing", profile: Profile::Packing, baseline: None, backfill: true },
    PolicyVariant {
        name: "packing_no_backfill",
        profile: Profile::Packing,
        baseline: None,
        backfill: false,
    },
    PolicyVariant {
        name: "first_fit",
        profile: Profile::Packing,
        baseline: Some(Baseline::FirstFit),
        backfill: true,
    },
    PolicyVariant {
        name: "spread_only",
        profile: Profile::Packing,
        baseline: Some(Baseline::SpreadOnly),
        backfill: true,
    },
];

/// A scheduled event of a task, with the number of its start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Ends(TaskId, u64),
    Stopped(TaskId, u64),
}

/// The results of the replays of one policy.
#[derive(Default)]
struct Outcome {
    waits: BTreeMap<Class, Waits>,
    gang_waits: Waits,
    /// The used thousandths of each dimension, summed over the samples taken while tasks waited.
    packing: [u64; 3],
    packing_samples: u64,
    started: u64,
    evicted: u64,
    unplaceable: u64,
}

/// A replay under way.
struct Replay<'a> {
    planner: Planner,
    out: &'a mut Outcome,
    actual_run_time: BTreeMap<JobName, Millis>,
    arrived: BTreeMap<JobName, Millis>,
    order: Vec<JobName>,
    due: BinaryHeap<Reverse<(Millis, ScheduledEvent)>>,
    /// The number of starts of each task, so that the end of an earlier start is not applied to a later one.
    starts: BTreeMap<TaskId, u64>,
    /// The remaining run time of checkpointed tasks.
    remaining: BTreeMap<TaskId, Millis>,
    now: Millis,
}

impl Replay<'_> {
    /// Submits a job.
    fn arrive(&mut self, spec: JobSpec, actual_run_time: Millis) {
        let (name, tasks) = (spec.name.clone(), spec.tasks);
        self.actual_run_time.insert(name.clone(), actual_run_time);
        self.arrived.insert(name.clone(), self.now);
        self.order.push(name);
        self.planner.submit(self.now, &Arc::new(spec), 1, 0..tasks);
    }

    /// Plans and applies the decisions.
    fn plan(&mut self) {
        for decision in self.planner.plan(self.now, usize::MAX) {
            match decision {
                Decision::Start { task, .. } => self.start(task),
                Decision::Evict { task, .. } => {
                    self.out.evicted += 1;
                    let start = self.starts[&task];
                    self.due.push(Reverse((
                        self.now + CHECKPOINT_TIME,
                        ScheduledEvent::Stopped(task, start),
                    )));
                }
                Decision::Unplaceable { .. } => self.out.unplaceable += 1,
            }
        }
    }

    /// Records the start of a task and schedules its end.
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
        let actual_run_time =
            self.remaining.get(&task).copied().unwrap_or(self.actual_run_time[&task.job]);
        if actual_run_time < Millis::MAX {
            self.due
                .push(Reverse((self.now + actual_run_time, ScheduledEvent::Ends(task, *count))));
        }
    }

    /// Applies a scheduled event, unless the task has been started again since.
    fn handle_due(&mut self, due: ScheduledEvent) {
        match due {
            ScheduledEvent::Ends(task, start) if self.starts.get(&task) == Some(&start) => {
                if let Some(placed) = self.planner.release(&task) {
                    let ran = self.actual_run_time[&task.job];
                    self.planner.estimator.learn(&placed.spec, ran);
                }
            }
            ScheduledEvent::Stopped(task, start) if self.starts.get(&task) == Some(&start) => {
                if let Some(p) = self.planner.release(&task) {
                    // The checkpoint keeps the progress, so the task continues with the remaining time.
                    let remaining = self
                        .remaining
                        .entry(task.clone())
                        .or_insert(self.actual_run_time[&task.job]);
                    *remaining = remaining.since(self.now.since(p.since)).max(Millis(1));
                    self.planner.submit(self.now, &p.spec, p.generation, [task.index]);
                }
            }
            _ => {}
        }
    }

    /// Removes or returns the workers of a rack; tasks on removed workers wait again.
    fn change_rack(&mut self, rack: u32, dies: bool) {
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

    /// Cancels the given number of newest jobs.
    fn cancel_newest(&mut self, jobs: usize) {
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

    /// Samples the used capacity, if any task waits.
    fn sample_packing(&mut self) {
        if self.planner.queue().is_empty() {
            return;
        }
        self.out.packing_samples += 1;
        for (sum, used) in self.out.packing.iter_mut().zip(self.planner.packing()) {
            *sum += used;
        }
    }
}

fn rack_name(rack: u32) -> String {
    format!("r{rack}")
}

/// Replays one trace under one policy and adds the results to `out`.
fn replay(user: &User, variant: &PolicyVariant, seed: u64, out: &mut Outcome) {
    let mut rng = StdRng::seed_from_u64(seed);
    let events = generate(user, &mut rng);
    let policy = Policy {
        profile: variant.profile,
        baseline: variant.baseline,
        backfill: variant.backfill,
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
        actual_run_time: BTreeMap::new(),
        arrived: BTreeMap::new(),
        order: Vec::new(),
        due: BinaryHeap::new(),
        starts: BTreeMap::new(),
        remaining: BTreeMap::new(),
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
                r.handle_due(due);
            }
        }
        while let Some((_, event)) = events.next_if(|(t, _)| *t <= at) {
            match event {
                Event::Arrive(a) => r.arrive(a.spec, a.actual_run_time),
                Event::RackDies(rack) => r.change_rack(rack, true),
                Event::RackReturns(rack) => r.change_rack(rack, false),
                Event::CancelWave(jobs) => r.cancel_newest(jobs),
            }
        }
        r.plan();
        r.sample_packing();
    }
}

/// Replays a user's workload under one policy for each seed and prints the figures.
fn measure(user: &User, variant: &PolicyVariant, seeds: u64) {
    let mut out = Outcome::default();
    for seed in 0..seeds {
        replay(user, variant, seed, &mut out);
    }
    let name = format!("{}_{}", user.name, variant.name);
    for (class, waits) in &out.waits {
        waits.print(&format!("task_wait_{name}_{}", class.as_str()));
    }
    out.gang_waits.print(&format!("task_wait_{name}_gang"));
    for (dimension, sum) in ["cpu", "memory"].iter().zip(out.packing) {
        let percent = sum as f64 / out.packing_samples.max(1) as f64 / 10.0;
        figure(&format!("packing_{name}_{dimension}"), percent, "percent");
    }
    figure(&format!("tasks_started_{name}"), out.started as f64 / seeds as f64, "tasks");
    figure(&format!("tasks_evicted_{name}"), out.evicted as f64 / seeds as f64, "tasks");
}

/// Replays each user's workload under each policy, and a zone of the target under the production policies only.
pub fn run() {
    for user in &USERS {
        for variant in &POLICY_VARIANTS {
            measure(user, variant, SEEDS);
        }
    }
    for variant in POLICY_VARIANTS.iter().filter(|e| e.baseline.is_none() && e.backfill) {
        measure(&TARGET_ZONE, variant, 1);
    }
}
