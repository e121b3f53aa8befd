//! Advice: which workers may run a step. The advice service takes one call at a time from each
//! instance and answers slowly, so calls are spread over instances, name only workers that could
//! take a task, and are made ahead of need.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{InstanceId, Name};
use workload::{AdvicePolicy, OpenStep, StepKey, WorkerId};

use crate::advice_reserve::AdviceReserve;
use crate::limits::{
    ADVICE_AMPLE_CAPACITY_FACTOR, ADVICE_CALLER_BACKOFF, ADVICE_CAPACITY_FACTOR,
    ADVICE_MAX_FULL_WORKERS, ADVICE_MAX_WORKERS, ADVICE_MIN_WORKERS, ADVICE_NAMED_FRACTION,
    ADVICE_OVERDUE_FACTOR, ADVICE_OVERDUE_MARGIN, AGED_CALLERS_DIVISOR, MAX_SHORT_ADVICE_MS,
    MIN_ADVICE_INTERVAL, MIN_REEXAMINE_INTERVAL, MIN_TICKET_VALIDITY, NO_CANDIDATES_PAUSE,
    SHORT_ADVICE_WORKERS,
};

/// Returns how long a call that names so many workers takes, in milliseconds.
pub(crate) fn cost_ms(policy: &AdvicePolicy, workers: usize) -> f64 {
    policy.base_ms + policy.per_worker_ms * workers as f64
}

/// Returns the minimum number of workers that a call names. Where steps wait for an instance to
/// make a call, a long one names as many as make it half as long again as one that names nobody,
/// since each call that names too few is followed by another. Where the workers named so far are
/// expected to be ample, naming more only keeps the instance from the other steps for longer.
fn min_named_workers(policy: &AdvicePolicy, lacked_callers: bool, is_ample: bool) -> usize {
    if is_short(policy) || !lacked_callers || is_ample {
        return ADVICE_MIN_WORKERS;
    }
    let workers = policy.base_ms * ADVICE_NAMED_FRACTION / policy.per_worker_ms;
    (workers as usize).clamp(ADVICE_MIN_WORKERS, ADVICE_MAX_WORKERS)
}

/// Returns whether calls under a policy are short, so that no instances are reserved against them.
pub(crate) fn is_short(policy: &AdvicePolicy) -> bool {
    cost_ms(policy, ADVICE_MIN_WORKERS) <= MAX_SHORT_ADVICE_MS
}

/// A call for advice that an instance is to make.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// The number that identifies the answer.
    pub id: u64,
    /// The instance that makes the call.
    pub caller: InstanceId,
    /// The step that advice is requested on.
    pub step: StepKey,
    /// The workers that the call asks about.
    pub workers: Vec<WorkerId>,
}

/// Permission to run a step on a worker.
#[derive(Clone, Debug)]
struct Ticket {
    text: Name,
    until: Millis,
}

/// What is known about one step. Which workers are allowed never changes; tickets expire.
#[derive(Clone, Debug, Default)]
struct StepAdvice {
    tickets: BTreeMap<WorkerId, Ticket>,
    allowed: BTreeSet<WorkerId>,
    disallowed: BTreeSet<WorkerId>,
    pending_call: Option<u64>,
    next_call_at: Millis,
    /// Since when the step has needed a call and no instance was free to make it.
    lacks_caller_since: Option<Millis>,
    /// Set if the last examination found no worker with free capacity.
    capacity_wait: Option<CapacityWait>,
}

/// A step for which no free capacity was found.
#[derive(Clone, Copy, Debug)]
struct CapacityWait {
    examined_at: Millis,
    policy: AdvicePolicy,
}

impl StepAdvice {
    /// Returns how long before its end a ticket is renewed, so that freed capacity is used
    /// immediately.
    fn renewal_lead(&self, policy: &AdvicePolicy) -> Millis {
        Millis(cost_ms(policy, self.allowed.len()) as u64) + MIN_TICKET_VALIDITY
    }

