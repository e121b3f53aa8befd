//! The settings of an instance, from flags and environment variables.
//!
//! A flag takes precedence over its variable. All faults are reported together, and nothing is started if there
//! are any; docs/operators/settings.md has the table of all settings.

mod flags;
mod read;

pub use flags::Flags;
pub use read::{LogFormat, Settings, read};
