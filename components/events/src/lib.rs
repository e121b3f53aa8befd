//! Numbered events, written as log lines and merged into one time line over all processes.
//!
//! Every kind of event has a number that never changes; docs/events.md lists them all.

mod catalogue;
mod journal;
mod line_queue;
mod logging;
mod logical_clock;
mod merge;

pub use catalogue::{CATALOGUE, Kind, Level, find_kind, kinds};
pub use journal::{Event, EventCopy, Filter, Journal, Subject};
pub use line_queue::{Importance, LineQueue};
pub use logging::{
    LogFormat, exit_on_panic, log_decision, log_summary, start_logging, start_logging_to_stdout,
};
pub use logical_clock::LogicalClock;
pub use merge::{Gap, Line, gaps, is_about, merge, read_lines};
