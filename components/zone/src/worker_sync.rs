//! Calling workers: what they are told, and what becomes of their tasks once they are lost.

use clock::Millis;
use model::{Size, TaskId};
use placement::WorkerIndex;
use upstream::{RunningTask, StartTask};

use crate::action::{Action, AllocatorEvent};
use crate::allocator::Allocator;
use crate::lease::{Authority, lease_expiry_bound};
use crate::worker_session::{QueuedStart, renewal_period};

impl Allocator {
    /// Calls the workers whose renewal is due or for whom there is news.
    pub(crate) fn sync_workers(&mut self, now: Millis, right: Authority) {
        let (epoch, worker_lease) = (self.cfg.epoch, self.cfg.worker_lease);
        let timeout = renewal_period(worker_lease);
        for link in self.links.values_mut().filter(|l| l.is_due(now, right)) {
            let req = link.next_request(now, epoch, worker_lease, right);
            let (worker, addr) = (link.name.clone(), link.addr);
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
        if let Some(link) = self.links.get_mut(&ix) {
            link.to_start.insert(task.clone(), QueuedStart { start, sent: false });
        }
    }

    pub(crate) fn queue_stop(&mut self, task: &TaskId, ix: WorkerIndex, checkpoint: bool) {
        let Some(placed) = self.planner.placed(task) else { return };
        let running = RunningTask { task: task.clone(), generation: placed.generation };
        if let Some(link) = self.links.get_mut(&ix) {
            link.to_stop.insert(running, checkpoint);
        }
    }

    /// Restarts the tasks of workers whose leases have surely run out.
    pub(crate) fn expire_leases(&mut self, now: Millis) {
        let lost: Vec<WorkerIndex> =
            self.links.iter().filter(|(_, l)| l.lost(now)).map(|(ix, _)| *ix).collect();
        for ix in lost {
            let Some(link) = self.links.get_mut(&ix) else { continue };
            link.forget_tasks();
            let worker = link.name.clone();
            self.note(AllocatorEvent::WorkerLost { worker });
            self.charge_stray(ix, Size::ZERO);
            self.lose_tasks_on(now, ix);
            self.refresh_open(ix);
        }
    }

    /// Takes a worker out that the platform no longer lists.
    pub(crate) fn drop_worker(&mut self, now: Millis, ix: WorkerIndex) {
        if let Some(link) = self.links.remove(&ix) {
            self.note(AllocatorEvent::WorkerLost { worker: link.name });
            self.lose_tasks_on(now, ix);
            self.planner.ledger.remove(ix);
        }
    }

    fn lose_tasks_on(&mut self, now: Millis, ix: WorkerIndex) {
        let tasks: Vec<TaskId> = self.planner.tasks_on(ix).cloned().collect();
        for task in tasks {
            let was_sent = self.was_sent(&task);
            self.planner.release(&task);
            self.retry_or_end(now, &task, was_sent, "its worker was lost");
        }
    }

    /// Lets tasks of earlier epochs start again once it is certain that they run nowhere: at once
    /// when every worker has reported; for movable tasks also when the leases that an earlier epoch
    /// gave have surely run out.
    pub(crate) fn settle_accounts(&mut self, now: Millis) {
        if self.unaccounted.is_empty() {
            return;
        }
        let all_reported = !self.links.is_empty() && self.links.values().all(|l| l.has_reported());
        // The grant waited for the last zone lease already; what is left are the workers' leases.
        let leases_over = now >= lease_expiry_bound(self.born, self.cfg.worker_lease);
        if !all_reported && !leases_over {
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
