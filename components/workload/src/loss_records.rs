//! What is known of the lost runs of each task, and when the current runs were ordered. A later loss of the same task is
//! judged by both, so they are part of the [`crate::ReplicatedState`] and a change of leader loses none of them.

use std::collections::BTreeMap;

use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::{JobId, TaskKey};

/// How many lost runs are kept for a task: more than the crashes after which its job is given up.
pub const MAX_LOSSES_PER_TASK: usize = 8;
/// The distances between the ages of two lost runs for which [`LossRecord::same_age`] is kept.
pub const AGE_DISTANCES: [Millis; 4] = [Millis(15), Millis(60), Millis(240), Millis(960)];

/// A run that was lost with its worker. Evidence is the negative logarithm of the chance that it is a coincidence, in
/// hundredths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossRecord {
    /// The run.
    pub run: u32,
    /// The age of the run at the loss, or `None` if it is unknown.
    pub age: Option<Millis>,
    /// The evidence in its age, less what chance yields on average.
    pub of_age: i16,
    /// The evidence that another run was lost within each of [`AGE_DISTANCES`] of this age.
    pub same_age: [i16; AGE_DISTANCES.len()],
}

/// The lost runs of all tasks; those of a gang are recorded under its first task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossRecords {
    losses: BTreeMap<TaskKey, Vec<LossRecord>>,
    /// When the current run of each task was ordered, by the wall clock of the leader that ordered it.
    ordered_at: BTreeMap<TaskKey, Millis>,
    /// When the runs were ordered that are started next.
    order_time: Millis,
}

impl LossRecords {
    /// Returns the latest lost runs of a task, oldest first.
    pub fn of(&self, task: &TaskKey) -> &[LossRecord] {
        self.losses.get(task).map_or(&[], Vec::as_slice)
    }

    /// Returns the tasks with lost runs.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskKey> {
        self.losses.keys()
    }

    /// Returns whether no run is lost.
    pub fn no_losses(&self) -> bool {
        self.losses.is_empty()
    }

    /// Returns whether nothing is recorded.
    pub(crate) fn is_empty(&self) -> bool {
        *self == LossRecords::default()
    }

    /// Returns when the current run of a task was ordered, by the wall clock of the leader that ordered it.
    pub fn ordered_at(&self, task: &TaskKey) -> Option<Millis> {
        self.ordered_at.get(task).copied()
    }

    /// Sets when the runs were ordered that are started next.
    pub(crate) fn set_order_time(&mut self, at: Millis) {
        self.order_time = at;
    }

    /// Records that a run was started. Before the first order time, nothing is known.
    pub(crate) fn start(&mut self, task: TaskKey) {
        if self.order_time > Millis::ZERO {
            self.ordered_at.insert(task, self.order_time);
        }
    }

    /// Records that a task has no current run any more.
    pub(crate) fn release(&mut self, task: &TaskKey) {
        self.ordered_at.remove(task);
    }

    /// Records a lost run, or replaces its record by one made with more knowledge.
    pub(crate) fn record(&mut self, task: TaskKey, loss: LossRecord) {
        let losses = self.losses.entry(task).or_default();
        match losses.iter_mut().find(|known| known.run == loss.run) {
            Some(known) => *known = loss,
            None => losses.push(loss),
        }
        losses.drain(..losses.len().saturating_sub(MAX_LOSSES_PER_TASK));
    }

    pub(crate) fn clear(&mut self, task: &TaskKey) {
        self.losses.remove(task);
    }

    /// Removes the tasks of jobs that are no longer known.
    pub(crate) fn retain(&mut self, is_known_job: impl Fn(JobId) -> bool) {
        self.losses.retain(|task, _| is_known_job(task.step.job));
    }
}
