//! The specification of a job as its caller submits it: its steps and their tasks.

use clock::Millis;
use errors::{Finding, Findings, Place};
use model::{Name, Size};
use serde::{Deserialize, Serialize};

use crate::{Job, StepState, TaskState};

/// The maximum length of the `spec` text in bytes, as documented for callers.
pub const MAX_SPEC: usize = 4_000;
/// The maximum number of tasks of one job over all its rounds. It bounds the memory that one call can
/// take up in the cell; the largest jobs seen so far have a few hundred tasks.
pub const MAX_TASKS: u64 = 100_000;

/// What a name takes beside its text, in bytes.
const NAME_OVERHEAD: usize = 16;
/// What a job takes beside its fields, in bytes: entries of maps and of the allocator.
const JOB_OVERHEAD: u64 = 256;
/// What a step of a round takes beside its fields, in bytes. It has entries in the index of open steps and in those of the
/// dispatcher.
const STEP_OVERHEAD: u64 = 160;

/// A job as its caller specified it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Passed to every task unchanged.
    pub spec: Name,
    /// The steps, which refer to each other by their index.
    pub steps: Vec<StepSpec>,
    /// The number of times the steps run; zero means once, as soon as possible.
    pub rounds: u32,
    /// The time at which the first round is due, by the wall clock.
    pub first_due: Millis,
    /// The time from one round to the next.
    pub interval: Millis,
}

/// A step: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The capacity that each task takes.
    pub size: Size,
    /// The estimated run time of a task.
    pub estimate: Millis,
    /// The indices of the earlier steps that must be done first.
    pub depends_on: Vec<u32>,
    /// Whether the tasks must all run at the same time.
    pub gang: bool,
    /// Whether the tasks run slowly when they are spread over several racks.
    pub same_rack: bool,
    /// The label that a worker must have.
    pub constraint: Option<Name>,
    /// The rack in or near which the tasks run fastest.
    pub rack: Option<Name>,
    /// The maximum number of tasks of the step on one worker; zero for no limit.
    pub max_per_worker: u32,
    /// Whether two copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether a stopped task can resume from a checkpoint.
    pub checkpointing: bool,
    /// The image that the tasks run; tasks with the same image behave alike.
    pub image: Name,
    /// The response time that a long-running task should meet for its own users; zero for none.
    pub target_latency: Millis,
    /// Whether the tasks use only the processor time that other tasks leave idle.
    pub filler: bool,
    /// The maximum number of tasks that the cell may disrupt at the same time; `None` sets no limit.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the capacity that a task takes on a worker. The processor time of a filler does not count.
    pub fn required_capacity(&self) -> Size {
        match self.filler {
            true => Size { cpu_milli: 0, ..self.size },
            false => self.size,
        }
    }
}

impl JobSpec {
    /// Returns the number of rounds.
    pub fn round_count(&self) -> u32 {
        self.rounds.max(1)
    }

    /// Returns the time at which a round is due, by the wall clock; zero if the job has no schedule.
    pub fn due(&self, round: u32) -> Millis {
        match self.rounds {
            0 => Millis::ZERO,
            _ => self.first_due + Millis(self.interval.0.saturating_mul(u64::from(round))),
        }
    }

    /// Returns the length of the critical path by the declared run times, where only the steps accepted
    /// by `counts` take any time.
    pub fn critical_path(&self, counts: impl Fn(usize) -> bool) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for (i, step) in self.steps.iter().enumerate() {
            let before = step.depends_on.iter().filter_map(|d| ends.get(*d as usize)).max();
            let own = if counts(i) { step.estimate } else { Millis::ZERO };
            ends.push(before.copied().unwrap_or_default() + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns an estimate of the memory that the job takes in the replicated state once it is accepted, in bytes.
    pub fn footprint(&self) -> u64 {
        let name = |name: &Name| (name.len() + NAME_OVERHEAD) as u64;
        let optional = |n: &Option<Name>| n.as_ref().map_or(0, name);
        let spec = |s: &StepSpec| {
            let names = optional(&s.constraint) + optional(&s.rack) + name(&s.image);
            (size_of::<StepSpec>() + size_of_val(s.depends_on.as_slice())) as u64 + names
        };
        let progress = |s: &StepSpec| {
            let tasks = u64::from(s.count).saturating_mul(size_of::<TaskState>() as u64);
            tasks.saturating_add(size_of::<StepState>() as u64 + STEP_OVERHEAD)
        };
        let sum = |sizes: &dyn Fn(&StepSpec) -> u64| {
            self.steps.iter().map(sizes).fold(0, u64::saturating_add)
        };
        let rounds = sum(&progress).saturating_mul(u64::from(self.round_count()));
        let job = size_of::<Job>() as u64 + name(&self.spec) + JOB_OVERHEAD;
        job.saturating_add(sum(&spec)).saturating_add(rounds)
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|s| s.long_running)
    }

    /// Validates the constraints that the types do not express.
    ///
    /// # Errors
    /// Returns all faults together.
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
