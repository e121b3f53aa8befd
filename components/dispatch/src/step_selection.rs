//! Selection of the open steps that a plan examines.
//!
//! Load pattern: hundreds of steps wait, and the most urgent of them can start nowhere, because the
//! workers that they need are full or gone. A plan that examined only the most urgent ones would
//! never reach those behind, however many workers are free for them. So each plan also examines
//! some of the rest, in rotation.

use workload::{OpenStep, StepKey};

use crate::service_order::Rank;

/// The number of most urgent steps that every plan examines. It bounds the time of a plan when far
/// more waits than can run.
const MAX_URGENT_STEPS: usize = 200;
/// The number of steps behind those that a plan examines. With 20 plans a second each of 1,000 such
/// steps is examined every second, for a quarter of a plan's time more.
const MAX_ROTATION_STEPS: usize = 50;

/// The position of the rotation through the steps behind the most urgent ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepSelector {
    last_in_rotation: Option<(Rank, OpenStep)>,
}

/// The steps that a plan examines, in the order of service.
pub(crate) struct SelectedSteps {
    /// The most urgent ones.
    pub(crate) urgent: Vec<OpenStep>,
    /// The next ones in the rotation.
    pub(crate) in_rotation: Vec<OpenStep>,
    /// The number of steps skipped because their organisation is at its limit.
    pub(crate) skipped: u64,
}

impl StepSelector {
    /// Returns the steps that the next plan examines, of those that are due in the order of service
    /// and whose organisation is not at its limit.
    pub(crate) fn next(
        &mut self,
        ranked: &[(Rank, OpenStep)],
        is_at_limit: impl Fn(&StepKey) -> bool,
    ) -> SelectedSteps {
        let mut skipped = 0;
        let mut may_start = |e: &&(Rank, OpenStep)| {
            let at_limit = is_at_limit(&e.1.key);
            skipped += u64::from(at_limit);
            !at_limit
        };
        let mut remaining = ranked.iter();
        let urgent: Vec<OpenStep> =
            remaining.by_ref().filter(&mut may_start).take(MAX_URGENT_STEPS).map(|e| e.1).collect();
        let behind = remaining.as_slice();
        // The rotation restarts behind the most urgent steps.
        let last = self.last_in_rotation;
        let start = last.map_or(0, |last| behind.partition_point(|e| *e <= last));
        let rotated = behind[start..].iter().chain(&behind[..start]);
        let in_rotation: Vec<(Rank, OpenStep)> =
            rotated.filter(&mut may_start).take(MAX_ROTATION_STEPS).copied().collect();
        self.last_in_rotation = in_rotation.last().copied();
        let in_rotation = in_rotation.into_iter().map(|e| e.1).collect();
        SelectedSteps { urgent, in_rotation, skipped }
    }
}
