//! Measurements of the real decision code over seeded work, one figure a line.

mod figure;
mod leases;
mod log;
mod placing;
mod replay;
mod requests;
mod trace;

pub use figure::{Waits, figure, resident_kilobytes};

/// Takes every measurement and prints its figures.
pub fn run_all() {
    placing::run();
    replay::run();
    requests::run();
    log::run();
    leases::run();
}
