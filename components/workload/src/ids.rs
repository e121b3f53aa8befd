//! The names of jobs, steps, tasks and workers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The number that a caller chose for its job.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The text is not sixteen hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotAJobId;

impl FromStr for JobId {
    type Err = NotAJobId;

    fn from_str(text: &str) -> Result<JobId, NotAJobId> {
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits {
            return Err(NotAJobId);
        }
        u64::from_str_radix(text, 16).map(JobId).map_err(|_| NotAJobId)
    }
}

/// One step of one round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// The round, counted from zero; a job that does not repeat has only that one.
    pub round: u32,
    /// The step's place in the job.
    pub step: u32,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.round, self.step)
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Its step.
    pub step: StepKey,
    /// The task's place in the step.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = NotAJobId;

    fn from_str(text: &str) -> Result<TaskKey, NotAJobId> {
        let mut parts = text.split('.');
        let job = parts.next().unwrap_or_default().parse()?;
        let mut number = || parts.next().and_then(|p| p.parse().ok()).ok_or(NotAJobId);
        let (round, step, index) = (number()?, number()?, number()?);
        match parts.next() {
            None => Ok(TaskKey { step: StepKey { job, round, step }, index }),
            Some(_) => Err(NotAJobId),
        }
    }
}

/// What stands between a worker's name and its incarnation.
const SEPARATOR: char = '@';

/// One life of a worker.
///
/// A worker that starts again may bear the name that it had, and tells its incarnation then. Both together are the id, as
/// all that is kept of a worker holds for one life only: the numbers of its ends, its clock, its tickets and its runs.
/// Where workers tell no incarnation, each life bears a name of its own, and the id is that name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerId(pub Arc<str>);

impl WorkerId {
    /// Gives the life of a worker by its incarnation, a number that no other life under this name has. Lives have no
    /// order by it: the worker takes it from its wall clock.
    pub fn with_incarnation(name: &str, incarnation: Option<u64>) -> WorkerId {
        match incarnation {
            Some(incarnation) => WorkerId(format!("{name}{SEPARATOR}{incarnation}").into()),
            // The last sign of its kind is ours.
            None if name.contains(SEPARATOR) => WorkerId(format!("{name}{SEPARATOR}").into()),
            None => WorkerId::from(name),
        }
    }

    /// Gives the name that the worker bears.
    pub fn name(&self) -> &str {
        self.0.rsplit_once(SEPARATOR).map_or(&self.0, |(name, _)| name)
    }

    /// Gives the incarnation; nothing where the worker tells none.
    pub fn incarnation(&self) -> Option<u64> {
        self.0.rsplit_once(SEPARATOR)?.1.parse().ok()
    }

    /// Gives the id that a worker of this name has as long as it tells no incarnation.
    pub fn without_incarnation(&self) -> WorkerId {
        WorkerId::with_incarnation(self.name(), None)
    }

    /// Gives what the ids of all lives under this name begin with that have an incarnation.
    pub fn incarnation_prefix(&self) -> WorkerId {
        WorkerId(format!("{}{SEPARATOR}", self.name()).into())
    }

    /// Tells whether this id may mean a life: it is that life's own, or it tells the name alone.
    pub fn may_refer_to(&self, life: &WorkerId) -> bool {
        self == life || (self.incarnation().is_none() && self.name() == life.name())
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
