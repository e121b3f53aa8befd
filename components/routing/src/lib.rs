//! Where a caller's request goes, whether it waits, and when it is refused.
//!
//! [`Router`] is pure: arrivals, ends and time go in, dispatches and refusals come out. Several
//! instances send to one upstream without seeing each other; docs/design/requests.md says how their
//! shares add up to no more than its limit.

mod broker;
mod budget;
mod queue;
mod request;
mod router;
mod slot_share;
mod upstream;
mod upstream_selection;

pub use broker::{BorrowedSlots, Broker, Demand, LentSlots, Loan, UpstreamDemand};
pub use budget::RetryBudget;
pub use request::RequestInfo;
pub use router::{Admission, Dispatch, RequestOutcome, Router, RouterConfig};
pub use slot_share::{SlotSharing, base_share, lendable_slots};
pub use upstream::{Target, TargetState};
pub use upstream_selection::SelectionPolicy;
