//! Deciding which worker runs which task. Pure code: state and time in, decisions out.
//!
//! [`Ledger`] knows what is free, [`Planner`] decides who gets it. docs/design/placement.md says
//! what was weighed and by which measurement it was chosen.

mod baseline;
mod estimate;
mod gang;
mod index;
mod ledger;
mod line;
mod planner;
mod preempt;
mod queue;
mod reservation;
mod search;
mod worker;

pub use baseline::{Baseline, place_plainly};
pub use estimate::Estimator;
pub use ledger::Ledger;
pub use planner::{Decision, Placed, Planner, Policy};
pub use queue::{Bundle, Queue};
pub use search::{Ask, Preference, SpreadCounts};
pub use worker::{WorkerIndex, WorkerInfo};