    /// Returns whether a call may name a worker: it may be allowed, and its ticket, if any, is due
    /// for renewal.
    fn is_askable(&self, now: Millis, policy: &AdvicePolicy, worker: &WorkerId) -> bool {
        let is_fresh = |t: &Ticket| t.until > now + self.renewal_lead(policy);
        !self.disallowed.contains(worker) && !self.tickets.get(worker).is_some_and(is_fresh)
    }

    /// Returns when to look for workers to ask about again after none was found: when the first
    /// ticket is due for renewal, or after a pause.
    fn next_examination(&self, now: Millis, renewal_lead: Millis) -> Millis {
        let due = self.tickets.values().map(|t| t.until.since(renewal_lead));
        // A ticket that was not renewed in time belongs to a worker that is not usable.
        let first_due = due.filter(|t| *t > now).min();
        let pause = now + NO_CANDIDATES_PAUSE;
        first_due.unwrap_or(pause).min(pause).max(now + MIN_ADVICE_INTERVAL)
    }
}

/// A call in flight.
#[derive(Clone, Debug)]
struct PendingCall {
    step: StepKey,
    queue: Name,
    caller: InstanceId,
    workers: Vec<WorkerId>,
    /// When another instance is asked.
    overdue_at: Millis,
    /// Whether another instance may have been asked. A late answer still counts.
    overdue: bool,
    advice_priority: AdvicePriority,
}

/// How often workers were allowed, of those asked about.
#[derive(Clone, Copy, Debug)]
struct Rate {
    allowed: f64,
    asked: f64,
}

/// A worker that could take tasks of a step now.
pub(crate) struct AdviceCandidate {
    pub(crate) worker: WorkerId,
    /// How many tasks of the step it has capacity for.
    pub(crate) fits: u64,
    /// Whether its machine is too slow for the step.
    pub(crate) is_too_slow: bool,
}

/// What a call is needed for.
pub(crate) struct AdviceNeed<'a> {
    pub(crate) step: StepKey,
    pub(crate) queue: &'a Name,
    pub(crate) policy: AdvicePolicy,
    /// How many tasks wait, or will.
    pub(crate) tasks: u64,
    /// Whether the tasks start all together or not at all.
    pub(crate) gang: bool,
    pub(crate) advice_priority: AdvicePriority,
}

/// How many of the instances reserved for short calls a long call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdvicePriority {
    /// None.
    Normal,
    /// None, but before usual calls and for a limited part of all instances: the step has long
    /// lacked a call.
    Aged,
    /// Half of them: a long-running task is overdue.
    Overdue,
}

/// The workers that a call is to name; empty if none is worth a call.
pub(crate) struct AdviceSelection {
    workers: Vec<WorkerId>,
}

/// All known advice, and the calls in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdviceScheduler {
    steps: BTreeMap<StepKey, StepAdvice>,
    calls: BTreeMap<u64, PendingCall>,
    callers: BTreeSet<InstanceId>,
    busy: BTreeSet<InstanceId>,
    /// How many instances are free to make calls in the current plan. Counting them for each of
    /// hundreds of steps would take as long as the rest of a plan.
    idle_caller_count: usize,
    /// How many instances are reserved for short calls.
    reserved_callers: usize,
    reserve: AdviceReserve,
    /// Whether steps needed calls in the last plan that no instance was free to make.
    lacked_callers: bool,
    /// The instances in backoff because their last call got no answer, with its end.
    in_backoff: BTreeMap<InstanceId, Millis>,
    rates: BTreeMap<Name, Rate>,
    next_id: u64,
    /// The steps waiting for capacity that the current plan re-examines as if they could start.
    to_reexamine: BTreeSet<StepKey>,
    /// When to request advice on steps that are not open yet.
    ahead: BTreeMap<StepKey, (Millis, OpenStep)>,
}

