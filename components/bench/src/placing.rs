//! Measures how fast the planner decides on placements, by the number of workers.

use std::sync::Arc;
use std::time::Instant;

use clock::Millis;
use hdrhistogram::Histogram;
use model::{JobKind, JobSpec, Profile, Size, Spread, TaskId};
use placement::{Decision, Planner, Policy, WorkerInfo};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::figure::figure;

/// The number of tasks that run while decisions are timed.
const RUNNING_TASKS: u32 = 58_000;
/// The number of timed decisions for each number of workers and profile.
const DECISIONS: u32 = 40_000;
/// The share of the workers' CPU in use while decisions are timed, in percent.
const FILL_PERCENT: u64 = 80;
/// The mean CPU of a task in thousandths of a core, see [`size`].
const MEAN_TASK_CPU: u64 = 1_000;
/// The numbers of workers to measure.
const WORKERS: [u32; 3] = [400, 1_600, 3_200];

/// Draws the size of a task.
fn size(rng: &mut StdRng) -> Size {
    Size::new(rng.random_range(200..1_800), rng.random_range(400..3_600), 0)
}

/// Returns a job of one task; one job in five is a service.
fn spec(number: u32, rng: &mut StdRng) -> JobSpec {
    let service = rng.random_range(0..5) == 0;
    JobSpec {
        run_time: if service { Millis::ZERO } else { Millis(60_000) },
        spread: if service { Spread::Rack } else { Spread::None },
        ..JobSpec::new(
            &format!("job{number}"),
            &format!("team{}", number % 88),
            if service { JobKind::Service } else { JobKind::Batch },
            1,
            size(rng),
        )
    }
}

/// Returns a planner with workers whose CPU is used to [`FILL_PERCENT`] by the running tasks.
fn planner(workers: u32, profile: Profile) -> Planner {
    let mut planner = Planner::new(Policy { profile, ..Policy::default() });
    let cpu = u64::from(RUNNING_TASKS) * MEAN_TASK_CPU * 100 / FILL_PERCENT / u64::from(workers);
    for i in 0..workers {
        let ix = planner.ledger.add(WorkerInfo {
            name: format!("w{i}").as_str().into(),
            rack: format!("r{}", i / 8).as_str().into(),
            total: Size::new(cpu, cpu * 2, 0),
        });
        planner.ledger.set_open(ix, true);
    }
    planner
}

/// Submits all running tasks and returns those that the planner has placed.
fn fill(planner: &mut Planner, rng: &mut StdRng) -> Vec<TaskId> {
    let mut running = Vec::new();
    for number in 0..RUNNING_TASKS {
        planner.submit(Millis(0), &Arc::new(spec(number, rng)), 1, [0]);
        running.extend(started(planner.plan(Millis(0), 10)));
    }
    running
}

/// Returns the tasks that the decisions start.
fn started(decisions: Vec<Decision>) -> Vec<TaskId> {
    let task = |d| match d {
        Decision::Start { task, .. } => Some(task),
        _ => None,
    };
    decisions.into_iter().filter_map(task).collect()
}

/// Times single decisions, where one task ends before each new one is submitted. Returns the mean and the histogram
/// of the times in nanoseconds.
fn time_decisions(workers: u32, profile: Profile) -> (f64, Histogram<u64>) {
    let mut rng = StdRng::seed_from_u64(u64::from(workers));
    let mut planner = planner(workers, profile);
    let mut running = fill(&mut planner, &mut rng);
    let mut nanos = Histogram::new(2).unwrap_or_else(|_| unreachable!("two digits are valid"));
    let mut total = 0;
    for number in 0..DECISIONS {
        let victim = rng.random_range(0..running.len());
        planner.release(&running.swap_remove(victim));
        let spec = Arc::new(spec(RUNNING_TASKS + number, &mut rng));
        let started_at = Instant::now();
        planner.submit(Millis(1), &spec, 1, [0]);
        let decisions = planner.plan(Millis(1), 10);
        let elapsed_nanos = started_at.elapsed().as_nanos() as u64;
        total += elapsed_nanos;
        // The histogram resizes itself, so recording does not fail.
        let _ = nanos.record(elapsed_nanos);
        running.extend(started(decisions));
    }
    (total as f64 / f64::from(DECISIONS), nanos)
}

/// Times decisions for each profile and number of workers and prints the figures.
pub fn run() {
    for (profile, name) in [(Profile::Waiting, "waiting"), (Profile::Packing, "packing")] {
        let mut means = Vec::new();
        for workers in WORKERS {
            let (mean, nanos) = time_decisions(workers, profile);
            let p99 = nanos.value_at_quantile(0.99) as f64 / 1_000.0;
            figure(&format!("placements_{name}_{workers}_workers"), 1e9 / mean, "per_s");
            figure(&format!("decision_p99_{name}_{workers}_workers"), p99, "us");
            means.push(mean);
        }
        let growth = means[means.len() - 1] / means[0];
        figure(&format!("decision_growth_{name}_400_to_3200"), growth, "times");
    }
}
