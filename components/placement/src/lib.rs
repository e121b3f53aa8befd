//! Deciding which worker runs which task. Pure code: state and time in, decisions out.
//!
//! [`Ledger`] knows what is free, [`Planner`] decides who gets it. docs/design/placement.md says
//! what was weighed and by which measurement it was chosen.

mod assignment;
mod baseline;
mod decision;
mod estimate;
mod gang;
mod index;
mod ledger;
mod limits;
mod organisation_queue;
mod planner;
mod planning_round;
mod policy;
mod preempt;
mod reservation;
mod search;
mod waiting_tasks;
mod worker;

pub use baseline::{Baseline, select_worker_by_scan};
pub use decision::{Decision, PlacedTask};
pub use estimate::Estimator;
pub use ledger::Ledger;
pub use planner::Planner;
pub use policy::Policy;
pub use search::{PlacementRequest, Preference, SpreadCounts};
pub use waiting_tasks::{WaitingJob, WaitingTasks};
pub use worker::{WorkerIndex, WorkerInfo};
