//! Reference implementations for comparison: the same choice without an index, and two naive
//! policies.

use crate::ledger::Ledger;
use crate::search::{PlacementRequest, preference_key};
use crate::worker::WorkerIndex;

/// A naive placement policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// The fitting worker with the lowest index.
    FirstFit,
    /// The fitting worker with the most free capacity.
    SpreadOnly,
}

impl Baseline {
    /// Returns the worker that the naive policy chooses.
    pub fn select_worker(
        self,
        ledger: &Ledger,
        request: &PlacementRequest<'_>,
    ) -> Option<WorkerIndex> {
        let mut fitting = ledger.workers().filter(|&ix| fits(ledger, request, ix));
        match self {
            Baseline::FirstFit => fitting.next(),
            Baseline::SpreadOnly => fitting.min_by_key(|&ix| {
                (preference_key(crate::Preference::MostFree, &ledger.free(ix)), ix)
            }),
        }
    }
}

fn fits(ledger: &Ledger, request: &PlacementRequest<'_>, ix: WorkerIndex) -> bool {
    ledger.is_open(ix) && request.size.fits(&ledger.free(ix)) && !(request.skip)(ix)
}

/// Makes the same choice as [`Ledger::select_worker`] by examining every worker.
pub fn select_worker_by_scan(
    ledger: &Ledger,
    request: &PlacementRequest<'_>,
) -> Option<WorkerIndex> {
    let fitting = ledger.workers().filter(|&ix| fits(ledger, request, ix));
    fitting.min_by_key(|&ix| {
        let tasks_near = request.spread.map(|c| c.tasks_near(&ledger.info(ix).rack, ix));
        (tasks_near, preference_key(request.preference, &ledger.free(ix)), ix)
    })
}