/// What is known of a step on which no advice was requested yet.
static NO_WORKERS: BTreeSet<WorkerId> = BTreeSet::new();

/// The distance between the first call numbers of two consecutive terms. No term makes as many
/// calls.
const CALL_IDS_PER_TERM: u64 = 1 << 32;

impl AdviceScheduler {
    /// Creates a scheduler without advice. The call numbers of each term are distinct, since an
    /// instance that leads again may still get answers to calls of an earlier term.
    pub(crate) fn for_term(term: u64) -> AdviceScheduler {
        AdviceScheduler {
            next_id: term.wrapping_mul(CALL_IDS_PER_TERM),
            ..AdviceScheduler::default()
        }
    }

    /// Sets the instances that can make calls.
    pub(crate) fn set_callers(&mut self, callers: BTreeSet<InstanceId>) {
        self.callers = callers;
    }

    /// Returns the instances that are free to make a call.
    fn idle_callers(&self, now: Millis) -> impl Iterator<Item = &InstanceId> {
        let is_in_backoff =
            move |c: &InstanceId| self.in_backoff.get(c).is_some_and(|until| now < *until);
        self.callers.iter().filter(move |c| !self.busy.contains(*c) && !is_in_backoff(c))
    }

    /// Returns the number of [`AdviceScheduler::idle_callers`]. Only the few instances that are not
    /// idle are looked at: there are hundreds in all, and each plan counts them.
    fn count_idle_callers(&self, now: Millis) -> usize {
        let busy = self.busy.iter().filter(|c| self.callers.contains(*c)).count();
        let in_backoff = self.in_backoff.iter().filter(|(c, until)| {
            now < **until && self.callers.contains(*c) && !self.busy.contains(*c)
        });
        self.callers.len() - busy - in_backoff.count()
    }

    /// Returns how many instances must be free for a call to be made. The service processes the
    /// calls of an instance one after the other, so some instances are reserved for short calls.
    fn min_idle_callers(&self, policy: &AdvicePolicy, advice_priority: AdvicePriority) -> usize {
        match advice_priority {
            _ if is_short(policy) => 1,
            AdvicePriority::Normal | AdvicePriority::Aged => self.reserved_callers + 1,
            AdvicePriority::Overdue => self.reserved_callers / 2 + 1,
        }
    }

    /// Returns whether an instance is free to make a call in the current plan.
    fn has_caller(&self, policy: &AdvicePolicy, advice_priority: AdvicePriority) -> bool {
        let may_call = advice_priority != AdvicePriority::Aged
            || self.aged_calls() * AGED_CALLERS_DIVISOR < self.callers.len();
        may_call && self.idle_caller_count >= self.min_idle_callers(policy, advice_priority)
    }

    /// Returns how many calls are in flight for steps that had long lacked one.
    fn aged_calls(&self) -> usize {
        self.calls.values().filter(|c| c.advice_priority == AdvicePriority::Aged).count()
    }

    /// Returns since when a step has needed a call that no instance was free to make.
    pub(crate) fn lacks_caller_since(&self, step: &StepKey) -> Option<Millis> {
        self.steps.get(step)?.lacks_caller_since
    }

    /// Records that a step needs a call and that no instance is free to make it.
    pub(crate) fn record_missing_caller(&mut self, now: Millis, step: &StepKey) {
        self.steps.entry(*step).or_default().lacks_caller_since.get_or_insert(now);
    }

    /// Returns whether so many instances are free to make a call that one for a step without any
    /// capacity in sight takes none from the others.
    pub(crate) fn has_ample_callers(&self) -> bool {
        self.idle_caller_count * 4 > self.callers.len()
    }

    /// Returns how many instances can make calls.
    pub(crate) fn callers(&self) -> usize {
        self.callers.len()
    }

    /// Returns how many instances wait for the answer to a call.
    pub(crate) fn busy_callers(&self) -> usize {
        self.busy.len()
    }

