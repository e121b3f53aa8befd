//! The state machine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use errors::{Error, Result};
use model::Size;
use serde::{Deserialize, Serialize};

use crate::{
    Command, CrashLedger, CrashSuspects, Document, End, EndKind, Job, JobId, JobState, MAX_CRASHES,
    MAX_SHARED_CRASHES, MAX_TOTAL_CRASHES, Ownership, Round, StepKey, StepSpec, StepState, TaskKey,
    TaskState, UncertainLosses, Worker, WorkerId,
};

/// A step with tasks that wait for a worker and that nothing earlier holds back, in the order in
/// which such steps are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OpenStep {
    /// The job's priority; zero comes first.
    pub priority: u8,
    /// The job's place in the order of acceptance.
    pub order: u64,
    /// The step.
    pub key: StepKey,
}

/// Every job, run and worker that the log tells of.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    document: Document,
    jobs: BTreeMap<JobId, Job>,
    workers: BTreeMap<WorkerId, Worker>,
    open: BTreeSet<OpenStep>,
    accepted: u64,
    /// Written behind the rest, so that books from before there were any are still read.
    #[serde(skip)]
    crashes: CrashLedger,
    /// Written behind those, for the same reason.
    #[serde(skip)]
    ownership: Ownership,
    /// Written behind that, for the same reason, if there are any.
    #[serde(skip)]
    uncertain_losses: UncertainLosses,
}

impl ReplicatedState {
    /// Reads a book back from a snapshot; no bytes give an empty one.
    ///
    /// # Errors
    /// [`Error::Decode`] if the bytes are no book.
    pub fn decode(bytes: &[u8]) -> Result<ReplicatedState> {
        if bytes.is_empty() {
            return Ok(ReplicatedState::default());
        }
        let fault = |e: postcard::Error| Error::Decode { what: "a book", reason: e.to_string() };
        let (mut replicated, rest) =
            postcard::take_from_bytes::<ReplicatedState>(bytes).map_err(fault)?;
        if rest.is_empty() {
            return Ok(replicated);
        }
        let (crashes, rest) = postcard::take_from_bytes(rest).map_err(fault)?;
        replicated.crashes = crashes;
        if rest.is_empty() {
            return Ok(replicated);
        }
        let (ownership, rest) = postcard::take_from_bytes(rest).map_err(fault)?;
        replicated.ownership = ownership;
        if !rest.is_empty() {
            replicated.uncertain_losses = postcard::from_bytes(rest).map_err(fault)?;
        }
        Ok(replicated)
    }

