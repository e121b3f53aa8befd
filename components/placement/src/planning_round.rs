//! The state of one planning round.

use clock::Millis;
use model::{JobSpec, Size, Spread};

use crate::decision::Decision;

/// What a planning round found out, so that it does not repeat a search that has failed.
#[derive(Default)]
pub(crate) struct PlanningRound {
    /// The number of its pass.
    pub(crate) pass: u64,
    pub(crate) decisions: Vec<Decision>,
    pub(crate) unplaced: Vec<UnplacedTask>,
}

/// A task that did not fit anywhere in this round.
pub(crate) struct UnplacedTask {
    pub(crate) size: Size,
    pub(crate) spread: bool,
    /// How long it would have run. Workers reserved for a gang accept only tasks that end in time,
    /// so a shorter task may still fit.
    pub(crate) run: Millis,
}

impl PlanningRound {
    /// Returns whether a task that is no larger and no longer has already failed to fit in this
    /// round.
    pub(crate) fn is_known_not_to_fit(&self, spec: &JobSpec, run: Millis) -> bool {
        let spread = spec.spread != Spread::None;
        let covers =
            |n: &UnplacedTask| n.spread == spread && n.run <= run && n.size.fits(&spec.size);
        self.unplaced.iter().any(covers)
    }
}
