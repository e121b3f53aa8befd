//! Plain versions to compare with: the same decision without an index, and two naive policies.

use crate::ledger::Ledger;
use crate::search::{PlacementRequest, preference_key};
use crate::worker::WorkerIndex;

/// A naive policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// The first worker in order that fits.
    FirstFit,
    /// The worker with the most free.
    SpreadOnly,
}

impl Baseline {
    /// Finds a worker as the naive policy would.
    pub fn select_worker(self, ledger: &Ledger, ask: &PlacementRequest<'_>) -> Option<WorkerIndex> {
        let mut fitting = ledger.workers().filter(|&ix| fits(ledger, ask, ix));
        match self {
            Baseline::FirstFit => fitting.next(),
            Baseline::SpreadOnly => fitting.min_by_key(|&ix| {
                (preference_key(crate::Preference::MostFree, &ledger.free(ix)), ix)
            }),
        }
    }
}

fn fits(ledger: &Ledger, ask: &PlacementRequest<'_>, ix: WorkerIndex) -> bool {
    ledger.is_open(ix) && ask.size.fits(&ledger.free(ix)) && !(ask.skip)(ix)
}

/// Takes the decision of [`Ledger::select_worker`] by looking at every worker.
pub fn select_worker_by_scan(ledger: &Ledger, ask: &PlacementRequest<'_>) -> Option<WorkerIndex> {
    let fitting = ledger.workers().filter(|&ix| fits(ledger, ask, ix));
    fitting.min_by_key(|&ix| {
        let crowd = ask.spread.map(|c| c.crowd(&ledger.info(ix).rack, ix));
        (crowd, preference_key(ask.preference, &ledger.free(ix)), ix)
    })
}
