//! Jobs, their steps and their workers, as committed to the cell's log.
//!
//! [`ReplicatedState`] is the replicated state machine: it applies [`Command`]s in log order and holds
//! every job, every run of a task and the capacity allocated on each worker. It makes no decisions;
//! docs/design/platform.md describes the component that does.

mod command;
mod crashes;
mod ids;
mod job;
mod loss_records;
mod organisation;
mod ownership;
mod policy;
mod replicated_state;
mod spec;
mod uncertain_losses;
mod withdrawals;
mod worker;

pub use command::{Command, End, EndKind};
pub use crashes::{CrashLedger, CrashSuspects, MAX_CRASHES, MAX_SHARED_CRASHES, MAX_TOTAL_CRASHES};
pub use ids::{JobId, StepKey, TaskKey, WorkerId};
pub use job::{Job, JobState, Round, StepState, TaskState};
pub use loss_records::{AGE_DISTANCES, LossRecord, LossRecords, MAX_LOSSES_PER_TASK};
pub use organisation::{Credential, KeyDigest, Organisation, Organisations};
pub use ownership::{Ownership, RecordedUsage};
pub use policy::{AdvicePolicy, Document, Policy, PolicyReader, Queue, Service};
pub use replicated_state::{OpenStep, ReplicatedState, USUAL_SPEED};
pub use spec::{JobSpec, MAX_SPEC, MAX_TASKS, StepSpec};
pub use uncertain_losses::{COUNTED_WEIGHT, FULL_WEIGHT, UncertainLoss, UncertainLosses};
pub use withdrawals::{MAX_WITHDRAWN, Withdrawals};
pub use worker::{Worker, WorkerInfo};
