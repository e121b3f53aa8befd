//! Small stand-ins for what belongs to the platform: the worker and the list of workers.

mod records;
mod worker;

pub use records::{Record, RecordKind, Recorder, read_records};
pub use worker::{WorkerConfig, WorkerCore};
