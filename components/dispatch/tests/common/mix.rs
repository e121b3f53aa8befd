//! The jobs that callers hand in: a mix of kinds at a share of the workers' room.

use clock::Millis;
use model::Size;
use workload::{JobId, StepSpec};

use super::fleet::{Fleet, Kind, STEP};
use super::step;

/// What a job of each kind takes on average, in thousandths of a core for a millisecond.
const QUICK_COST: f64 = 8.0 * 1_000.0 * 550.0;
const BATCH_COST: f64 = 6.0 * 2_000.0 * 4_000.0 + 3.0 * 2_000.0 * 2_500.0;
const GANG_COST: f64 = 4.0 * 4_000.0 * 3_000.0;
const WIDE_COST: f64 = 20.0 * 1_000.0 * 4_000.0;

/// What share of the room each kind of job takes, and how far the next one of each is off.
#[derive(Clone, Copy, Default)]
pub struct JobMix {
    pub quick: f64,
    pub batch: f64,
    pub gang: f64,
    /// How many of a hundred quick jobs fail wherever they run.
    pub failing_percent: u64,
    /// What share of the room a backlog of wide steps asks for, some of it urgent.
    pub wide: f64,
    due: [f64; 4],
}

impl JobMix {
    pub fn new(quick: f64, batch: f64, gang: f64) -> JobMix {
        JobMix { quick, batch, gang, failing_percent: 0, wide: 0.0, due: [0.0; 4] }
    }

    /// The everyday mix at a share of the room.
    pub fn everyday(share: f64) -> JobMix {
        JobMix::new(0.4 * share, 0.45 * share, 0.15 * share)
    }

    /// Hands in what falls due in each step of a span.
    pub fn drive(&mut self, fleet: &mut Fleet, span: Millis) {
        let until = fleet.harness.now + span;
        while fleet.harness.now < until {
            self.submit_job(fleet);
            fleet.step();
        }
    }

    fn submit_job(&mut self, fleet: &mut Fleet) {
        let room = fleet.hosts.values().map(|h| h.info.capacity.cpu_milli).sum::<u64>();
        let cores = room as f64 * STEP.0 as f64;
        let shares = [
            self.quick / QUICK_COST,
            self.batch / BATCH_COST,
            self.gang / GANG_COST,
            self.wide / WIDE_COST,
        ];
        for (kind, share) in shares.into_iter().enumerate() {
            self.due[kind] += share * cores;
            while self.due[kind] >= 1.0 {
                self.due[kind] -= 1.0;
                match kind {
                    0 => self.quick(fleet),
                    1 => batch(fleet),
                    2 => gang(fleet),
                    _ => wide(fleet),
                }
            }
        }
    }

    fn quick(&self, fleet: &mut Fleet) {
        let job = quick(fleet);
        if self.failing_percent > 0 && fleet.random_below(100) < self.failing_percent {
            fleet.fail_all_runs(job);
        }
    }
}

/// A job that somebody waits for: many small tasks.
pub fn quick(fleet: &mut Fleet) -> JobId {
    let count = 4 + fleet.random_below(9) as u32;
    let estimate = Millis(300 + fleet.random_below(501));
    fleet.submit_job(Kind::Quick, "q", vec![StepSpec { estimate, ..step(count) }])
}

/// A larger job of two steps, of which every other one keeps its progress.
pub fn batch(fleet: &mut Fleet) {
    let size = Size::new(2_000, 4_000, 0);
    let checkpointing = fleet.random_below(2) == 0;
    let count = 4 + fleet.random_below(5) as u32;
    let estimate = Millis(3_000 + fleet.random_below(2_001));
    let first = StepSpec { size, checkpointing, estimate, ..step(count) };
    let estimate = Millis(2_000 + fleet.random_below(1_001));
    let second = StepSpec { size, checkpointing, estimate, depends_on: vec![0], ..step(3) };
    fleet.submit_job(Kind::Batch, "bulk", vec![first, second]);
}

/// Four tasks that work only together.
pub fn gang(fleet: &mut Fleet) {
    let size = Size::new(4_000, 4_000, 0);
    let members = StepSpec { size, gang: true, estimate: Millis(3_000), ..step(4) };
    fleet.submit_job(Kind::Gang, "mid", vec![members]);
}

/// Many small tasks that take a while, urgent or not.
pub fn wide(fleet: &mut Fleet) {
    let queue = if fleet.random_below(2) == 0 { "mid" } else { "bulk" };
    let tasks = StepSpec { estimate: Millis(4_000), ..step(20) };
    fleet.submit_job(Kind::Wide, queue, vec![tasks]);
}

/// Two tasks that run until they are cancelled.
pub fn long_running_job(fleet: &mut Fleet, constraint: Option<&str>) {
    let constraint = constraint.map(Into::into);
    let tasks = StepSpec { long_running: true, constraint, estimate: Millis(20_000), ..step(2) };
    fleet.submit_job(Kind::LongRunning, "mid", vec![tasks]);
}
