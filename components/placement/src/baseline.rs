//! Plain versions to compare with: the same decision without an index, and two naive policies.

use crate::ledger::Ledger;
use crate::search::{Ask, preference_key};
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
    pub fn find_room(self, ledger: &Ledger, ask: &Ask<'_>) -> Option<WorkerIndex> {
        let mut fitting = ledger.workers().filter(|&ix| fits(ledger, ask, ix));
        match self {
            Baseline::FirstFit => fitting.next(),
            Baseline::SpreadOnly => fitting.min_by_key(|&ix| {
                (preference_key(crate::Preference::Roomiest, &ledger.free(ix)), ix)
            }),
        }
    }
}

fn fits(ledger: &Ledger, ask: &Ask<'_>, ix: WorkerIndex) -> bool {
    ledger.is_open(ix) && ask.size.fits(&ledger.free(ix)) && !(ask.skip)(ix)
}

/// Takes the decision of [`Ledger::find_room`] by looking at every worker.
pub fn place_plainly(ledger: &Ledger, ask: &Ask<'_>) -> Option<WorkerIndex> {
    let fitting = ledger.workers().filter(|&ix| fits(ledger, ask, ix));
    fitting.min_by_key(|&ix| {
        let crowd = ask.spread.map(|c| c.crowd(&ledger.info(ix).rack, ix));
        (crowd, preference_key(ask.preference, &ledger.free(ix)), ix)
    })
}
