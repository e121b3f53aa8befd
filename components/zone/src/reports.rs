//! Taking in what workers answer.

use std::collections::BTreeSet;

use cell::TaskOutcome;
use clock::Millis;
use errors::Result;
use model::{JobKind, Name, Size, TaskId};
use placement::WorkerIndex;
use upstream::{EndedTask, RunningTask, SyncReply, TaskEnding, WorkerReport};

use crate::action::AllocatorEvent;
use crate::allocator::Allocator;
use crate::health::{LASTED, Verdict};

impl Allocator {
    /// Takes in a worker's answer to call `seq`, or that there was none.
    pub fn on_reply(&mut self, now: Millis, worker: &Name, seq: u64, reply: Result<SyncReply>) {
        let Some(ix) = self.planner.ledger.find(worker) else { return };
        let Some(link) = self.links.get_mut(&ix) else { return };
        if !link.takes_reply(seq) {
            return;
        }
        match reply {
            Ok(SyncReply::Done(report)) => self.on_report(now, ix, report),
            Ok(SyncReply::Refused { epoch, seq }) if epoch <= self.cfg.epoch => {
                link.skip_to(seq);
                link.call_soon(now);
            }
            Ok(SyncReply::Refused { epoch, .. }) => {
                self.deposed = true;
                self.note(AllocatorEvent::EpochOutdated { newer: epoch });
            }
            Err(_) => link.note_silence(),
        }
        self.refresh_open(ix);
    }

    fn on_report(&mut self, now: Millis, ix: WorkerIndex, report: WorkerReport) {
        let Some(link) = self.links.get_mut(&ix) else { return };
        let first = !link.has_reported();
        let restarted = !first && link.boot() != report.boot;
        link.leaving_reported = report.leaving;
        let running: BTreeSet<RunningTask> = report.running.iter().cloned().collect();
        link.note_report(now, report.boot, report.now, running.iter().cloned());
        if first || restarted {
            link.call_soon(now);
            link.to_forget.clear();
            link.to_stop.clear();
        }
        self.clear_done_commands(ix, &running, &report.ended);
        for ended in report.ended {
            self.on_ended(now, ix, ended);
        }
        let adopted = self.adopt(now, ix, &running);
        self.find_missing(now, ix, &running);
        let ours = running.iter().filter_map(|r| self.planner.placed(&r.task));
        let ours =
            ours.filter(|p| p.worker == ix).fold(Size::ZERO, |sum, p| sum.plus(&p.spec.size));
        self.charge_stray(ix, report.taken.minus(&ours));
        if first {
            let worker = self.planner.ledger.info(ix).name.clone();
            self.note(AllocatorEvent::WorkerReported { worker, adopted });
        }
    }

    /// Counts what a worker spends on tasks that are not ours as taken, until it says that they have
    /// stopped.
    pub(crate) fn charge_stray(&mut self, ix: WorkerIndex, stray: Size) {
        let Some(link) = self.links.get_mut(&ix) else { return };
        let before = std::mem::replace(&mut link.stray, stray);
        if before != stray {
            self.planner.ledger.release(ix, &before);
            self.planner.ledger.reserve_running(ix, &stray);
        }
    }

    /// Drops commands that the report shows to have been carried out.
    fn clear_done_commands(
        &mut self,
        ix: WorkerIndex,
        running: &BTreeSet<RunningTask>,
        ended: &[EndedTask],
    ) {
        let Some(link) = self.links.get_mut(&ix) else { return };
        link.to_stop.retain(|task, _| running.contains(task));
        link.to_forget.retain(|task| ended.iter().any(|e| e.task == *task));
        link.to_start.retain(|task, queued| {
            let generation = queued.start.generation;
            let started = RunningTask { task: task.clone(), generation };
            !running.contains(&started) && !ended.iter().any(|e| e.task == started)
        });
    }

    /// Takes over tasks that run on the worker, and stops those that should not.
    fn adopt(&mut self, now: Millis, ix: WorkerIndex, running: &BTreeSet<RunningTask>) -> usize {
        let mut adopted = 0;
        for r in running {
            let held = self.jobs.get(&r.task.job);
            let held = held.filter(|h| h.generation == r.generation && h.holds(r.task.index));
            let Some(held) = held else {
                self.stop_running(ix, r);
                continue;
            };
            match self.planner.placed(&r.task).map(|p| p.worker) {
                Some(here) if here == ix => continue,
                Some(_) => {
                    let worker = self.planner.ledger.info(ix).name.clone();
                    self.note(AllocatorEvent::DuplicateTask { task: r.task.clone(), worker });
                    self.stop_running(ix, r);
                    continue;
                }
                None => {}
            }
            if self.ending.contains_key(&r.task) {
                self.stop_running(ix, r);
                continue;
            }
            let (spec, generation) = (held.spec.clone(), held.generation);
            self.planner.adopt(now, &spec, generation, r.task.index, ix);
            self.unaccounted.remove(&r.task);
            adopted += 1;
        }
        adopted
    }

