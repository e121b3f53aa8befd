//! Admission, slot shares, load shedding, retries, and upstreams that leave or fail.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{Class, Epoch, InstanceId, Name, Refusal};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::{
    Admission, BorrowedSlots, Broker, Dispatch, RequestInfo, RequestOutcome, RetryBudget, Router,
    RouterConfig, SelectionPolicy, SlotSharing, TargetState, UpstreamDemand, base_share,
    lendable_slots,
};

const MAX_REQUEST_DURATION: Millis = Millis(2_000);
const OK: RequestOutcome = RequestOutcome::Answered { micros: 10_000, load: None };

fn config(sharing: SlotSharing) -> RouterConfig {
    RouterConfig {
        sharing,
        selection: SelectionPolicy::ShortestWait,
        slots: 8,
        instances: 2,
        queue_limit: Millis(200),
        retry_percent: 10,
    }
}

fn name(i: usize) -> Name {
    format!("w{i}").as_str().into()
}

fn router(upstreams: usize) -> Router {
    let mut router = Router::new(config(SlotSharing::Fixed), 1, 1);
    let targets = (0..upstreams).map(|i| (name(i), TargetState::Live)).collect();
    router.set_targets(&targets);
    router
}

fn request(id: u64, class: Class, deadline: u64) -> RequestInfo {
    RequestInfo { id, class, deadline: Millis(deadline), tried: BTreeSet::new() }
}

/// Uses up the router's whole share. Returns the upstream of each request sent.
fn fill(router: &mut Router, now: u64) -> Vec<Name> {
    let mut sent = Vec::new();
    loop {
        match router.admit(Millis(now), request(1_000 + sent.len() as u64, Class::Normal, 60_000)) {
            Admission::Send(upstream) => sent.push(upstream),
            Admission::Wait => {
                router.cancel(1_000 + sent.len() as u64);
                return sent;
            }
            Admission::Refuse { .. } => return sent,
        }
    }
}

#[test]
fn an_instance_sends_no_more_than_its_share() {
    let mut r = router(3);
    let sent = fill(&mut r, 0);
    assert_eq!(sent.len(), 12, "three upstreams with four of eight slots each");
    for i in 0..3 {
        assert_eq!(sent.iter().filter(|n| **n == name(i)).count(), 4);
    }
}

#[test]
fn a_freed_slot_goes_to_the_most_urgent() {
    let mut r = router(1);
    let sent = fill(&mut r, 0);
    for (id, class) in [(1, Class::Bulk), (2, Class::Normal), (3, Class::Urgent)] {
        assert_eq!(r.admit(Millis(0), request(id, class, 9_000)), Admission::Wait);
    }
    let mut order = Vec::new();
    for upstream in sent.iter().take(3) {
        for dispatch in r.ended(Millis(5), upstream, OK) {
            if let Dispatch::Send { id, .. } = dispatch {
                order.push(id);
            }
        }
    }
    assert_eq!(order, [3, 2, 1]);
}

/// A request that cannot be served is refused immediately, with a time after which to retry.
macro_rules! refused {
    ($($name:ident: $prepare:expr, $request:expr => $reason:ident;)*) => {$(
        #[test]
        fn $name() {
            let prepare: fn() -> Router = $prepare;
            let mut r = prepare();
            match r.admit(Millis(100), $request) {
                Admission::Refuse { reason, retry_after } => {
                    assert_eq!(reason, Refusal::$reason);
                    assert!(retry_after >= Millis(50) && retry_after < Millis(60_000));
                }
                other => panic!("{other:?}"),
            }
        }
    )*};
}

fn overloaded() -> Router {
    let mut r = router(1);
    fill(&mut r, 0);
    // Slow answers raise the wait that the router expects for each place in the queue.
    for _ in 0..60 {
        r.ended(Millis(0), &name(0), RequestOutcome::Answered { micros: 400_000, load: None });
        r.admit(Millis(0), request(1, Class::Normal, 60_000));
    }
    for id in 100..200 {
        if matches!(
            r.admit(Millis(0), request(id, Class::Urgent, 60_000)),
            Admission::Refuse { .. }
        ) {
            break;
        }
    }
    r
}

