//! Benchmarks of the production decision code with seeded workloads. Each prints one line per figure.

mod dispatching;
mod figure;
mod leases;
mod log;
mod placing;
mod replay;
mod requests;
mod trace;

pub use figure::{Waits, figure, resident_kilobytes};

/// A part of the benchmarks: its name and the function that runs it.
type Part = (&'static str, fn());

/// All parts in the order in which they run. Leases come first, since their memory figure needs a fresh process.
const PARTS: [Part; 6] = [
    ("leases", leases::run),
    ("dispatching", dispatching::run),
    ("placing", placing::run),
    ("replay", replay::run),
    ("requests", requests::run),
    ("log", log::run),
];

/// Runs the part of the given name, or all parts, and prints their figures.
pub fn run(part: Option<&str>) {
    for (name, measure) in PARTS {
        if part.is_none_or(|p| p == name) {
            measure();
        }
    }
}
