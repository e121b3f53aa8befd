//! The jobs that callers submit: a mix of kinds that takes a share of the workers' capacity.

use clock::Millis;
use model::Size;
use workload::{JobId, StepSpec};

use super::fleet::{Fleet, Kind, STEP};
use super::step;

/// The average cost of a job of each kind, in thousandths of a core times milliseconds.
const QUICK_COST: f64 = 8.0 * 1_000.0 * 550.0;
const BATCH_COST: f64 = 6.0 * 2_000.0 * 4_000.0 + 3.0 * 2_000.0 * 2_500.0;
const GANG_COST: f64 = 4.0 * 4_000.0 * 3_000.0;
const WIDE_COST: f64 = 20.0 * 1_000.0 * 4_000.0;

/// The share of the capacity that each kind of job takes, and how much of the next job of each kind has fallen due.
#[derive(Clone, Copy, Default)]
pub struct JobMix {
    pub quick: f64,
    pub batch: f64,
    pub gang: f64,
    /// How many of a hundred quick jobs fail on every worker.
    pub failing_percent: u64,
    /// The share of the capacity that a backlog of wide steps asks for; some of them are more urgent than batch jobs.
    pub wide: f64,
    due: [f64; 4],
}

impl JobMix {
    pub fn new(quick: f64, batch: f64, gang: f64) -> JobMix {
        JobMix { quick, batch, gang, failing_percent: 0, wide: 0.0, due: [0.0; 4] }
    }

    /// Returns the everyday mix at a share of the capacity.
    pub fn everyday(share: f64) -> JobMix {
        JobMix::new(0.4 * share, 0.45 * share, 0.15 * share)
    }

    /// Lets time pass and submits the jobs that fall due in each step.
    pub fn drive(&mut self, fleet: &mut Fleet, span: Millis) {
        let until = fleet.harness.now + span;
        while fleet.harness.now < until {
            self.submit_job(fleet);
            fleet.step();
        }
    }

    fn submit_job(&mut self, fleet: &mut Fleet) {
        let total_cpu = fleet.hosts.values().map(|h| h.info.capacity.cpu_milli).sum::<u64>();
        let cores = total_cpu as f64 * STEP.0 as f64;
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

/// Submits a job whose caller waits for it: many small tasks.
pub fn quick(fleet: &mut Fleet) -> JobId {
    let count = 4 + fleet.random_below(9) as u32;
    let estimate = Millis(300 + fleet.random_below(501));
    fleet.submit_job(Kind::Quick, "q", vec![StepSpec { estimate, ..step(count) }])
}

/// Submits a larger job of two steps. Half of these jobs, chosen at random, have checkpoints.
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

/// Submits a gang of four.
pub fn gang(fleet: &mut Fleet) {
    let size = Size::new(4_000, 4_000, 0);
    let members = StepSpec { size, gang: true, estimate: Millis(3_000), ..step(4) };
    fleet.submit_job(Kind::Gang, "mid", vec![members]);
}

/// Submits many small tasks that take a while, to the `mid` queue or the `bulk` queue.
pub fn wide(fleet: &mut Fleet) {
    let queue = if fleet.random_below(2) == 0 { "mid" } else { "bulk" };
    let tasks = StepSpec { estimate: Millis(4_000), ..step(20) };
    fleet.submit_job(Kind::Wide, queue, vec![tasks]);
}

/// Submits two tasks that run until they are cancelled.
pub fn long_running_job(fleet: &mut Fleet, constraint: Option<&str>) {
    let constraint = constraint.map(Into::into);
    let tasks = StepSpec { long_running: true, constraint, estimate: Millis(20_000), ..step(2) };
    fleet.submit_job(Kind::LongRunning, "mid", vec![tasks]);
}
