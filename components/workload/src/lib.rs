//! Jobs made of steps, as the cell's log agrees on them.
//!
//! [`ReplicatedState`] is the replicated state machine: it takes in [`Command`]s in the order of the log and
//! holds every job, every run of a task, and the room that each worker has given out. It decides
//! nothing; docs/design/platform.md says who does.

mod command;
mod crashes;
mod ids;
mod job;
mod organisation;
mod ownership;
mod policy;
mod replicated_state;
mod spec;
mod uncertain_losses;
mod worker;

pub use command::{Command, End, EndKind};
pub use crashes::{CrashLedger, CrashSuspects, MAX_CRASHES, MAX_SHARED_CRASHES, MAX_TOTAL_CRASHES};
pub use ids::{JobId, StepKey, TaskKey, WorkerId};
pub use job::{Job, JobState, Round, StepState, TaskState};
pub use organisation::{Credential, KeyDigest, Organisation, Organisations};
pub use ownership::Ownership;
pub use policy::{AdvicePolicy, Document, Policy, PolicyReader, Queue, Service};
pub use replicated_state::{OpenStep, ReplicatedState};
pub use spec::{JobSpec, MAX_SPEC, MAX_TASKS, StepSpec};
pub use uncertain_losses::{COUNTED_WEIGHT, FULL_WEIGHT, UncertainLoss, UncertainLosses};
pub use worker::{Worker, WorkerInfo};
