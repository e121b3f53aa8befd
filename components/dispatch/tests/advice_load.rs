//! Calls for advice when more steps wait than there are instances to make calls.

mod common;

use std::collections::BTreeSet;

use clock::Millis;
use common::{Harness, spec, step, worker};
use dispatch::{AdviceRequest, CallError, Refusal};
use model::Size;
use rstest::rstest;
use workload::StepSpec;

const INSTANCES: usize = 16;

fn names() -> Vec<String> {
    (0..INSTANCES).map(|i| format!("e{i:02}")).collect()
}

/// Returns a harness with capacity for everything and sixteen instances that call for advice.
fn fleet(workers: usize) -> Harness {
    let mut b = Harness::new("advice, long");
    let names = names();
    b.set_advice_callers(&names.iter().map(String::as_str).collect::<Vec<_>>());
    for i in 0..workers {
        b.join(&format!("w{i:02}"), 16);
    }
    b
}

/// Submits more batch steps than there are instances.
fn submit_backlog(b: &mut Harness) {
    for n in 0..40 {
        let batch = StepSpec { estimate: Millis(4_000), ..step(4) };
        b.submit_bulk(0x1000 + n, spec(vec![batch]));
    }
    b.commit();
    b.advance(Millis(200));
}

/// Returns the instances that were sent long calls, none of which is answered.
fn busy_with_long_calls(b: &Harness) -> BTreeSet<String> {
    let long = |a: &AdviceRequest| a.step.job.0 >= 0x1000;
    b.advice_requests(None).into_iter().filter(long).map(|a| a.caller.to_string()).collect()
}

#[test]
fn a_new_leader_keeps_a_third_of_the_instances_for_short_calls() {
    let mut b = fleet(8);
    submit_backlog(&mut b);
    assert_eq!(busy_with_long_calls(&b).len(), INSTANCES - INSTANCES / 3);
}

/// Load pattern: dozens of batch steps wait while hardly any quick ones come. Instances that were reserved for short calls
/// stood idle although workers had capacity.
#[test]
fn without_short_calls_nearly_all_instances_make_long_ones() {
    let mut b = fleet(8);
    b.advance(Millis(100));
    b.advance(Millis(20_000));
    submit_backlog(&mut b);
    assert_eq!(busy_with_long_calls(&b).len(), INSTANCES - INSTANCES / 8);
}

/// Load pattern: dozens of quick steps come each second. Each call takes 25 ms or more, so a burst of them may need a
/// third of the instances.
#[test]
fn beside_many_short_calls_a_third_of_the_instances_stays_free_of_long_ones() {
    let mut b = fleet(60);
    let mut confirmed = 0;
    for turn in 0..150 {
        let ids = turn * 4 + 1..=turn * 4 + 4;
        for id in ids.clone() {
            b.submit(id, spec(vec![step(1)]));
        }
        b.advance(Millis(20));
        let requests: Vec<AdviceRequest> = ids.flat_map(|id| b.advice_requests(Some(id))).collect();
        for request in requests {
            let allowed: Vec<String> = request.workers.iter().map(ToString::to_string).collect();
            b.answer_advice(&request, &allowed.iter().map(String::as_str).collect::<Vec<_>>());
        }
        b.advance(Millis(20));
        for (w, start) in b.starts().split_off(confirmed) {
            b.started(&w.0, start.task, start.run, Ok(()));
            confirmed += 1;
        }
    }
    submit_backlog(&mut b);
    let busy = busy_with_long_calls(&b).len();
    assert!(0 < busy && busy <= INSTANCES - INSTANCES / 3, "{busy} make long calls");
}

/// Load pattern: steps wait for an instance to make a call, on a fleet with little free capacity. A call on few workers
/// then places few tasks, and the step waits for another call. A call takes 400 ms and 5 ms a worker, so 40
/// workers add only half to its time.
#[test]
fn where_calls_are_short_a_long_one_names_more_workers() {
    let mut b = fleet(60);
    b.submit_bulk(1, spec(vec![step(2)]));
    assert_eq!(b.advice_requests(Some(1)).remove(0).workers.len(), 10);
    submit_backlog(&mut b);
    let answered = b.advice_requests(Some(1)).remove(0);
    b.answer_advice(&answered, &["w00", "w01"]);
    b.advance(Millis(50));
    let last = b.advice_requests(None).pop().unwrap();
    assert_ne!(last.step, answered.step);
    assert_eq!(last.workers.len(), 40);
}

/// Load pattern: a hundred steps wait for an instance to make a call, on a fleet that is half empty. A call on 40 workers
/// takes a quarter longer than one on 15, which place the step as well, so fewer steps got a call.
#[test]
fn where_calls_are_short_and_capacity_is_ample_a_long_one_names_few_workers() {
    let mut b = fleet(60);
    b.submit_bulk(1, spec(vec![step(2)]));
    submit_backlog(&mut b);
    let answered = b.advice_requests(Some(1)).remove(0);
    let allowed: Vec<String> = answered.workers.iter().map(ToString::to_string).collect();
    b.answer_advice(&answered, &allowed.iter().map(String::as_str).collect::<Vec<_>>());
    b.advance(Millis(50));
    let last = b.advice_requests(None).pop().unwrap();
    assert_ne!(last.step, answered.step);
    assert!((10..=20).contains(&last.workers.len()), "{} workers", last.workers.len());
}

/// Guards against calls whose cost grows with the fleet: a leader that examined each of 6,000 idle workers for every call
/// had no time left to read the workers' answers.
#[rstest]
#[case::of_a_thousand(1_000)]
#[case::of_two_thousand(2_000)]
fn in_a_large_idle_fleet_a_call_examines_some_workers_only(#[case] workers: usize) {
    let mut b = fleet(workers);
    b.submit(1, spec(vec![step(4)]));
    assert_eq!(b.advice_requests(Some(1)).len(), 1);
    assert_eq!(b.dispatcher.figures().workers_scanned, 400);
}

#[test]
fn calls_on_successive_steps_name_different_workers() {
    let mut b = fleet(1_000);
    b.submit(1, spec(vec![step(4)]));
    b.submit(2, spec(vec![step(4)]));
    let named =
        |id| -> BTreeSet<_> { b.advice_requests(Some(id)).remove(0).workers.into_iter().collect() };
    assert!(named(1).is_disjoint(&named(2)));
}

#[test]
fn a_call_finds_the_only_worker_with_capacity_in_a_large_fleet() {
    let mut b = fleet(0);
    (0..1_000).for_each(|i| b.join(&format!("small{i:03}"), 1));
    b.join("large", 16);
    b.submit(1, spec(vec![StepSpec { size: Size::new(4_000, 4_000, 0), ..step(1) }]));
    assert_eq!(b.advice_requests(Some(1)).remove(0).workers[0], worker("large"));
}

#[test]
fn a_call_names_workers_known_to_be_allowed_wherever_the_search_begins() {
    let mut b = fleet(1_000);
    b.submit(1, spec(vec![step(1)]));
    let first = b.advice_requests(Some(1)).remove(0);
    let allowed = first.workers[0].to_string();
    b.answer_advice(&first, &[&allowed]);
    let (worker, start) = b.starts().remove(0);
    let refused = Err(CallError::Refused(Refusal::Ticket));
    b.started(&worker.0, start.task, start.run, refused);
    b.commit();
    b.advance(Millis(100));
    let last = b.advice_requests(Some(1)).pop().unwrap();
    assert!(last.id > first.id);
    assert_eq!(last.workers[0], worker);
}
