//! The decisions of the leader: which worker runs which task, which orders workers get, and how
//! calls are answered.
//!
//! [`Dispatcher`] is a pure state machine: `(state, now, input) -> actions`. It runs only on the
//! leader of the cell's log. It keeps a copy of the [`workload::ReplicatedState`] that includes
//! commands that are not committed yet, and releases no action that depends on an uncommitted
//! entry. The alternatives are discussed in docs/design/platform.md.

mod action;
mod admission;
mod advice;
mod advice_pacing;
mod advice_requests;
mod advice_reserve;
mod aging;
mod answer_times;
mod backlog;
mod call;
mod call_handling;
mod candidates;
mod capacity_index;
mod capacity_reservations;
mod dispatcher;
mod figures;
mod incarnations;
mod input;
mod job_explanation;
mod job_memory;
mod late_calls;
mod limits;
mod long_running_waits;
mod loss_evidence;
mod loss_pace;
mod loss_weighing;
mod losses;
mod order_delivery;
mod organisations;
mod partial_gangs;
mod plan_state;
mod planning;
mod refusals;
mod renewals;
mod repeated_calls;
mod service_order;
mod shares;
mod silent_zones;
mod slack;
mod speed;
mod start_confirmation;
mod step_selection;
mod stragglers;
mod suspects;
mod unconfigured_workers;
mod wait_logging;
mod wait_reasons;
mod withdrawn_jobs;
mod worker_clock;
mod worker_health;
mod worker_messages;
mod worker_speeds;
mod worker_view;
mod worker_views;
mod workers;
mod zone_orders;

pub use action::Action;
pub use admission::{Admission, WaitForecast};
pub use advice::AdviceRequest;
pub use backlog::Work;
pub use call::{Answer, Call, CallTimes, Verb};
pub use dispatcher::{Dispatcher, Setup};
pub use figures::{Backlog, Figures, OrganisationFigures, QueueFigures, ServiceFigures};
pub use input::{Input, Moment, Token};
pub use job_explanation::{JobExplanation, TaskWait, WaitingStep};
pub use job_memory::MemoryShortage;
pub use limits::{Limits, MIN_REFUSAL_RETRY, Mechanisms};
pub use refusals::{RefusalCause, RefusedJob};
pub use worker_messages::{
    CallError, Refusal, RenewOrder, Report, RunStatus, StartOrder, StopOrder, WorkerAnnouncement,
};
