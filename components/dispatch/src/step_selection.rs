//! Selection of the open steps that a plan examines.
//!
//! Load pattern: hundreds of steps wait, and the most urgent of them can start nowhere, because the
//! workers that they need are full or gone. A plan that examined only the most urgent ones would
//! never reach those behind, however many workers are free for them. So each plan also examines
//! some of the rest, in rotation.

use std::collections::BTreeSet;
use std::ops::Bound;

use workload::{JobId, OpenStep, StepKey};

/// The number of most urgent steps that every plan examines. It bounds the time of a plan when far
/// more waits than can run.
const MAX_URGENT_STEPS: usize = 200;
/// The number of steps behind those that a plan examines. With 20 plans a second each of 1,000 such
/// steps is examined every second, for a quarter of a plan's time more.
const MAX_ROTATION_STEPS: usize = 50;

/// Whether a step may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// Only the workers may prevent it from starting.
    MayStart,
    /// Its round is not due, nor are the later ones of its job.
    NotDue,
    /// Its organisation is at its limit of running tasks.
    AtLimit,
}

/// The position of the rotation through the steps behind the most urgent ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepSelector {
    last_in_rotation: Option<OpenStep>,
}

/// The steps that a plan examines.
pub(crate) struct SelectedSteps {
    /// The most urgent ones.
    pub(crate) urgent: Vec<OpenStep>,
    /// The next ones in the rotation.
    pub(crate) in_rotation: Vec<OpenStep>,
    /// The number of jobs skipped because none of their rounds is due, and of steps skipped because
    /// their organisation is at its limit.
    pub(crate) skipped: u64,
}

impl StepSelector {
    /// Returns the steps that the next plan examines, of those that may start.
    pub(crate) fn next(
        &mut self,
        open: &BTreeSet<OpenStep>,
        readiness: impl Fn(&StepKey) -> Readiness,
    ) -> SelectedSteps {
        let mut startable = StartableSteps { open, readiness, from: Bound::Unbounded, skipped: 0 };
        let urgent: Vec<OpenStep> = startable.by_ref().take(MAX_URGENT_STEPS).collect();
        let Some(last_urgent) = urgent.last().copied().filter(|_| urgent.len() == MAX_URGENT_STEPS)
        else {
            self.last_in_rotation = None;
            return SelectedSteps { urgent, in_rotation: Vec::new(), skipped: startable.skipped };
        };
        let rotation_start =
            self.last_in_rotation.filter(|t| *t > last_urgent).unwrap_or(last_urgent);
        startable.from = Bound::Excluded(rotation_start);
        let mut in_rotation: Vec<OpenStep> = startable.by_ref().take(MAX_ROTATION_STEPS).collect();
        // The rotation restarts behind the most urgent steps.
        startable.from = Bound::Excluded(last_urgent);
        let wrapped = startable
            .by_ref()
            .take_while(|e| *e <= rotation_start)
            .take(MAX_ROTATION_STEPS - in_rotation.len());
        in_rotation.extend(wrapped);
        self.last_in_rotation = in_rotation.last().copied();
        SelectedSteps { urgent, in_rotation, skipped: startable.skipped }
    }
}

/// An iterator over the open steps that may start.
struct StartableSteps<'a, F> {
    open: &'a BTreeSet<OpenStep>,
    readiness: F,
    from: Bound<OpenStep>,
    skipped: u64,
}

impl<F: Fn(&StepKey) -> Readiness> Iterator for StartableSteps<'_, F> {
    type Item = OpenStep;

    fn next(&mut self) -> Option<OpenStep> {
        loop {
            let entry = *self.open.range((self.from, Bound::Unbounded)).next()?;
            match (self.readiness)(&entry.key) {
                Readiness::MayStart => {
                    self.from = Bound::Excluded(entry);
                    return Some(entry);
                }
                Readiness::NotDue => {
                    self.from = Bound::Included(before_job(entry.priority, entry.order + 1));
                }
                Readiness::AtLimit => self.from = Bound::Excluded(entry),
            }
            self.skipped += 1;
        }
    }
}

/// Returns an entry that sorts before all steps of the job at a position in the order of
/// acceptance.
fn before_job(priority: u8, order: u64) -> OpenStep {
    let key = StepKey { job: JobId(0), round: 0, step: 0 };
    OpenStep { priority, order, key }
}
