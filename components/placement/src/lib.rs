//! Assignment of tasks to workers. The code is pure: it maps state and time to decisions.
//!
//! [`Ledger`] tracks the free capacity, and [`Planner`] decides which task gets it. The
//! alternatives that were considered, and the measurements behind the choice, are in
//! docs/design/placement.md.

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
