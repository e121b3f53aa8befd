//! Losses of runs whose workers were lost together with so many others that coincidence may explain them, as earlier
//! versions recorded them. They are kept so that older logs and snapshots apply; [`crate::LossRecords`] replaces them.
//!
//! Such a loss does not count against its task by itself. Instead the weights of its uncertain losses are added up, and
//! a loss counts once their sum is as strong an indication as a single isolated loss. The records are part of the
//! [`crate::ReplicatedState`], so that a change of leader loses none of them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{JobId, TaskKey};

/// The accumulated weight at which a loss counts against its task, on the scale where [`FULL_WEIGHT`] stands for a loss
/// that is certainly no coincidence.
pub const COUNTED_WEIGHT: u16 = 650;
/// The weight of a loss that is certainly no coincidence.
pub const FULL_WEIGHT: u16 = 1_000;

/// A run whose worker was lost together with so many others that coincidence may explain the loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UncertainLoss {
    /// The task; for a gang, its first task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// How strongly the loss indicates that the task crashed its worker; below [`COUNTED_WEIGHT`].
    pub weight: u16,
}

/// The uncertain losses of one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LossRecord {
    /// The number of losses that were not counted against the task.
    losses: u16,
    /// The weight accumulated since a loss was last counted.
    weight: u16,
    /// The last run that was recorded.
    last_run: u32,
}

/// The tasks with uncertain losses; a gang is recorded under its first task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UncertainLosses(BTreeMap<TaskKey, LossRecord>);

impl UncertainLosses {
    /// Returns whether a loss counts against its task, given the weight accumulated by earlier losses.
    pub fn counts(&self, loss: &UncertainLoss) -> bool {
        let record = self.0.get(&loss.task).copied().unwrap_or_default();
        loss.run > record.last_run && record.weight + loss.weight >= COUNTED_WEIGHT
    }

    /// Records a loss, whether or not it counts.
    pub(crate) fn record(&mut self, loss: &UncertainLoss) {
        let counts = self.counts(loss);
        let record = self.0.entry(loss.task).or_default();
        if loss.run <= record.last_run {
            return;
        }
        record.last_run = loss.run;
        record.weight += loss.weight.min(COUNTED_WEIGHT);
        match counts {
            true => record.weight -= COUNTED_WEIGHT,
            false => record.losses = record.losses.saturating_add(1),
        }
    }

    /// Returns the number of losses of a task that were not counted against it.
    pub fn losses(&self, task: &TaskKey) -> u16 {
        self.0.get(task).map_or(0, |d| d.losses)
    }

    /// Returns whether no task has uncertain losses.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the tasks with uncertain losses.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskKey> {
        self.0.keys()
    }

    pub(crate) fn clear(&mut self, task: &TaskKey) {
        self.0.remove(task);
    }

    /// Removes the tasks of jobs that are no longer known.
    pub(crate) fn retain(&mut self, is_known_job: impl Fn(JobId) -> bool) {
        self.0.retain(|task, _| is_known_job(task.step.job));
    }
}
