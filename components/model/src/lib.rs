//! The nouns that every part of heathvale shares: names, sizes, specs and configuration.
//!
//! The words are the users' own; docs/glossary.md leads from them to the terms of the field.

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
