//! Routing of callers' requests: where a request is sent, whether it waits, and when it is refused.
//!
//! [`Router`] is pure: it maps arrivals, outcomes and time to dispatches and refusals. Several
//! instances send to an upstream without coordinating on each request; docs/design/requests.md
//! describes why their shares never add up to more than the upstream's limit.

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
