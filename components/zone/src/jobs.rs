//! Applying the cell's changes of jobs and their tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cell::{Job, TaskEnd, TaskOutcome};
use clock::Millis;
use model::{JobName, TaskId};
use upstream::RunningTask;

use crate::allocator::Allocator;
use crate::held_job::HeldJob;

impl Allocator {
    /// Applies a job that was created, moved or cancelled, or that is older than this epoch.
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
            self.remove_task(&TaskId { job: name.clone(), index: *index });
        }
        if wanted.is_empty() {
            self.remove_job(now, name);
            return;
        }
        let added: Vec<u32> = wanted.difference(&before).copied().collect();
        let spec = Arc::new(job.spec.clone());
        let (generation, claimed) = (job.version, job.claimed.clone());
        let since = now;
        let held = HeldJob { spec, generation, open: wanted, claimed, since };
        self.jobs.insert(name.clone(), held);
        self.await_or_submit(now, name, added);
    }

    /// Queues new tasks for placement, or marks them unaccounted if the job is older than this epoch, because they may
    /// already run somewhere. Tasks of a newer job cannot: an earlier allocator that knew of the job would also know of
    /// the new epoch.
    fn await_or_submit(&mut self, now: Millis, name: &JobName, added: Vec<u32>) {
        let Some(held) = self.jobs.get(name) else { return };
        let older = held.generation < self.cfg.epoch.0;
        let task = |index: u32| TaskId { job: name.clone(), index };
        if older {
            let unknown = added.into_iter().map(task).filter(|t| self.planner.placed(t).is_none());
            self.unaccounted.extend(unknown.collect::<Vec<_>>());
        } else {
            self.planner.submit(now, &held.spec, held.generation, added);
        }
    }

    /// Removes a job that was cancelled, has ended or is no longer in the cell. Its tasks that were not sent to a worker
    /// never start; the others are stopped.
    pub fn remove_job(&mut self, _now: Millis, name: &JobName) {
        let Some(held) = self.jobs.remove(name) else { return };
        self.planner.withdraw(name);
        for index in held.open {
            self.remove_task(&TaskId { job: name.clone(), index });
        }
    }

    /// Removes the jobs that are not in `jobs`.
    pub fn retain_jobs(&mut self, now: Millis, jobs: &BTreeMap<JobName, Job>) {
        let gone: Vec<JobName> =
            self.jobs.keys().filter(|name| !jobs.contains_key(*name)).cloned().collect();
        gone.iter().for_each(|name| self.remove_job(now, name));
    }

    /// Withdraws a task that no longer belongs to this zone, and stops it if it may run.
    fn remove_task(&mut self, task: &TaskId) {
        self.unaccounted.remove(task);
        self.pending_ends.remove(task);
        self.health.forget_task(task);
        let never_sent = self.pending_claims.remove(task).is_some();
        let Some(placed) = self.planner.placed(task) else { return };
        let ix = placed.worker;
        let running = RunningTask { task: task.clone(), generation: placed.generation };
        let Some(session) = self.sessions.get_mut(&ix) else { return };
        let unsent = session.to_start.remove(task).is_some_and(|q| !q.sent);
        if never_sent || unsent {
            self.planner.release(task);
        } else {
            // Its capacity stays allocated until the worker reports that the task has stopped.
            session.to_stop.insert(running, false);
        }
    }

    /// Applies the committed ends of tasks, so that their workers may forget them.
    pub fn on_tasks_ended(&mut self, ended: &[TaskEnd]) {
        for end in ended {
            self.pending_ends.remove(&end.task);
            self.health.forget_task(&end.task);
            let Some(held) = self.jobs.get_mut(&end.task.job) else { continue };
            let ends_here =
                end.outcome != TaskOutcome::Done || held.spec.kind != model::JobKind::Service;
            if ends_here {
                held.open.remove(&end.task.index);
            }
        }
    }

    /// Applies the committed claims of tasks, so that they may be started.
    pub fn on_tasks_claimed(&mut self, tasks: &[TaskId]) {
        for task in tasks {
            if let Some(held) = self.jobs.get_mut(&task.job) {
                held.claimed.insert(task.index);
            }
            if self.pending_claims.remove(task).is_none() {
                continue;
            }
            if let Some(worker) = self.planner.placed(task).map(|p| p.worker) {
                self.queue_start(task, worker);
            }
        }
    }

    /// Returns whether the start of a placed task may have been sent to its worker.
    pub(crate) fn may_have_been_sent(&self, task: &TaskId) -> bool {
        !self.pending_claims.contains_key(task)
    }

    /// Queues a task that runs nowhere for placement again, or ends it if it may have run and is not repeatable.
    pub(crate) fn retry_or_end(
        &mut self,
        now: Millis,
        task: &TaskId,
        may_have_been_sent: bool,
        why: &str,
    ) {
        self.pending_claims.remove(task);
        let Some(held) = self.jobs.get(&task.job) else { return };
        if !held.holds(task.index) || self.pending_ends.contains_key(task) {
            return;
        }
        if may_have_been_sent && !held.spec.repeatable {
            let reason = format!("may have run and is not repeatable: {why}");
            self.pending_ends.insert(task.clone(), (TaskOutcome::MayHaveRun(reason.into()), None));
            return;
        }
        self.planner.submit(now, &held.spec, held.generation, [task.index]);
    }
}
