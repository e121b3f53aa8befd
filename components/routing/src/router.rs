//! The router: admission, dispatch, load shedding and retries.

use std::collections::BTreeMap;

use clock::Millis;
use model::{Class, Epoch, InstanceId, Name, Refusal};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::broker::{BorrowedSlots, Demand, UpstreamDemand};
use crate::budget::RetryBudget;
use crate::queue::{Position, WaitQueue, WaitingRequest};
use crate::request::RequestInfo;
use crate::slot_share::{SlotSharing, base_share};
use crate::upstream::{MICROS_PER_MILLI, Target, TargetState};
use crate::upstream_selection::{Candidate, SelectionPolicy};

/// The fraction of the queue limit that the expected wait may reach for each class, in percent.
const CLASS_QUEUE_PERCENT: [(Class, u64); 3] =
    [(Class::Urgent, 100), (Class::Normal, 60), (Class::Bulk, 25)];
/// The assumed duration of a request until the first answers, in microseconds.
const INITIAL_LATENCY: u64 = 10 * MICROS_PER_MILLI;
/// The minimum time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Millis = Millis(50);
/// The number of free slots that an instance requests in advance, beyond those in use.
const SLOTS_AHEAD: u32 = 2;
/// The time after which a caller is told to retry when no upstream is known.
const NO_UPSTREAM_RETRY_AFTER: Millis = Millis(1_000);

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// How the instances of a zone divide an upstream's slots.
    pub sharing: SlotSharing,
    /// The policy by which an upstream is selected.
    pub selection: SelectionPolicy,
    /// The slots of an upstream, over all instances.
    pub slots: u32,
    /// The maximum number of instances in a zone.
    pub instances: u32,
    /// The maximum time that a request may wait in this instance.
    pub queue_limit: Millis,
    /// The number of retries allowed for each hundred successes.
    pub retry_percent: u32,
}

/// The decision on a new request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it to this upstream now.
    Send(Name),
    /// It is queued; its dispatch or refusal follows later.
    Wait,
    /// Refuse it.
    Refuse {
        /// The reason.
        reason: Refusal,
        /// The time after which to retry.
        retry_after: Millis,
    },
}

/// The decision on a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dispatch {
    /// Send it.
    Send {
        /// The request.
        id: u64,
        /// The upstream to send it to.
        upstream: Name,
        /// How long it waited.
        waited: Millis,
    },
    /// Refuse it.
    Refuse {
        /// The request.
        id: u64,
        /// The reason.
        reason: Refusal,
        /// The time after which to retry.
        retry_after: Millis,
    },
}

/// The outcome of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered.
    Answered {
        /// The duration of the request, in microseconds.
        micros: u64,
        /// The load that the upstream reported, if it did.
        load: Option<u32>,
    },
    /// The upstream reported that it is full, and did not run the request.
    Busy,
    /// The upstream failed.
    Failed,
    /// The caller abandoned the request, which says nothing about the upstream.
    Abandoned,
}

/// The router of one instance.
#[derive(Clone, Debug)]
pub struct Router {
    cfg: RouterConfig,
    targets: Vec<Target>,
    indices: BTreeMap<Name, usize>,
    queue: WaitQueue,
    budget: RetryBudget,
    loans: BorrowedSlots,
    rng: StdRng,
    latency: u64,
}

impl Router {
    /// Creates a router without upstreams for a process whose number grows with each restart.
    pub fn new(cfg: RouterConfig, seed: u64, process: u64) -> Router {
        Router {
            budget: RetryBudget::new(cfg.retry_percent),
            cfg,
            targets: Vec::new(),
            indices: BTreeMap::new(),
            queue: WaitQueue::default(),
            loans: BorrowedSlots::new(process),
            rng: StdRng::seed_from_u64(seed),
            latency: INITIAL_LATENCY,
        }
    }

    /// Applies changed settings.
    pub fn configure(&mut self, cfg: RouterConfig) {
        self.budget.set_percent(cfg.retry_percent);
        self.cfg = cfg;
    }

    /// Replaces the list of upstreams. An upstream that is missing from it counts as leaving until
    /// its last request has ended, and is then dropped.
    pub fn set_targets(&mut self, listed: &BTreeMap<Name, TargetState>) {
        for (name, state) in listed {
            match self.indices.get(name) {
                Some(&index) => self.targets[index].state = *state,
                None => {
                    self.indices.insert(name.clone(), self.targets.len());
                    let mut target = Target::new(name.clone());
                    target.state = *state;
                    self.targets.push(target);
                }
            }
        }
        for target in &mut self.targets {
            if !listed.contains_key(&target.name) {
                target.state = TargetState::Leaving;
            }
        }
        self.targets.retain(|t| listed.contains_key(&t.name) || t.in_flight > 0);
        self.indices = self.targets.iter().enumerate().map(|(i, t)| (t.name.clone(), i)).collect();
    }

