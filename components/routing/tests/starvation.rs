//! A request that may not go to an upstream with free slots never keeps these from the requests
//! behind it.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{Class, Name};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::{
    Admission, Dispatch, RequestInfo, RequestOutcome, Router, RouterConfig, SelectionPolicy,
    SlotSharing, TargetState,
};

/// The share of this instance: the requests that an upstream accepts from it.
const SHARE: u64 = 4;
/// The lowest identifier of the requests under test.
const FIRST_ID: u64 = 1_000;
const DEADLINE: Millis = Millis(9_000);
const OK: RequestOutcome = RequestOutcome::Answered { micros: 10_000, load: None };

fn name(i: u64) -> Name {
    format!("w{i}").as_str().into()
}

fn live(upstreams: u64) -> BTreeMap<Name, TargetState> {
    (0..upstreams).map(|i| (name(i), TargetState::Live)).collect()
}

/// A router whose share of both upstreams is in use.
fn full_router() -> Router {
    let cfg = RouterConfig {
        sharing: SlotSharing::Fixed,
        selection: SelectionPolicy::ShortestWait,
        slots: 8,
        instances: 2,
        queue_limit: Millis(200),
        retry_percent: 10,
    };
    let mut router = Router::new(cfg, 1, 1);
    router.set_targets(&live(2));
    for id in 0..2 * SHARE {
        assert!(matches!(router.admit(Millis(0), fresh(id, Class::Normal)), Admission::Send(_)));
    }
    router
}

fn fresh(id: u64, class: Class) -> RequestInfo {
    RequestInfo { id, class, deadline: DEADLINE, tried: BTreeSet::new() }
}

/// A request that has already been sent to the first upstream.
fn retry(id: u64, class: Class) -> RequestInfo {
    RequestInfo { tried: BTreeSet::from([name(0)]), ..fresh(id, class) }
}

/// Queues requests, in the order of their identifiers.
fn wait(router: &mut Router, requests: Vec<RequestInfo>) {
    for request in requests {
        assert_eq!(router.admit(Millis(0), request), Admission::Wait);
    }
}

/// Ends one request at an upstream. Returns which requests are sent, and where.
fn end_one_at(router: &mut Router, upstream: u64) -> Vec<(u64, Name)> {
    let sent = |d: Dispatch| match d {
        Dispatch::Send { id, upstream, .. } => (id, upstream),
        Dispatch::Refuse { id, .. } => panic!("{id} is refused"),
    };
    router.ended(Millis(5), &name(upstream), OK).into_iter().map(sent).collect()
}

/// Retries that may not go to the only free upstream block nobody behind them: neither queued
/// requests nor new ones.
macro_rules! blocks_nobody {
    ($($name:ident: $retries:expr, $class:ident, then $behind:ident;)*) => {$(
        #[test]
        fn $name() {
            let mut r = full_router();
            wait(&mut r, (0..$retries).map(|i| retry(FIRST_ID + i, Class::$class)).collect());
            let (waits, arrives) = (FIRST_ID + $retries, FIRST_ID + $retries + 1);
            wait(&mut r, vec![fresh(waits, Class::$behind)]);
            assert_eq!(end_one_at(&mut r, 0), [(waits, name(0))], "the queued request is sent");
            assert_eq!(end_one_at(&mut r, 0), [], "the retries are not sent there");
            let arrival = r.admit(Millis(5), fresh(arrives, Class::$behind));
            assert_eq!(arrival, Admission::Send(name(0)), "the new request is sent");
            assert_eq!(r.waiting() as u64, $retries);
        }
    )*};
}

blocks_nobody! {
    a_retry_holds_up_none_of_its_class: 1, Normal, then Normal;
    an_urgent_retry_holds_up_no_bulk_request: 1, Urgent, then Bulk;
    fifty_retries_hold_up_nobody: 50, Normal, then Normal;
}

#[test]
fn a_retry_goes_first_where_it_may() {
    let mut r = full_router();
    wait(&mut r, vec![retry(FIRST_ID, Class::Normal), fresh(FIRST_ID + 1, Class::Normal)]);
    assert_eq!(end_one_at(&mut r, 1), [(FIRST_ID, name(1))]);
    assert_eq!(end_one_at(&mut r, 1), [(FIRST_ID + 1, name(1))]);
}

#[test]
fn who_arrives_takes_no_room_that_a_waiting_retry_may_use() {
    let mut r = full_router();
    wait(&mut r, vec![retry(FIRST_ID, Class::Normal)]);
    r.set_targets(&live(3));
    assert_eq!(r.admit(Millis(5), fresh(FIRST_ID + 1, Class::Normal)), Admission::Wait);
    let sent: Vec<u64> = r
        .tick(Millis(6))
        .into_iter()
        .filter_map(|d| match d {
            Dispatch::Send { id, .. } => Some(id),
            Dispatch::Refuse { .. } => None,
        })
        .collect();
    assert_eq!(sent, [FIRST_ID, FIRST_ID + 1]);
}

#[test]
fn a_more_urgent_arrival_does_not_mind_what_a_lesser_one_may_use() {
    let mut r = full_router();
    wait(&mut r, vec![retry(FIRST_ID, Class::Bulk)]);
    r.set_targets(&live(3));
    let arrival = r.admit(Millis(5), fresh(FIRST_ID + 1, Class::Normal));
    assert_eq!(arrival, Admission::Send(name(2)));
}

/// Applies random arrivals, ends and ticks to new requests and retries. After each step no request
/// may wait that could go to an upstream with free slots, and no retry may be sent to an upstream
/// that it has been sent to.
fn no_room_beside_who_may_use_it(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut r = full_router();
    let mut in_flight: Vec<Name> = (0..2).flat_map(|i| vec![name(i); SHARE as usize]).collect();
    let mut waiting: BTreeMap<u64, BTreeSet<Name>> = BTreeMap::new();
    for step in 0..500 {
        let (now, id) = (Millis(step), FIRST_ID + step);
        let mut dispatches = Vec::new();
        match rng.random_range(0..10) {
            0..5 => {
                let class = Class::ALL[rng.random_range(0..3)];
                let tried = (0..2).filter(|_| rng.random_range(0..3) == 0).map(name).collect();
                let info = RequestInfo { tried, ..fresh(id, class) };
                match r.admit(now, info.clone()) {
                    Admission::Send(to) => {
                        assert!(!info.tried.contains(&to), "seed {seed}");
                        in_flight.push(to);
                    }
                    Admission::Wait => _ = waiting.insert(id, info.tried),
                    Admission::Refuse { .. } => {}
                }
            }
            5..9 if !in_flight.is_empty() => {
                let ended = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
                dispatches = r.ended(now, &ended, OK);
            }
            _ => dispatches = r.tick(now),
        }
        for dispatch in dispatches {
            match dispatch {
                Dispatch::Send { id, upstream, .. } => {
                    let tried = waiting.remove(&id).expect("only queued requests are sent");
                    assert!(!tried.contains(&upstream), "seed {seed}");
                    in_flight.push(upstream);
                }
                Dispatch::Refuse { id, .. } => _ = waiting.remove(&id),
            }
        }
        for (upstream, share) in r.targets(now).filter(|(t, share)| t.in_flight < *share) {
            let may_go = waiting.values().any(|tried| !tried.contains(&upstream.name));
            assert!(!may_go, "{} of {share} in use, seed {seed}", upstream.in_flight);
        }
    }
}

#[test]
fn no_room_stays_free_beside_one_who_may_use_it() {
    (0..200).for_each(no_room_beside_who_may_use_it);
}
