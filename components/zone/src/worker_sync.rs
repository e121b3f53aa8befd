//! Calls to workers, and the recovery of tasks on lost workers.

use clock::Millis;
use model::{Size, TaskId};
use placement::WorkerIndex;
use upstream::{RunningTask, StartTask};

use crate::action::{Action, AllocatorEvent};
use crate::allocator::Allocator;
use crate::lease::{Authority, lease_expiry_bound};
use crate::worker_session::{QueuedStart, renewal_interval};

impl Allocator {
    /// Calls the workers whose lease renewal is due or that have pending commands.
    pub(crate) fn sync_workers(&mut self, now: Millis, authority: Authority) {
        let (epoch, worker_lease) = (self.cfg.epoch, self.cfg.worker_lease);
        let timeout = renewal_interval(worker_lease);
        for session in self.sessions.values_mut().filter(|s| s.is_due(now, authority)) {
            let req = session.next_request(now, epoch, worker_lease, authority);
            let (worker, addr) = (session.name.clone(), session.addr);
            self.actions.push(Action::Sync { worker, addr, req, timeout });
        }
    }

    pub(crate) fn queue_start(&mut self, task: &TaskId, ix: WorkerIndex) {
        let Some(placed) = self.planner.placed(task) else { return };
        let start = StartTask {
            task: task.clone(),
            generation: placed.generation,
            size: placed.spec.size,
            run_time: placed.spec.run_time,
            may_move: placed.spec.may_move,
        };
        if let Some(session) = self.sessions.get_mut(&ix) {
            session.to_start.insert(task.clone(), QueuedStart { start, sent: false });
        }
    }

    pub(crate) fn queue_stop(&mut self, task: &TaskId, ix: WorkerIndex, checkpoint: bool) {
        let Some(placed) = self.planner.placed(task) else { return };
        let running = RunningTask { task: task.clone(), generation: placed.generation };
        if let Some(session) = self.sessions.get_mut(&ix) {
            session.to_stop.insert(running, checkpoint);
        }
    }

    /// Queues the tasks of workers whose leases have certainly expired for placement again.
    pub(crate) fn expire_leases(&mut self, now: Millis) {
        let lost: Vec<WorkerIndex> =
            self.sessions.iter().filter(|(_, s)| s.is_lost(now)).map(|(ix, _)| *ix).collect();
        for ix in lost {
            let Some(session) = self.sessions.get_mut(&ix) else { continue };
            session.discard_tasks();
            let worker = session.name.clone();
            self.emit(AllocatorEvent::WorkerLost { worker });
            self.charge_stray(ix, Size::ZERO);
            self.requeue_tasks_on(now, ix);
            self.refresh_open(ix);
        }
    }

    /// Removes a worker that the platform no longer lists.
    pub(crate) fn remove_worker(&mut self, now: Millis, ix: WorkerIndex) {
        if let Some(session) = self.sessions.remove(&ix) {
            self.emit(AllocatorEvent::WorkerLost { worker: session.name });
            self.requeue_tasks_on(now, ix);
            self.planner.ledger.remove(ix);
        }
    }

    fn requeue_tasks_on(&mut self, now: Millis, ix: WorkerIndex) {
        let tasks: Vec<TaskId> = self.planner.tasks_on(ix).cloned().collect();
        for task in tasks {
            let may_have_been_sent = self.may_have_been_sent(&task);
            self.planner.release(&task);
            self.retry_or_end(now, &task, may_have_been_sent, "its worker was lost");
        }
    }

    /// Queues unaccounted tasks for placement once it is certain that they run nowhere: as soon as every worker has
    /// reported or, for movable tasks, when the leases granted under earlier epochs have certainly expired.
    pub(crate) fn resolve_unaccounted(&mut self, now: Millis) {
        if self.unaccounted.is_empty() {
            return;
        }
        let all_reported =
            !self.sessions.is_empty() && self.sessions.values().all(|s| s.has_reported());
        // The grant was already delayed until the last zone lease had expired; only the workers' leases remain.
        let leases_expired =
            now >= lease_expiry_bound(self.epoch_started_at, self.cfg.worker_lease);
        if !all_reported && !leases_expired {
            return;
        }
        for task in std::mem::take(&mut self.unaccounted) {
            let may_move = self.jobs.get(&task.job).is_some_and(|j| j.spec.may_move);
            if !all_reported && !may_move {
                self.unaccounted.insert(task);
                continue;
            }
            let claimed = self.jobs.get(&task.job).is_some_and(|j| j.is_claimed(task.index));
            self.retry_or_end(now, &task, claimed, "it was started by an earlier epoch");
        }
    }
}
