//! How often workers have crashed under each task, that is, how often a worker incarnation ended while it held a run.
//!
//! A crashed worker reports no failed runs, so the limit on attempts does not bound how often a task that crashes its
//! workers is started. The counts are part of the [`crate::ReplicatedState`], so that a change of leader, a snapshot or
//! a repeated command neither loses nor doubles one. docs/design/platform.md defines what counts as a crash.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{JobId, TaskKey, WorkerId};

/// The number of workers that may crash under a task until its job is given up, if no other run can have caused the last
/// crash. With two, a coincidence could end a healthy job.
pub const MAX_CRASHES: u16 = 3;
/// The number of workers that may crash under a task until its job is given up, if other young runs were there each time
/// and may have caused the crash. With [`MAX_CRASHES`], a healthy job that repeatedly runs beside a faulty one is given up.
pub const MAX_SHARED_CRASHES: u16 = 4;
/// The number of workers that may crash under a task in any case, however likely another run is to have caused the
/// crashes. A task is never started once that many workers have crashed under it or may have.
pub const MAX_TOTAL_CRASHES: u16 = 5;

/// The runs that may have crashed a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspects {
    /// The most likely causes: the young runs or, if there are none, all runs.
    pub primary: Vec<(TaskKey, u32)>,
    /// Whether the primary suspects were young.
    pub primary_young: bool,
    /// Runs beside young ones that had been healthy for a while. They are suspects too, and are given up last.
    pub secondary: Vec<(TaskKey, u32)>,
    /// Whether this worker alone lost contact, and not together with others.
    pub silent_alone: bool,
}

impl CrashSuspects {
    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.primary.is_empty() && self.secondary.is_empty()
    }

    /// Returns all suspects, primary ones first.
    pub fn runs(&self) -> impl Iterator<Item = &(TaskKey, u32)> {
        self.primary.iter().chain(&self.secondary)
    }
}

/// The crashes attributed to one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct CrashRecord {
    /// The number of workers that have crashed under it. For a gang, each run counts once.
    crashes: u16,
    /// The number of these that crashed while its run was young.
    while_young: u16,
    /// The number of its runs that have lapsed on workers that may or may not have survived.
    open_lapses: u16,
    /// The number of these whose worker alone lost contact.
    open_silent_alone: u16,
    /// The last run that was counted.
    last_run: u32,
}

/// The tasks under which workers have crashed, or may have. A gang is recorded under its first task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashLedger {
    records: BTreeMap<TaskKey, CrashRecord>,
    /// The runs that have lapsed on workers without contact since.
    lapsed: BTreeMap<WorkerId, CrashSuspects>,
}

impl CrashLedger {
    /// Returns whether no crash is attributed to any task.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of workers that have crashed under a task, or under its gang.
    pub fn crashes(&self, task: &TaskKey) -> u16 {
        self.records.get(task).map_or(0, |r| r.crashes)
    }

    /// Returns the number of these that crashed while the task's run was young.
    pub fn crashes_while_young(&self, task: &TaskKey) -> u16 {
        self.records.get(task).map_or(0, |r| r.while_young)
    }

    /// Returns whether a task must wait until the fate of its workers is known, leaving uncertain losses aside.
    pub fn must_wait(&self, task: &TaskKey) -> bool {
        self.must_wait_with(task, 0)
    }

    /// Returns whether a task must wait until the fate of its workers is known: counting its runs that have lapsed on
    /// workers without contact since and its uncertain losses, enough workers may have crashed under it to give it up.
    pub(crate) fn must_wait_with(&self, task: &TaskKey, uncertain: u16) -> bool {
        let Some(r) = self.records.get(task).filter(|r| r.open_lapses > 0) else { return false };
        // Of workers that lose contact together most survive, so a task waits for them only at the overall limit.
        let may_be_given_up =
            r.open_silent_alone > 0 && r.crashes + r.open_silent_alone >= MAX_CRASHES;
        may_be_given_up || r.crashes + r.open_lapses + uncertain >= MAX_TOTAL_CRASHES
    }

