//! Which connections of a listener stay open, and whose bodies get memory.

use std::collections::BTreeMap;

use clock::Millis;
use node::{
    ConnectionId, ConnectionLimits, ConnectionTable, Eviction, FREE_REQUEST_MEMORY, Phase,
    Reservation,
};
use proptest::prelude::*;

const LIMITS: ConnectionLimits = ConnectionLimits { connections: 4, memory: 100_000 };
const NONE: [ConnectionId; 0] = [];
/// A body that takes more than half of the budget.
const LARGE: usize = 60_000 + FREE_REQUEST_MEMORY;

fn at(ms: u64) -> Millis {
    Millis(ms)
}

/// Opens a connection whose request has begun.
fn open_request(table: &mut ConnectionTable, now: u64) -> ConnectionId {
    let (id, evicted) = table.open(at(now));
    assert_eq!(evicted, vec![]);
    table.begin_request(at(now), id);
    id
}

fn evicted(reservation: Reservation) -> Vec<ConnectionId> {
    match reservation {
        Reservation::Granted(evictions) => evictions.iter().map(|e| e.id).collect(),
        refused => panic!("{refused:?}"),
    }
}

#[test]
fn the_request_that_is_incomplete_for_the_longest_time_makes_place() {
    let mut table = ConnectionTable::new(LIMITS);
    let ids: Vec<ConnectionId> = (0..4).map(|n| open_request(&mut table, n)).collect();
    table.complete_request(at(5), ids[0]);
    let (_, evictions) = table.open(at(11));
    let expected = Eviction { id: ids[1], phase: Phase::Body, waited: at(10), memory: 0 };
    assert_eq!(evictions, vec![expected]);
}

#[test]
fn an_idle_connection_of_a_caller_outlasts_incomplete_requests() {
    let mut table = ConnectionTable::new(LIMITS);
    let idle = open_request(&mut table, 0);
    table.complete_request(at(1), idle);
    table.end_request(at(2), idle);
    let others: Vec<ConnectionId> = (3..6).map(|n| open_request(&mut table, n)).collect();
    for other in others {
        let (_, evictions) = table.open(at(9));
        assert_eq!(evictions.iter().map(|e| e.id).collect::<Vec<_>>(), [other]);
    }
}

#[test]
fn complete_requests_are_never_evicted() {
    let mut table = ConnectionTable::new(LIMITS);
    for n in 0..4 {
        let id = open_request(&mut table, n);
        assert_eq!(
            table.reserve(at(n), id, FREE_REQUEST_MEMORY + 25_000),
            Reservation::Granted(vec![])
        );
        table.complete_request(at(n), id);
    }
    let (id, evictions) = table.open(at(9));
    assert_eq!(evictions, vec![]);
    table.begin_request(at(9), id);
    assert_eq!(table.reserve(at(9), id, LARGE), Reservation::Refused);
    assert_eq!(table.reserve(at(9), id, FREE_REQUEST_MEMORY), Reservation::Granted(vec![]));
}

#[test]
fn the_body_that_is_held_for_the_longest_time_gives_up_its_memory() {
    let mut table = ConnectionTable::new(LIMITS);
    let first = open_request(&mut table, 0);
    let second = open_request(&mut table, 1);
    assert_eq!(evicted(table.reserve(at(2), first, LARGE)), NONE);
    assert_eq!(evicted(table.reserve(at(3), second, LARGE)), vec![first]);
    assert_eq!(table.memory_taken(), LARGE - FREE_REQUEST_MEMORY);
    assert_eq!(table.reserve(at(4), first, 1), Reservation::Closing);
}

#[test]
fn a_body_beyond_the_whole_budget_evicts_nothing() {
    let mut table = ConnectionTable::new(LIMITS);
    let first = open_request(&mut table, 0);
    let second = open_request(&mut table, 1);
    assert_eq!(evicted(table.reserve(at(2), first, LARGE)), NONE);
    assert_eq!(table.reserve(at(3), second, 200_000), Reservation::Refused);
    assert_eq!(table.memory_taken(), LARGE - FREE_REQUEST_MEMORY);
}

#[test]
fn a_request_that_grows_does_not_evict_itself() {
    let mut table = ConnectionTable::new(LIMITS);
    let id = open_request(&mut table, 0);
    assert_eq!(evicted(table.reserve(at(1), id, 50_000)), NONE);
    assert_eq!(evicted(table.reserve(at(2), id, 100_000)), NONE);
}

