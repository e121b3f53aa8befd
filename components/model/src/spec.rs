//! The jobs that operators declare: services, batch jobs and gang jobs.

use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::{JobName, Name, Size};

/// How the tasks of a job relate to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Tasks that run until the service is cancelled.
    Service,
    /// Tasks that each run to completion, in any order.
    Batch,
    /// Tasks that all start together or not at all.
    Gang,
}

/// The urgency of work, most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Work that a user is waiting for.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that may wait and is shed first.
    Bulk,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Class; 3] = [Class::Urgent, Class::Normal, Class::Bulk];

    /// Returns the name of the class as callers write it.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Urgent => "urgent",
            Class::Normal => "normal",
            Class::Bulk => "bulk",
        }
    }

    /// Parses a class from the name that callers write.
    pub fn parse(s: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|c| c.as_str() == s)
    }
}

/// The failure domains over which the tasks of a job are spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    /// None: the tasks are placed wherever they pack best.
    #[default]
    None,
    /// Over the racks of one zone.
    Rack,
    /// Over the availability zones, and within each over its racks.
    Zone,
}

/// A service, batch job or gang job as its operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's name, unique in the cell.
    pub name: JobName,
    /// The organisation whose quota it counts against.
    pub organisation: Name,
    /// Service, batch or gang.
    pub kind: JobKind,
    /// The number of its tasks.
    pub tasks: u32,
    /// The resources that each task takes.
    pub size: Size,
    /// The declared run time of a task; zero for a service.
    pub run_time: Millis,
    /// The urgency of its tasks.
    pub class: Class,
    /// The time after its creation by which its tasks should have started; zero for no deadline.
    pub deadline: Millis,
    /// The failure domains over which its tasks are spread.
    pub spread: Spread,
    /// Whether a task may be started elsewhere once its lease has certainly expired. A task that may
    /// not move keeps running in a partitioned zone.
    pub may_move: bool,
    /// Whether a task that may have run can safely be run again.
    pub repeatable: bool,
}

impl JobSpec {
    /// The maximum number of tasks of one job, which bounds the cost of a call.
    pub const MAX_TASKS: u32 = 20_000;
    /// The maximum length of the name of a job or organisation, in bytes.
    pub const MAX_NAME: usize = 100;

    /// Creates a job specification with the defaults that a job file uses for missing keys.
    pub fn new(name: &str, organisation: &str, kind: JobKind, tasks: u32, size: Size) -> JobSpec {
        JobSpec {
            name: name.into(),
            organisation: organisation.into(),
            kind,
            tasks,
            size,
            run_time: Millis::ZERO,
            class: Class::Normal,
            deadline: Millis::ZERO,
            spread: Spread::None,
            may_move: true,
            repeatable: true,
        }
    }

    /// Returns every fault of the specification as a field name and a message.
    pub fn faults(&self) -> Vec<(&'static str, String)> {
        let mut faults = Vec::new();
        for (field, name) in [("name", &self.name.0), ("organisation", &self.organisation)] {
            if let Some(fault) = name_fault(name) {
                faults.push((field, fault));
            }
        }
        if self.tasks == 0 || self.tasks > Self::MAX_TASKS {
            faults.push(("tasks", format!("must lie between 1 and {}", Self::MAX_TASKS)));
        }
        if self.size.cpu_milli == 0 {
            faults.push(("cpu_milli", "must be at least 1".into()));
        }
        if self.size.memory_mb == 0 {
            faults.push(("memory_mb", "must be at least 1".into()));
        }
        match (self.kind, self.run_time) {
            (JobKind::Service, t) if t > Millis::ZERO => {
                faults.push(("run_time_ms", "a service has no run time; leave it out".into()));
            }
            (JobKind::Batch | JobKind::Gang, Millis::ZERO) => {
                faults.push(("run_time_ms", "must be at least 1 for a batch or gang job".into()));
            }
            _ => {}
        }
        if self.kind == JobKind::Gang && self.spread == Spread::Zone {
            faults.push(("spread", "a gang stays in one zone; use \"rack\" or \"none\"".into()));
        }
        faults
    }
}

fn name_fault(name: &str) -> Option<String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > JobSpec::MAX_NAME {
        return Some(format!("must be 1 to {} bytes long", JobSpec::MAX_NAME));
    }
    if !name.chars().all(allowed) {
        return Some("may hold letters, digits, '-', '_' and '.' only".into());
    }
    None
}
