//! Waiting times of long-running tasks.
//!
//! Plans use them, and there are many plans, so the cost of an update follows what has changed and
//! what waits: other waiting steps and long-running tasks that run are not visited.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use workload::{Command, Job, JobId, JobSpec, OpenStep, ReplicatedState, StepKey, TaskKey};

use crate::input::Moment;
use crate::limits::{MAX_FIRST_RUN_WAIT, MAX_LONG_RUNNING_WAIT};

/// The waiting tasks of one step, by their index in the step.
type Waiting = BTreeMap<u32, Wait>;

/// The wait of one task.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: Millis,
    /// Whether the task has run before.
    has_run: bool,
}

impl Wait {
    /// Returns when the task becomes overdue.
    fn overdue_from(&self) -> Millis {
        self.since + if self.has_run { MAX_LONG_RUNNING_WAIT } else { MAX_FIRST_RUN_WAIT }
    }
}

/// Since when long-running tasks have waited for a worker. A wait begins with the first plan that
/// finds the task without a run, or when this leader takes over, and ends when the task is assigned
/// to a worker. Rounds that are not due and steps that other steps hold back do not wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct LongRunningWaits {
    /// The long-running steps of unfinished jobs, by their index in the job.
    jobs: BTreeMap<JobId, Vec<u32>>,
    /// The jobs of these that have rounds: a round becomes due without any change.
    recurring: BTreeSet<JobId>,
    /// The jobs that have changed since the last update.
    changed: BTreeSet<JobId>,
    waiting: BTreeMap<StepKey, Waiting>,
}

impl LongRunningWaits {
    /// Adds an unfinished job, if any of its steps is long-running.
    pub(crate) fn add_job(&mut self, id: JobId, spec: &JobSpec) {
        let long_running_steps = (0..).zip(&spec.steps).filter(|(_, s)| s.long_running);
        let steps: Vec<u32> = long_running_steps.map(|(step, _)| step).collect();
        if steps.is_empty() {
            return;
        }
        self.jobs.insert(id, steps);
        self.changed.insert(id);
        if spec.rounds > 0 {
            self.recurring.insert(id);
        }
    }

    /// Records which jobs a command changes. Must be called before the command is applied to the
    /// replicated state.
    pub(crate) fn record_change(&mut self, command: &Command, replicated: &ReplicatedState) {
        match command {
            Command::Submit { id, spec, .. } => self.add_job(*id, spec),
            Command::Cancel { id, .. } => self.record_job_changed(*id),
            Command::Started { runs, .. } | Command::NotStarted { runs, .. } => {
                runs.iter().for_each(|(task, _)| self.record_job_changed(task.step.job));
            }
            Command::Ended { ends, .. } => {
                ends.iter().for_each(|end| self.record_job_changed(end.task.step.job));
            }
            // A crash may also end jobs whose runs had lapsed there before.
            Command::WorkerGone { worker, .. }
            | Command::Lapsed { worker, .. }
            | Command::WorkerCrashed { worker, .. }
            | Command::WorkerLost { worker, .. } => {
                replicated.jobs_on(worker).into_iter().for_each(|job| self.record_job_changed(job));
            }
            Command::Configure(_)
            | Command::WorkerJoined(_)
            | Command::Forget { .. }
            | Command::CrashSuspected { .. }
            | Command::WorkerSurvived { .. }
            | Command::Resized { .. }
            | Command::SuspectsCleared { .. }
            | Command::AssignOwner { .. }
            | Command::LossesUncertain { .. }
            | Command::DrainZone { .. }
            | Command::UsageRecorded { .. }
            | Command::LossesRecorded { .. }
            | Command::OrderTime { .. }
            | Command::Withdraw { .. }
            | Command::ForgetWithdrawn { .. }
            | Command::SpeedsLearned { .. } => {}
        }
    }

    fn record_job_changed(&mut self, job: JobId) {
        if self.jobs.contains_key(&job) {
            self.changed.insert(job);
        }
    }

