//! Metrics that a process keeps about itself: counters, gauges and histograms.

mod histogram;
mod registry;

pub use histogram::{Figure, Timings};
pub use registry::Registry;
