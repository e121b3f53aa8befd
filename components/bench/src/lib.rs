//! Measurements of the real decision code over seeded work, one figure a line.

mod dispatching;
mod figure;
mod leases;
mod log;
mod placing;
mod replay;
mod requests;
mod trace;

pub use figure::{Waits, figure, resident_kilobytes};

/// A part of the measurements.
type Part = (&'static str, fn());

/// Leases come first: their figure of memory needs a fresh process.
const PARTS: [Part; 6] = [
    ("leases", leases::run),
    ("dispatching", dispatching::run),
    ("placing", placing::run),
    ("replay", replay::run),
    ("requests", requests::run),
    ("log", log::run),
];

/// Takes the measurements of one part, or of all, and prints their figures.
pub fn run(part: Option<&str>) {
    for (name, measure) in PARTS {
        if part.is_none_or(|p| p == name) {
            measure();
        }
    }
}
