//! Tasks that have lost workers among so many others that chance may have hit them.
//!
//! Such a loss is not counted against a task by itself: what speaks against it is added up, and a loss counts once that
//! is as much as one that came alone. It is part of the [`crate::ReplicatedState`], so that a change of leader loses none of it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{JobId, TaskKey};

/// From what weight on, added up, a loss counts against a task, of [`FULL_WEIGHT`] for one that chance has surely not
/// brought.
pub const COUNTED_WEIGHT: u16 = 650;
/// The weight of a loss that chance has surely not brought.
pub const FULL_WEIGHT: u16 = 1_000;

/// A run whose worker was lost among so many that chance may have hit it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UncertainLoss {
    /// The task; of a gang the first one.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// What the loss speaks against it, below [`COUNTED_WEIGHT`].
    pub weight: u16,
}

/// What has not been counted against a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Doubt {
    /// How many losses were not counted.
    losses: u16,
    /// What speaks against the task since a loss was last counted.
    weight: u16,
    /// The last run that was weighed.
    last_run: u32,
}

/// The tasks in doubt; a gang is held by its first task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UncertainLosses(BTreeMap<TaskKey, Doubt>);

impl UncertainLosses {
    /// Tells whether a loss counts against its task with what spoke against that before.
    pub fn counts(&self, loss: &UncertainLoss) -> bool {
        let doubt = self.0.get(&loss.task).copied().unwrap_or_default();
        loss.run > doubt.last_run && doubt.weight + loss.weight >= COUNTED_WEIGHT
    }

    /// Takes in a loss, whether or not it counts.
    pub(crate) fn add(&mut self, loss: &UncertainLoss) {
        let counts = self.counts(loss);
        let doubt = self.0.entry(loss.task).or_default();
        if loss.run <= doubt.last_run {
            return;
        }
        doubt.last_run = loss.run;
        doubt.weight += loss.weight.min(COUNTED_WEIGHT);
        match counts {
            true => doubt.weight -= COUNTED_WEIGHT,
            false => doubt.losses = doubt.losses.saturating_add(1),
        }
    }

    /// Gives how many losses under a task were not counted against it.
    pub fn losses(&self, task: &TaskKey) -> u16 {
        self.0.get(task).map_or(0, |d| d.losses)
    }

    /// Tells whether no task is in doubt.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Gives the tasks in doubt.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskKey> {
        self.0.keys()
    }

    pub(crate) fn clear(&mut self, task: &TaskKey) {
        self.0.remove(task);
    }

    /// Forgets the tasks of jobs that are forgotten.
    pub(crate) fn retain(&mut self, is_known: impl Fn(JobId) -> bool) {
        self.0.retain(|task, _| is_known(task.step.job));
    }
}
