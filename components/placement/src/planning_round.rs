//! What is known within one round of planning.

use clock::Millis;
use model::{JobSpec, Size, Spread};

use crate::decision::Decision;

/// What one round found out, so that it is not tried again in the same round.
#[derive(Default)]
pub(crate) struct Round {
    /// The number of its lap.
    pub(crate) lap: u64,
    pub(crate) decisions: Vec<Decision>,
    pub(crate) no_room: Vec<NoRoom>,
}

/// A task that found no room in this round.
pub(crate) struct NoRoom {
    pub(crate) size: Size,
    pub(crate) spread: bool,
    /// How long it would have run: workers that a gang waits for take shorter work only.
    pub(crate) run: Millis,
}

impl Round {
    /// Tells whether something no larger and no longer has found no room in this round already.
    pub(crate) fn is_known_stuck(&self, spec: &JobSpec, run: Millis) -> bool {
        let spread = spec.spread != Spread::None;
        let covers = |n: &NoRoom| n.spread == spread && n.run <= run && n.size.fits(&spec.size);
        self.no_room.iter().any(covers)
    }
}
