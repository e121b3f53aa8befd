//! The state that the parts of one plan share, which the next plan resets.

use std::collections::BTreeMap;

use model::Size;
use workload::WorkerId;

use crate::advice_pacing::PacedCapacity;
use crate::advice_requests::{Candidates, StepNeedingAdvice};
use crate::capacity_reservations::{ReservedCapacity, WorkerSelector};
use crate::suspects::YoungSuspects;

/// The current plan, or the last one.
#[derive(Default)]
pub(crate) struct PlanState {
    /// The cost so far, in workers examined.
    pub(crate) examined: u64,
    /// The number of steps for which the plan looked for workers to ask about.
    pub(crate) scans: u32,
    /// How many workers it examined for that.
    pub(crate) workers_scanned: u64,
    /// How many workers the plan looked at before its first step.
    pub(crate) workers_checked: u64,
    /// The number of steps that needed a call for advice and found no instance free to make it.
    pub(crate) without_caller: u64,
    /// The capacity reserved on workers for waiting large tasks.
    pub(crate) reserved_capacity: BTreeMap<WorkerId, Size>,
    /// The total reserved capacity, by the set of eligible workers.
    pub(crate) reservations: BTreeMap<WorkerSelector, ReservedCapacity>,
    /// The capacity for which calls for advice are made, by the set of eligible workers.
    pub(crate) paced: BTreeMap<WorkerSelector, PacedCapacity>,
    /// The steps that need advice and wait for capacity, the most urgent first, with the candidates
    /// for a call if these were determined.
    pub(crate) deferred: Vec<(StepNeedingAdvice, Option<Candidates>)>,
    /// Whether any worker that could take work is deprioritised or on probation.
    pub(crate) any_deprioritised: bool,
    /// The young suspects on workers that run any.
    pub(crate) young_suspects: BTreeMap<WorkerId, YoungSuspects>,
}

impl PlanState {
    /// Resets the state for a plan that has examined so many workers to choose its steps. Which
    /// workers are deprioritised and which suspects are young is kept until it is determined anew.
    pub(crate) fn begin(&mut self, examined: u64) {
        self.examined = examined;
        self.scans = 0;
        self.workers_scanned = 0;
        self.workers_checked = 0;
        self.without_caller = 0;
        self.reserved_capacity.clear();
        self.reservations.clear();
        self.paced.clear();
        self.deferred.clear();
    }
}
