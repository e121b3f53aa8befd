//! The replicated state machine.

mod encoding;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use model::{Name, Size};
use serde::{Deserialize, Serialize};

use crate::{
    Command, CrashLedger, CrashSuspects, Document, End, EndKind, Job, JobId, JobState, LossRecords,
    MAX_CRASHES, MAX_SHARED_CRASHES, MAX_TOTAL_CRASHES, Ownership, RecordedUsage, Round, StepKey,
    StepSpec, StepState, TaskKey, TaskState, UncertainLosses, Withdrawals, Worker, WorkerId,
};

/// A step whose dependencies are done and that has tasks waiting for a worker. The ordering is the
/// order in which such steps are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OpenStep {
    /// The job's priority; zero is the most urgent.
    pub priority: u8,
    /// The job's position in the order of acceptance.
    pub order: u64,
    /// The step.
    pub key: StepKey,
}

/// Every job, run and worker recorded in the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    document: Document,
    jobs: BTreeMap<JobId, Job>,
    workers: BTreeMap<WorkerId, Worker>,
    open: BTreeSet<OpenStep>,
    accepted: u64,
    /// Encoded after the fields above, so that snapshots written before this field existed still decode.
    #[serde(skip)]
    crashes: CrashLedger,
    /// Encoded after `crashes`, for the same reason; its recorded usage after all others, and only if there is one.
    #[serde(skip)]
    ownership: Ownership,
    /// Encoded after `ownership`, for the same reason, and only if it is not empty.
    #[serde(skip)]
    uncertain_losses: UncertainLosses,
    /// The availability zones that are drained. Encoded after `uncertain_losses`, for the same reason, and only if it
    /// is not empty.
    #[serde(skip)]
    drained_zones: BTreeSet<Name>,
    /// The machines whose speed differs from the usual one, in thousandths of it. Encoded after `drained_zones`, for
    /// the same reason, and only if it is not empty.
    #[serde(skip)]
    machine_speeds: BTreeMap<Name, u32>,
    /// Encoded after `machine_speeds`, for the same reason, and only if it is not empty.
    #[serde(skip)]
    loss_records: LossRecords,
    /// Encoded after `loss_records`, for the same reason, and only once an id was withdrawn.
    #[serde(skip)]
    withdrawals: Withdrawals,
    /// The sum of the footprints of all jobs, in bytes. It follows from `jobs`.
    #[serde(skip)]
    job_memory: u64,
}

/// The usual speed of a machine in [`Command::SpeedsLearned`].
pub const USUAL_SPEED: u32 = 1_000;

impl ReplicatedState {
    /// Returns the configuration in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// Returns an estimate of the memory that all jobs take, in bytes.
    pub fn job_memory(&self) -> u64 {
        self.job_memory
    }

    /// Returns a job.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns all workers.
    pub fn workers(&self) -> &BTreeMap<WorkerId, Worker> {
        &self.workers
    }

