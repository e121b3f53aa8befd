//! Seeded workloads of the two users. The declared run times are far from the actual ones.

use clock::Millis;
use model::{Class, JobKind, JobSpec, Size, Spread};
use rand::Rng;
use rand::rngs::StdRng;

/// A user's deployment: the workers of its largest zone and its workload.
#[derive(Clone, Copy, Debug)]
pub struct User {
    /// Its name in the figures.
    pub name: &'static str,
    /// The number of workers.
    pub workers: u32,
    /// A worker's CPU in thousandths of a core.
    pub cpu: u64,
    /// A worker's memory in megabytes.
    pub memory: u64,
    /// The share of jobs with large tasks, in percent.
    pub large_percent: u32,
}

/// The two users with the worker sizes of their deployments.
pub const USERS: [User; 2] = [
    User { name: "plassvakt", workers: 50, cpu: 16_000, memory: 32_000, large_percent: 5 },
    User { name: "zapisnik", workers: 50, cpu: 32_000, memory: 64_000, large_percent: 20 },
];

/// One zone of the target size: an eighth of its workers, with a workload of the same shape.
pub const TARGET_ZONE: User =
    User { name: "target_zone", workers: 400, cpu: 32_000, memory: 64_000, large_percent: 10 };

/// An event of a trace.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job is submitted.
    Arrive(Arrival),
    /// All workers of a rack fail.
    RackDies(u32),
    /// The workers of a rack return.
    RackReturns(u32),
    /// The given number of newest jobs is cancelled.
    CancelWave(usize),
}

/// A submitted job with its actual run time.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The job as declared.
    pub spec: JobSpec,
    /// The actual run time of its tasks.
    pub actual_run_time: Millis,
}

/// The duration of a trace.
pub const SPAN: Millis = Millis(3_600_000);
/// The submitted work in percent of the workers' capacity.
const LOAD_PERCENT: u64 = 95;
/// The largest factor between the declared and the actual run time, in both directions.
const MAX_ESTIMATE_ERROR: f64 = 10.0;

/// Generates the trace of a user, sorted by time.
pub fn generate(user: &User, rng: &mut StdRng) -> Vec<(Millis, Event)> {
    let mut events = services(user);
    let capacity = u64::from(user.workers) * user.cpu * SPAN.0 * LOAD_PERCENT / 100;
    let service_percent: u64 = 30;
    let mut remaining_work = capacity / 100 * (100 - service_percent);
    let mut number = 0;
    while remaining_work > 0 {
        number += 1;
        let arrival = job(user, number, rng);
        let spec = &arrival.spec;
        let job_work = spec.size.cpu_milli * u64::from(spec.tasks) * arrival.actual_run_time.0;
        remaining_work = remaining_work.saturating_sub(job_work.max(1));
        events.push((Millis(rng.random_range(0..SPAN.0)), Event::Arrive(arrival)));
    }
    for i in 0..4 {
        let rack = rng.random_range(0..user.workers / 8);
        let at = SPAN.0 / 5 * (i + 1);
        events.push((Millis(at), Event::RackDies(rack)));
        events.push((Millis(at + 300_000), Event::RackReturns(rack)));
        events.push((Millis(at + 60_000), Event::CancelWave(20)));
    }
    events.sort_by_key(|e| e.0);
    events
}

/// Returns one service job that exists from the start and takes 30 % of the CPU.
fn services(user: &User) -> Vec<(Millis, Event)> {
    let tasks = user.workers * 2;
    let mut spec = base_spec("service".to_string(), JobKind::Service, tasks, Class::Normal);
    spec.size = Size::new(user.cpu * 30 / 100 / 2, user.memory * 20 / 100 / 2, 0);
    spec.spread = Spread::Rack;
    vec![(Millis::ZERO, Event::Arrive(Arrival { spec, actual_run_time: Millis::MAX }))]
}

/// Draws a batch or gang job.
fn job(user: &User, number: u32, rng: &mut StdRng) -> Arrival {
    let kind = if rng.random_range(0..100) < 8 { JobKind::Gang } else { JobKind::Batch };
    let class = match rng.random_range(0..100) {
        0..25 => Class::Urgent,
        25..60 => Class::Normal,
        _ => Class::Bulk,
    };
    let tasks = match kind {
        JobKind::Gang => rng.random_range(2..12),
        _ => rng.random_range(1..20),
    };
    let mut spec = base_spec(format!("job{number}"), kind, tasks, class);
    let large = rng.random_range(0..100) < user.large_percent;
    let size_percent = if large { rng.random_range(40..70) } else { rng.random_range(2..15) };
    // Tasks need more CPU or more memory in proportion, so that packing depends on their shapes.
    let memory_percent = rng.random_range(40..160);
    spec.size = Size::new(
        user.cpu * size_percent / 100,
        (user.memory * size_percent / 100 * memory_percent / 100).min(user.memory),
        0,
    );
    let mean = if class == Class::Urgent { 8_000 } else { 40_000 };
    spec.run_time = Millis(rng.random_range(mean / 4..mean * 2));
    let factor = MAX_ESTIMATE_ERROR.powf(rng.random_range(-1.0..1.0));
    let actual_run_time = Millis(((spec.run_time.0 as f64 * factor) as u64).max(100));
    Arrival { spec, actual_run_time }
}

/// Returns a job without a size, with an organisation that depends on its name and tasks.
fn base_spec(name: String, kind: JobKind, tasks: u32, class: Class) -> JobSpec {
    let organisation = format!("organisation{}", name.len() as u32 + tasks % 7);
    JobSpec { class, ..JobSpec::new(&name, &organisation, kind, tasks, Size::ZERO) }
}
