//! The types that all parts of heathvale share: names, sizes, job specifications and configuration.
//!
//! The names are those that users see; docs/glossary.md maps them to the terms of the field.

mod answer;
mod config;
mod file;
mod ids;
mod peers;
mod size;
mod spec;

pub use answer::{Answer, Refusal};
pub use config::{CellConfig, Profile, Quota};
pub use file::{parse_config, parse_jobs};
pub use ids::{Epoch, Incarnation, InstanceId, JobName, Name, RequestKey, TaskId, ZoneId};
pub use peers::Peer;
pub use size::{Dimension, Size};
pub use spec::{Class, JobKind, JobSpec, Spread};
