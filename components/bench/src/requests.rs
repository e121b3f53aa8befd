//! Runs the production router against simulated upstreams and compares strategies of sharing slots and selecting
//! upstreams at several loads.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use clock::Millis;
use model::{Class, Epoch, InstanceId, Name};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::{
    Admission, Broker, Dispatch, RequestInfo, RequestOutcome, Router, RouterConfig,
    SelectionPolicy, SlotSharing, TargetState, lendable_slots,
};

use crate::figure::{Waits, figure};

/// The number of upstreams.
const UPSTREAMS: usize = 20;
/// The request slots of each upstream, which the instances share.
const SLOTS: u32 = 8;
/// The number of instances that route requests.
const INSTANCES: usize = 2;
/// The mean work of a request, in milliseconds.
const MEAN_WORK_MS: f64 = 40.0;
/// The simulated time of one measurement, in milliseconds.
const SPAN_MS: u64 = 60_000;
/// The time from the arrival of a request to its deadline.
const DEADLINE: Millis = Millis(2_000);
/// The longest time that a request may take, which bounds loans.
const MAX_REQUEST_TIME: Millis = Millis(2_000);
/// The time between two demands of an instance, in milliseconds.
const DEMAND_INTERVAL_MS: u64 = 100;
/// The factor by which one upstream in ten is slower. Another one in ten fails every request.
const SLOW_FACTOR: f64 = 5.0;
/// The loads to measure, in percent of the upstreams' capacity.
const LOAD_PERCENTS: [u64; 4] = [50, 80, 95, 120];

/// A strategy to compare.
struct Strategy {
    name: &'static str,
    sharing: SlotSharing,
    selection: SelectionPolicy,
}

const STRATEGIES: [Strategy; 5] = [
    Strategy {
        name: "fixed_least",
        sharing: SlotSharing::Fixed,
        selection: SelectionPolicy::LeastInFlight,
    },
    Strategy {
        name: "fixed_shortest",
        sharing: SlotSharing::Fixed,
        selection: SelectionPolicy::ShortestWait,
    },
    Strategy {
        name: "fixed_two_choices",
        sharing: SlotSharing::Fixed,
        selection: SelectionPolicy::TwoChoices,
    },
    Strategy {
        name: "borrowed_least",
        sharing: SlotSharing::Borrowed,
        selection: SelectionPolicy::LeastInFlight,
    },
    Strategy {
        name: "borrowed_shortest",
        sharing: SlotSharing::Borrowed,
        selection: SelectionPolicy::ShortestWait,
    },
];

/// How callers are distributed over the instances.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallerDistribution {
    /// Equally to both instances.
    Even,
    /// All to the first instance, because the other one is down.
    OneDead,
}

/// A scheduled event of the simulation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Arrive,
    End { instance: usize, upstream: usize, id: u64, fails: bool, sent: u64 },
    Tick,
    Demand,
}

/// A request that has no final answer yet.
struct Request {
    class: Class,
    arrived: u64,
    tried: BTreeSet<Name>,
}

/// The results of one measurement.
#[derive(Default)]
struct Outcome {
    waits: BTreeMap<Class, Waits>,
    times: BTreeMap<Class, Waits>,
    arrived: u64,
    done: u64,
    refused: u64,
    failed: u64,
    peak: u32,
}

/// A simulation of routers, upstreams and requests.
struct Bench<'a> {
    rng: StdRng,
    routers: Vec<Router>,
    broker: Broker,
    in_flight: Vec<u32>,
    requests: BTreeMap<u64, Request>,
    due: BinaryHeap<Reverse<(u64, u64, ScheduledEvent)>>,
    order: u64,
    out: &'a mut Outcome,
    sharing: SlotSharing,
}

fn name(i: usize) -> Name {
    format!("w{i}").as_str().into()
}

fn index(name: &Name) -> usize {
    name[1..].parse().unwrap_or(0)
}

