//! The traits through which a process calls external services. Each protocol adapter implements them.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use clock::Millis;
use dispatch::{CallError, RenewOrder, Report, StartOrder, StopOrder};
use model::Name;
use workload::{StepKey, WorkerId};

/// A future that is not sent between threads.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// The usage of the connection budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Connections {
    /// How many connections are open.
    pub open: usize,
    /// How many connections may be open.
    pub limit: usize,
    /// How many connections were opened since the process started.
    pub opened: u64,
}

/// Calls to workers. Each call completes by itself, at the latest after the port's own time limit. Without
/// an answer it fails with [`CallError::Silent`], or with [`CallError::NotSent`] if it was certainly not sent.
pub trait WorkerPort {
    /// Renews the worker's lease and returns the report of its runs.
    fn renew(
        &self,
        to: &WorkerId,
        address: &str,
        order: RenewOrder,
    ) -> LocalFuture<Result<Report, CallError>>;
    /// Starts a run and returns the worker's clock.
    fn start(
        &self,
        to: &WorkerId,
        address: &str,
        order: StartOrder,
    ) -> LocalFuture<Result<Millis, CallError>>;
    /// Stops a run and returns the worker's clock.
    fn stop(
        &self,
        to: &WorkerId,
        address: &str,
        order: StopOrder,
    ) -> LocalFuture<Result<Millis, CallError>>;
    /// Returns the usage of the connection budget.
    fn connections(&self) -> Connections;
}

/// An answer of the advice service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// How long the tickets are valid.
    pub valid: Option<Millis>,
    /// The allowed workers with their tickets.
    pub allowed: Vec<(WorkerId, Name)>,
}

/// Calls to the advice service.
pub trait AdvicePort {
    /// Asks which of `workers` may run a step. Returns `None` if the service does not answer.
    fn request(&self, step: StepKey, workers: Vec<WorkerId>) -> LocalFuture<Option<Advice>>;
}

/// The external services that a process can call.
#[derive(Clone)]
pub struct Ports {
    /// The workers.
    pub workers: Rc<dyn WorkerPort>,
    /// The advice service.
    pub advice: Rc<dyn AdvicePort>,
}
