//! Test doubles of the platform's parts: workers and the connections to them, with records of what they ran.

mod http;
mod platform_worker;
mod proxy;
mod records;
mod run_log;
mod worker;

pub use http::{Wire, call, read_wire, write_wire};
pub use platform_worker::{PlatformWorker, PlatformWorkerConfig};
pub use proxy::{Marker, Proxy, Spoil};
pub use records::{Record, RecordKind, Recorder, read_records};
pub use run_log::{RunLog, RunRecord};
pub use worker::{WorkerConfig, WorkerCore};
