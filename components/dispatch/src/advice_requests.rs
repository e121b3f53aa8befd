//! Requests for advice: which of the waiting steps get one of the available calls.
//!
//! Load pattern: a backlog of urgent steps waits for workers that are full, and each would have its
//! tickets renewed for as long as it waits, while the workers of a less urgent step are free. Calls
//! take half a second and an instance makes one at a time, so forty such steps use up a fleet of
//! thirteen instances. So calls go first to steps of which a task could start, and only then to
//! those that wait for capacity.

use std::sync::Arc;

use clock::Millis;
use events::kinds;
use model::Name;
use workload::{AdvicePolicy, JobSpec, OpenStep, StepKey, StepSpec, Worker, WorkerId};

use crate::action::Action;
use crate::advice::{
    AdviceCandidate, AdviceNeed, AdvicePriority, AdviceSelection, cost_ms, is_short,
};
use crate::candidates::{fits, max_additional_tasks};
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    ADVICE_CANDIDATES_WITH_CAPACITY, ADVICE_FULL_WORKERS_EXAMINED, ADVICE_MAX_WORKERS,
    WAITING_EXAMINATION_BUDGET,
};
use crate::planning::PlanPass;
use crate::worker_health::WorkerTier;

/// The part of a ticket's validity by which advice on a step may arrive before the step is likely
/// to open. Declared run times are often too long. Advice that arrives too early costs another
/// call, and advice that arrives too late delays the step by the whole time of the call.
const ADVICE_LEAD_FRACTION: f64 = 0.5;

/// How much capacity per waiting task suffices however few workers are allowed: a call asks about
/// one and a half times what is needed, and expects at least a tenth of it to be allowed.
const AMPLE_CAPACITY_PER_TASK: u64 = 15;

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

/// Workers that a call may name.
#[derive(Default)]
pub(crate) struct Candidates {
    workers: Vec<AdviceCandidate>,
    /// How many workers were examined to find them. They count towards the cost of the plan unless
    /// the call is made: calls are limited by the instances that make them, and must not be delayed
    /// in a fleet with much free capacity.
    examined: u64,
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