#[test]
fn the_end_of_a_connection_frees_what_it_held() {
    let mut table = ConnectionTable::new(LIMITS);
    let id = open_request(&mut table, 0);
    assert_eq!(evicted(table.reserve(at(1), id, LARGE)), NONE);
    table.remove(id);
    assert_eq!((table.open_count(), table.memory_taken()), (0, 0));
}

/// What happens to one of the connections, chosen by a number.
#[derive(Clone, Debug)]
enum Step {
    Open,
    Begin(usize),
    Reserve(usize, usize),
    Complete(usize),
    End(usize),
    Remove(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Open),
        4 => any::<usize>().prop_map(Step::Begin),
        4 => (any::<usize>(), 0..80_000usize).prop_map(|(n, memory)| Step::Reserve(n, memory)),
        2 => any::<usize>().prop_map(Step::Complete),
        2 => any::<usize>().prop_map(Step::End),
        1 => any::<usize>().prop_map(Step::Remove),
    ]
}

/// What a connection does, as the listener sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Seen {
    Waiting,
    Receiving,
    Answering,
}

proptest! {
    /// In a random crowd the budgets hold, no complete request is evicted, small bodies always get memory, and what is
    /// counted as taken is the sum of what was granted.
    #[test]
    fn the_budgets_hold_in_any_crowd(steps in proptest::collection::vec(step(), 0..300)) {
        let mut table = ConnectionTable::new(LIMITS);
        let mut seen: BTreeMap<ConnectionId, (Seen, usize)> = BTreeMap::new();
        for (now, step) in steps.into_iter().enumerate() {
            let now = at(now as u64);
            let pick = |n: usize, of: &[Seen]| {
                let ids: Vec<ConnectionId> =
                    seen.iter().filter(|(_, (s, _))| of.contains(s)).map(|(id, _)| *id).collect();
                ids.get(n.checked_rem(ids.len())?).copied()
            };
            let mut evictions = Vec::new();
            match step {
                Step::Open => {
                    let answering = seen.values().filter(|(s, _)| *s == Seen::Answering).count();
                    let was_full = table.open_count() >= LIMITS.connections;
                    let (id, evicted) = table.open(now);
                    prop_assert!(was_full || evicted.is_empty());
                    prop_assert!(table.open_count() <= LIMITS.connections.max(answering + 1));
                    evictions.extend(evicted);
                    seen.insert(id, (Seen::Waiting, 0));
                }
                Step::Begin(n) => {
                    if let Some(id) = pick(n, &[Seen::Waiting]) {
                        table.begin_request(now, id);
                        seen.insert(id, (Seen::Receiving, 0));
                    }
                }
                Step::Reserve(n, memory) => {
                    if let Some(id) = pick(n, &[Seen::Receiving]) {
                        match table.reserve(now, id, memory) {
                            Reservation::Granted(e) => {
                                evictions.extend(e);
                                seen.insert(id, (Seen::Receiving, memory));
                            }
                            Reservation::Refused => prop_assert!(memory > FREE_REQUEST_MEMORY),
                            Reservation::Closing => prop_assert!(false, "{id} is open"),
                        }
                    }
                }
                Step::Complete(n) => {
                    if let Some(id) = pick(n, &[Seen::Receiving]) {
                        table.complete_request(now, id);
                        seen.entry(id).and_modify(|s| s.0 = Seen::Answering);
                    }
                }
                Step::End(n) => {
                    if let Some(id) = pick(n, &[Seen::Answering, Seen::Receiving]) {
                        table.end_request(now, id);
                        seen.insert(id, (Seen::Waiting, 0));
                    }
                }
                Step::Remove(n) => {
                    let all = [Seen::Waiting, Seen::Receiving, Seen::Answering];
                    if let Some(id) = pick(n, &all) {
                        table.remove(id);
                        seen.remove(&id);
                    }
                }
            }
            for eviction in evictions {
                let (was, memory) = seen.remove(&eviction.id).expect("an open connection");
                prop_assert_ne!(was, Seen::Answering);
                prop_assert_eq!(eviction.memory, memory);
                table.remove(eviction.id);
            }
            prop_assert_eq!(table.open_count(), seen.len());
            let beyond = |m: &usize| m.saturating_sub(FREE_REQUEST_MEMORY);
            let taken: usize = seen.values().map(|(_, m)| beyond(m)).sum();
            prop_assert_eq!(table.memory_taken(), taken);
            prop_assert!(taken <= LIMITS.memory);
        }
    }
}
