//! Where a caller's request goes, whether it waits, and when it is refused.
//!
//! [`Router`] is pure: arrivals, ends and time go in, dispatches and refusals come out. Several
//! instances send to one upstream without seeing each other; docs/design/requests.md says how their
//! shares add up to no more than its limit.

mod broker;
mod budget;
mod pick;
mod queue;
mod request;
mod router;
mod share;
mod upstream;

pub use broker::{Broker, Demand, LentSlots, Loan, LoanBook, Wish};
pub use budget::RetryBudget;
pub use pick::Pick;
pub use request::RequestInfo;
pub use router::{Admission, Dispatch, Ending, Router, RouterConfig};
pub use share::{ShareWay, base_share, pool};
pub use upstream::{Target, TargetState};