    /// Determines which tasks wait now, and drops the jobs that have ended.
    pub(crate) fn update(&mut self, m: Moment, replicated: &ReplicatedState) {
        let mut jobs = std::mem::take(&mut self.changed);
        jobs.extend(&self.recurring);
        jobs.extend(self.waiting.keys().map(|key| key.job));
        let mut previous_waits = std::mem::take(&mut self.waiting);
        for id in jobs {
            match replicated.job(id).filter(|j| !j.state.is_final()) {
                Some(job) => self.update_job(m, replicated, (id, job), &mut previous_waits),
                None => self.drop_job(id),
            }
        }
    }

    fn update_job(
        &mut self,
        m: Moment,
        replicated: &ReplicatedState,
        (id, job): (JobId, &Job),
        previous_waits: &mut BTreeMap<StepKey, Waiting>,
    ) {
        let Some(steps) = self.jobs.get(&id) else { return };
        for key in due_steps(m, id, job, steps) {
            let entry = OpenStep { priority: job.priority, order: job.order, key };
            let Some(step) = replicated.step(&key).filter(|_| replicated.open().contains(&entry))
            else {
                continue;
            };
            let previous = previous_waits.remove(&key).unwrap_or_default();
            let since = |i: u32| previous.get(&i).map_or(m.now, |w| w.since);
            let has_run = |i: u32| step.tasks.get(i as usize).is_some_and(|t| t.run > 0);
            let wait = |i: u32| Wait { since: since(i), has_run: has_run(i) };
            let waiting: Waiting = step.waiting().map(|i| (i, wait(i))).collect();
            self.waiting.insert(key, waiting);
        }
    }

    fn drop_job(&mut self, id: JobId) {
        self.jobs.remove(&id);
        self.recurring.remove(&id);
    }

    /// Returns the task of a step that has waited longest, and since when.
    pub(crate) fn longest(&self, step: &StepKey) -> Option<(TaskKey, Millis)> {
        self.of_step(step).min_by_key(|(_, since)| *since)
    }

    /// Returns since when the longest-waiting task of a step has waited.
    pub(crate) fn since(&self, step: &StepKey) -> Option<Millis> {
        self.longest(step).map(|(_, since)| since)
    }

    /// Returns the steps with waiting tasks, and since when the longest-waiting one has waited.
    pub(crate) fn steps(&self) -> impl Iterator<Item = (&StepKey, Millis)> {
        self.waiting.keys().filter_map(|key| Some((key, self.longest(key)?.1)))
    }

    /// Returns the steps with overdue tasks, and when the first of each became overdue.
    pub(crate) fn overdue_steps(&self, now: Millis) -> impl Iterator<Item = (&StepKey, Millis)> {
        let first = |waiting: &Waiting| waiting.values().map(Wait::overdue_from).min();
        let steps = self.waiting.iter().filter_map(move |(key, w)| Some((key, first(w)?)));
        steps.filter(move |(_, from)| *from <= now)
    }

    /// Returns whether a task is overdue.
    pub(crate) fn is_overdue(&self, now: Millis, task: &TaskKey) -> bool {
        let wait = self.waiting.get(&task.step).and_then(|w| w.get(&task.index));
        wait.is_some_and(|w| w.overdue_from() <= now)
    }

    /// Returns the waiting tasks, and since when.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = (TaskKey, Millis)> {
        self.waiting.keys().flat_map(|step| self.of_step(step))
    }

    /// Returns the waiting tasks of a step, and since when.
    pub(crate) fn of_step(&self, step: &StepKey) -> impl Iterator<Item = (TaskKey, Millis)> {
        let task = |index: &u32| TaskKey { step: *step, index: *index };
        let waiting = self.waiting.get(step).into_iter().flatten();
        waiting.map(move |(index, wait)| (task(index), wait.since))
    }
}

/// Returns those of a job's given steps whose round is due.
fn due_steps(m: Moment, job: JobId, of: &Job, steps: &[u32]) -> impl Iterator<Item = StepKey> {
    let rounds = 0..of.spec.round_count();
    let due = rounds.take_while(move |round| m.wall >= of.spec.due(*round));
    due.flat_map(move |round| steps.iter().map(move |step| StepKey { job, round, step: *step }))
}