    /// Returns the workers with a usable ticket for a step, and the tickets.
    pub(crate) fn tickets(
        &self,
        step: &StepKey,
        now: Millis,
    ) -> impl Iterator<Item = (&WorkerId, &Name)> {
        let tickets = self.steps.get(step).into_iter().flat_map(|s| &s.tickets);
        tickets.filter(move |(_, t)| t.until > now + MIN_TICKET_VALIDITY).map(|(w, t)| (w, &t.text))
    }

    /// Returns the workers that are known not to be allowed.
    pub(crate) fn disallowed(&self, step: &StepKey) -> &BTreeSet<WorkerId> {
        self.steps.get(step).map_or(&NO_WORKERS, |s| &s.disallowed)
    }

    /// Returns whether a worker is known to be allowed, with or without a ticket.
    pub(crate) fn is_allowed(&self, step: &StepKey, worker: &WorkerId) -> bool {
        self.steps.get(step).is_some_and(|s| s.allowed.contains(worker))
    }

    /// Returns the workers that are known to be allowed, with or without a ticket.
    pub(crate) fn allowed(&self, step: &StepKey) -> &BTreeSet<WorkerId> {
        self.steps.get(step).map_or(&NO_WORKERS, |s| &s.allowed)
    }

    /// Drops a ticket that a worker rejected.
    pub(crate) fn drop_ticket(&mut self, step: &StepKey, worker: &WorkerId) {
        if let Some(s) = self.steps.get_mut(step) {
            s.tickets.remove(worker);
        }
    }

    /// Records that advice on a step will be needed.
    pub(crate) fn schedule_ahead(&mut self, at: Millis, entry: OpenStep) {
        if !self.steps.contains_key(&entry.key) {
            self.ahead.entry(entry.key).or_insert((at, entry));
        }
    }

    /// Returns the steps whose advice is due ahead of need, the most urgent first.
    pub(crate) fn due_ahead(&mut self, now: Millis) -> Vec<OpenStep> {
        let mut due: Vec<OpenStep> =
            self.ahead.values().filter(|(at, _)| *at <= now).map(|(_, e)| *e).collect();
        due.sort_unstable();
        due
    }

    /// Records that a step needs no advice ahead any more.
    pub(crate) fn forget_ahead(&mut self, step: &StepKey) {
        self.ahead.remove(step);
    }

    /// Drops what is known about steps that are no longer needed.
    pub(crate) fn retain(&mut self, is_needed: impl Fn(&StepKey) -> bool) {
        self.steps.retain(|k, _| is_needed(k));
        self.ahead.retain(|k, _| is_needed(k));
    }

    /// Returns whether a call on a step could be made now. It is checked before workers are
    /// scanned.
    pub(crate) fn may_request(
        &self,
        step: &StepKey,
        policy: &AdvicePolicy,
        advice_priority: AdvicePriority,
        now: Millis,
    ) -> bool {
        self.is_due(step, now) && self.has_caller(policy, advice_priority)
    }

    /// Returns whether a call on a step is due and no instance is free to make it.
    pub(crate) fn lacks_caller(
        &self,
        step: &StepKey,
        policy: &AdvicePolicy,
        advice_priority: AdvicePriority,
        now: Millis,
    ) -> bool {
        self.is_due(step, now) && !self.has_caller(policy, advice_priority)
    }

    fn is_due(&self, step: &StepKey, now: Millis) -> bool {
        let is_blocked = |s: &StepAdvice| s.pending_call.is_some() || now < s.next_call_at;
        !self.steps.get(step).is_some_and(is_blocked)
    }

    /// Returns whether a step waits for capacity, so that a call on it would let no task start.
    pub(crate) fn waits_for_capacity(&self, step: &StepKey) -> bool {
        let waits = self.steps.get(step).is_some_and(|s| s.capacity_wait.is_some());
        waits && !self.to_reexamine.contains(step)
    }

