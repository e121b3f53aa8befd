//! The leader's decisions: which task runs where, what each worker is told, and what callers are
//! answered.
//!
//! [`Dispatcher`] is pure: `(state, now, input) -> actions`. It runs on the leader of the cell's log
//! only, keeps a copy of the [`workload::ReplicatedState`] that is ahead of the log by what is not committed
//! yet, and lets nothing out that rests on an uncommitted entry. docs/design/platform.md says what
//! was weighed.

mod action;
mod advice;
mod aging;
mod answer_times;
mod asking;
mod call;
mod callers;
mod causes;
mod dispatcher;
mod figures;
mod input;
mod lease;
mod limits;
mod lives;
mod losses;
mod order;
mod orders;
mod organisations;
mod place;
mod plan_state;
mod renewals;
mod reserve;
mod room;
mod seats;
mod sign_of_life;
mod silence;
mod slack;
mod speed;
mod standing;
mod stragglers;
mod strangers;
mod suspects;
mod torn_gangs;
mod view;
mod wait_lines;
mod waits;
mod window;
mod workers;

pub use action::Action;
pub use advice::AdviceAsk;
pub use call::{Answer, Call, Verb};
pub use dispatcher::{Dispatcher, Setup};
pub use figures::{Figures, OrganisationFigures, ServiceFigures};
pub use input::{Input, Moment, Token};
pub use limits::{Limits, Mechanisms};
pub use order::{
    CallError, Refusal, RenewOrder, Report, RunRow, StartOrder, StopOrder, WorkerNews,
};
