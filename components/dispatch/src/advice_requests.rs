//! Requests for advice: which of the waiting steps get one of the available calls.
//!
//! Load pattern: a backlog of urgent steps waits for workers that are full, and each would have its
//! tickets renewed for as long as it waits, while the workers of a less urgent step are free. Calls
//! take half a second and an instance makes one at a time, so forty such steps use up a fleet of
//! thirteen instances. So calls go first to steps of which a task could start, and only then to
//! those that wait for capacity.

use std::collections::btree_map::Range;
use std::ops::Bound::{Excluded, Included, Unbounded};
use std::sync::Arc;

use clock::Millis;
use events::kinds;
use model::Name;
use workload::{AdvicePolicy, JobSpec, OpenStep, StepKey, StepSpec, Worker, WorkerId};

use crate::action::Action;
use crate::advice::{AdviceCandidate, AdviceNeed, AdvicePriority, AdviceSelection, cost_ms};
use crate::candidates::{fits, max_additional_tasks};
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{ADVICE_CANDIDATES_WITH_CAPACITY, ADVICE_MAX_WORKERS, MAX_WORKER_SCANS};
use crate::planning::PlanPass;
use crate::worker_health::WorkerTier;
use crate::worker_view::WorkerView;

/// The part of a ticket's validity by which advice on a step may arrive before the step is likely
/// to open. Declared run times are often too long. Advice that arrives too early costs another
/// call, and advice that arrives too late delays the step by the whole time of the call.
const ADVICE_LEAD_FRACTION: f64 = 0.5;

/// A step whose tasks wait for permission to run somewhere.
pub(crate) struct StepNeedingAdvice {
    pub(crate) key: StepKey,
    pub(crate) queue: Name,
    pub(crate) policy: AdvicePolicy,
    /// The specification of the step's job.
    pub(crate) job: Arc<JobSpec>,
    /// How many tasks wait, or will.
    pub(crate) tasks: u64,
    /// The workers that may be named.
    pub(crate) worker_tier: WorkerTier,
    /// How many of the reserved instances the call may use.
    pub(crate) advice_priority: AdvicePriority,
}

impl StepNeedingAdvice {
    fn spec(&self) -> &StepSpec {
        &self.job.steps[self.key.step as usize]
    }

    fn as_need(&self) -> AdviceNeed<'_> {
        let StepNeedingAdvice { key, queue, policy, tasks, advice_priority, .. } = self;
        let (policy, tasks, advice_priority, gang) =
            (*policy, *tasks, *advice_priority, self.spec().gang);
        AdviceNeed { step: *key, queue, policy, tasks, gang, advice_priority }
    }
}

impl Dispatcher {
    /// Records when advice on the steps that depend on a fully placed one will be needed.
    pub(crate) fn schedule_advice(&mut self, m: Moment, entry: OpenStep) {
        if !self.limits.mechanisms.prefetches_advice {
            return;
        }
        let Some(job) = self.replicated.job(entry.key.job) else { return };
        let Some(policy) = self.advice_policies.get(&job.queue).copied() else { return };
        let spec = job.spec.clone();
        let round = &job.rounds[entry.key.round as usize];
        let is_fully_placed = |d: &u32| round.steps[*d as usize].waiting().next().is_none();
        let mut later_steps = Vec::new();
        for (step, s) in (0..).zip(&spec.steps) {
            if !s.depends_on.contains(&entry.key.step) || !s.depends_on.iter().all(is_fully_placed)
            {
                continue;
            }
            let estimate = spec.steps[entry.key.step as usize].estimate;
            let cost = cost_ms(&policy, s.count.min(30) as usize);
            let lead = policy.valid.0 as f64 * ADVICE_LEAD_FRACTION;
            let at = (m.now + estimate).since(Millis((cost + lead) as u64));
            later_steps.push((at, OpenStep { key: StepKey { step, ..entry.key }, ..entry }));
        }
        for (at, entry) in later_steps {
            self.advice_scheduler.schedule_ahead(at, entry);
        }
    }