impl Bench<'_> {
    fn push(&mut self, at: u64, due: ScheduledEvent) {
        self.order += 1;
        self.due.push(Reverse((at, self.order, due)));
    }

    /// Draws the class and the instance of a new request and routes it.
    fn arrive(&mut self, now: u64, callers: CallerDistribution) {
        self.out.arrived += 1;
        let class = match self.rng.random_range(0..10) {
            0..5 => Class::Urgent,
            5..8 => Class::Normal,
            _ => Class::Bulk,
        };
        let instance = match callers {
            CallerDistribution::Even => self.rng.random_range(0..INSTANCES),
            CallerDistribution::OneDead => 0,
        };
        let id = self.out.arrived;
        self.requests.insert(id, Request { class, arrived: now, tried: BTreeSet::new() });
        self.route(now, instance, id);
    }

    fn info(&self, id: u64) -> Option<RequestInfo> {
        let r = self.requests.get(&id)?;
        let deadline = Millis(r.arrived) + DEADLINE;
        Some(RequestInfo { id, class: r.class, deadline, tried: r.tried.clone() })
    }

    /// Routes a request; one of the urgent class may displace a waiting request of a lower class.
    fn route(&mut self, now: u64, instance: usize, id: u64) {
        let Some(info) = self.info(id) else { return };
        let class = info.class;
        let router = &mut self.routers[instance];
        let mut admission = router.admit(Millis(now), info.clone());
        if matches!(admission, Admission::Refuse { .. })
            && class == Class::Urgent
            && let Some(Dispatch::Refuse { id: shed, .. }) = router.shed_below(Millis(now), class)
        {
            admission = router.admit(Millis(now), info);
            self.refuse(shed);
        }
        match admission {
            Admission::Send(upstream) => self.send(now, instance, id, &upstream),
            Admission::Wait => {}
            Admission::Refuse { .. } => self.refuse(id),
        }
    }

    fn refuse(&mut self, id: u64) {
        if self.requests.remove(&id).is_some() {
            self.out.refused += 1;
        }
    }

    /// Sends a request to an upstream and schedules its end.
    fn send(&mut self, now: u64, instance: usize, id: u64, upstream: &Name) {
        let upstream_index = index(upstream);
        let Some(r) = self.requests.get_mut(&id) else { return };
        if r.tried.is_empty() {
            self.out.waits.entry(r.class).or_default().note(Millis(now - r.arrived));
        }
        r.tried.insert(upstream.clone());
        self.in_flight[upstream_index] += 1;
        self.out.peak = self.out.peak.max(self.in_flight[upstream_index]);
        let fails = upstream_index % 10 == 1;
        let slow = if upstream_index.is_multiple_of(10) { SLOW_FACTOR } else { 1.0 };
        let uniform: f64 = self.rng.random_range(0.001..1.0);
        let work = if fails { 2.0 } else { -uniform.ln() * MEAN_WORK_MS * slow };
        let due = ScheduledEvent::End { instance, upstream: upstream_index, id, fails, sent: now };
        self.push(now + (work as u64).max(1), due);
    }

    /// Handles the end of a request at an upstream; a failed one is retried if the router allows it.
    fn end(&mut self, now: u64, due: ScheduledEvent) {
        let ScheduledEvent::End { instance, upstream, id, fails, sent } = due else { return };
        self.in_flight[upstream] -= 1;
        let load = Some(self.in_flight[upstream]);
        let outcome = match fails {
            true => RequestOutcome::Failed,
            false => RequestOutcome::Answered { micros: (now - sent) * 1_000, load },
        };
        let dispatches = self.routers[instance].ended(Millis(now), &name(upstream), outcome);
        self.apply_dispatches(now, instance, dispatches);
        if !fails {
            if let Some(r) = self.requests.remove(&id) {
                let time = Millis(now - r.arrived);
                self.out.times.entry(r.class).or_default().note(time);
                self.out.done += 1;
            }
            return;
        }
        let retry =
            self.info(id).is_some_and(|info| self.routers[instance].may_retry(Millis(now), &info));
        if retry {
            self.route(now, instance, id);
        } else if self.requests.remove(&id).is_some() {
            self.out.failed += 1;
        }
    }

    fn apply_dispatches(&mut self, now: u64, instance: usize, dispatches: Vec<Dispatch>) {
        for dispatch in dispatches {
            match dispatch {
                Dispatch::Send { id, upstream, .. } => self.send(now, instance, id, &upstream),
                Dispatch::Refuse { id, .. } => self.refuse(id),
            }
        }
    }

    fn tick(&mut self, now: u64) {
        for instance in 0..INSTANCES {
            let dispatches = self.routers[instance].tick(Millis(now));
            self.apply_dispatches(now, instance, dispatches);
        }
    }

    /// Sends the demand of each live instance to the broker and applies the loans.
    fn renew_loans(&mut self, now: u64, callers: CallerDistribution) {
        let lendable = lendable_slots(self.sharing, SLOTS, INSTANCES as u32);
        let alive = if callers == CallerDistribution::OneDead { 1 } else { INSTANCES };
        for i in 0..alive {
            let id = InstanceId(name(i));
            let demand = self.routers[i].demand(Millis(now), Epoch(1), &id);
            if let Some(loan) = self.broker.answer(Millis(now), &demand, lendable) {
                self.routers[i].loans_mut().take(Millis(now), &loan);
            }
        }
    }
}

