//! The identifiers of jobs, steps, tasks and workers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The id of a job, chosen by its caller.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl JobId {
    /// Returns the id with which a path ends, whatever route it belongs to.
    pub fn at_end_of(path: &str) -> Option<JobId> {
        path.get(path.len().checked_sub(16)?..)?.parse().ok()
    }
}

/// The error for text that is not sixteen hexadecimal digits, or not a valid key built on such an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidJobId;

impl FromStr for JobId {
    type Err = InvalidJobId;

    fn from_str(text: &str) -> Result<JobId, InvalidJobId> {
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits {
            return Err(InvalidJobId);
        }
        u64::from_str_radix(text, 16).map(JobId).map_err(|_| InvalidJobId)
    }
}

/// The key of one step in one round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// The round, counted from zero; a job that does not repeat has only round zero.
    pub round: u32,
    /// The index of the step in the job.
    pub step: u32,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.round, self.step)
    }
}

/// The key of one task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Its step.
    pub step: StepKey,
    /// The index of the task in the step.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = InvalidJobId;

    fn from_str(text: &str) -> Result<TaskKey, InvalidJobId> {
        let mut parts = text.split('.');
        let job = parts.next().unwrap_or_default().parse()?;
        let mut number = || parts.next().and_then(|p| p.parse().ok()).ok_or(InvalidJobId);
        let (round, step, index) = (number()?, number()?, number()?);
        match parts.next() {
            None => Ok(TaskKey { step: StepKey { job, round, step }, index }),
            Some(_) => Err(InvalidJobId),
        }
    }
}

/// The separator between the name of a worker and its incarnation.
const SEPARATOR: char = '@';

/// The id of a worker incarnation.
///
/// A worker that restarts may keep its name and then announces a new incarnation. The id consists of both, since all
/// state of a worker is valid for one incarnation only: the numbers of its ends, its clock, its tickets and its runs.
/// If workers announce no incarnation, each start uses a new name, and the id is that name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerId(pub Arc<str>);

impl WorkerId {
    /// Creates an id from a name and an incarnation, a number that is unique under this name. The number does
    /// not order incarnations in time, since a worker takes it from its wall clock.
    pub fn with_incarnation(name: &str, incarnation: Option<u64>) -> WorkerId {
        match incarnation {
            Some(incarnation) => WorkerId(format!("{name}{SEPARATOR}{incarnation}").into()),
            // A separator is appended, as the last one in an id always ends the name.
            None if name.contains(SEPARATOR) => WorkerId(format!("{name}{SEPARATOR}").into()),
            None => WorkerId::from(name),
        }
    }

    /// Returns the name of the worker.
    pub fn name(&self) -> &str {
        self.0.rsplit_once(SEPARATOR).map_or(&self.0, |(name, _)| name)
    }

    /// Returns the incarnation, or `None` if the worker announces none.
    pub fn incarnation(&self) -> Option<u64> {
        self.0.rsplit_once(SEPARATOR)?.1.parse().ok()
    }

    /// Returns the id of a worker with this name that announces no incarnation.
    pub fn without_incarnation(&self) -> WorkerId {
        WorkerId::with_incarnation(self.name(), None)
    }

    /// Returns the prefix of the ids of all incarnations with this name, without those that announce none.
    pub fn incarnation_prefix(&self) -> WorkerId {
        WorkerId(format!("{}{SEPARATOR}", self.name()).into())
    }

    /// Returns whether this id may refer to an incarnation: it is equal to its id, or consists of its name alone.
    pub fn may_refer_to(&self, other: &WorkerId) -> bool {
        self == other || (self.incarnation().is_none() && self.name() == other.name())
    }
}

impl From<&str> for WorkerId {
    fn from(s: &str) -> Self {
        WorkerId(s.into())
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
