//! What one plan goes through and keeps free: the state that the parts of a plan share, and that the next one begins anew.

use std::collections::BTreeMap;

use model::Size;
use workload::WorkerId;

use crate::advice::Choice;
use crate::asking::Need;
use crate::room::{Kept, Sought};
use crate::suspects::YoungSuspects;

/// The plan under way, or the last one.
#[derive(Default)]
pub(crate) struct PlanState {
    /// What it has taken so far, in looks at a worker.
    pub(crate) looks: u64,
    /// For how many steps it looked through all workers for some to ask about.
    pub(crate) scans: u32,
    /// How many steps wanted a call for advice and found no instance free to make it.
    pub(crate) without_caller: u64,
    /// For how many steps it had no look left to find out whether a task could start.
    pub(crate) without_look: u64,
    /// What it keeps free on workers for large tasks that wait.
    pub(crate) kept_free: BTreeMap<WorkerId, Size>,
    /// What it keeps free in all, by which workers that is sought on.
    pub(crate) rooms_made: BTreeMap<Sought, Kept>,
    /// The steps that want advice and wait for room, with whom a call would name if that was looked up, the
    /// most urgent first.
    pub(crate) put_back: Vec<(Need, Option<Choice>)>,
    /// Whether any worker that could take work is spared.
    pub(crate) spares_any: bool,
    /// The suspects that run young on workers, where there are any.
    pub(crate) young_suspects: BTreeMap<WorkerId, YoungSuspects>,
}

impl PlanState {
    /// Begins a plan that has taken so many looks to choose what it looks at. Which workers are spared and which suspects
    /// are young is found out anew by whoever judges that.
    pub(crate) fn begin(&mut self, looks: u64) {
        self.looks = looks;
        self.scans = 0;
        self.without_caller = 0;
        self.without_look = 0;
        self.kept_free.clear();
        self.rooms_made.clear();
        self.put_back.clear();
    }
}
