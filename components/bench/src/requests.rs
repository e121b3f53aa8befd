//! The real router against small fake upstreams: ways of sharing and picking, at several loads.

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

const UPSTREAMS: usize = 20;
const SLOTS: u32 = 8;
const INSTANCES: usize = 2;
/// How long a request takes on average.
const WORK: f64 = 40.0;
const SPAN: u64 = 60_000;
const DEADLINE: Millis = Millis(2_000);
const LONGEST: Millis = Millis(2_000);
const DEMAND_EVERY: u64 = 100;
/// One upstream in ten is slow by this factor, and one in ten fails.
const SLOW_BY: f64 = 5.0;
const LOADS: [u64; 4] = [50, 80, 95, 120];

/// A way under comparison.
struct Way {
    name: &'static str,
    share: SlotSharing,
    pick: SelectionPolicy,
}

const WAYS: [Way; 5] = [
    Way { name: "fixed_least", share: SlotSharing::Fixed, pick: SelectionPolicy::LeastInFlight },
    Way { name: "fixed_shortest", share: SlotSharing::Fixed, pick: SelectionPolicy::ShortestWait },
    Way { name: "fixed_two_choices", share: SlotSharing::Fixed, pick: SelectionPolicy::TwoChoices },
    Way {
        name: "borrowed_least",
        share: SlotSharing::Borrowed,
        pick: SelectionPolicy::LeastInFlight,
    },
    Way {
        name: "borrowed_shortest",
        share: SlotSharing::Borrowed,
        pick: SelectionPolicy::ShortestWait,
    },
];

/// Who gets the callers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Callers {
    /// Both instances equally.
    Even,
    /// Only the first, because the other is dead.
    OneDead,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrive,
    End { instance: usize, upstream: usize, id: u64, fails: bool, sent: u64 },
    Tick,
    Demand,
}

struct Request {
    class: Class,
    arrived: u64,
    tried: BTreeSet<Name>,
}

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

struct Bench<'a> {
    rng: StdRng,
    routers: Vec<Router>,
    broker: Broker,
    in_flight: Vec<u32>,
    requests: BTreeMap<u64, Request>,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    order: u64,
    out: &'a mut Outcome,
    share: SlotSharing,
}

fn name(i: usize) -> Name {
    format!("w{i}").as_str().into()
}

fn index(name: &Name) -> usize {
    name[1..].parse().unwrap_or(0)
}

impl Bench<'_> {
    fn push(&mut self, at: u64, due: Due) {
        self.order += 1;
        self.due.push(Reverse((at, self.order, due)));
    }

    fn arrive(&mut self, now: u64, callers: Callers) {
        self.out.arrived += 1;
        let class = match self.rng.random_range(0..10) {
            0..5 => Class::Urgent,
            5..8 => Class::Normal,
            _ => Class::Bulk,
        };
        let instance = match callers {
            Callers::Even => self.rng.random_range(0..INSTANCES),
            Callers::OneDead => 0,
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

    fn send(&mut self, now: u64, instance: usize, id: u64, upstream: &Name) {
        let place = index(upstream);
        let Some(r) = self.requests.get_mut(&id) else { return };
        if r.tried.is_empty() {
            self.out.waits.entry(r.class).or_default().note(Millis(now - r.arrived));
        }
        r.tried.insert(upstream.clone());
        self.in_flight[place] += 1;
        self.out.peak = self.out.peak.max(self.in_flight[place]);
        let fails = place % 10 == 1;
        let slow = if place.is_multiple_of(10) { SLOW_BY } else { 1.0 };
        let drawn: f64 = self.rng.random_range(0.001..1.0);
        let work = if fails { 2.0 } else { -drawn.ln() * WORK * slow };
        let due = Due::End { instance, upstream: place, id, fails, sent: now };
        self.push(now + (work as u64).max(1), due);
    }

    fn end(&mut self, now: u64, due: Due) {
        let Due::End { instance, upstream, id, fails, sent } = due else { return };
        self.in_flight[upstream] -= 1;
        let load = Some(self.in_flight[upstream]);
        let ending = match fails {
            true => RequestOutcome::Failed,
            false => RequestOutcome::Answered { micros: (now - sent) * 1_000, load },
        };
        let dispatches = self.routers[instance].ended(Millis(now), &name(upstream), ending);
        self.follow(now, instance, dispatches);
        if !fails {
            if let Some(r) = self.requests.remove(&id) {
                let time = Millis(now - r.arrived);
                self.out.times.entry(r.class).or_default().note(time);
                self.out.done += 1;
            }
            return;
        }
        let again =
            self.info(id).is_some_and(|info| self.routers[instance].may_retry(Millis(now), &info));
        if again {
            self.route(now, instance, id);
        } else if self.requests.remove(&id).is_some() {
            self.out.failed += 1;
        }
    }

    fn follow(&mut self, now: u64, instance: usize, dispatches: Vec<Dispatch>) {
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
            self.follow(now, instance, dispatches);
        }
    }

    fn lend(&mut self, now: u64, callers: Callers) {
        let lendable = lendable_slots(self.share, SLOTS, INSTANCES as u32);
        let alive = if callers == Callers::OneDead { 1 } else { INSTANCES };
        for i in 0..alive {
            let id = InstanceId(name(i));
            let demand = self.routers[i].demand(Millis(now), Epoch(1), &id);
            if let Some(loan) = self.broker.answer(Millis(now), &demand, lendable) {
                self.routers[i].loans_mut().take(Millis(now), &loan);
            }
        }
    }
}