    /// Writes the book for a snapshot.
    ///
    /// # Errors
    /// [`Error::Decode`] if it cannot be written.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let fault = |e: postcard::Error| Error::Decode { what: "a book", reason: e.to_string() };
        let bytes = postcard::to_allocvec(self).map_err(fault)?;
        let bytes = postcard::to_extend(&self.crashes, bytes).map_err(fault)?;
        let bytes = postcard::to_extend(&self.ownership, bytes).map_err(fault)?;
        match self.uncertain_losses.is_empty() {
            true => Ok(bytes),
            false => postcard::to_extend(&self.uncertain_losses, bytes).map_err(fault),
        }
    }

    /// Gives the configuration in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Gives the jobs.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// Gives a job.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Gives the workers.
    pub fn workers(&self) -> &BTreeMap<WorkerId, Worker> {
        &self.workers
    }

    /// Gives a worker.
    pub fn worker(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Gives the steps that have waiting tasks, the most urgent first.
    pub fn open(&self) -> &BTreeSet<OpenStep> {
        &self.open
    }

    /// Gives what a step asks for.
    pub fn step_spec(&self, key: &StepKey) -> Option<&StepSpec> {
        self.jobs.get(&key.job)?.spec.steps.get(key.step as usize)
    }

    /// Gives how far a step is.
    pub fn step(&self, key: &StepKey) -> Option<&StepState> {
        self.jobs.get(&key.job)?.rounds.get(key.round as usize)?.steps.get(key.step as usize)
    }

    /// Gives how far a task is.
    pub fn task(&self, key: &TaskKey) -> Option<&TaskState> {
        self.step(&key.step)?.tasks.get(key.index as usize)
    }

    /// Gives what is held against tasks under which workers have crashed.
    pub fn crashes(&self) -> &CrashLedger {
        &self.crashes
    }

    /// Gives the losses that were not counted against tasks, since chance may have hit them.
    pub fn uncertain_losses(&self) -> &UncertainLosses {
        &self.uncertain_losses
    }

    /// Tells whether a task must wait until more is known of workers that it may have crashed.
    pub fn must_wait(&self, suspect: &TaskKey) -> bool {
        self.crashes.must_wait_with(suspect, self.uncertain_losses.losses(suspect))
    }

    /// Gives which organisations jobs belong to, and what these have running.
    pub fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Gives the task by which the ledger of crashes holds a task: the first one of its gang, or itself.
    pub fn suspect_key(&self, task: &TaskKey) -> TaskKey {
        match self.step_spec(&task.step).is_some_and(|s| s.gang) {
            true => TaskKey { index: 0, ..*task },
            false => *task,
        }
    }

    /// Gives the jobs with runs on a worker, or with runs that have lapsed there while its fate is not known.
    pub fn jobs_on(&self, worker: &WorkerId) -> BTreeSet<JobId> {
        let runs = self.workers.get(worker).into_iter().flat_map(|w| w.runs.keys());
        let lapsed = self.crashes.lapsed_on(worker);
        runs.chain(lapsed).map(|task| task.step.job).collect()
    }

    /// Tells whether a run should still be alive: its task is not done and its job goes on.
    pub fn is_wanted(&self, key: &TaskKey, run: u32) -> bool {
        let goes_on = self.jobs.get(&key.step.job).is_some_and(|j| !j.state.is_final());
        goes_on && self.task(key).is_some_and(|t| t.run == run && t.at.is_some() && !t.done)
    }

    /// Takes in a command. Every member applies the same commands in the same order, so the outcome
    /// depends on nothing else.
    pub fn apply(&mut self, command: &Command) {
        match command {
            Command::Configure(document) => {
                if document.version > self.document.version {
                    self.document = document.clone();
                }
            }
            Command::Submit { id, .. } if self.jobs.contains_key(id) => {}
            Command::Submit { id, at, queue, service, priority, max_attempts, spec } => {
                let job = Job {
                    order: self.accepted + 1,
                    accepted_at: *at,
                    ended_at: None,
                    queue: queue.clone(),
                    service: service.clone(),
                    priority: *priority,
                    max_attempts: *max_attempts,
                    spec: spec.clone(),
                    state: JobState::Queued,
                    rounds: (0..spec.round_count()).map(|_| Round::of(spec)).collect(),
                };
                self.accept(*id, job);
            }
            Command::Cancel { id, at } => self.end_job(*id, JobState::Cancelled, *at),
            Command::WorkerJoined(info) => {
                let fresh = || Worker::new(info.clone());
                self.workers.entry(info.id.clone()).or_insert_with(fresh);
            }
            Command::WorkerGone { worker, saved } => {
                self.end_life(worker, saved);
            }
            Command::Lapsed { worker, saved } => self.release_all(worker, saved),
            Command::WorkerCrashed { worker, saved, crash_suspects, at } => {
                let lapsed = self.end_life(worker, saved);
                self.count_crash(&lapsed, *at);
                self.count_crash(&self.by_suspects(crash_suspects), *at);
            }
            Command::WorkerLost { worker, at } => self.lose(worker, *at),
            Command::CrashSuspected { worker, crash_suspects } => {
                self.crashes.lapse(worker, self.by_suspects(crash_suspects));
            }
            Command::WorkerSurvived { worker } => {
                self.crashes.settle(worker);
            }
            Command::Resized { worker, capacity } => self.resize(worker, *capacity),
            Command::SuspectsCleared { tasks } => tasks.iter().for_each(|t| self.clear_suspect(t)),
            Command::Started { worker, runs } => {
                runs.iter().for_each(|(task, run)| self.start(worker, task, *run));
            }
            Command::NotStarted { worker, runs } => {
                runs.iter().for_each(|(task, run)| self.take_back(worker, task, *run));
            }
            Command::Ended { worker, ends, at } => {
                ends.iter().for_each(|end| self.end_run(worker, end, *at));
            }
            Command::Forget { before } => self.forget(*before),
            Command::AssignOwner { job, .. } if self.jobs.contains_key(job) => {}
            Command::AssignOwner { job, organisation } => self.ownership.assign(*job, organisation),
            Command::LossesUncertain { losses } => {
                losses.iter().for_each(|l| self.uncertain_losses.add(l))
            }
        }
    }

    fn clear_suspect(&mut self, task: &TaskKey) {
        self.crashes.clear(task);
        self.uncertain_losses.clear(task);
    }

    fn accept(&mut self, id: JobId, job: Job) {
        self.accepted = job.order;
        let at = job.accepted_at;
        self.jobs.insert(id, job);
        self.refresh(id, at);
    }

    fn forget(&mut self, before: Millis) {
        let keep = |j: &Job| j.ended_at.is_none_or(|t| t >= before) || j.placed() > 0;
        self.jobs.retain(|_, j| keep(j));
        self.crashes.retain(|id| self.jobs.contains_key(&id));
        self.uncertain_losses.retain(|id| self.jobs.contains_key(&id));
        self.ownership.retain(|id| self.jobs.contains_key(&id));
    }

    fn resize(&mut self, worker: &WorkerId, capacity: Size) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.info.capacity = capacity;
        }
    }

    fn start(&mut self, worker: &WorkerId, key: &TaskKey, run: u32) {
        let Some(spec) = self.step_spec(&key.step) else { return };
        let (room, size) = (spec.required_capacity(), spec.size);
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let Some(step) = step_mut(job, &key.step) else { return };
        let Some(task) = step.tasks.get_mut(key.index as usize) else { return };
        let Some(place) = self.workers.get_mut(worker) else { return };
        debug_assert!(task.at.is_none(), "a task has one run at a time");
        task.at = Some(worker.clone());
        task.run = run;
        step.placed += 1;
        place.used = place.used.plus(&room);
        place.runs.insert(*key, run);
        self.ownership.add_run(key.step.job, &size);
        if job.state == JobState::Queued {
            job.state = JobState::Running;
        }
        self.refresh(key.step.job, Millis::ZERO);
    }

    /// Takes a run off its worker; tells whether it was there.
    fn release(&mut self, worker: &WorkerId, key: &TaskKey, run: u32) -> bool {
        let spec = self.step_spec(&key.step);
        let room = spec.map_or(Size::ZERO, StepSpec::required_capacity);
        let size = spec.map_or(Size::ZERO, |s| s.size);
        let Some(place) = self.workers.get_mut(worker) else { return false };
        if place.runs.get(key) != Some(&run) {
            return false;
        }
        place.runs.remove(key);
        place.used = place.used.minus(&room);
        self.ownership.remove_run(key.step.job, &size);
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return true };
        let Some(step) = step_mut(job, &key.step) else { return true };
        step.tasks[key.index as usize].at = None;
        step.placed -= 1;
        true
    }

    /// Takes a run that did not begin off its worker, so that its task waits again.
    fn take_back(&mut self, worker: &WorkerId, key: &TaskKey, run: u32) {
        if self.release(worker, key, run) {
            self.refresh(key.step.job, Millis::ZERO);
        }
    }

    /// Ends the life of a worker with all that ran there, and gives its runs that had lapsed.
    fn end_life(&mut self, worker: &WorkerId, saved: &[(TaskKey, Arc<str>)]) -> CrashSuspects {
        self.release_all(worker, saved);
        self.workers.remove(worker);
        self.crashes.settle(worker)
    }

    /// Ends the life of a worker that was not heard of for so long that it counts as lost.
    fn lose(&mut self, worker: &WorkerId, at: Millis) {
        let lapsed = self.end_life(worker, &[]);
        match lapsed.silent_alone {
            true => self.count_crash(&lapsed, at),
            // It may be cut off yet, so no task is given up for it.
            false => lapsed.runs().for_each(|(task, run)| self.suspect_run(task, *run)),
        }
    }

    fn release_all(&mut self, worker: &WorkerId, saved: &[(TaskKey, Arc<str>)]) {
        let Some(place) = self.workers.get(worker) else { return };
        let runs: Vec<(TaskKey, u32)> = place.runs.iter().map(|(k, r)| (*k, *r)).collect();
        for (key, checkpoint) in saved {
            self.save(key, checkpoint);
        }
        for (key, run) in runs {
            self.release(worker, &key, run);
            self.refresh(key.step.job, Millis::ZERO);
        }
    }

    /// Gives the same with each gang by its first task.
    fn by_suspects(&self, crash_suspects: &CrashSuspects) -> CrashSuspects {
        let by_suspect = |runs: &[(TaskKey, u32)]| {
            let runs: BTreeSet<_> =
                runs.iter().map(|(t, run)| (self.suspect_key(t), *run)).collect();
            runs.into_iter().collect()
        };
        let (primary, secondary) =
            (by_suspect(&crash_suspects.primary), by_suspect(&crash_suspects.secondary));
        CrashSuspects {
            primary,
            secondary,
            primary_young: crash_suspects.primary_young,
            silent_alone: crash_suspects.silent_alone,
        }
    }

    /// Counts a crash against the tasks that it may be the fault of.
    fn count_crash(&mut self, crash_suspects: &CrashSuspects, at: Millis) {
        let most = match crash_suspects.primary.len() {
            1 => MAX_CRASHES,
            _ => MAX_SHARED_CRASHES,
        };
        for (task, run) in &crash_suspects.primary {
            self.crashed_under((task, *run), crash_suspects.primary_young, most, at);
        }
        for (task, run) in &crash_suspects.secondary {
            self.crashed_under((task, *run), false, MAX_TOTAL_CRASHES, at);
        }
    }

    /// Counts a crash against a task, and gives its job up once there are as many as `most`.
    fn crashed_under(&mut self, (task, run): (&TaskKey, u32), young: bool, most: u16, at: Millis) {
        if self.may_be_at_fault(task) && self.crashes.count(*task, run, young) >= most {
            self.end_job(task.step.job, JobState::Failed, at);
        }
    }

    /// Suspects a task under which a worker may have crashed.
    fn suspect_run(&mut self, task: &TaskKey, run: u32) {
        if self.may_be_at_fault(task) && self.crashes.crashes(task) == 0 {
            self.crashes.count(*task, run, false);
        }
    }

    fn may_be_at_fault(&self, task: &TaskKey) -> bool {
        let goes_on = self.jobs.get(&task.step.job).is_some_and(|j| !j.state.is_final());
        goes_on && self.task(task).is_some_and(|t| !t.done)
    }

    fn save(&mut self, key: &TaskKey, checkpoint: &Arc<str>) {
        if checkpoint.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let Some(step) = step_mut(job, &key.step) else { return };
        if let Some(task) = step.tasks.get_mut(key.index as usize) {
            task.checkpoint = checkpoint.clone();
        }
    }

    fn end_run(&mut self, worker: &WorkerId, end: &End, at: Millis) {
        let Some(place) = self.workers.get_mut(worker) else { return };
        if end.number <= place.last_end {
            return;
        }
        place.last_end = end.number;
        let current = self.release(worker, &end.task, end.run);
        if current {
            self.save(&end.task, &end.checkpoint);
        }
        match end.kind {
            EndKind::Done => {
                self.task_done(&end.task, current);
                self.clear_suspect(&self.suspect_key(&end.task));
            }
            EndKind::Failed => self.task_failed(&end.task, end.run, at),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
        self.refresh(end.task.step.job, at);
    }

    /// A run that was believed lost may have done its work all the same; its end counts.
    fn task_done(&mut self, key: &TaskKey, current: bool) {
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let Some(spec) = job.spec.steps.get(key.step.step as usize) else { return };
        let (gang, lasts) = (spec.gang, spec.long_running);
        if lasts || (gang && !current) {
            return;
        }
        let Some(step) = step_mut(job, &key.step) else { return };
        match gang {
            // One member's end stands for all of them.
            true => step.tasks.iter_mut().for_each(|t| t.done = true),
            false => {
                if let Some(task) = step.tasks.get_mut(key.index as usize) {
                    task.done = true;
                }
            }
        }
        step.done = step.tasks.iter().filter(|t| t.done).count() as u32;
    }

    fn task_failed(&mut self, key: &TaskKey, run: u32, at: Millis) {
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let Some(spec) = job.spec.steps.get(key.step.step as usize) else { return };
        let (gang, lasts, most) = (spec.gang, spec.long_running, job.max_attempts);
        let Some(step) = step_mut(job, &key.step) else { return };
        let counted = gang && step.last_failed_run >= run;
        step.last_failed_run = step.last_failed_run.max(run);
        let index = if gang { 0 } else { key.index as usize };
        let Some(task) = step.tasks.get_mut(index) else { return };
        if !counted {
            task.failed = task.failed.saturating_add(1);
        }
        if !lasts && !task.done && task.failed >= most {
            self.end_job(key.step.job, JobState::Failed, at);
        }
    }

    fn end_job(&mut self, id: JobId, state: JobState, at: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        job.ended_at = Some(at);
        self.refresh(id, at);
    }

    /// Brings the open steps of a job up to date, and ends it once all is done.
    fn refresh(&mut self, id: JobId, at: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !job.state.is_final() && job.is_done() {
            job.state = JobState::Completed;
            job.ended_at = Some(at);
        }
        let (priority, order) = (job.priority, job.order);
        for (round, r) in (0..).zip(&job.rounds) {
            for (step, s) in (0..).zip(&r.steps) {
                let spec = &job.spec.steps[step as usize];
                let key = StepKey { job: id, round, step };
                let entry = OpenStep { priority, order, key };
                // A gang waits until its last run is wholly gone.
                let may_place = !spec.gang || s.placed == 0;
                let waits = s.waiting().next().is_some();
                let open =
                    !job.state.is_final() && waits && may_place && r.is_open(&spec.depends_on);
                match open {
                    true => self.open.insert(entry),
                    false => self.open.remove(&entry),
                };
            }
        }
    }
}

fn step_mut<'a>(job: &'a mut Job, key: &StepKey) -> Option<&'a mut StepState> {
    job.rounds.get_mut(key.round as usize)?.steps.get_mut(key.step as usize)
}
