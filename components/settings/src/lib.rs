//! The settings of an instance, from flags and environment variables.
//!
//! A flag goes before its variable. All faults are found in one go and nothing is started then;
//! docs/operators/settings.md has the table of all settings.

mod flags;
mod read;

pub use flags::Flags;
pub use read::{LogFormat, Settings, read};