refused! {
    after_its_deadline: || router(1), request(1, Class::Urgent, 100) => DeadlinePassed;
    without_any_upstream: || router(0), request(1, Class::Urgent, 9_000) => NoUpstream;
    while_all_upstreams_leave: || {
        let mut r = router(2);
        r.note_leaving(&name(0));
        r.note_leaving(&name(1));
        r
    }, request(1, Class::Urgent, 9_000) => NoUpstream;
    in_a_crowd: overloaded, request(1, Class::Normal, 60_000) => Overloaded;
    bulk_in_a_crowd: overloaded, request(1, Class::Bulk, 60_000) => Overloaded;
}

#[test]
fn bulk_is_shed_before_urgent_work_is() {
    let mut r = router(1);
    fill(&mut r, 0);
    assert_eq!(r.admit(Millis(0), request(1, Class::Bulk, 9_000)), Admission::Wait);
    assert_eq!(r.admit(Millis(0), request(2, Class::Normal, 9_000)), Admission::Wait);
    let shed = r.shed_below(Millis(0), Class::Urgent);
    assert!(matches!(shed, Some(Dispatch::Refuse { id: 1, reason: Refusal::Overloaded, .. })));
    let shed = r.shed_below(Millis(0), Class::Urgent);
    assert!(matches!(shed, Some(Dispatch::Refuse { id: 2, .. })));
    assert_eq!(r.shed_below(Millis(0), Class::Urgent), None);
}

#[test]
fn one_that_waits_too_long_is_refused_by_the_next_tick() {
    let mut r = router(1);
    fill(&mut r, 0);
    assert_eq!(r.admit(Millis(0), request(1, Class::Urgent, 9_000)), Admission::Wait);
    assert!(r.tick(Millis(200)).is_empty());
    let late = r.tick(Millis(201));
    assert!(matches!(late[..], [Dispatch::Refuse { id: 1, reason: Refusal::Overloaded, .. }]));
}

#[test]
fn one_whose_caller_has_gone_is_never_sent() {
    let mut r = router(1);
    let sent = fill(&mut r, 0);
    r.admit(Millis(0), request(1, Class::Urgent, 9_000));
    r.cancel(1);
    assert!(r.ended(Millis(1), &sent[0], OK).is_empty());
}

#[test]
fn a_leaving_upstream_gets_nothing_new_even_if_the_list_still_has_it() {
    let mut r = router(2);
    r.note_leaving(&name(0));
    assert!(fill(&mut r, 0).iter().all(|n| *n == name(1)));
}

#[test]
fn an_upstream_off_the_list_gets_nothing_new_and_is_forgotten_when_it_is_idle() {
    let mut r = router(2);
    let sent = fill(&mut r, 0);
    let listed = BTreeMap::from([(name(1), TargetState::Live)]);
    r.set_targets(&listed);
    assert_eq!(r.targets(Millis(0)).count(), 2, "requests are still under way there");
    for upstream in &sent {
        r.ended(Millis(1), upstream, OK);
    }
    r.set_targets(&listed);
    assert_eq!(r.targets(Millis(1)).count(), 1);
}

#[test]
fn a_failing_upstream_is_left_alone_and_tried_with_one_request_later() {
    let mut r = router(2);
    let mut now = 0;
    let mut failures = 0;
    while failures < 3 {
        now += 1;
        if let Admission::Send(upstream) = r.admit(Millis(now), request(now, Class::Normal, 99_000))
        {
            let failed = upstream == name(0);
            failures += usize::from(failed);
            r.ended(Millis(now), &upstream, if failed { RequestOutcome::Failed } else { OK });
        }
    }
    assert!(fill(&mut r, now + 1).iter().all(|n| *n == name(1)));
    let later = fill(&mut r, now + 600);
    assert_eq!(later, [name(0)], "one request tries it again");
}

#[test]
fn a_slow_upstream_gets_less() {
    let mut r = router(2);
    for i in 0..200 {
        if let Admission::Send(upstream) = r.admit(Millis(i), request(i, Class::Normal, 99_000)) {
            let micros = if upstream == name(0) { 200_000 } else { 10_000 };
            r.ended(Millis(i), &upstream, RequestOutcome::Answered { micros, load: None });
        }
    }
    let to_fast = (0..3).filter(|&i| {
        matches!(r.admit(Millis(300), request(i, Class::Normal, 99_000)), Admission::Send(n) if n == name(1))
    });
    assert_eq!(to_fast.count(), 3);
}