    /// Requests advice on a step that is not open yet, if this plan may still scan the workers.
    pub(crate) fn request_advice_ahead(&mut self, m: Moment, entry: OpenStep) {
        let key = entry.key;
        let Some(job) = self.replicated.job(key.job) else { return };
        let (queue, spec) = (job.queue.clone(), job.spec.clone());
        let Some(policy) = self.advice_policies.get(&queue).copied() else { return };
        let tasks = u64::from(spec.steps[key.step as usize].count);
        let (worker_tier, advice_priority) = (WorkerTier::Preferred, AdvicePriority::Normal);
        let need = StepNeedingAdvice {
            key,
            queue,
            policy,
            job: spec,
            tasks,
            worker_tier,
            advice_priority,
        };
        if !self.may_scan(m, &need) {
            return;
        }
        let choice = self.choose(m, &need);
        self.call(m, &need, choice);
        self.advice_scheduler.forget_ahead(&key);
    }

    /// Returns whether this plan may still scan all workers for some to ask about.
    fn may_scan(&self, m: Moment, need: &StepNeedingAdvice) -> bool {
        let StepNeedingAdvice { key, policy, advice_priority, .. } = need;
        self.plan_state.scans < MAX_WORKER_SCANS
            && self.advice_scheduler.may_request(key, policy, *advice_priority, m.now)
    }

    /// Requests advice on a step if its tasks could start on workers that are not known yet.
    /// Otherwise defers the step: steps that wait for capacity would use up all available calls,
    /// however many workers are free for the steps behind them.
    pub(crate) fn request_advice(&mut self, m: Moment, need: StepNeedingAdvice) {
        let StepNeedingAdvice { key, policy, advice_priority, .. } = &need;
        let lacks_caller = self.advice_scheduler.lacks_caller(key, policy, *advice_priority, m.now);
        if lacks_caller {
            self.advice_scheduler.record_missing_caller(m.now, key);
        }
        if self.advice_scheduler.waits_for_capacity(&need.key) {
            self.plan_state.deferred.push((need, None));
            return;
        }
        if !self.may_scan(m, &need) {
            let StepNeedingAdvice { key, policy, advice_priority, .. } = &need;
            let lacks_scan =
                self.advice_scheduler.may_request(key, policy, *advice_priority, m.now);
            self.plan_state.without_caller += u64::from(lacks_caller);
            self.plan_state.not_examined += u64::from(lacks_scan);
            return;
        }
        let choice = self.choose(m, &need);
        self.advice_scheduler.record_capacity(m.now, &need.as_need(), choice.has_capacity);
        // Capacity for an overdue task is reserved on workers that are known to allow it.
        let lacks_allowed_worker = need.advice_priority == AdvicePriority::Overdue
            && self.advice_scheduler.allowed(&need.key).is_empty();
        match choice.has_capacity || lacks_allowed_worker {
            true => self.call(m, &need, choice),
            false => self.plan_state.deferred.push((need, Some(choice))),
        }
    }

    /// Requests tickets for steps that wait for capacity, the most urgent first, with the calls
    /// that the steps that could start have left.
    pub(crate) fn request_advice_for_waiting(&mut self, m: Moment) {
        for (need, choice) in std::mem::take(&mut self.plan_state.deferred) {
            let choice = match choice {
                Some(choice) => choice,
                None if self.may_scan(m, &need) => self.choose(m, &need),
                None => continue,
            };
            self.call(m, &need, choice);
        }
    }

    /// Returns how many of the reserved instances a call on a step may use.
    pub(crate) fn advice_priority(pass: PlanPass) -> AdvicePriority {
        match pass {
            PlanPass::Overdue => AdvicePriority::Overdue,
            PlanPass::Aged => AdvicePriority::Aged,
            PlanPass::Normal => AdvicePriority::Normal,
        }
    }

    fn choose(&mut self, m: Moment, need: &StepNeedingAdvice) -> AdviceSelection {
        self.plan_state.scans += 1;
        let advice_candidates = self.advice_candidates(m, need);
        self.advice_scheduler.choose(m.now, &need.as_need(), advice_candidates)
    }

    fn call(&mut self, m: Moment, need: &StepNeedingAdvice, choice: AdviceSelection) {
        let Some(call) = self.advice_scheduler.call(m.now, &need.as_need(), choice) else { return };
        let (by, named, tasks) = (&call.caller, call.workers.len(), need.tasks);
        self.log_event(
            &kinds::ADVICE_ASKED,
            need.key,
            format!("by={by} named={named} tasks={tasks}"),
        );
        self.act(Action::RequestAdvice(call));
    }

