//! The borders to the outside, as traits: whoever speaks an outside protocol implements them.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use clock::Millis;
use dispatch::{CallError, RenewOrder, Report, StartOrder, StopOrder};
use model::Name;
use workload::{StepKey, WorkerId};

/// A future that stays on its thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// How full the budget of connections is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Connections {
    /// How many are open.
    pub open: usize,
    /// How many may be open.
    pub limit: usize,
    /// How many were opened since the process began.
    pub opened: u64,
}

/// Calls to workers. Each call ends by itself, at the latest after a time limit of the port's own;
/// without an answer it ends as
/// [`CallError::Silent`], or as [`CallError::NotSent`] if it surely did not leave.
pub trait WorkerPort {
    /// Renews the lease and asks what runs.
    fn renew(
        &self,
        to: &WorkerId,
        address: &str,
        order: RenewOrder,
    ) -> LocalFuture<Result<Report, CallError>>;
    /// Starts a run; gives the worker's clock.
    fn start(
        &self,
        to: &WorkerId,
        address: &str,
        order: StartOrder,
    ) -> LocalFuture<Result<Millis, CallError>>;
    /// Stops a run; gives the worker's clock.
    fn stop(
        &self,
        to: &WorkerId,
        address: &str,
        order: StopOrder,
    ) -> LocalFuture<Result<Millis, CallError>>;
    /// Tells how full the budget of connections is.
    fn connections(&self) -> Connections;
}

/// What the advice service said.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// How long the tickets hold.
    pub valid: Option<Millis>,
    /// Who is allowed, with their tickets.
    pub allowed: Vec<(WorkerId, Name)>,
}

/// Calls to the advice service.
pub trait AdvicePort {
    /// Asks which of `workers` may run a step; gives `None` without an answer.
    fn request(&self, step: StepKey, workers: Vec<WorkerId>) -> LocalFuture<Option<Advice>>;
}

/// What a process can call.
#[derive(Clone)]
pub struct Ports {
    /// The workers.
    pub workers: Rc<dyn WorkerPort>,
    /// The advice service.
    pub advice: Rc<dyn AdvicePort>,
}