#[test]
fn a_busy_upstream_lowers_its_limit_and_earns_it_back() {
    let mut r = router(1);
    let sent = fill(&mut r, 0);
    sent.iter().for_each(|n| {
        r.ended(Millis(1), n, RequestOutcome::Busy);
    });
    let lowered = fill(&mut r, 2).len();
    assert!((1..4).contains(&lowered), "{lowered}");
    for i in 0..200 {
        r.ended(Millis(3 + i), &name(0), OK);
        r.admit(Millis(3 + i), request(i, Class::Normal, 99_000));
    }
    (0..lowered + 1).for_each(|_| {
        r.ended(Millis(400), &name(0), OK);
    });
    assert_eq!(fill(&mut r, 500).len(), 4);
}

#[test]
fn a_retry_goes_elsewhere_and_is_paid_for() {
    let mut r = router(2);
    let Admission::Send(first) = r.admit(Millis(0), request(1, Class::Normal, 9_000)) else {
        panic!("there are free slots");
    };
    r.ended(Millis(1), &first, RequestOutcome::Failed);
    let tried = BTreeSet::from([first.clone()]);
    let again = RequestInfo { tried, ..request(1, Class::Normal, 9_000) };
    assert!(r.may_retry(Millis(1), &again));
    assert!(matches!(r.admit(Millis(1), again.clone()), Admission::Send(n) if n != first));
    assert!(!r.may_retry(Millis(9_000), &again), "not beyond the deadline");
    let everywhere = RequestInfo { tried: BTreeSet::from([name(0), name(1)]), ..again };
    assert!(!r.may_retry(Millis(1), &everywhere), "not to the same upstream");
}

#[test]
fn retries_never_multiply_a_failure() {
    let mut budget = RetryBudget::new(10);
    let mut retries = 0;
    for _ in 0..10_000 {
        retries += u32::from(budget.spend());
    }
    assert!(retries <= 20, "{retries} retries without a single success");
    for _ in 0..1_000 {
        budget.earn();
        retries += u32::from(budget.spend());
    }
    assert!(retries <= 120, "{retries} retries for a thousand successes");
    assert!(!RetryBudget::new(0).spend(), "none if they are switched off");
}

#[test]
fn shares_never_add_up_to_more_than_the_slots() {
    for sharing in [SlotSharing::Fixed, SlotSharing::Borrowed] {
        for slots in 1..20 {
            for instances in 1..=slots {
                let base = base_share(sharing, slots, instances);
                assert!(base >= 1 || sharing == SlotSharing::Fixed);
                assert_eq!(base * instances + lendable_slots(sharing, slots, instances), slots);
            }
        }
    }
}

