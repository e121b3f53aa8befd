//! The error types shared by every crate of heathvale.
//!
//! Faults in user input (settings, job files, configuration) are collected as [`Finding`]s with their
//! position and reported together, so that one run shows all of them.

mod finding;
mod kinds;

pub use finding::{Finding, Findings, Place};
pub use kinds::{Error, Result, io};
