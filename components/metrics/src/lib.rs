//! Histograms and figures that an instance keeps of itself.

mod histogram;

pub use histogram::{Figure, Timings};