    /// Returns the tasks under which workers have crashed, with the number of crashes.
    pub fn suspects(&self) -> impl Iterator<Item = (&TaskKey, u16)> {
        self.records.iter().filter(|(_, r)| r.crashes > 0).map(|(task, r)| (task, r.crashes))
    }

    /// Returns whether a failed job was given up because workers crashed under one of its tasks.
    pub fn gave_up(&self, job: JobId) -> bool {
        let of_job = self.suspects().filter(|(task, _)| task.step.job == job);
        of_job.map(|(_, crashes)| crashes).any(|c| c >= MAX_CRASHES)
    }

    /// Returns whether runs have lapsed on a worker without contact since.
    pub fn has_lapsed_runs(&self, worker: &WorkerId) -> bool {
        self.lapsed.contains_key(worker)
    }

    /// Returns the runs that have lapsed on a worker without contact since, with gangs under their first tasks.
    pub fn lapsed_runs(&self, worker: &WorkerId) -> Option<&CrashSuspects> {
        self.lapsed.get(worker)
    }

    /// Returns the tasks of the runs that have lapsed on a worker without contact since.
    pub(crate) fn lapsed_on(&self, worker: &WorkerId) -> impl Iterator<Item = &TaskKey> {
        self.lapsed.get(worker).into_iter().flat_map(CrashSuspects::runs).map(|(task, _)| task)
    }

    /// Counts a crash against a task unless the run was counted before; returns the new number of crashes.
    pub(crate) fn record_crash(&mut self, task: TaskKey, run: u32, young: bool) -> u16 {
        let record = self.records.entry(task).or_default();
        if run > record.last_run {
            record.last_run = run;
            record.crashes = record.crashes.saturating_add(1);
            record.while_young = record.while_young.saturating_add(u16::from(young));
        }
        record.crashes
    }

    /// Records runs that have lapsed on a worker that may or may not have survived.
    pub(crate) fn record_lapse(&mut self, worker: &WorkerId, crash_suspects: CrashSuspects) {
        self.take_lapsed(worker);
        if crash_suspects.is_empty() {
            return;
        }
        for (task, _) in crash_suspects.runs() {
            let record = self.records.entry(*task).or_default();
            record.open_lapses += 1;
            record.open_silent_alone += u16::from(crash_suspects.silent_alone);
        }
        self.lapsed.insert(worker.clone(), crash_suspects);
    }

    /// Removes and returns the lapsed runs of a worker whose fate is now known.
    pub(crate) fn take_lapsed(&mut self, worker: &WorkerId) -> CrashSuspects {
        let crash_suspects = self.lapsed.remove(worker).unwrap_or_default();
        for (task, _) in crash_suspects.runs() {
            let Some(record) = self.records.get_mut(task) else { continue };
            record.open_lapses = record.open_lapses.saturating_sub(1);
            record.open_silent_alone =
                record.open_silent_alone.saturating_sub(u16::from(crash_suspects.silent_alone));
            if record.crashes == 0 && record.open_lapses == 0 {
                self.records.remove(task);
            }
        }
        crash_suspects
    }

    /// Clears the crashes of a task that is done, or that has run for long enough.
    pub(crate) fn clear(&mut self, task: &TaskKey) {
        let Some(record) = self.records.get_mut(task) else { return };
        record.crashes = 0;
        record.while_young = 0;
        if record.open_lapses == 0 {
            self.records.remove(task);
        }
    }

    /// Removes the tasks of jobs that are no longer known.
    pub(crate) fn retain(&mut self, is_known_job: impl Fn(JobId) -> bool) {
        self.records.retain(|task, _| is_known_job(task.step.job));
        for crash_suspects in self.lapsed.values_mut() {
            crash_suspects.primary.retain(|(task, _)| is_known_job(task.step.job));
            crash_suspects.secondary.retain(|(task, _)| is_known_job(task.step.job));
        }
        self.lapsed.retain(|_, crash_suspects| !crash_suspects.is_empty());
    }
}