/// Simulates one strategy at one load.
fn measure(strategy: &Strategy, load: u64, callers: CallerDistribution, out: &mut Outcome) {
    let config = RouterConfig {
        sharing: strategy.sharing,
        selection: strategy.selection,
        slots: SLOTS,
        instances: INSTANCES as u32,
        queue_limit: Millis(500),
        retry_percent: 10,
    };
    let targets: BTreeMap<Name, TargetState> =
        (0..UPSTREAMS).map(|i| (name(i), TargetState::Live)).collect();
    let routers = (0..INSTANCES as u64).map(|i| {
        let mut router = Router::new(config.clone(), i, 1);
        router.set_targets(&targets);
        router
    });
    let alive = if callers == CallerDistribution::OneDead { 1 } else { INSTANCES };
    let known: BTreeSet<InstanceId> = (0..alive).map(|i| InstanceId(name(i))).collect();
    let mut b = Bench {
        rng: StdRng::seed_from_u64(load),
        routers: routers.collect(),
        broker: Broker::new(Millis::ZERO, Epoch(1), MAX_REQUEST_TIME, known),
        in_flight: vec![0; UPSTREAMS],
        requests: BTreeMap::new(),
        due: BinaryHeap::new(),
        order: 0,
        out,
        sharing: strategy.sharing,
    };
    // The upstreams' capacity: a failing upstream contributes nothing, a slow one a fifth.
    let (fast, slow) = (UPSTREAMS as f64 * 0.8, UPSTREAMS as f64 * 0.1);
    let per_ms = (fast + slow / SLOW_FACTOR) * f64::from(SLOTS) / MEAN_WORK_MS;
    let interval = 1.0 / (per_ms * load as f64 / 100.0);
    b.push(0, ScheduledEvent::Arrive);
    b.push(0, ScheduledEvent::Tick);
    b.push(0, ScheduledEvent::Demand);
    let mut next_arrival = 0.0;
    while let Some(Reverse((now, _, due))) = b.due.pop() {
        if now > SPAN_MS {
            break;
        }
        match due {
            ScheduledEvent::Arrive => {
                b.arrive(now, callers);
                let uniform: f64 = b.rng.random_range(0.001..1.0);
                next_arrival += -uniform.ln() * interval;
                b.push((next_arrival as u64).max(now), ScheduledEvent::Arrive);
            }
            ScheduledEvent::Tick => {
                b.tick(now);
                b.push(now + 5, ScheduledEvent::Tick);
            }
            ScheduledEvent::Demand => {
                b.renew_loans(now, callers);
                b.push(now + DEMAND_INTERVAL_MS, ScheduledEvent::Demand);
            }
            end => b.end(now, end),
        }
    }
}

/// Prints the figures of one measurement.
fn print(name: &str, out: &Outcome) {
    for (class, waits) in &out.waits {
        waits.print(&format!("request_wait_{name}_{}", class.as_str()));
    }
    for (class, times) in &out.times {
        times.print(&format!("request_time_{name}_{}", class.as_str()));
    }
    let percent = |n: u64| n as f64 * 100.0 / out.arrived.max(1) as f64;
    figure(&format!("request_goodput_{name}"), percent(out.done), "percent");
    figure(&format!("request_refused_{name}"), percent(out.refused), "percent");
    figure(&format!("request_failed_{name}"), percent(out.failed), "percent");
    figure(&format!("request_in_flight_peak_{name}"), f64::from(out.peak), "requests");
}

/// Measures each strategy at each load, and with one of the two instances down, and prints the figures.
pub fn run() {
    for strategy in &STRATEGIES {
        for load in LOAD_PERCENTS {
            let mut out = Outcome::default();
            measure(strategy, load, CallerDistribution::Even, &mut out);
            print(&format!("{}_{load}", strategy.name), &out);
        }
        let mut out = Outcome::default();
        measure(strategy, 60, CallerDistribution::OneDead, &mut out);
        print(&format!("{}_60_one_dead", strategy.name), &out);
    }
}