    /// Marks up to `max_steps` of these steps for re-examination in the plan that begins: those
    /// waiting for capacity whose last examination is the oldest, if a call on them could be made.
    /// Capacity may have been freed where they hold no ticket.
    pub(crate) fn reexamine<'a>(
        &mut self,
        now: Millis,
        advice_priority: AdvicePriority,
        steps: impl Iterator<Item = &'a StepKey>,
        max_steps: usize,
    ) {
        let due_wait = |key: &StepKey| {
            let waiting = self.steps.get(key)?.capacity_wait?;
            let is_old_enough = now >= waiting.examined_at + MIN_REEXAMINE_INTERVAL;
            is_old_enough.then_some((waiting.examined_at, waiting.policy))
        };
        let mut waiting: Vec<(Millis, StepKey, AdvicePolicy)> =
            steps.filter_map(|key| due_wait(key).map(|(at, policy)| (at, *key, policy))).collect();
        waiting.sort_unstable_by_key(|(at, key, _)| (*at, *key));
        let may_request = |(_, key, policy): &(Millis, StepKey, AdvicePolicy)| {
            self.may_request(key, policy, advice_priority, now)
        };
        let to_reexamine =
            waiting.into_iter().filter(may_request).take(max_steps).map(|(_, key, _)| key);
        let to_reexamine: Vec<StepKey> = to_reexamine.collect();
        self.to_reexamine.extend(to_reexamine);
    }

    /// Begins a plan: clears the steps to re-examine, and counts the instances that are free and
    /// those to reserve.
    pub(crate) fn begin_plan(&mut self, now: Millis, lacked_callers: bool) {
        self.to_reexamine.clear();
        self.lacked_callers = lacked_callers;
        self.idle_caller_count = self.count_idle_callers(now);
        debug_assert_eq!(self.idle_caller_count, self.idle_callers(now).count());
        self.reserved_callers = self.reserve.reserved_instances(now, self.callers.len());
    }

    /// Records that no tasks of a step are waiting any more.
    pub(crate) fn record_all_placed(&mut self, step: &StepKey) {
        if let Some(advice) = self.steps.get_mut(step) {
            advice.capacity_wait = None;
            advice.lacks_caller_since = None;
        }
    }

    /// Records whether a waiting task of a step could start somewhere if it was allowed to.
    pub(crate) fn record_capacity(
        &mut self,
        now: Millis,
        need: &AdviceNeed<'_>,
        has_capacity: bool,
    ) {
        let wait = CapacityWait { examined_at: now, policy: need.policy };
        let advice = self.steps.entry(need.step).or_default();
        advice.capacity_wait = (!has_capacity).then_some(wait);
        // A step that waits for capacity must not keep its place before those that lack only a call.
        if !has_capacity {
            advice.lacks_caller_since = None;
        }
    }

    /// Returns whether a call on a step may name a worker: it may be allowed, and its ticket, if any,
    /// is due for renewal.
    pub(crate) fn is_askable(
        &self,
        now: Millis,
        step: &StepKey,
        policy: &AdvicePolicy,
        worker: &WorkerId,
    ) -> bool {
        self.steps.get(step).is_none_or(|s| s.is_askable(now, policy, worker))
    }

    /// Records that the free capacity that a step may use has to be examined anew.
    pub(crate) fn forget_capacity_wait(&mut self, step: &StepKey) {
        if let Some(advice) = self.steps.get_mut(step) {
            advice.capacity_wait = None;
        }
    }

    /// Returns whether a call on a step that names some of these workers could let tasks start.
    pub(crate) fn has_capacity(
        &self,
        now: Millis,
        need: &AdviceNeed<'_>,
        candidates: &[AdviceCandidate],
    ) -> bool {
        let is_askable =
            |c: &AdviceCandidate| self.is_askable(now, &need.step, &need.policy, &c.worker);
        let capacity: u64 = candidates.iter().map(|c| c.fits.min(need.tasks)).sum();
        candidates.iter().any(|c| c.fits > 0 && is_askable(c))
            && (!need.gang || capacity >= need.tasks)
    }

    /// Chooses the workers that a call on a step is to name, if one is worth it. Where
    /// capacity is scarce, each worker is expected to have room for `expected_fits` tasks while a
    /// ticket is valid.
    pub(crate) fn choose(
        &mut self,
        now: Millis,
        need: &AdviceNeed<'_>,
        candidates: Vec<AdviceCandidate>,
        expected_fits: Option<f64>,
    ) -> AdviceSelection {
        let advice = self.steps.entry(need.step).or_default();
        // A step that waits for capacity on the workers that it holds tickets for needs no others.
        let is_askable = |c: &AdviceCandidate| advice.is_askable(now, &need.policy, &c.worker);
        let held =
            candidates.iter().filter(|c| advice.allowed.contains(&c.worker) && !is_askable(c));
        let held = held.count() as f64;
        let holds_enough = expected_fits.is_some_and(|fits| held * fits >= need.tasks as f64);
        let askable: Vec<AdviceCandidate> =
            candidates.into_iter().filter(|c| !holds_enough && is_askable(c)).collect();
        let rate = self.rates.get(need.queue).map_or(0.5, |r| (r.allowed / r.asked).max(0.1));
        let known = (&advice.allowed, rate);
        let workers = select_workers(need, askable, known, expected_fits, self.lacked_callers);
        if workers.is_empty() {
            let renewal_lead = advice.renewal_lead(&need.policy);
            advice.next_call_at = advice.next_examination(now, renewal_lead);
        }
        AdviceSelection { workers }
    }

    /// Starts a call if one is due and an instance is free to make it.
    pub(crate) fn call(
        &mut self,
        now: Millis,
        need: &AdviceNeed<'_>,
        selection: AdviceSelection,
    ) -> Option<AdviceRequest> {
        let caller = self
            .idle_callers(now)
            .nth(self.min_idle_callers(&need.policy, need.advice_priority) - 1)?
            .clone();
        let advice = self.steps.entry(need.step).or_default();
        let workers = selection.workers;
        if workers.is_empty() || advice.pending_call.is_some() || now < advice.next_call_at {
            return None;
        }
        let cost = cost_ms(&need.policy, workers.len());
        self.next_id += 1;
        let id = self.next_id;
        advice.pending_call = Some(id);
        advice.lacks_caller_since = None;
        advice.next_call_at = now + MIN_ADVICE_INTERVAL;
        self.busy.insert(caller.clone());
        self.idle_caller_count = self.idle_caller_count.saturating_sub(1);
        let pending = PendingCall {
            step: need.step,
            queue: need.queue.clone(),
            caller: caller.clone(),
            workers: workers.clone(),
            overdue_at: now + Millis((cost * ADVICE_OVERDUE_FACTOR) as u64) + ADVICE_OVERDUE_MARGIN,
            overdue: false,
            advice_priority: need.advice_priority,
        };
        self.calls.insert(id, pending);
        if is_short(&need.policy) {
            self.reserve.record(now, cost);
        }
        Some(AdviceRequest { id, caller, step: need.step, workers })
    }

    /// Processes the answer to a call; `None` if there was none. Returns whether the call was in
    /// flight.
    pub(crate) fn answered(
        &mut self,
        now: Millis,
        id: u64,
        valid: Option<Millis>,
        allowed: Option<Vec<(WorkerId, Name)>>,
    ) -> bool {
        let Some(call) = self.calls.remove(&id) else { return false };
        self.busy.remove(&call.caller);
        let advice = self.steps.entry(call.step).or_default();
        if advice.pending_call == Some(id) {
            advice.pending_call = None;
        }
        let Some(allowed) = allowed else {
            advice.next_call_at = now + MIN_ADVICE_INTERVAL;
            self.in_backoff.insert(call.caller, now + ADVICE_CALLER_BACKOFF);
            return true;
        };
        self.in_backoff.remove(&call.caller);
        let rate = self.rates.entry(call.queue).or_insert(Rate { allowed: 1.0, asked: 2.0 });
        // The past decays, so that the rate follows a policy that changes.
        rate.allowed = rate.allowed * 0.9 + allowed.len() as f64;
        rate.asked = rate.asked * 0.9 + call.workers.len() as f64;
        advice.disallowed.extend(call.workers);
        let until = now + valid.unwrap_or_default();
        for (worker, text) in allowed {
            advice.disallowed.remove(&worker);
            advice.allowed.insert(worker.clone());
            advice.tickets.insert(worker, Ticket { text, until });
        }
        true
    }

    /// Lets another instance be asked where a call takes too long, and drops a call once no answer
    /// can arrive.
    pub(crate) fn expire(&mut self, now: Millis) {
        let mut expired = Vec::new();
        for (id, call) in &mut self.calls {
            if now >= call.overdue_at + ADVICE_CALLER_BACKOFF {
                expired.push(*id);
            } else if now >= call.overdue_at && !call.overdue {
                call.overdue = true;
                self.in_backoff
                    .insert(call.caller.clone(), call.overdue_at + ADVICE_CALLER_BACKOFF);
                if let Some(advice) = self.steps.get_mut(&call.step) {
                    advice.pending_call = None;
                    advice.next_call_at = now + MIN_ADVICE_INTERVAL;
                }
            }
        }
        for id in expired {
            if let Some(call) = self.calls.remove(&id) {
                self.busy.remove(&call.caller);
            }
        }
    }
}

