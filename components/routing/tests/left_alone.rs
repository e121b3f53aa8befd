//! Failing upstreams are ejected, but never all that a request could be sent to.

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
const QUEUE_LIMIT: u64 = 200;
const TICK: u64 = 10;
/// The duration of a request at an upstream, in milliseconds.
const RUN: u64 = 10;
const OK: RequestOutcome = RequestOutcome::Answered { micros: 10_000, load: None };

fn name(i: u64) -> Name {
    format!("w{i}").as_str().into()
}

fn router(upstreams: u64) -> Router {
    let cfg = RouterConfig {
        sharing: SlotSharing::Fixed,
        selection: SelectionPolicy::ShortestWait,
        slots: 2 * SHARE as u32,
        instances: 2,
        queue_limit: Millis(QUEUE_LIMIT),
        retry_percent: 10,
    };
    let mut router = Router::new(cfg, 1, 1);
    router.set_targets(&(0..upstreams).map(|i| (name(i), TargetState::Live)).collect());
    router
}

fn request(id: u64) -> RequestInfo {
    RequestInfo { id, class: Class::Normal, deadline: Millis(99_000_000), tried: BTreeSet::new() }
}

/// Makes each upstream fail as many consecutive requests as lead to its ejection.
fn fail_everywhere(r: &mut Router, now: u64, upstreams: u64) {
    for id in 0..3 * upstreams {
        if let Admission::Send(to) = r.admit(Millis(now), request(1_000_000 + id)) {
            r.ended(Millis(now), &to, RequestOutcome::Failed);
        } else {
            r.cancel(1_000_000 + id);
        }
    }
}

/// Returns when a request that arrives at `now` is sent, or `None` if it is refused.
fn sent_at(r: &mut Router, now: u64) -> Option<u64> {
    match r.admit(Millis(now), request(1)) {
        Admission::Send(_) => return Some(now),
        Admission::Refuse { .. } => return None,
        Admission::Wait => {}
    }
    (now..).step_by(TICK as usize).find_map(|at| match r.tick(Millis(at))[..] {
        [Dispatch::Send { .. }] => Some(Some(at)),
        [Dispatch::Refuse { .. }] => Some(None),
        _ => None,
    })?
}

/// A request is sent within its maximum wait although every upstream has just failed.
macro_rules! sent_after_all_failed {
    ($($name:ident: $upstreams:expr, $times:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut r = router($upstreams);
            for again in 0..$times {
                fail_everywhere(&mut r, 700 * again, $upstreams);
            }
            let now = 700 * ($times - 1) + 1;
            assert!(sent_at(&mut r, now).is_some(), "refused although upstreams are idle");
        }
    )*};
}

sent_after_all_failed! {
    a_request_is_sent_where_the_only_upstream_failed: 1, 1;
    a_request_is_sent_where_both_upstreams_failed: 2, 1;
    a_request_is_sent_where_all_upstreams_failed: 20, 1;
    a_request_is_sent_where_the_only_upstream_fails_again_and_again: 1, 9;
    a_request_is_sent_where_all_upstreams_fail_again_and_again: 20, 9;
}

#[test]
fn failures_that_lie_together_count_once() {
    let mut r = router(2);
    let mut sent: Vec<Name> = Vec::new();
    for id in 0..2 * SHARE {
        if let Admission::Send(to) = r.admit(Millis(0), request(id)) {
            sent.push(to);
        }
    }
    for to in &sent {
        let ending = if *to == name(0) { RequestOutcome::Failed } else { OK };
        r.ended(Millis(5), to, ending);
    }
    let mut to = BTreeSet::new();
    while let Admission::Send(upstream) = r.admit(Millis(600), request(100 + to.len() as u64)) {
        to.insert(upstream.clone());
    }
    assert!(to.contains(&name(0)), "ejected for longer than the first time");
}

/// The outcomes of requests, some of which fail on every upstream.
#[derive(Debug, Default)]
struct Counts {
    healthy: u32,
    refused: u32,
}

/// Sends a request every 2 ms for 20 s to four healthy upstreams; `percent` of the requests fail on
/// every upstream. Counts the outcomes of the others.
fn some_fail_everywhere(seed: u64, percent: u64) -> Counts {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut r = router(4);
    let mut faulty = BTreeMap::new();
    let mut running: Vec<(u64, u64, Name)> = Vec::new();
    let mut counts = Counts::default();
    for now in 0..20_000 {
        let mut dispatches = Vec::new();
        let over: Vec<(u64, u64, Name)> = running.extract_if(.., |r| r.0 <= now).collect();
        for (_, id, to) in over {
            let ending = if faulty[&id] { RequestOutcome::Failed } else { OK };
            counts.healthy += u32::from(!faulty[&id]);
            dispatches.extend(r.ended(Millis(now), &to, ending));
        }
        if now % 2 == 0 {
            faulty.insert(now, rng.random_range(0..100) < percent);
            match r.admit(Millis(now), request(now)) {
                Admission::Send(to) => running.push((now + RUN, now, to)),
                Admission::Refuse { .. } => counts.refused += u32::from(!faulty[&now]),
                Admission::Wait => {}
            }
        }
        if now % TICK == 0 {
            dispatches.extend(r.tick(Millis(now)));
        }
        for dispatch in dispatches {
            match dispatch {
                Dispatch::Send { id, upstream, .. } => running.push((now + RUN, id, upstream)),
                Dispatch::Refuse { id, .. } => counts.refused += u32::from(!faulty[&id]),
            }
        }
    }
    counts
}

#[test]
fn requests_that_fail_everywhere_take_no_room_from_the_others() {
    for seed in 0..10 {
        let c = some_fail_everywhere(seed, 30);
        println!("seed {seed}: {c:?}");
        assert!(c.refused * 50 <= c.healthy, "seed {seed}: {c:?}");
    }
}

#[test]
fn upstreams_that_all_fail_get_few_requests() {
    let mut r = router(20);
    let mut failures = 0;
    for now in 0..10_000 {
        if let Admission::Send(to) = r.admit(Millis(now), request(now)) {
            failures += 1;
            r.ended(Millis(now), &to, RequestOutcome::Failed);
        }
        for dispatch in r.tick(Millis(now)) {
            if let Dispatch::Send { upstream, .. } = dispatch {
                failures += 1;
                r.ended(Millis(now), &upstream, RequestOutcome::Failed);
            }
        }
    }
    println!("{failures} of 10000 requests were sent");
    assert!(failures <= 2_000, "{failures} requests failed that another zone could have taken");
}

/// Upstreams that fail all their requests, beside healthy ones, are ejected for ever longer.
macro_rules! failing_upstreams_stay_ejected {
    ($($name:ident: $failing:expr, of $upstreams:expr => at most $most:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut r = router($upstreams);
            let mut failures = 0;
            for now in 0..20_000 {
                if let Admission::Send(to) = r.admit(Millis(now), request(now)) {
                    let fails = (0..$failing).any(|i| to == name(i));
                    failures += u32::from(fails);
                    r.ended(Millis(now), &to, if fails { RequestOutcome::Failed } else { OK });
                }
                r.tick(Millis(now));
            }
            println!("{failures} of 20000 requests failed");
            assert!(failures <= $most, "{failures} requests failed");
        }
    )*};
}

failing_upstreams_stay_ejected! {
    one_failing_upstream_of_two_stays_alone: 1, of 2 => at most 9;
    one_failing_upstream_of_four_stays_alone: 1, of 4 => at most 9;
    half_of_the_upstreams_stay_alone: 10, of 20 => at most 90;
}
