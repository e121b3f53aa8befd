//! Assigns tasks to workers.

use std::sync::Arc;

use clock::Millis;
use model::{JobKind, JobSpec, Profile, Spread, TaskId};

use crate::decision::{Decision, PlacedTask};
use crate::planner::Planner;
use crate::search::{NO_TASKS, PlacementRequest, Preference};
use crate::worker::WorkerIndex;

impl Planner {
    /// Places all of `tasks`, or none of them.
    pub(crate) fn place_all(
        &mut self,
        now: Millis,
        spec: &Arc<JobSpec>,
        generation: u64,
        tasks: &[u32],
    ) -> Option<Vec<Decision>> {
        let mut starts = Vec::with_capacity(tasks.len());
        for &index in tasks {
            let task = TaskId { job: spec.name.clone(), index };
            let Some(worker) = self.find_worker(now, spec) else {
                self.roll_back(&starts);
                return None;
            };
            if !self.ledger.reserve(worker, &spec.size) {
                self.roll_back(&starts);
                return None;
            }
            self.note_placed(now, spec, generation, task.clone(), worker);
            starts.push(Decision::Start { task, worker });
        }
        for &index in tasks {
            self.queue.take(&spec.name, index);
        }
        if self.reservation.as_ref().is_some_and(|r| r.job == spec.name) {
            self.reservation = None;
        }
        Some(starts)
    }

    /// Returns whether the workers that a job does not avoid could not hold its tasks even if they
    /// were empty. In that case the job returns to the workers on which it failed, rather than wait
    /// for workers that may never join.
    pub(crate) fn avoids_too_many(&self, spec: &JobSpec, tasks: usize) -> bool {
        let Some(avoided) = self.avoid.get(&spec.name) else { return false };
        let others = self.ledger.workers().filter(|&ix| self.ledger.is_open(ix));
        let others = others.filter(|ix| !avoided.contains(ix));
        let mut held = 0;
        for ix in others {
            held += spec.size.copies_in(&self.ledger.info(ix).total);
            if held >= tasks as u64 {
                return false;
            }
        }
        true
    }

    fn roll_back(&mut self, starts: &[Decision]) {
        for start in starts {
            if let Decision::Start { task, .. } = start {
                self.release(task);
            }
        }
    }

    fn find_worker(&self, now: Millis, spec: &JobSpec) -> Option<WorkerIndex> {
        let avoided = self.avoid.get(&spec.name);
        let end = now + self.estimator.expected(spec);
        let skip = |ix: WorkerIndex| {
            avoided.is_some_and(|a| a.contains(&ix))
                || self.is_reserved_for_gang(spec, ix, end)
                || self.has_probation_task(now, ix)
        };
        let spread = match spec.spread {
            Spread::None => None,
            Spread::Rack | Spread::Zone => Some(self.spread.get(&spec.name).unwrap_or(&NO_TASKS)),
        };
        let request = PlacementRequest {
            size: spec.size,
            preference: self.preference(spec),
            spread,
            skip: &skip,
        };
        match self.policy.baseline {
            Some(baseline) => baseline.select_worker(&self.ledger, &request),
            None => self.ledger.select_worker(&request),
        }
    }

    /// Returns whether a worker on probation was already given its one task in the plan of `now`.
    fn has_probation_task(&self, now: Millis, ix: WorkerIndex) -> bool {
        let is_new = |task: &TaskId| self.placed.get(task).is_some_and(|p| p.since == now);
        self.on_probation.contains(&ix) && self.tasks_on(ix).any(is_new)
    }

    /// Returns which of the fitting workers a job prefers. Services interfere with each other least
    /// on workers with much free capacity, which matters under the `Waiting` profile. All other
    /// work is packed tightly, so that large free capacities are preserved.
    fn preference(&self, spec: &JobSpec) -> Preference {
        match (self.policy.profile, spec.kind) {
            (Profile::Waiting, JobKind::Service) => Preference::MostFree,
            _ => Preference::LeastFree,
        }
    }

    pub(crate) fn note_placed(
        &mut self,
        now: Millis,
        spec: &Arc<JobSpec>,
        generation: u64,
        task: TaskId,
        worker: WorkerIndex,
    ) {
        let expected_end = now + self.estimator.expected(spec);
        let rack = self.ledger.info(worker).rack.clone();
        if spec.spread != Spread::None {
            self.spread.entry(spec.name.clone()).or_default().add(&rack, worker);
        }
        let used = self.usage.entry(spec.organisation.clone()).or_default();
        *used = used.plus(&spec.size);
        self.by_worker.entry(worker).or_default().insert(task.clone());
        let spec = spec.clone();
        let placed = PlacedTask { spec, generation, worker, since: now, expected_end };
        self.placed.insert(task, placed);
    }
}