/// Chooses the workers that a call names: those with free capacity, the ones known to be allowed
/// first, until the tasks probably find enough of it; where they do not, also workers that are full
/// now.
fn select_workers(
    need: &AdviceNeed<'_>,
    mut askable: Vec<AdviceCandidate>,
    (allowed, rate): (&BTreeSet<WorkerId>, f64),
    expected_fits: Option<f64>,
    lacked_callers: bool,
) -> Vec<WorkerId> {
    // Caching the key avoids looking up who is allowed at each comparison, which would cost more
    // than the sort.
    askable.sort_by_cached_key(|c| {
        (c.fits == 0, c.is_too_slow, !allowed.contains(&c.worker), std::cmp::Reverse(c.fits))
    });
    let all_short = cost_ms(&need.policy, askable.len()) <= MAX_SHORT_ADVICE_MS;
    let needed = need.tasks as f64 * ADVICE_CAPACITY_FACTOR;
    let max_full =
        if is_short(&need.policy) { ADVICE_MAX_WORKERS } else { ADVICE_MAX_FULL_WORKERS };
    let mut workers = Vec::new();
    let mut expected = 0.0;
    let mut full_named = 0;
    for c in askable.into_iter().take(ADVICE_MAX_WORKERS) {
        let is_known = allowed.contains(&c.worker);
        let min_named = if all_short {
            SHORT_ADVICE_WORKERS
        } else {
            let is_ample = expected >= needed * ADVICE_AMPLE_CAPACITY_FACTOR;
            min_named_workers(&need.policy, lacked_callers, is_ample)
        };
        let named_enough = (is_known && !all_short) || workers.len() >= min_named;
        if expected >= needed && (c.fits == 0 || named_enough) {
            break;
        }
        full_named += usize::from(c.fits == 0);
        // Where runs end often, a step finds its capacity on many workers that are full now.
        let is_due_soon = expected_fits.is_some() && expected < needed;
        if full_named > max_full && !is_due_soon {
            break;
        }
        // What is free now is taken by other steps until the answer arrives.
        let fits = expected_fits.unwrap_or(c.fits.min(need.tasks) as f64);
        expected += fits * if is_known { 1.0 } else { rate };
        workers.push(c.worker);
    }
    workers
}