    fn stop_running(&mut self, ix: WorkerIndex, running: &RunningTask) {
        if let Some(link) = self.links.get_mut(&ix) {
            link.to_stop.entry(running.clone()).or_insert(false);
        }
    }

    /// Finds tasks that were placed here and that the worker neither runs nor will run.
    fn find_missing(&mut self, now: Millis, ix: WorkerIndex, running: &BTreeSet<RunningTask>) {
        let placed: Vec<TaskId> = self.planner.tasks_on(ix).cloned().collect();
        for task in placed {
            let Some(p) = self.planner.placed(&task) else { continue };
            let run = RunningTask { task: task.clone(), generation: p.generation };
            if running.contains(&run) || self.claiming.contains_key(&task) {
                continue;
            }
            let Some(link) = self.links.get_mut(&ix) else { continue };
            if link.to_start.get(&task).is_some_and(|q| !q.sent) {
                continue;
            }
            // A start that was sent and is not there was refused, or its process has died since;
            // calls before this report's cannot act any more.
            link.to_start.remove(&task);
            self.planner.release(&task);
            self.retry_or_end(now, &task, true, "its worker no longer has it");
        }
    }

    fn on_ended(&mut self, now: Millis, ix: WorkerIndex, ended: EndedTask) {
        let task = ended.task.task.clone();
        let held = self.jobs.get(&task.job).filter(|h| h.generation == ended.task.generation);
        let wanted = held.is_some_and(|h| h.holds(task.index));
        let was_here = self.planner.placed(&task).is_some_and(|p| p.worker == ix);
        let placed = if was_here { self.planner.release(&task) } else { None };
        let elsewhere = self.planner.placed(&task).is_some();
        if !wanted || elsewhere {
            self.forget_on(ix, ended.task);
            return;
        }
        if self.ending.contains_key(&task) {
            return;
        }
        if let Some(p) = &placed
            && ended.ending == TaskEnding::Done
        {
            self.planner.estimator.learn(&p.spec, ended.ran);
        }
        self.unaccounted.remove(&task);
        let began = placed.map_or(Millis::ZERO, |p| p.since);
        self.judge_end(now, ix, began, ended);
    }

    fn judge_end(&mut self, now: Millis, ix: WorkerIndex, began: Millis, ended: EndedTask) {
        let task = ended.task.task.clone();
        let Some(held) = self.jobs.get(&task.job) else { return };
        let is_service = held.spec.kind == JobKind::Service;
        let worker = self.planner.ledger.info(ix).name.clone();
        let how: Name = match &ended.ending {
            TaskEnding::Done => "done".into(),
            TaskEnding::Failed(reason) => format!("failed: {reason}").into(),
            TaskEnding::Stopped => "stopped".into(),
        };
        self.note(AllocatorEvent::TaskEnded { task: task.clone(), worker, how });
        match ended.ending {
            TaskEnding::Done => {
                self.health.succeeded(&task, ix, began);
                if is_service {
                    self.retry_or_end(now, &task, true, "it ended");
                    self.forget_on(ix, ended.task);
                } else {
                    // The worker keeps the end until the cell has it; see `on_tasks_ended`.
                    self.ending.insert(task, (TaskOutcome::Done, None));
                }
            }
            TaskEnding::Failed(_) if is_service && now.since(began) >= LASTED => {
                self.health.forget(&task);
                self.retry_or_end(now, &task, true, "it failed");
                self.forget_on(ix, ended.task);
            }
            TaskEnding::Failed(reason) => {
                self.on_failed(now, ix, &task, &reason);
                self.forget_on(ix, ended.task);
            }
            TaskEnding::Stopped => {
                self.retry_or_end(now, &task, true, "it was stopped");
                self.forget_on(ix, ended.task);
            }
        }
    }

    fn on_failed(&mut self, now: Millis, ix: WorkerIndex, task: &TaskId, reason: &Name) {
        let verdict = self.health.failed(now, task, ix);
        match verdict {
            Verdict::JobAtFault => {
                let reason = format!("failed on several workers, the last time: {reason}");
                self.ending.insert(task.clone(), (TaskOutcome::Failed(reason.into()), None));
                return;
            }
            Verdict::WorkerQuarantined => {
                let worker = self.planner.ledger.info(ix).name.clone();
                self.note(AllocatorEvent::WorkerQuarantined { worker });
                self.refresh_open(ix);
            }
            Verdict::WasAside => {}
            Verdict::TryAgain => {
                let avoided = self.planner.avoid(&task.job, ix);
                if avoided >= self.links.len() {
                    // It failed everywhere once: only more tries can tell whose fault that is.
                    self.planner.clear_avoided(&task.job);
                }
            }
        }
        self.retry_or_end(now, task, true, "it failed");
    }

    fn forget_on(&mut self, ix: WorkerIndex, task: RunningTask) {
        if let Some(link) = self.links.get_mut(&ix) {
            link.to_forget.insert(task);
        }
    }
}
