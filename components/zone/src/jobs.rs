//! Taking in what the cell says of jobs and their tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cell::{Job, TaskEnd, TaskOutcome};
use clock::Millis;
use model::{JobName, TaskId};
use upstream::RunningTask;

use crate::allocator::Allocator;
use crate::held_job::HeldJob;

impl Allocator {
    /// Takes in a job that was created, moved or cancelled, or that was there before this epoch.
    pub fn apply_job(&mut self, now: Millis, job: &Job) {
        let name = &job.spec.name;
        let mut wanted: BTreeSet<u32> = BTreeSet::new();
        if job.is_active() {
            let shares = job.shares.iter().filter(|s| s.zone == self.cfg.zone);
            wanted = shares.flat_map(|s| s.tasks()).filter(|&i| !job.has_ended(i)).collect();
        }
        let known = self.jobs.get(name).filter(|h| h.generation == job.version);
        if wanted.is_empty() && known.is_none() && !self.jobs.contains_key(name) {
            return;
        }
        if known.is_none() && self.jobs.contains_key(name) {
            self.remove_job(now, name);
        }
        let before = self.jobs.get(name).map(|h| h.open.clone()).unwrap_or_default();
        for index in before.difference(&wanted) {
            self.drop_task(&TaskId { job: name.clone(), index: *index });
        }
        if wanted.is_empty() {
            self.remove_job(now, name);
            return;
        }
        let fresh: Vec<u32> = wanted.difference(&before).copied().collect();
        let spec = Arc::new(job.spec.clone());
        let (generation, claimed) = (job.version, job.claimed.clone());
        let since = now;
        let held = HeldJob { spec, generation, open: wanted, claimed, since };
        self.jobs.insert(name.clone(), held);
        self.await_or_submit(now, name, fresh);
    }

    /// Tasks of jobs older than this epoch may run somewhere already. A younger job's cannot: an
    /// earlier allocator that knew of the job would know of the new epoch, too.
    fn await_or_submit(&mut self, now: Millis, name: &JobName, fresh: Vec<u32>) {
        let Some(held) = self.jobs.get(name) else { return };
        let older = held.generation < self.cfg.epoch.0;
        let task = |index: u32| TaskId { job: name.clone(), index };
        if older {
            let unknown = fresh.into_iter().map(task).filter(|t| self.planner.placed(t).is_none());
            self.unaccounted.extend(unknown.collect::<Vec<_>>());
        } else {
            self.planner.submit(now, &held.spec, held.generation, fresh);
        }
    }

    /// Takes in that a job is gone from the cell, cancelled or ended. Tasks that were not sent to a
    /// worker yet never start.
    pub fn remove_job(&mut self, _now: Millis, name: &JobName) {
        let Some(held) = self.jobs.remove(name) else { return };
        self.planner.withdraw(name);
        for index in held.open {
            self.drop_task(&TaskId { job: name.clone(), index });
        }
    }

    /// Drops the jobs that are not among `jobs` any more.
    pub fn retain_jobs(&mut self, now: Millis, jobs: &BTreeMap<JobName, Job>) {
        let gone: Vec<JobName> =
            self.jobs.keys().filter(|name| !jobs.contains_key(*name)).cloned().collect();
        gone.iter().for_each(|name| self.remove_job(now, name));
    }

    /// Stops a task that is no longer wanted here.
    fn drop_task(&mut self, task: &TaskId) {
        self.unaccounted.remove(task);
        self.ending.remove(task);
        self.health.forget(task);
        let never_sent = self.claiming.remove(task).is_some();
        let Some(placed) = self.planner.placed(task) else { return };
        let ix = placed.worker;
        let running = RunningTask { task: task.clone(), generation: placed.generation };
        let Some(link) = self.links.get_mut(&ix) else { return };
        let unsent = link.to_start.remove(task).is_some_and(|q| !q.sent);
        if never_sent || unsent {
            self.planner.release(task);
        } else {
            // Its room stays taken until the worker says that it has stopped.
            link.to_stop.insert(running, false);
        }
    }

    /// Takes in tasks whose end is lasting now, so that their workers may forget them.
    pub fn on_tasks_ended(&mut self, ended: &[TaskEnd]) {
        for end in ended {
            self.ending.remove(&end.task);
            self.health.forget(&end.task);
            let Some(held) = self.jobs.get_mut(&end.task.job) else { continue };
            let ends_here =
                end.outcome != TaskOutcome::Done || held.spec.kind != model::JobKind::Service;
            if ends_here {
                held.open.remove(&end.task.index);
            }
        }
    }

    /// Takes in tasks whose claim is lasting now, so that they may be started.
    pub fn on_tasks_claimed(&mut self, tasks: &[TaskId]) {
        for task in tasks {
            if let Some(held) = self.jobs.get_mut(&task.job) {
                held.claimed.insert(task.index);
            }
            if self.claiming.remove(task).is_none() {
                continue;
            }
            if let Some(worker) = self.planner.placed(task).map(|p| p.worker) {
                self.queue_start(task, worker);
            }
        }
    }

    /// Tells whether a worker may have been told to start a placed task.
    pub(crate) fn was_sent(&self, task: &TaskId) -> bool {
        !self.claiming.contains_key(task)
    }

    /// Lets a task that runs nowhere wait again, unless it may have run and may not be repeated.
    pub(crate) fn retry_or_end(&mut self, now: Millis, task: &TaskId, was_sent: bool, why: &str) {
        self.claiming.remove(task);
        let Some(held) = self.jobs.get(&task.job) else { return };
        if !held.holds(task.index) || self.ending.contains_key(task) {
            return;
        }
        if was_sent && !held.spec.repeatable {
            let reason = format!("may have run and is not repeatable: {why}");
            self.ending.insert(task.clone(), (TaskOutcome::MayHaveRun(reason.into()), None));
            return;
        }
        self.planner.submit(now, &held.spec, held.generation, [task.index]);
    }
}