/// Runs instances that borrow slots, send, crash and restart while brokers are replaced. The
/// requests in flight at the upstream must never exceed its slots. Returns the peak.
fn peak_under_borrowing(seed: u64) -> u32 {
    let mut rng = StdRng::seed_from_u64(seed);
    let slots = 8;
    let base = base_share(SlotSharing::Borrowed, slots, 2);
    let lendable = lendable_slots(SlotSharing::Borrowed, slots, 2);
    let upstream = name(0);
    let mut now = Millis(10_000);
    let mut epoch = 1;
    let both = BTreeSet::from([InstanceId(name(0)), InstanceId(name(1))]);
    let mut broker = Broker::new(now, Epoch(epoch), MAX_REQUEST_DURATION, both.clone());
    // An instance may learn of a new epoch late. The old broker has stopped by then, because its hold
    // on the epoch has expired, but its last answers may still be in transit.
    let mut known = [1, 1];
    let mut borrowed = [BorrowedSlots::new(1), BorrowedSlots::new(1)];
    let mut process = 1;
    // The end of each request in flight, for each instance.
    let mut in_flight_until: [Vec<Millis>; 2] = [Vec::new(), Vec::new()];
    let mut in_transit = Vec::new();
    let mut peak = 0;
    for _ in 0..4_000 {
        now += Millis(rng.random_range(1..40));
        let i = rng.random_range(0..2);
        in_flight_until.iter_mut().for_each(|u| u.retain(|end| *end > now));
        match rng.random_range(0..100) {
            0..30 => {
                let in_flight = in_flight_until[i].len() as u32;
                let upstream_demand = UpstreamDemand {
                    upstream: upstream.clone(),
                    used: in_flight.saturating_sub(base),
                    held: borrowed[i].slots(now, &upstream),
                    wanted: rng.random_range(0..7),
                };
                if rng.random_range(0..3) == 0 {
                    known[i] = epoch;
                }
                let id = InstanceId(name(i));
                let demand = borrowed[i].demand(now, Epoch(known[i]), &id, vec![upstream_demand]);
                in_transit.push((i, Err(demand)));
            }
            30..70 if !in_transit.is_empty() => {
                let place = rng.random_range(0..in_transit.len());
                match in_transit.swap_remove(place) {
                    (to, Err(demand)) => {
                        if let Some(loan) = broker.answer(now, &demand, lendable) {
                            in_transit.push((to, Ok(loan)));
                        }
                    }
                    (to, Ok(loan)) => borrowed[to].take(now, &loan),
                }
            }
            70..96 => {
                let share = base + borrowed[i].slots(now, &upstream);
                if (in_flight_until[i].len() as u32) < share {
                    in_flight_until[i]
                        .push(now + Millis(rng.random_range(1..MAX_REQUEST_DURATION.0)));
                }
            }
            96..98 => {
                // The process crashes: its connections close, which frees their slots.
                process += 1;
                borrowed[i] = BorrowedSlots::new(process);
                in_flight_until[i].clear();
            }
            98 => {
                epoch += 1;
                broker = Broker::new(now, Epoch(epoch), MAX_REQUEST_DURATION, both.clone());
            }
            _ => in_transit.clear(),
        }
        let sum = (in_flight_until[0].len() + in_flight_until[1].len()) as u32;
        assert!(sum <= slots, "{sum} in flight at {now}, seed {seed}");
        peak = peak.max(sum);
    }
    peak
}

#[test]
fn loans_hold_in_sum_through_deaths_late_answers_and_new_brokers() {
    let peaks: Vec<u32> = (0..300).map(peak_under_borrowing).collect();
    assert!(peaks.iter().any(|p| *p > 4), "loans are used: {peaks:?}");
}

proptest! {
    /// In any sequence of events, the requests in flight at each upstream stay within the share,
    /// each request gets exactly one verdict, and none is sent where it has already been.
    #[test]
    fn every_request_gets_one_verdict_and_shares_hold(seed in 0u64..5_000) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut r = router(3);
        let mut now = 0;
        let mut verdicts: BTreeMap<u64, u32> = BTreeMap::new();
        let mut sent: Vec<Name> = Vec::new();
        for id in 0..300u64 {
            now += rng.random_range(0..20);
            let class = Class::ALL[rng.random_range(0..3)];
            let mut dispatches = Vec::new();
            match r.admit(Millis(now), request(id, class, now + rng.random_range(0..300))) {
                Admission::Send(n) => {
                    *verdicts.entry(id).or_default() += 1;
                    sent.push(n);
                }
                Admission::Refuse { .. } => *verdicts.entry(id).or_default() += 1,
                Admission::Wait => {}
            }
            if !sent.is_empty() && rng.random_range(0..3) > 0 {
                let n = sent.swap_remove(rng.random_range(0..sent.len()));
                let ending =
                    [OK, RequestOutcome::Busy, RequestOutcome::Failed][rng.random_range(0..3)];
                dispatches.extend(r.ended(Millis(now), &n, ending));
            }
            dispatches.extend(r.tick(Millis(now)));
            for dispatch in dispatches {
                let id = match dispatch {
                    Dispatch::Send { id, upstream, .. } => {
                        sent.push(upstream);
                        id
                    }
                    Dispatch::Refuse { id, .. } => id,
                };
                *verdicts.entry(id).or_default() += 1;
            }
            for (target, share) in r.targets(Millis(now)) {
                prop_assert!(target.in_flight <= share);
            }
        }
        let rest = r.tick(Millis(now + 100_000));
        for dispatch in rest {
            if let Dispatch::Refuse { id, .. } = dispatch {
                *verdicts.entry(id).or_default() += 1;
            }
        }
        prop_assert!(verdicts.values().all(|n| *n == 1));
        prop_assert_eq!(verdicts.len(), 300);
    }
}
