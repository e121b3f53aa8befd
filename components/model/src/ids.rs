//! The names and numbers that identify things. Names are shared and immutable.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A shared immutable name.
pub type Name = Arc<str>;

macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $type(pub Name);

        impl $type {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $type {
            fn from(s: &str) -> Self {
                $type(s.into())
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// The name of one entry instance.
    InstanceId
);
name_type!(
    /// The name of an availability zone.
    ZoneId
);
name_type!(
    /// The name of a service, batch job or gang job, unique in the cell.
    JobName
);

/// The id of one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobName,
    /// The task's number within its job, counted from zero.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// The number of a grant to the allocator of a zone. Workers refuse orders with a lower number than they have seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A random number drawn when a data folder is created, which distinguishes a replaced disk from the original one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

name_type!(
    /// The id that a caller chooses for a call. A retry carries the same key and receives the first answer.
    RequestKey
);
