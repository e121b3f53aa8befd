//! The router: admission, dispatch, shedding and retries.

use std::collections::BTreeMap;

use clock::Millis;
use model::{Class, Epoch, InstanceId, Name, Refusal};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::broker::{BorrowedSlots, Demand, UpstreamDemand};
use crate::budget::RetryBudget;
use crate::queue::{Spot, WaitQueue, Waiting};
use crate::request::RequestInfo;
use crate::slot_share::{SlotSharing, base_share};
use crate::upstream::{MICROS, Target, TargetState};
use crate::upstream_selection::{Candidate, SelectionPolicy};

/// The part of the queue's limit that each class may see ahead of it, in percent.
const CLASS_PERCENT: [(Class, u64); 3] =
    [(Class::Urgent, 100), (Class::Normal, 60), (Class::Bulk, 25)];
/// What a request is thought to take while nothing is known, in thousandths of a millisecond.
const UNKNOWN_LATENCY: u64 = 10 * MICROS;
/// The shortest time after which a refused caller is told to come back.
const SHORTEST_RETRY_AFTER: Millis = Millis(50);
/// How many slots beyond those in use an instance asks for.
const SLOTS_AHEAD: u32 = 2;
/// After how long a caller is told to come back when no upstream is known.
const NO_UPSTREAM_RETRY_AFTER: Millis = Millis(1_000);

/// The rules a router follows.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// How the instances of a zone divide an upstream's slots.
    pub sharing: SlotSharing,
    /// How an upstream is picked.
    pub selection: SelectionPolicy,
    /// An upstream's slots, over all instances.
    pub slots: u32,
    /// The most instances a zone has.
    pub instances: u32,
    /// The longest a request may wait here.
    pub queue_limit: Millis,
    /// Retries for each hundred successes.
    pub retry_percent: u32,
}

/// What becomes of a request that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it there now.
    Send(Name),
    /// It waits; its dispatch or refusal comes later.
    Wait,
    /// It is refused.
    Refuse {
        /// Why.
        reason: Refusal,
        /// When to come back.
        retry_after: Millis,
    },
}

/// What becomes of a request that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dispatch {
    /// Send it.
    Send {
        /// The request.
        id: u64,
        /// Where to.
        upstream: Name,
        /// How long it waited.
        waited: Millis,
    },
    /// Refuse it.
    Refuse {
        /// The request.
        id: u64,
        /// Why.
        reason: Refusal,
        /// When to come back.
        retry_after: Millis,
    },
}

/// How a request ended at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered.
    Answered {
        /// How long it took, in thousandths of a millisecond.
        micros: u64,
        /// The load that the upstream told, if it did.
        load: Option<u32>,
    },
    /// The upstream said that it is full and did not run it.
    Busy,
    /// The upstream failed.
    Failed,
    /// The caller gave up, which says nothing about the upstream.
    Abandoned,
}

/// Routes the requests of one instance.
#[derive(Clone, Debug)]
pub struct Router {
    cfg: RouterConfig,
    targets: Vec<Target>,
    places: BTreeMap<Name, usize>,
    queue: WaitQueue,
    budget: RetryBudget,
    loans: BorrowedSlots,
    rng: StdRng,
    latency: u64,
}

impl Router {
    /// Makes a router without upstreams, for a process whose number grows with each restart.
    pub fn new(cfg: RouterConfig, seed: u64, process: u64) -> Router {
        Router {
            budget: RetryBudget::new(cfg.retry_percent),
            cfg,
            targets: Vec::new(),
            places: BTreeMap::new(),
            queue: WaitQueue::default(),
            loans: BorrowedSlots::new(process),
            rng: StdRng::seed_from_u64(seed),
            latency: UNKNOWN_LATENCY,
        }
    }

    /// Takes over changed rules.
    pub fn configure(&mut self, cfg: RouterConfig) {
        self.budget.set_percent(cfg.retry_percent);
        self.cfg = cfg;
    }

