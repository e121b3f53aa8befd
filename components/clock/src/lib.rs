//! Time in milliseconds, and the clocks that tell it.
//!
//! Leases and timeouts are judged by a clock that never jumps back. Decision code never asks a
//! clock: it is handed `now`, so that tests can drive it through pauses and drift.

mod millis;
mod source;

pub use millis::Millis;
pub use source::{Clock, ManualClock, OsTime, SystemClock, TimeSource, wall_now};
