//! Builders of commands for one job and its workers.

use std::sync::Arc;

use clock::Millis;
use model::Size;
use workload::{Command, JobId, JobSpec, StepKey, StepSpec, TaskKey, WorkerId, WorkerInfo};

pub fn step(count: u32) -> StepSpec {
    StepSpec { count, size: Size::new(1_000, 100, 0), ..StepSpec::default() }
}

pub fn task(index: u32) -> TaskKey {
    TaskKey { step: StepKey { job: JobId(1), round: 0, step: 0 }, index }
}

pub fn submit(id: u64, steps: Vec<StepSpec>) -> Command {
    Command::Submit {
        id: JobId(id),
        at: Millis(10),
        queue: "q".into(),
        service: "s".into(),
        priority: 1,
        max_attempts: 2,
        spec: Arc::new(JobSpec { steps, ..JobSpec::default() }),
    }
}

pub fn join(name: &str) -> Command {
    Command::WorkerJoined(WorkerInfo {
        id: WorkerId::from(name),
        machine: name.into(),
        address: name.into(),
        service: "s".into(),
        zone: "z".into(),
        capacity: Size::new(8_000, 8_000, 0),
        labels: vec![],
    })
}