    /// Returns a worker.
    pub fn worker(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns the steps that have waiting tasks, most urgent first.
    pub fn open(&self) -> &BTreeSet<OpenStep> {
        &self.open
    }

    /// Returns the specification of a step.
    pub fn step_spec(&self, key: &StepKey) -> Option<&StepSpec> {
        self.jobs.get(&key.job)?.spec.steps.get(key.step as usize)
    }

    /// Returns the progress of a step.
    pub fn step(&self, key: &StepKey) -> Option<&StepState> {
        self.jobs.get(&key.job)?.rounds.get(key.round as usize)?.steps.get(key.step as usize)
    }

    /// Returns the progress of a task.
    pub fn task(&self, key: &TaskKey) -> Option<&TaskState> {
        self.step(&key.step)?.tasks.get(key.index as usize)
    }

    /// Returns the crashes attributed to tasks.
    pub fn crashes(&self) -> &CrashLedger {
        &self.crashes
    }

    /// Returns the number of lost runs of a task that do not count against it, as coincidence may explain them.
    pub fn uncounted_losses(&self, suspect: &TaskKey) -> u16 {
        let recorded = self.loss_records.of(suspect).len() as u16;
        let uncounted = recorded.saturating_sub(self.crashes.crashes(suspect));
        uncounted.max(self.uncertain_losses.losses(suspect))
    }

    /// Returns the lost runs of each task.
    pub fn loss_records(&self) -> &LossRecords {
        &self.loss_records
    }

    /// Returns whether a task must wait until it is known whether workers that lost contact have crashed under it.
    pub fn must_wait(&self, suspect: &TaskKey) -> bool {
        self.crashes.must_wait_with(suspect, self.uncounted_losses(suspect))
    }

    /// Returns the availability zones that are drained.
    pub fn drained_zones(&self) -> &BTreeSet<Name> {
        &self.drained_zones
    }

    /// Returns whether nothing new may be started on a worker because its availability zone is drained.
    pub fn is_drained(&self, worker: &WorkerId) -> bool {
        !self.drained_zones.is_empty()
            && self.workers.get(worker).is_some_and(|w| self.drained_zones.contains(&w.info.zone))
    }

    /// Returns the ids of jobs that were cancelled without having been accepted.
    pub fn withdrawals(&self) -> &Withdrawals {
        &self.withdrawals
    }

    /// Returns the machines whose speed is known to differ from the usual one of their service, in thousandths of it.
    pub fn machine_speeds(&self) -> &BTreeMap<Name, u32> {
        &self.machine_speeds
    }

    /// Returns which organisation each job belongs to, and what each organisation has running.
    pub fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Returns the key under which the crash ledger records a task: the first task of its gang, or the task itself.
    pub fn suspect_key(&self, task: &TaskKey) -> TaskKey {
        match self.step_spec(&task.step).is_some_and(|s| s.gang) {
            true => TaskKey { index: 0, ..*task },
            false => *task,
        }
    }

    /// Returns the jobs with runs on a worker, or with runs whose lease lapsed there while it is unknown whether the
    /// worker survived.
    pub fn jobs_on(&self, worker: &WorkerId) -> BTreeSet<JobId> {
        let runs = self.workers.get(worker).into_iter().flat_map(|w| w.runs.keys());
        let lapsed = self.crashes.lapsed_on(worker);
        runs.chain(lapsed).map(|task| task.step.job).collect()
    }

    /// Returns whether a run should still be alive: its task is not done and its job has not ended.
    pub fn is_wanted(&self, key: &TaskKey, run: u32) -> bool {
        let is_active = self.jobs.get(&key.step.job).is_some_and(|j| !j.state.is_final());
        is_active && self.task(key).is_some_and(|t| t.run == run && t.at.is_some() && !t.done)
    }

    /// Applies a command. Every member applies the same commands in the same order, so the result must
    /// depend on nothing but the command and the current state.
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
                self.end_incarnation(worker, saved);
            }
            Command::Lapsed { worker, saved } => self.release_all(worker, saved),
            Command::WorkerCrashed { worker, saved, crash_suspects, at } => {
                let lapsed = self.end_incarnation(worker, saved);
                self.count_crash(&lapsed, *at);
                self.count_crash(&self.by_suspect_keys(crash_suspects), *at);
            }
            Command::WorkerLost { worker, at } => self.remove_lost_worker(worker, *at),
            Command::CrashSuspected { worker, crash_suspects } => {
                self.crashes.record_lapse(worker, self.by_suspect_keys(crash_suspects));
            }
            Command::WorkerSurvived { worker } => {
                self.crashes.take_lapsed(worker);
            }
            Command::Resized { worker, capacity } => self.resize(worker, *capacity),
            Command::SuspectsCleared { tasks } => tasks.iter().for_each(|t| self.clear_suspect(t)),
            Command::Started { worker, runs } => {
                runs.iter().for_each(|(task, run)| self.start(worker, task, *run));
            }
            Command::NotStarted { worker, runs } => {
                runs.iter().for_each(|(task, run)| self.undo_start(worker, task, *run));
            }
            Command::Ended { worker, ends, at } => {
                ends.iter().for_each(|end| self.end_run(worker, end, *at));
            }
            Command::Forget { before } => self.forget(*before),
            Command::AssignOwner { job, .. } if self.jobs.contains_key(job) => {}
            Command::AssignOwner { job, organisation } => self.ownership.assign(*job, organisation),
            Command::LossesUncertain { losses } => {
                losses.iter().for_each(|l| self.uncertain_losses.record(l))
            }
            Command::LossesRecorded { losses } => {
                losses.iter().for_each(|(task, loss)| self.loss_records.record(*task, *loss));
            }
            Command::OrderTime { at } => self.loss_records.set_order_time(*at),
            Command::DrainZone { zone, drained: true } => {
                self.drained_zones.insert(zone.clone());
            }
            Command::DrainZone { zone, drained: false } => {
                self.drained_zones.remove(zone);
            }
            Command::UsageRecorded { at, usage } => {
                let usage = usage.iter().cloned().collect();
                self.ownership.record_usage(RecordedUsage { at: *at, usage });
            }
            Command::Withdraw { id } if self.jobs.contains_key(id) => {}
            Command::Withdraw { id } => self.withdrawals.add(*id),
            Command::ForgetWithdrawn { up_to } => self.withdrawals.forget(*up_to),
            Command::SpeedsLearned { speeds } => {
                speeds.iter().for_each(|(machine, speed)| self.set_machine_speed(machine, *speed));
            }
        }
    }

    fn set_machine_speed(&mut self, machine: &Name, speed: u32) {
        match speed == USUAL_SPEED {
            true => self.machine_speeds.remove(machine),
            false => self.machine_speeds.insert(machine.clone(), speed),
        };
    }

    fn clear_suspect(&mut self, task: &TaskKey) {
        self.crashes.clear(task);
        self.uncertain_losses.clear(task);
        self.loss_records.clear(task);
    }

    fn accept(&mut self, id: JobId, job: Job) {
        self.accepted = job.order;
        let at = job.accepted_at;
        self.withdrawals.remove(id);
        self.job_memory += job.spec.footprint();
        self.jobs.insert(id, job);
        self.update_open_steps(id, at);
    }

    fn forget(&mut self, before: Millis) {
        let keep = |j: &Job| j.ended_at.is_none_or(|t| t >= before) || j.placed() > 0;
        let mut forgotten = 0;
        self.jobs.retain(|_, j| {
            let kept = keep(j);
            forgotten += if kept { 0 } else { j.spec.footprint() };
            kept
        });
        self.job_memory -= forgotten;
        self.crashes.retain(|id| self.jobs.contains_key(&id));
        self.uncertain_losses.retain(|id| self.jobs.contains_key(&id));
        self.loss_records.retain(|id| self.jobs.contains_key(&id));
        self.ownership.retain(|id| self.jobs.contains_key(&id));
    }

    fn resize(&mut self, worker: &WorkerId, capacity: Size) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.info.capacity = capacity;
        }
    }

    fn start(&mut self, worker: &WorkerId, key: &TaskKey, run: u32) {
        let Some(spec) = self.step_spec(&key.step) else { return };
        let (required, size) = (spec.required_capacity(), spec.size);
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let Some(step) = step_mut(job, &key.step) else { return };
        let Some(task) = step.tasks.get_mut(key.index as usize) else { return };
        let Some(host) = self.workers.get_mut(worker) else { return };
        debug_assert!(task.at.is_none(), "a task has one run at a time");
        task.at = Some(worker.clone());
        task.run = run;
        step.placed += 1;
        host.used = host.used.plus(&required);
        host.runs.insert(*key, run);
        self.loss_records.start(*key);
        self.ownership.add_run(key.step.job, &size);
        if job.state == JobState::Queued {
            job.state = JobState::Running;
        }
        self.update_open_steps(key.step.job, Millis::ZERO);
    }

    /// Removes a run from its worker and frees its capacity; returns whether the run was there.
    fn release(&mut self, worker: &WorkerId, key: &TaskKey, run: u32) -> bool {
        let spec = self.step_spec(&key.step);
        let required = spec.map_or(Size::ZERO, StepSpec::required_capacity);
        let size = spec.map_or(Size::ZERO, |s| s.size);
        let Some(host) = self.workers.get_mut(worker) else { return false };
        if host.runs.get(key) != Some(&run) {
            return false;
        }
        host.runs.remove(key);
        host.used = host.used.minus(&required);
        self.loss_records.release(key);
        self.ownership.remove_run(key.step.job, &size);
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return true };
        let Some(step) = step_mut(job, &key.step) else { return true };
        step.tasks[key.index as usize].at = None;
        step.placed -= 1;
        true
    }

    /// Removes a run that never started from its worker, so that its task waits again.
    fn undo_start(&mut self, worker: &WorkerId, key: &TaskKey, run: u32) {
        if self.release(worker, key, run) {
            self.update_open_steps(key.step.job, Millis::ZERO);
        }
    }

    /// Removes a worker incarnation with all its runs, and returns the suspects among the runs that had lapsed there.
    fn end_incarnation(
        &mut self,
        worker: &WorkerId,
        saved: &[(TaskKey, Arc<str>)],
    ) -> CrashSuspects {
        self.release_all(worker, saved);
        self.workers.remove(worker);
        self.crashes.take_lapsed(worker)
    }

    /// Removes a worker that has been out of contact for so long that it counts as lost.
    fn remove_lost_worker(&mut self, worker: &WorkerId, at: Millis) {
        let lapsed = self.end_incarnation(worker, &[]);
        match lapsed.silent_alone {
            true => self.count_crash(&lapsed, at),
            // The worker may only be partitioned, so no task is given up for it.
            false => lapsed.runs().for_each(|(task, run)| self.mark_suspect(task, *run)),
        }
    }

    fn release_all(&mut self, worker: &WorkerId, saved: &[(TaskKey, Arc<str>)]) {
        let Some(host) = self.workers.get(worker) else { return };
        let runs: Vec<(TaskKey, u32)> = host.runs.iter().map(|(k, r)| (*k, *r)).collect();
        for (key, checkpoint) in saved {
            self.save_checkpoint(key, checkpoint);
        }
        for (key, run) in runs {
            self.release(worker, &key, run);
            self.update_open_steps(key.step.job, Millis::ZERO);
        }
    }

    /// Returns the same suspects with each task replaced by its suspect key, so that a gang counts once.
    fn by_suspect_keys(&self, crash_suspects: &CrashSuspects) -> CrashSuspects {
        let to_suspect_keys = |runs: &[(TaskKey, u32)]| {
            let runs: BTreeSet<_> =
                runs.iter().map(|(t, run)| (self.suspect_key(t), *run)).collect();
            runs.into_iter().collect()
        };
        let (primary, secondary) =
            (to_suspect_keys(&crash_suspects.primary), to_suspect_keys(&crash_suspects.secondary));
        CrashSuspects {
            primary,
            secondary,
            primary_young: crash_suspects.primary_young,
            silent_alone: crash_suspects.silent_alone,
        }
    }

    /// Counts a crash against the tasks that may have caused it.
    fn count_crash(&mut self, crash_suspects: &CrashSuspects, at: Millis) {
        // Several runs of a task may count at once.
        let tasks: BTreeSet<_> = crash_suspects.primary.iter().map(|(task, _)| task).collect();
        let max_crashes = match tasks.len() {
            1 => MAX_CRASHES,
            _ => MAX_SHARED_CRASHES,
        };
        for (task, run) in &crash_suspects.primary {
            self.count_task_crash((task, *run), crash_suspects.primary_young, max_crashes, at);
        }
        for (task, run) in &crash_suspects.secondary {
            self.count_task_crash((task, *run), false, MAX_TOTAL_CRASHES, at);
        }
    }

    /// Counts a crash against a task, and fails its job once there are `max_crashes` of them.
    fn count_task_crash(
        &mut self,
        (task, run): (&TaskKey, u32),
        young: bool,
        max_crashes: u16,
        at: Millis,
    ) {
        if self.may_be_faulty(task) && self.crashes.record_crash(*task, run, young) >= max_crashes {
            self.end_job(task.step.job, JobState::Failed, at);
        }
    }

    /// Marks a task under which a worker may have crashed as a suspect, unless a crash counts against it already.
    fn mark_suspect(&mut self, task: &TaskKey, run: u32) {
        if self.may_be_faulty(task) && self.crashes.crashes(task) == 0 {
            self.crashes.record_crash(*task, run, false);
        }
    }

    fn may_be_faulty(&self, task: &TaskKey) -> bool {
        let is_active = self.jobs.get(&task.step.job).is_some_and(|j| !j.state.is_final());
        is_active && self.task(task).is_some_and(|t| !t.done)
    }

    fn save_checkpoint(&mut self, key: &TaskKey, checkpoint: &Arc<str>) {
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
        let Some(host) = self.workers.get_mut(worker) else { return };
        if end.number <= host.last_end {
            return;
        }
        host.last_end = end.number;
        let current = self.release(worker, &end.task, end.run);
        if current {
            self.save_checkpoint(&end.task, &end.checkpoint);
        }
        match end.kind {
            EndKind::Done => {
                self.task_done(&end.task, current);
                self.clear_suspect(&self.suspect_key(&end.task));
            }
            EndKind::Failed => self.task_failed(&end.task, end.run, at),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
        self.update_open_steps(end.task.step.job, at);
    }

    /// Marks a task as done. This includes a run that was believed lost but completed after all.
    fn task_done(&mut self, key: &TaskKey, current: bool) {
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let Some(spec) = job.spec.steps.get(key.step.step as usize) else { return };
        let (gang, long_running) = (spec.gang, spec.long_running);
        if long_running || (gang && !current) {
            return;
        }
        let Some(step) = step_mut(job, &key.step) else { return };
        match gang {
            // A gang is done as soon as one member reports that it is done.
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
        let (gang, long_running, max_attempts) = (spec.gang, spec.long_running, job.max_attempts);
        let Some(step) = step_mut(job, &key.step) else { return };
        let counted = gang && step.last_failed_run >= run;
        step.last_failed_run = step.last_failed_run.max(run);
        let index = if gang { 0 } else { key.index as usize };
        let Some(task) = step.tasks.get_mut(index) else { return };
        if !counted {
            task.failed = task.failed.saturating_add(1);
        }
        if !long_running && !task.done && task.failed >= max_attempts {
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
        self.update_open_steps(id, at);
    }

    /// Updates the open steps of a job, and completes the job once all its tasks are done.
    fn update_open_steps(&mut self, id: JobId, at: Millis) {
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
                // A gang is placed again only after every task of its previous run has ended.
                let may_place = !spec.gang || s.placed == 0;
                let waits = s.waiting().next().is_some();
                let open =
                    !job.state.is_final() && waits && may_place && r.is_open(&spec.depends_on);
                if open && self.open.insert(entry) {
                    self.ownership.add_open_step(id);
                } else if !open && self.open.remove(&entry) {
                    self.ownership.remove_open_step(id);
                }
            }
        }
    }
}

fn step_mut<'a>(job: &'a mut Job, key: &StepKey) -> Option<&'a mut StepState> {
    job.rounds.get_mut(key.round as usize)?.steps.get_mut(key.step as usize)
}