fn measure(way: &Way, load: u64, callers: Callers, out: &mut Outcome) {
    let config = RouterConfig {
        sharing: way.share,
        selection: way.pick,
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
    let alive = if callers == Callers::OneDead { 1 } else { INSTANCES };
    let known: BTreeSet<InstanceId> = (0..alive).map(|i| InstanceId(name(i))).collect();
    let mut b = Bench {
        rng: StdRng::seed_from_u64(load),
        routers: routers.collect(),
        broker: Broker::new(Millis::ZERO, Epoch(1), LONGEST, known),
        in_flight: vec![0; UPSTREAMS],
        requests: BTreeMap::new(),
        due: BinaryHeap::new(),
        order: 0,
        out,
        share: way.share,
    };
    // What the upstreams can do: those that fail do nothing, the slow ones a fifth.
    let (fast, slow) = (UPSTREAMS as f64 * 0.8, UPSTREAMS as f64 * 0.1);
    let per_ms = (fast + slow / SLOW_BY) * f64::from(SLOTS) / WORK;
    let gap = 1.0 / (per_ms * load as f64 / 100.0);
    b.push(0, Due::Arrive);
    b.push(0, Due::Tick);
    b.push(0, Due::Demand);
    let mut next_arrival = 0.0;
    while let Some(Reverse((now, _, due))) = b.due.pop() {
        if now > SPAN {
            break;
        }
        match due {
            Due::Arrive => {
                b.arrive(now, callers);
                let drawn: f64 = b.rng.random_range(0.001..1.0);
                next_arrival += -drawn.ln() * gap;
                b.push((next_arrival as u64).max(now), Due::Arrive);
            }
            Due::Tick => {
                b.tick(now);
                b.push(now + 5, Due::Tick);
            }
            Due::Demand => {
                b.lend(now, callers);
                b.push(now + DEMAND_EVERY, Due::Demand);
            }
            end => b.end(now, end),
        }
    }
}

fn print(name: &str, out: &Outcome) {
    for (class, waits) in &out.waits {
        waits.print(&format!("request_wait_{name}_{}", class.as_str()));
    }
    for (class, times) in &out.times {
        times.print(&format!("request_time_{name}_{}", class.as_str()));
    }
    let part = |n: u64| n as f64 * 100.0 / out.arrived.max(1) as f64;
    figure(&format!("request_goodput_{name}"), part(out.done), "percent");
    figure(&format!("request_refused_{name}"), part(out.refused), "percent");
    figure(&format!("request_failed_{name}"), part(out.failed), "percent");
    figure(&format!("request_in_flight_peak_{name}"), f64::from(out.peak), "requests");
}

/// Compares the ways at each load, and with one of two instances dead.
pub fn run() {
    for way in &WAYS {
        for load in LOADS {
            let mut out = Outcome::default();
            measure(way, load, Callers::Even, &mut out);
            print(&format!("{}_{load}", way.name), &out);
        }
        let mut out = Outcome::default();
        measure(way, 60, Callers::OneDead, &mut out);
        print(&format!("{}_60_one_dead", way.name), &out);
    }
}
