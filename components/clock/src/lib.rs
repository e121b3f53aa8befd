//! Time in milliseconds, and the clocks that measure it.
//!
//! Leases and timeouts are measured by a clock that never jumps back. Decision code never reads a
//! clock: it receives `now` as an argument, so that tests can simulate pauses and drift.

mod millis;
mod source;

pub use millis::Millis;
pub use source::{
    Clock, ManualClock, OsTime, SystemClock, TimeSource, process_cpu_time, thread_cpu_time,
    wall_now,
};
