//! How often workers have crashed under tasks: a worker's life ended while a run was on it.
//!
//! A worker that has ended lists no failed run, so attempts alone do not bound how often a task that ends its
//! workers is started. The counts are part of the [`crate::ReplicatedState`], so that a change of leader, a snapshot and a
//! repeated command neither lose nor double one. docs/design/platform.md tells what counts as a crash.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{JobId, TaskKey, WorkerId};

/// How many workers may crash under a task until its job is given up, if nothing else can have ended the last one. Two
/// may have crashed by coincidence.
pub const MAX_CRASHES: u16 = 3;
/// How many may crash under it if other young runs were there each time, which may have been at fault.
pub const MAX_SHARED_CRASHES: u16 = 4;
/// How many may crash under it at all, whatever is more likely to blame. It is never started once as many have crashed,
/// or may have.
pub const MAX_TOTAL_CRASHES: u16 = 5;

/// The runs that a worker may have crashed under.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspects {
    /// Those that may have ended it: the young ones or, without any, all.
    pub primary: Vec<(TaskKey, u32)>,
    /// Whether those were young.
    pub primary_young: bool,
    /// Those that had been well for a while beside young ones. They are suspect, and given up last.
    pub secondary: Vec<(TaskKey, u32)>,
    /// Whether the worker fell silent by itself, and not with others.
    pub silent_alone: bool,
}

impl CrashSuspects {
    /// Tells whether there is nobody to blame.
    pub fn is_empty(&self) -> bool {
        self.primary.is_empty() && self.secondary.is_empty()
    }

    /// Gives all runs that are suspect.
    pub fn runs(&self) -> impl Iterator<Item = &(TaskKey, u32)> {
        self.primary.iter().chain(&self.secondary)
    }
}

/// What is held against a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    /// How many workers have crashed under it. For a gang each run counts once.
    crashes: u16,
    /// How many of these crashed while its run was young.
    while_young: u16,
    /// How many of its runs have lapsed on workers of which it is not known whether they live on.
    open_lapses: u16,
    /// How many of these fell silent by themselves.
    open_alone: u16,
    /// The last run that was counted.
    last_run: u32,
}

/// The tasks under which workers have crashed, or may have. A gang is held by its first task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashLedger {
    records: BTreeMap<TaskKey, Record>,
    /// The runs that have lapsed on workers that were not heard of since.
    lapsed: BTreeMap<WorkerId, CrashSuspects>,
}

impl CrashLedger {
    /// Tells whether nothing is held against any task.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Gives how many workers have crashed under a task, or under its gang.
    pub fn crashes(&self, task: &TaskKey) -> u16 {
        self.records.get(task).map_or(0, |r| r.crashes)
    }

    /// Gives how many of these crashed while the task's run was young.
    pub fn crashes_while_young(&self, task: &TaskKey) -> u16 {
        self.records.get(task).map_or(0, |r| r.while_young)
    }

    /// Tells whether a task must wait until more is known, without losses in doubt.
    pub fn must_wait(&self, task: &TaskKey) -> bool {
        self.must_wait_with(task, 0)
    }

    /// Tells whether a task must wait until more is known: with the runs that have lapsed on workers not heard
    /// of since and the losses in doubt, as many workers may have crashed under it as give it up.
    pub(crate) fn must_wait_with(&self, task: &TaskKey, in_doubt: u16) -> bool {
        let Some(r) = self.records.get(task).filter(|r| r.open_lapses > 0) else { return false };
        // Of workers that fell silent together most live on, so nothing waits for news of them before it must.
        let may_be_given_up = r.open_alone > 0 && r.crashes + r.open_alone >= MAX_CRASHES;
        may_be_given_up || r.crashes + r.open_lapses + in_doubt >= MAX_TOTAL_CRASHES
    }

    /// Gives the tasks under which workers have crashed, and under how many of them.
    pub fn suspects(&self) -> impl Iterator<Item = (&TaskKey, u16)> {
        self.records.iter().filter(|(_, r)| r.crashes > 0).map(|(task, r)| (task, r.crashes))
    }

    /// Tells whether a job that has failed was given up because workers crashed under one of its tasks.
    pub fn gave_up(&self, job: JobId) -> bool {
        let of_job = self.suspects().filter(|(task, _)| task.step.job == job);
        of_job.map(|(_, crashes)| crashes).any(|c| c >= MAX_CRASHES)
    }

    /// Tells whether runs have lapsed on a worker that was not heard of since.
    pub fn has_lapsed_runs(&self, worker: &WorkerId) -> bool {
        self.lapsed.contains_key(worker)
    }

    /// Gives the runs that have lapsed on a worker that was not heard of since, gangs by their first tasks.
    pub fn lapsed_runs(&self, worker: &WorkerId) -> Option<&CrashSuspects> {
        self.lapsed.get(worker)
    }

    /// Gives the tasks of the runs that have lapsed on a worker that was not heard of since.
    pub(crate) fn lapsed_on(&self, worker: &WorkerId) -> impl Iterator<Item = &TaskKey> {
        self.lapsed.get(worker).into_iter().flat_map(CrashSuspects::runs).map(|(task, _)| task)
    }

    /// Counts a crash; gives how many there are now.
    pub(crate) fn count(&mut self, task: TaskKey, run: u32, young: bool) -> u16 {
        let record = self.records.entry(task).or_default();
        if run > record.last_run {
            record.last_run = run;
            record.crashes = record.crashes.saturating_add(1);
            record.while_young = record.while_young.saturating_add(u16::from(young));
        }
        record.crashes
    }

    /// Notes runs that have lapsed on a worker of which it is not known whether it lives on.
    pub(crate) fn lapse(&mut self, worker: &WorkerId, crash_suspects: CrashSuspects) {
        self.settle(worker);
        if crash_suspects.is_empty() {
            return;
        }
        for (task, _) in crash_suspects.runs() {
            let record = self.records.entry(*task).or_default();
            record.open_lapses += 1;
            record.open_alone += u16::from(crash_suspects.silent_alone);
        }
        self.lapsed.insert(worker.clone(), crash_suspects);
    }

    /// Takes the lapsed runs of a worker whose fate is known.
    pub(crate) fn settle(&mut self, worker: &WorkerId) -> CrashSuspects {
        let crash_suspects = self.lapsed.remove(worker).unwrap_or_default();
        for (task, _) in crash_suspects.runs() {
            let Some(record) = self.records.get_mut(task) else { continue };
            record.open_lapses = record.open_lapses.saturating_sub(1);
            record.open_alone =
                record.open_alone.saturating_sub(u16::from(crash_suspects.silent_alone));
            if record.crashes == 0 && record.open_lapses == 0 {
                self.records.remove(task);
            }
        }
        crash_suspects
    }

    /// Clears a task that has come to its end, or that has run for long enough.
    pub(crate) fn clear(&mut self, task: &TaskKey) {
        let Some(record) = self.records.get_mut(task) else { return };
        record.crashes = 0;
        record.while_young = 0;
        if record.open_lapses == 0 {
            self.records.remove(task);
        }
    }

    /// Forgets the tasks of jobs that are forgotten.
    pub(crate) fn retain(&mut self, is_known: impl Fn(JobId) -> bool) {
        self.records.retain(|task, _| is_known(task.step.job));
        for crash_suspects in self.lapsed.values_mut() {
            crash_suspects.primary.retain(|(task, _)| is_known(task.step.job));
            crash_suspects.secondary.retain(|(task, _)| is_known(task.step.job));
        }
        self.lapsed.retain(|_, crash_suspects| !crash_suspects.is_empty());
    }
}