    /// Requests advice on a step that is not open yet.
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
        let is_affordable = self.claim_for(m, &need) || self.advice_scheduler.has_ample_callers();
        if !is_affordable || !self.may_request(m, &need) {
            return;
        }
        let candidates = self.candidates_with_capacity(m, &need);
        self.call_among(m, &need, candidates);
        self.advice_scheduler.forget_ahead(&key);
    }

    /// Returns whether a call on a step could be made now.
    fn may_request(&self, m: Moment, need: &StepNeedingAdvice) -> bool {
        let StepNeedingAdvice { key, policy, advice_priority, .. } = need;
        self.advice_scheduler.may_request(key, policy, *advice_priority, m.now)
    }

    /// Requests advice on a step if its tasks could start on workers that are not known yet.
    /// Otherwise defers the step: steps that wait for capacity would use up all available calls,
    /// however many workers are free for the steps behind them.
    pub(crate) fn request_advice(&mut self, m: Moment, need: StepNeedingAdvice) {
        let is_claimed = need.advice_priority != AdvicePriority::Normal || self.claim_for(m, &need);
        // Instances are reserved for short calls, which take little time.
        let is_affordable = is_short(&need.policy) || self.advice_scheduler.has_ample_callers();
        if !is_claimed && !is_affordable {
            return;
        }
        let StepNeedingAdvice { key, policy, advice_priority, .. } = &need;
        let lacks_caller = self.advice_scheduler.lacks_caller(key, policy, *advice_priority, m.now);
        if lacks_caller {
            self.advice_scheduler.record_missing_caller(m.now, key);
        }
        // Capacity for an overdue task is reserved on workers that are known to allow it.
        let lacks_allowed_worker = need.advice_priority == AdvicePriority::Overdue
            && self.advice_scheduler.allowed(&need.key).is_empty();
        if !self.has_free_capacity(&need) {
            // Whatever is freed from here on has not been examined for the step.
            self.advice_scheduler.forget_capacity_wait(&need.key);
            if !lacks_allowed_worker {
                self.plan_state.deferred.push((need, None));
                return;
            }
        }
        if self.advice_scheduler.waits_for_capacity(&need.key) {
            self.plan_state.deferred.push((need, None));
            return;
        }
        if !self.may_request(m, &need) {
            self.plan_state.without_caller += u64::from(lacks_caller);
            return;
        }
        let candidates = self.candidates_with_capacity(m, &need);
        let has_capacity =
            self.advice_scheduler.has_capacity(m.now, &need.as_need(), &candidates.workers);
        self.advice_scheduler.record_capacity(m.now, &need.as_need(), has_capacity);
        match has_capacity || lacks_allowed_worker {
            true => self.call_among(m, &need, candidates),
            false => self.plan_state.deferred.push((need, Some(candidates))),
        }
    }

    /// Returns whether the steps before this one leave it capacity, and claims what it needs.
    fn claim_for(&mut self, m: Moment, need: &StepNeedingAdvice) -> bool {
        let (job, key, policy, tasks) = (need.job.clone(), need.key, need.policy, need.tasks);
        self.claim_capacity(m, &key, &job.steps[key.step as usize], &policy, tasks)
    }

    /// Requests tickets for steps that wait for capacity, the most urgent first, with the calls
    /// that the steps that could start have left. The rest wait for the next plan once these calls
    /// have used up their examination budget: with many free instances, the calls for a backlog would
    /// otherwise take the leader's processor all at once.
    pub(crate) fn request_advice_for_waiting(&mut self, m: Moment) {
        let budget_end = self.plan_state.workers_scanned + WAITING_EXAMINATION_BUDGET;
        for (need, candidates) in std::mem::take(&mut self.plan_state.deferred) {
            if self.plan_state.workers_scanned >= budget_end {
                break;
            }
            if !self.may_request(m, &need) {
                continue;
            }
            let candidates = candidates.unwrap_or_else(|| self.candidates_with_capacity(m, &need));
            self.call_among(m, &need, candidates);
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

    /// Returns whether any worker has enough free capacity for a task of a step, whether or not the
    /// task may run there. This takes no pass over workers.
    fn has_free_capacity(&self, need: &StepNeedingAdvice) -> bool {
        let spec = need.spec();
        let Some(job) = self.replicated.job(need.key.job) else { return false };
        self.capacity_index.has_free(&job.service, spec.constraint.as_ref(), &spec.size)
    }

    /// Requests advice on some of the candidates and, unless these are ample, on workers without
    /// free capacity.
    fn call_among(&mut self, m: Moment, need: &StepNeedingAdvice, candidates: Candidates) {
        let Candidates { mut workers, mut examined } = candidates;
        let expected_fits = self.expected_fits(m, &need.key, need.spec(), &need.policy);
        if expected_fits.is_some() || !is_ample(need, &workers) {
            let full = self.full_candidates(m, need);
            workers.extend(full.workers);
            examined += full.examined;
        }
        let choice = self.advice_scheduler.choose(m.now, &need.as_need(), workers, expected_fits);
        if !self.call(m, need, choice) {
            self.plan_state.examined += examined;
        }
    }

    /// Starts a call if one is worth it. Returns whether it was started.
    fn call(&mut self, m: Moment, need: &StepNeedingAdvice, choice: AdviceSelection) -> bool {
        let Some(call) = self.advice_scheduler.call(m.now, &need.as_need(), choice) else {
            return false;
        };
        let (by, named, tasks) = (&call.caller, call.workers.len(), need.tasks);
        self.log_event(
            &kinds::ADVICE_ASKED,
            need.key,
            format!("by={by} named={named} tasks={tasks}"),
        );
        self.act(Action::RequestAdvice(call));
        true
    }

    /// Returns workers that a call may name: those known to be allowed, and others until enough of
    /// them have capacity. A fleet with much free capacity has far more candidates than a call can
    /// name. The next search goes on where this one ended, so that all workers get their turn.
    fn candidates_with_capacity(&mut self, m: Moment, need: &StepNeedingAdvice) -> Candidates {
        self.plan_state.scans += 1;
        let (key, spec) = (&need.key, need.spec());
        let Some(job) = self.replicated.job(key.job) else { return Candidates::default() };
        let service = job.service.clone();
        // Workers with fresh tickets count only towards the capacity for a gang. A backlog has many
        // steps with tickets for most workers, none of which is due for renewal.
        let counts_all = spec.gang && self.has_free_capacity(need);
        let is_askable = |id: &&WorkerId| {
            counts_all || self.advice_scheduler.is_askable(m.now, key, &need.policy, id)
        };
        let allowed = self.advice_scheduler.allowed(key);
        let mut examined = allowed.len() as u64;
        let allowed = allowed.iter().filter(is_askable);
        let mut workers: Vec<AdviceCandidate> =
            allowed.filter_map(|id| self.suitable_candidate(m, need, id)).collect();
        let enough = ADVICE_CANDIDATES_WITH_CAPACITY.max(need.tasks as usize);
        let group = self.capacity_index.group(&service, spec.constraint.as_ref());
        let free = group.into_iter().flat_map(|g| g.with_free_from(g.next_free, &spec.size));
        let (mut with_capacity, mut next) = (0, 0);
        for (slot, id) in free {
            examined += 1;
            if self.is_known(key, id) {
                continue;
            }
            let candidate = self.suitable_candidate(m, need, id).filter(|c| c.fits > 0);
            with_capacity += usize::from(candidate.is_some());
            workers.extend(candidate);
            if with_capacity >= enough {
                next = slot + 1;
                break;
            }
        }
        if let Some(group) = self.capacity_index.group_mut(&service, spec.constraint.as_ref()) {
            group.next_free = next;
        }
        self.plan_state.workers_scanned += examined;
        Candidates { workers, examined }
    }

    /// Returns workers without capacity for a task of a step that may be allowed. Only some workers
    /// are examined, and the next search goes on behind them.
    fn full_candidates(&mut self, m: Moment, need: &StepNeedingAdvice) -> Candidates {
        let (key, spec) = (&need.key, need.spec());
        let Some(job) = self.replicated.job(key.job) else { return Candidates::default() };
        let service = job.service.clone();
        let group = self.capacity_index.group(&service, spec.constraint.as_ref());
        let members = group.into_iter().flat_map(|g| g.members_from(g.next_full));
        let (mut workers, mut examined, mut next) = (Vec::new(), 0, 0);
        for (slot, id) in members {
            if examined >= ADVICE_FULL_WORKERS_EXAMINED {
                next = slot;
                break;
            }
            examined += 1;
            if !self.is_known(key, id) {
                workers.extend(self.suitable_candidate(m, need, id).filter(|c| c.fits == 0));
            }
        }
        if let Some(group) = self.capacity_index.group_mut(&service, spec.constraint.as_ref()) {
            group.next_full = next;
        }
        let examined = examined as u64;
        self.plan_state.workers_scanned += examined;
        Candidates { workers, examined }
    }

    /// Returns whether it is known if a step is allowed on a worker.
    fn is_known(&self, key: &StepKey, id: &WorkerId) -> bool {
        self.advice_scheduler.is_allowed(key, id)
            || self.advice_scheduler.disallowed(key).contains(id)
    }

    /// Returns a worker as a candidate for a call, unless it is not suitable.
    fn suitable_candidate(
        &self,
        m: Moment,
        need: &StepNeedingAdvice,
        id: &WorkerId,
    ) -> Option<AdviceCandidate> {
        let (key, spec) = (&need.key, need.spec());
        let worker = self.suitable_worker(m, need.worker_tier, key, spec, id)?;
        Some(self.advice_candidate(key, spec, worker))
    }

    fn advice_candidate(&self, key: &StepKey, spec: &StepSpec, worker: &Worker) -> AdviceCandidate {
        let fits = fits(spec, &self.free_capacity_for(spec, worker))
            .min(max_additional_tasks(key, spec, worker));
        let is_too_slow = self.is_too_slow(key, spec, worker);
        AdviceCandidate { worker: worker.info.id.clone(), fits, is_too_slow }
    }
}

/// Returns whether a call finds enough candidates with capacity among these, however few of them are
/// allowed, so that it names no workers without capacity.
fn is_ample(need: &StepNeedingAdvice, candidates: &[AdviceCandidate]) -> bool {
    let with_capacity = candidates.iter().filter(|c| c.fits > 0);
    let tasks: u64 = with_capacity.clone().map(|c| c.fits.min(need.tasks)).sum();
    with_capacity.count() >= ADVICE_MAX_WORKERS || tasks >= need.tasks * AMPLE_CAPACITY_PER_TASK
}
