//! What happened, as numbered events: the log's lines and the time line over all processes.
//!
//! Every kind of event has a number that never changes; docs/events.md lists them all.

mod catalogue;
mod journal;
mod lines;
mod logging;
mod merge;
mod order;

pub use catalogue::{CATALOGUE, Kind, Level, find, kinds};
pub use journal::{Event, EventCopy, Filter, Journal, Subject};
pub use lines::LineQueue;
pub use logging::{LogFormat, end_on_panic, start_logging, start_logging_to_stdout, tell};
pub use merge::{Gap, Line, gaps, is_about, merge, read_lines};
pub use order::LogicalClock;