    /// Returns workers that a call may name: those known to be allowed, and others until enough of
    /// them have capacity. A fleet with much free capacity has far more candidates than a call can
    /// name. The next examination goes on where this one ended, so that all workers get their turn.
    fn advice_candidates(&mut self, m: Moment, need: &StepNeedingAdvice) -> Vec<AdviceCandidate> {
        let start = std::mem::take(&mut self.advice_scan_position);
        let (candidates, position, examined) = self.scan_candidates(m, need, start.as_ref());
        self.advice_scan_position = position;
        self.plan_state.workers_scanned += examined;
        candidates
    }

    /// Returns the candidates, the last worker that was examined, and how many were examined.
    fn scan_candidates(
        &self,
        m: Moment,
        need: &StepNeedingAdvice,
        start: Option<&WorkerId>,
    ) -> (Vec<AdviceCandidate>, Option<WorkerId>, u64) {
        let (key, spec) = (&need.key, need.spec());
        let Some(job) = self.replicated.job(key.job) else { return (Vec::new(), None, 0) };
        let candidate = |worker: &Worker, view: &WorkerView| {
            self.is_suitable(m, need.worker_tier, &job.service, spec, worker, view)
                .then(|| self.advice_candidate(key, spec, worker))
        };
        let allowed = self.advice_scheduler.allowed(key);
        let allowed_workers = allowed
            .iter()
            .filter_map(|id| Some((self.replicated.worker(id)?, self.worker_views.get(id)?)));
        let mut candidates: Vec<AdviceCandidate> =
            allowed_workers.filter_map(|(worker, view)| candidate(worker, view)).collect();
        let disallowed = self.advice_scheduler.disallowed(key);
        let is_known = |id: &WorkerId| allowed.contains(id) || disallowed.contains(id);
        let enough = ADVICE_CANDIDATES_WITH_CAPACITY.max(need.tasks as usize);
        let (mut with_capacity, mut full, mut examined) = (0, 0, candidates.len() as u64);
        for (id, worker, view) in self.workers_after(start) {
            examined += 1;
            let is_full = !spec.required_capacity().fits(&worker.free());
            // No call names more full workers, and with a backlog most workers are full.
            if (is_full && full >= ADVICE_MAX_WORKERS) || is_known(id) {
                continue;
            }
            let Some(candidate) = candidate(worker, view) else { continue };
            full += usize::from(candidate.fits == 0);
            with_capacity += usize::from(candidate.fits > 0);
            candidates.push(candidate);
            if with_capacity >= enough {
                return (candidates, Some(id.clone()), examined);
            }
        }
        (candidates, None, examined)
    }

    /// Iterates over all workers with the leader's views of them, beginning after `start` and
    /// continuing from the first worker to `start`.
    fn workers_after(
        &self,
        start: Option<&WorkerId>,
    ) -> impl Iterator<Item = (&WorkerId, &Worker, &WorkerView)> {
        let after = (start.map_or(Unbounded, Excluded), Unbounded);
        let up_to = start.map(|s| (Unbounded, Included(s)));
        let (workers, views) = (self.replicated.workers(), &self.worker_views);
        let rest =
            up_to.into_iter().flat_map(|range| joined(workers.range(range), views.range(range)));
        joined(workers.range(after), views.range(after)).chain(rest)
    }

    fn advice_candidate(&self, key: &StepKey, spec: &StepSpec, worker: &Worker) -> AdviceCandidate {
        let fits = fits(spec, &self.free_capacity_for(spec, worker))
            .min(max_additional_tasks(key, spec, worker));
        let is_too_slow = self.is_too_slow(key, spec, worker);
        AdviceCandidate { worker: worker.info.id.clone(), fits, is_too_slow }
    }
}

/// Joins the workers and the views of a range of ids. Iterating over both in parallel is much
/// cheaper than looking up each worker's view.
fn joined<'a>(
    workers: Range<'a, WorkerId, Worker>,
    views: Range<'a, WorkerId, WorkerView>,
) -> impl Iterator<Item = (&'a WorkerId, &'a Worker, &'a WorkerView)> {
    let mut views = views.peekable();
    workers.filter_map(move |(id, worker)| {
        while views.next_if(|(known, _)| *known < id).is_some() {}
        let (_, view) = views.next_if(|(known, _)| *known == id)?;
        Some((id, worker, view))
    })
}