    /// Takes in which upstreams there are. One that is missing counts as leaving until its last
    /// request has ended, and is then forgotten.
    pub fn set_targets(&mut self, listed: &BTreeMap<Name, TargetState>) {
        for (name, state) in listed {
            match self.places.get(name) {
                Some(&place) => self.targets[place].state = *state,
                None => {
                    self.places.insert(name.clone(), self.targets.len());
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
        self.places = self.targets.iter().enumerate().map(|(i, t)| (t.name.clone(), i)).collect();
    }

    /// Notes at once that an upstream is leaving, whatever the list says.
    pub fn note_leaving(&mut self, name: &Name) {
        if let Some(&place) = self.places.get(name) {
            self.targets[place].state = TargetState::Leaving;
        }
    }

    /// Gives the loan book.
    pub fn loans_mut(&mut self) -> &mut BorrowedSlots {
        &mut self.loans
    }

    /// Gives the upstreams with the share that this instance has of each.
    pub fn targets(&self, now: Millis) -> impl Iterator<Item = (&Target, u32)> {
        self.targets.iter().map(move |t| (t, self.share(now, &t.name)))
    }

    /// Gives how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn base(&self) -> u32 {
        base_share(self.cfg.sharing, self.cfg.slots, self.cfg.instances)
    }

    fn share(&self, now: Millis, name: &Name) -> u32 {
        self.base() + self.loans.slots(now, name)
    }

    /// Decides on a request that arrives.
    pub fn admit(&mut self, now: Millis, info: RequestInfo) -> Admission {
        if now >= info.deadline {
            let retry_after = SHORTEST_RETRY_AFTER;
            return Admission::Refuse { reason: Refusal::DeadlinePassed, retry_after };
        }
        if let Some(place) = self.choose(now, |queue, name| queue.leaves_to(&info, name)) {
            return Admission::Send(self.start(place));
        }
        self.wait_or_refuse(now, info)
    }

    fn wait_or_refuse(&mut self, now: Millis, info: RequestInfo) -> Admission {
        if !self.targets.iter().any(|t| t.state == TargetState::Live) {
            let retry_after = NO_UPSTREAM_RETRY_AFTER;
            return Admission::Refuse { reason: Refusal::NoUpstream, retry_after };
        }
        let wait = self.expected_wait(now, self.queue.ahead_of(info.class) + 1);
        let percent = CLASS_PERCENT.iter().find(|(c, _)| *c == info.class).map_or(100, |(_, p)| *p);
        let limit = Millis(self.cfg.queue_limit.0 * percent / 100);
        if wait > limit {
            let retry_after = wait.max(SHORTEST_RETRY_AFTER);
            return Admission::Refuse { reason: Refusal::Overloaded, retry_after };
        }
        if now + wait >= info.deadline {
            let retry_after = wait.max(SHORTEST_RETRY_AFTER);
            return Admission::Refuse { reason: Refusal::DeadlinePassed, retry_after };
        }
        self.queue.push(now, info);
        Admission::Wait
    }

    /// Gives how long the `n`th request in the queue can expect to wait.
    fn expected_wait(&self, now: Millis, n: usize) -> Millis {
        let shares = self.targets(now).filter(|(t, _)| t.state == TargetState::Live);
        let slots: u64 = shares.map(|(_, share)| u64::from(share)).sum();
        Millis(self.latency * n as u64 / slots.max(1) / MICROS)
    }

    /// Picks an upstream with room among those for which `may_go` holds.
    fn choose(&mut self, now: Millis, may_go: impl Fn(&WaitQueue, &Name) -> bool) -> Option<usize> {
        let (base, loans, queue) = (self.base(), &self.loans, &self.queue);
        let candidates = self.targets.iter().enumerate().map(|(place, target)| Candidate {
            place,
            target,
            share: base + loans.slots(now, &target.name),
        });
        let allowed = candidates.filter(|c| may_go(queue, &c.target.name));
        self.cfg.selection.choose(now, &mut self.rng, allowed)
    }

    fn start(&mut self, place: usize) -> Name {
        let target = &mut self.targets[place];
        target.in_flight += 1;
        target.name.clone()
    }

    /// Notes that a request ended at an upstream, and dispatches those that waited for room.
    pub fn ended(&mut self, now: Millis, upstream: &Name, ending: RequestOutcome) -> Vec<Dispatch> {
        let share = self.share(now, upstream);
        if let Some(&place) = self.places.get(upstream) {
            let target = &mut self.targets[place];
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

    /// Lets time pass: refuses those that waited too long, and dispatches where there is room.
    pub fn tick(&mut self, now: Millis) -> Vec<Dispatch> {
        let limit = self.cfg.queue_limit;
        let late = self.queue.take_out(|w| now >= w.info.deadline || now.since(w.since) > limit);
        let mut out: Vec<Dispatch> = late.iter().map(|w| self.refuse_late(now, w)).collect();
        out.extend(self.dispatch(now));
        out
    }

    fn refuse_late(&self, now: Millis, w: &Waiting) -> Dispatch {
        let reason = match now >= w.info.deadline {
            true => Refusal::DeadlinePassed,
            false => Refusal::Overloaded,
        };
        let wait = self.expected_wait(now, self.queue.len() + 1);
        Dispatch::Refuse { id: w.info.id, reason, retry_after: wait.max(SHORTEST_RETRY_AFTER) }
    }

    /// Has upstreams tried again soon that are left alone beyond half of those that take work. Where most
    /// fail, the requests or a cause that all share are likelier at fault, and each request is to find an
    /// upstream within the time that it may wait.
    fn bound_left_alone(&mut self, now: Millis) {
        let live = self.targets.iter().filter(|t| t.state == TargetState::Live).count();
        let targets = self.targets.iter_mut();
        let mut alone: Vec<&mut Target> = targets.filter(|t| t.is_left_alone(now)).collect();
        let beyond = alone.len().saturating_sub(live / 2);
        alone.sort_by_key(|t| t.left_alone_until());
        let soon = now + Millis(self.cfg.queue_limit.0 / 2);
        alone.into_iter().take(beyond).for_each(|t| t.let_back_by(soon));
    }

    fn dispatch(&mut self, now: Millis) -> Vec<Dispatch> {
        self.bound_left_alone(now);
        let mut out = Vec::new();
        while let Some(spot) = self.first_to_send(now) {
            let may_go = |queue: &WaitQueue, name: &Name| {
                queue.get(spot).is_some_and(|w| w.info.may_go_to(name))
            };
            let Some(place) = self.choose(now, may_go) else { break };
            let Some(w) = self.queue.remove(spot) else { break };
            let upstream = self.start(place);
            out.push(Dispatch::Send { id: w.info.id, upstream, waited: now.since(w.since) });
        }
        out
    }

    /// Gives the first request that may go where there is room. It passes over retries that may not:
    /// else one that is barred from the only free upstream would keep all behind it waiting.
    fn first_to_send(&self, now: Millis) -> Option<Spot> {
        if self.queue.len() == 0 {
            return None;
        }
        let with_room = self.targets(now).filter(|(t, share)| t.room(now, *share) > 0);
        let free: Vec<&Name> = with_room.map(|(t, _)| &t.name).collect();
        if free.is_empty() {
            return None;
        }
        self.queue.find(|w| free.iter().any(|name| w.info.may_go_to(name)))
    }

    /// Makes room in the queue for urgent work by refusing the newest request of a lower class.
    pub fn shed_below(&mut self, now: Millis, class: Class) -> Option<Dispatch> {
        let w = self.queue.shed_below(class)?;
        let retry_after = self.expected_wait(now, self.queue.len() + 1).max(SHORTEST_RETRY_AFTER);
        Some(Dispatch::Refuse { id: w.info.id, reason: Refusal::Overloaded, retry_after })
    }

    /// Takes out a request whose caller has gone.
    pub fn cancel(&mut self, id: u64) {
        self.queue.take_out(|w| w.info.id == id);
    }

    /// Decides whether a request may be tried once more, and pays for it.
    pub fn may_retry(&mut self, now: Millis, info: &RequestInfo) -> bool {
        let untried = self
            .targets
            .iter()
            .any(|t| t.state == TargetState::Live && !info.tried.contains(&t.name));
        untried && now < info.deadline && self.budget.spend()
    }

    /// Writes what to ask of the broker: what is in use beyond the instance's own part, and what is
    /// wanted for the requests that wait.
    pub fn demand(&mut self, now: Millis, epoch: Epoch, instance: &InstanceId) -> Demand {
        let base = self.base();
        let live = self.targets.iter().filter(|t| t.state == TargetState::Live).count().max(1);
        let queued = self.queue.len().div_ceil(live) as u32;
        let wish = |t: &Target| {
            let used = t.in_flight.saturating_sub(base);
            // A loan takes a while to come, so that some are held before they are needed.
            let ahead = (t.in_flight + SLOTS_AHEAD).saturating_sub(base);
            let live = t.state == TargetState::Live;
            let wanted = if live { ahead + queued } else { 0 };
            let held = self.loans.slots(now, &t.name);
            UpstreamDemand { upstream: t.name.clone(), used, held, wanted }
        };
        let upstream_demands = self.targets.iter().map(wish).collect();
        self.loans.demand(now, epoch, instance, upstream_demands)
    }
}
