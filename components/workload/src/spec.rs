//! What a caller asks for: a job, its steps and their tasks.

use clock::Millis;
use errors::{Finding, Findings, Place};
use model::{Name, Size};
use serde::{Deserialize, Serialize};

/// The largest `spec` text in bytes, as callers are told.
pub const MAX_SPEC: usize = 4_000;
/// The most tasks of one job over all its rounds. It bounds what one call can make the cell
/// remember; the largest jobs seen have some hundred.
pub const MAX_TASKS: u64 = 100_000;

/// A job as its caller described it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Handed to every task as it is.
    pub spec: Name,
    /// The steps, which refer to each other by their place.
    pub steps: Vec<StepSpec>,
    /// How often the steps run; zero means once, as soon as possible.
    pub rounds: u32,
    /// When the first round is due, by the wall clock.
    pub first_due: Millis,
    /// The time from one round to the next.
    pub interval: Millis,
}

/// One step: a number of like tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// How many tasks there are.
    pub count: u32,
    /// What each of them takes.
    pub size: Size,
    /// About how long each runs.
    pub estimate: Millis,
    /// The earlier steps that must be done first.
    pub depends_on: Vec<u32>,
    /// Whether the tasks run only all together.
    pub gang: bool,
    /// Whether spreading over racks makes the tasks slow.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub constraint: Option<Name>,
    /// The rack near which the tasks run fast.
    pub rack: Option<Name>,
    /// The most tasks of the step on one worker; zero for no limit.
    pub max_per_worker: u32,
    /// Whether two copies of a task may run side by side.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether a stopped task can go on from where it was.
    pub checkpointing: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Name,
    /// The answer time that a long-running task is to keep for its own users; zero for none.
    pub target_latency: Millis,
    /// Whether the tasks take only the processor time that others leave.
    pub filler: bool,
    /// How many tasks may be away at once by our doing; `None` sets no limit.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Gives what a task takes out of a worker's room: a filler's processor time does not count.
    pub fn required_capacity(&self) -> Size {
        match self.filler {
            true => Size { cpu_milli: 0, ..self.size },
            false => self.size,
        }
    }
}

impl JobSpec {
    /// Gives how many rounds there are.
    pub fn round_count(&self) -> u32 {
        self.rounds.max(1)
    }

    /// Gives when a round is due by the wall clock; zero if the job is not timed.
    pub fn due(&self, round: u32) -> Millis {
        match self.rounds {
            0 => Millis::ZERO,
            _ => self.first_due + Millis(self.interval.0.saturating_mul(u64::from(round))),
        }
    }

    /// Gives how long the longest chain of steps takes by the declared times, of those steps that
    /// count.
    pub fn critical_path(&self, counts: impl Fn(usize) -> bool) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for (i, step) in self.steps.iter().enumerate() {
            let before = step.depends_on.iter().filter_map(|d| ends.get(*d as usize)).max();
            let own = if counts(i) { step.estimate } else { Millis::ZERO };
            ends.push(before.copied().unwrap_or_default() + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Tells whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|s| s.long_running)
    }

    /// Checks what the types leave open.
    ///
    /// # Errors
    /// All faults together.
    pub fn check(&self) -> Result<(), Findings> {
        let mut findings = Findings::default();
        let mut fault = |place: String, message: String| {
            findings.push(Finding::new(Place::Field(place.into()), message));
        };
        if self.spec.len() > MAX_SPEC {
            fault("spec".into(), format!("holds more than {MAX_SPEC} bytes"));
        }
        if self.steps.is_empty() {
            fault("steps".into(), "must name at least one step".into());
        }
        let mut tasks: u64 = 0;
        for (i, step) in self.steps.iter().enumerate() {
            tasks = tasks.saturating_add(u64::from(step.count));
            if step.count == 0 {
                fault(format!("steps[{i}].count"), "must be at least 1".into());
            }
            if step.depends_on.iter().any(|d| *d as usize >= i) {
                fault(format!("steps[{i}].depends_on"), "must name earlier steps only".into());
            }
        }
        if tasks.saturating_mul(u64::from(self.round_count())) > MAX_TASKS {
            fault("steps".into(), format!("ask for more than {MAX_TASKS} tasks"));
        }
        findings.into_result(())
    }
}