    /// Marks an upstream as leaving immediately, whatever the list says.
    pub fn note_leaving(&mut self, name: &Name) {
        if let Some(&index) = self.indices.get(name) {
            self.targets[index].state = TargetState::Leaving;
        }
    }

    /// Returns the borrowed slots.
    pub fn loans_mut(&mut self) -> &mut BorrowedSlots {
        &mut self.loans
    }

    /// Returns the upstreams with this instance's share of each.
    pub fn targets(&self, now: Millis) -> impl Iterator<Item = (&Target, u32)> {
        self.targets.iter().map(move |t| (t, self.share(now, &t.name)))
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn base(&self) -> u32 {
        base_share(self.cfg.sharing, self.cfg.slots, self.cfg.instances)
    }

    fn share(&self, now: Millis, name: &Name) -> u32 {
        self.base() + self.loans.slots(now, name)
    }

    /// Decides whether a new request is sent, queued or refused.
    pub fn admit(&mut self, now: Millis, info: RequestInfo) -> Admission {
        if now >= info.deadline {
            let retry_after = MIN_RETRY_AFTER;
            return Admission::Refuse { reason: Refusal::DeadlinePassed, retry_after };
        }
        if let Some(index) = self.choose(now, |queue, name| queue.is_first_for(&info, name)) {
            return Admission::Send(self.start(index));
        }
        self.wait_or_refuse(now, info)
    }

    fn wait_or_refuse(&mut self, now: Millis, info: RequestInfo) -> Admission {
        if !self.targets.iter().any(|t| t.state == TargetState::Live) {
            let retry_after = NO_UPSTREAM_RETRY_AFTER;
            return Admission::Refuse { reason: Refusal::NoUpstream, retry_after };
        }
        let wait = self.expected_wait(now, self.queue.ahead_of(info.class) + 1);
        let percent =
            CLASS_QUEUE_PERCENT.iter().find(|(c, _)| *c == info.class).map_or(100, |(_, p)| *p);
        let limit = Millis(self.cfg.queue_limit.0 * percent / 100);
        if wait > limit {
            let retry_after = wait.max(MIN_RETRY_AFTER);
            return Admission::Refuse { reason: Refusal::Overloaded, retry_after };
        }
        if now + wait >= info.deadline {
            let retry_after = wait.max(MIN_RETRY_AFTER);
            return Admission::Refuse { reason: Refusal::DeadlinePassed, retry_after };
        }
        self.queue.push(now, info);
        Admission::Wait
    }

    /// Returns how long the `n`th request in the queue is expected to wait.
    fn expected_wait(&self, now: Millis, n: usize) -> Millis {
        let shares = self.targets(now).filter(|(t, _)| t.state == TargetState::Live);
        let slots: u64 = shares.map(|(_, share)| u64::from(share)).sum();
        Millis(self.latency * n as u64 / slots.max(1) / MICROS_PER_MILLI)
    }

    /// Selects an upstream with free slots among those for which `may_go` holds.
    fn choose(&mut self, now: Millis, may_go: impl Fn(&WaitQueue, &Name) -> bool) -> Option<usize> {
        let (base, loans, queue) = (self.base(), &self.loans, &self.queue);
        let candidates = self.targets.iter().enumerate().map(|(index, target)| Candidate {
            index,
            target,
            share: base + loans.slots(now, &target.name),
        });
        let allowed = candidates.filter(|c| may_go(queue, &c.target.name));
        self.cfg.selection.choose(now, &mut self.rng, allowed)
    }

    fn start(&mut self, index: usize) -> Name {
        let target = &mut self.targets[index];
        target.in_flight += 1;
        target.name.clone()
    }

    /// Records the end of a request at an upstream, and dispatches queued requests into the slots
    /// that are free now.
    pub fn ended(&mut self, now: Millis, upstream: &Name, ending: RequestOutcome) -> Vec<Dispatch> {
        let share = self.share(now, upstream);
        if let Some(&index) = self.indices.get(upstream) {
            let target = &mut self.targets[index];
            target.in_flight = target.in_flight.saturating_sub(1);
            match ending {
                RequestOutcome::Answered { micros, load } => {
                    target.note_success(micros, share);
                    target.reported_load = load.unwrap_or(target.reported_load);
                    self.latency = self.latency - self.latency / 16 + micros / 16;
                    self.budget.earn();
                }
                RequestOutcome::Busy => target.note_busy(share),
                RequestOutcome::Failed => target.note_failure(now),
                RequestOutcome::Abandoned => {}
            }
        }
        self.dispatch(now)
    }

    /// Refuses the requests that have waited too long, and dispatches others into free slots.
    pub fn tick(&mut self, now: Millis) -> Vec<Dispatch> {
        let limit = self.cfg.queue_limit;
        let late =
            self.queue.remove_matching(|w| now >= w.info.deadline || now.since(w.since) > limit);
        let mut out: Vec<Dispatch> = late.iter().map(|w| self.refuse_late(now, w)).collect();
        out.extend(self.dispatch(now));
        out
    }

    fn refuse_late(&self, now: Millis, w: &WaitingRequest) -> Dispatch {
        let reason = match now >= w.info.deadline {
            true => Refusal::DeadlinePassed,
            false => Refusal::Overloaded,
        };
        let wait = self.expected_wait(now, self.queue.len() + 1);
        Dispatch::Refuse { id: w.info.id, reason, retry_after: wait.max(MIN_RETRY_AFTER) }
    }

    /// Limits the ejected upstreams to half of the live ones by letting the others be tried again
    /// soon. When most upstreams fail, the requests or a common cause are more likely at fault, and
    /// each request has to find an upstream within the time that it may wait.
    fn limit_ejections(&mut self, now: Millis) {
        let live = self.targets.iter().filter(|t| t.state == TargetState::Live).count();
        let targets = self.targets.iter_mut();
        let mut ejected: Vec<&mut Target> = targets.filter(|t| t.is_ejected(now)).collect();
        let beyond = ejected.len().saturating_sub(live / 2);
        ejected.sort_by_key(|t| t.ejection_end());
        let soon = now + Millis(self.cfg.queue_limit.0 / 2);
        ejected.into_iter().take(beyond).for_each(|t| t.shorten_ejection(soon));
    }

    fn dispatch(&mut self, now: Millis) -> Vec<Dispatch> {
        self.limit_ejections(now);
        let mut out = Vec::new();
        while let Some(position) = self.first_to_send(now) {
            let may_go = |queue: &WaitQueue, name: &Name| {
                queue.get(position).is_some_and(|w| w.info.may_go_to(name))
            };
            let Some(index) = self.choose(now, may_go) else { break };
            let Some(w) = self.queue.remove(position) else { break };
            let upstream = self.start(index);
            out.push(Dispatch::Send { id: w.info.id, upstream, waited: now.since(w.since) });
        }
        out
    }

    /// Returns the position of the first request that may go to an upstream with free slots. It
    /// skips retries that may not: otherwise a retry that is barred from the only free upstream
    /// would block all requests behind it.
    fn first_to_send(&self, now: Millis) -> Option<Position> {
        if self.queue.len() == 0 {
            return None;
        }
        let available = self.targets(now).filter(|(t, share)| t.free_slots(now, *share) > 0);
        let free: Vec<&Name> = available.map(|(t, _)| &t.name).collect();
        if free.is_empty() {
            return None;
        }
        self.queue.find(|w| free.iter().any(|name| w.info.may_go_to(name)))
    }

    /// Frees a place in the queue for urgent work by refusing the newest request of a lower class.
    pub fn shed_below(&mut self, now: Millis, class: Class) -> Option<Dispatch> {
        let w = self.queue.shed_below(class)?;
        let retry_after = self.expected_wait(now, self.queue.len() + 1).max(MIN_RETRY_AFTER);
        Some(Dispatch::Refuse { id: w.info.id, reason: Refusal::Overloaded, retry_after })
    }

    /// Removes a queued request whose caller has gone.
    pub fn cancel(&mut self, id: u64) {
        self.queue.remove_matching(|w| w.info.id == id);
    }

    /// Returns whether a request may be retried, and pays for the retry.
    pub fn may_retry(&mut self, now: Millis, info: &RequestInfo) -> bool {
        let untried = self
            .targets
            .iter()
            .any(|t| t.state == TargetState::Live && !info.tried.contains(&t.name));
        untried && now < info.deadline && self.budget.spend()
    }

    /// Returns the demand to send to the broker: the slots in use beyond the instance's own share,
    /// and those wanted for queued requests.
    pub fn demand(&mut self, now: Millis, epoch: Epoch, instance: &InstanceId) -> Demand {
        let base = self.base();
        let live = self.targets.iter().filter(|t| t.state == TargetState::Live).count().max(1);
        let queued = self.queue.len().div_ceil(live) as u32;
        let demand_for = |t: &Target| {
            let used = t.in_flight.saturating_sub(base);
            // A loan takes a while to arrive, so some slots are requested before they are needed.
            let ahead = (t.in_flight + SLOTS_AHEAD).saturating_sub(base);
            let live = t.state == TargetState::Live;
            let wanted = if live { ahead + queued } else { 0 };
            let held = self.loans.slots(now, &t.name);
            UpstreamDemand { upstream: t.name.clone(), used, held, wanted }
        };
        let upstream_demands = self.targets.iter().map(demand_for).collect();
        self.loans.demand(now, epoch, instance, upstream_demands)
    }
}
