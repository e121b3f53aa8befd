//! Seeded work of the two users, with declared sizes and run times that are far from the truth.

use clock::Millis;
use model::{Class, JobKind, JobSpec, Size, Spread};
use rand::Rng;
use rand::rngs::StdRng;

/// A user's deployment: the workers of its largest zone, and its work.
#[derive(Clone, Copy, Debug)]
pub struct User {
    /// Its name in figures.
    pub name: &'static str,
    /// How many workers.
    pub workers: u32,
    /// A worker's processors in thousandths.
    pub cpu: u64,
    /// A worker's memory in megabytes.
    pub memory: u64,
    /// The part of the work that is large, in percent.
    pub large_percent: u32,
}

/// The users as the brief sizes them.
pub const USERS: [User; 2] = [
    User { name: "plassvakt", workers: 50, cpu: 16_000, memory: 32_000, large_percent: 5 },
    User { name: "zapisnik", workers: 50, cpu: 32_000, memory: 64_000, large_percent: 20 },
];

/// One zone of the target: an eighth of its workers, with work of the same shape.
pub const TARGET_ZONE: User =
    User { name: "target_zone", workers: 400, cpu: 32_000, memory: 64_000, large_percent: 10 };

/// One thing that happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job comes.
    Arrive(Arrival),
    /// A rack of workers dies.
    RackDies(u32),
    /// It comes back.
    RackReturns(u32),
    /// The newest jobs are cancelled.
    CancelWave(usize),
}

/// A job with the truth about it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// As declared.
    pub spec: JobSpec,
    /// How long its tasks really run.
    pub really: Millis,
}

/// How long the trace lasts.
pub const SPAN: Millis = Millis(3_600_000);
/// How much work comes, as a part of what the workers could do, in percent.
const LOAD_PERCENT: u64 = 95;
/// Declared run times are wrong by up to this factor, both ways.
const WRONG_BY: f64 = 10.0;

/// Makes a trace.
pub fn make(user: &User, rng: &mut StdRng) -> Vec<(Millis, Event)> {
    let mut events = services(user);
    let capacity = u64::from(user.workers) * user.cpu * SPAN.0 * LOAD_PERCENT / 100;
    let service_part: u64 = 30;
    let mut left = capacity / 100 * (100 - service_part);
    let mut number = 0;
    while left > 0 {
        number += 1;
        let arrival = job(user, number, rng);
        let spec = &arrival.spec;
        let work = spec.size.cpu_milli * u64::from(spec.tasks) * arrival.really.0;
        left = left.saturating_sub(work.max(1));
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

/// Services that take about a third of the workers, there from the start.
fn services(user: &User) -> Vec<(Millis, Event)> {
    let tasks = user.workers * 2;
    let mut spec = plain("service".to_string(), JobKind::Service, tasks, Class::Normal);
    spec.size = Size::new(user.cpu * 30 / 100 / 2, user.memory * 20 / 100 / 2, 0);
    spec.spread = Spread::Rack;
    vec![(Millis::ZERO, Event::Arrive(Arrival { spec, really: Millis::MAX }))]
}

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
    let mut spec = plain(format!("job{number}"), kind, tasks, class);
    let large = rng.random_range(0..100) < user.large_percent;
    let part = if large { rng.random_range(40..70) } else { rng.random_range(2..15) };
    // Work leans to processors or to memory, so that shapes matter.
    let lean = rng.random_range(40..160);
    spec.size = Size::new(
        user.cpu * part / 100,
        (user.memory * part / 100 * lean / 100).min(user.memory),
        0,
    );
    let mean = if class == Class::Urgent { 8_000 } else { 40_000 };
    spec.run_time = Millis(rng.random_range(mean / 4..mean * 2));
    let factor = WRONG_BY.powf(rng.random_range(-1.0..1.0));
    let really = Millis(((spec.run_time.0 as f64 * factor) as u64).max(100));
    Arrival { spec, really }
}

fn plain(name: String, kind: JobKind, tasks: u32, class: Class) -> JobSpec {
    let organisation = format!("organisation{}", name.len() as u32 + tasks % 7);
    JobSpec { class, ..JobSpec::new(&name, &organisation, kind, tasks, Size::ZERO) }
}
