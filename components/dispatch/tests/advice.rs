//! When advice is requested, on which workers, and by which instance.

mod common;

use clock::Millis;
use common::{Harness, end, row, spec, step, task};
use workload::{EndKind, StepSpec};

#[test]
fn calls_that_take_long_leave_instances_free_for_short_ones() {
    let mut b = Harness::new("advice");
    b.set_advice_callers(&["e1", "e2", "e3"]);
    b.join("w1", 16);
    for id in 1..=5 {
        b.submit_bulk(id, spec(vec![step(1)]));
    }
    assert_eq!(b.advice_requests(None).len(), 2, "one of three instances stays free");
    b.submit(9, spec(vec![step(1)]));
    b.advance(Millis(10));
    assert_eq!(b.advice_requests(Some(9)).len(), 1);
}

#[test]
fn a_single_instance_makes_long_calls_too() {
    let mut b = Harness::new("advice");
    b.set_advice_callers(&["e1"]);
    b.join("w1", 16);
    b.submit_bulk(1, spec(vec![step(1)]));
    assert_eq!(b.advice_requests(None).len(), 1);
}

#[test]
fn where_room_is_short_one_short_call_names_the_full_workers_too() {
    let mut b = Harness::new("advice");
    b.set_advice_callers(&["e1", "e2", "e3"]);
    b.join("w1", 1);
    b.join("w2", 1);
    b.submit(1, spec(vec![step(1)]));
    let request = b.advice_requests(Some(1)).remove(0);
    b.answer_advice(&request, &["w1"]);
    assert_eq!(b.starts().len(), 1, "w1 is full now");
    b.submit(2, spec(vec![step(2)]));
    let request = b.advice_requests(Some(2)).remove(0);
    assert_eq!(request.workers.len(), 2);
    b.answer_advice(&request, &["w1", "w2"]);
    b.advance(Millis(500));
    b.report("w1", vec![], vec![end(1, task(1, 0, 0), 1, EndKind::Done)]);
    b.commit();
    assert_eq!(b.starts().len(), 3, "capacity that becomes free is used without another call");
    assert_eq!(b.advice_requests(Some(2)).len(), 1);
}

#[test]
fn advice_on_the_next_step_is_asked_for_long_before_it_opens() {
    let mut b = Harness::new("advice");
    b.set_advice_callers(&["e1", "e2", "e3"]);
    b.join("w1", 8);
    let second = StepSpec { depends_on: vec![0], ..step(2) };
    b.submit(1, spec(vec![step(1), second]));
    let request = b.advice_requests(Some(1)).remove(0);
    b.answer_advice(&request, &["w1"]);
    b.started("w1", task(1, 0, 0), 1, Ok(()));
    // Declared run times are often too long, so the run may already end after half of the declared time.
    b.advance(Millis(300));
    b.report("w1", vec![row(task(1, 0, 0), 1)], vec![]);
    let requests = b.advice_requests(Some(1));
    assert_eq!(requests.len(), 2, "the step runs for 800 ms by what was declared");
    b.answer_advice(&requests[1], &["w1"]);
    b.report("w1", vec![], vec![end(1, task(1, 0, 0), 1, EndKind::Done)]);
    b.commit();
    assert_eq!(b.starts().len(), 3, "the second step starts in the commit that opens it");
}

#[test]
fn a_short_call_without_an_answer_is_soon_made_by_another_instance() {
    let mut b = Harness::new("advice");
    b.set_advice_callers(&["e1", "e2", "e3"]);
    b.join("w1", 8);
    b.submit(1, spec(vec![step(1)]));
    assert_eq!(b.advice_requests(Some(1)).len(), 1);
    b.advance(Millis(300));
    b.advance(Millis(100));
    let callers: Vec<String> =
        b.advice_requests(Some(1)).iter().map(|a| a.caller.to_string()).collect();
    assert_eq!(callers.len(), 2);
    assert_ne!(callers[0], callers[1]);
}

#[test]
fn a_long_call_names_full_workers_too_where_room_is_short() {
    let mut b = Harness::new("advice");
    b.set_advice_callers(&["e1"]);
    b.join("w1", 1);
    b.join("w2", 1);
    b.submit_bulk(1, spec(vec![step(3)]));
    let request = b.advice_requests(Some(1)).remove(0);
    b.answer_advice(&request, &["w1", "w2"]);
    assert_eq!(b.starts().len(), 2, "both are full now");
    b.submit_bulk(2, spec(vec![step(1)]));
    b.advance(Millis(100));
    let request = b.advice_requests(Some(2)).remove(0);
    assert_eq!(request.workers.len(), 2);
}

#[test]
fn tickets_of_a_step_that_waits_are_renewed_before_they_run_out() {
    let mut b = Harness::new("advice");
    b.set_advice_callers(&["e1"]);
    b.join("w1", 1);
    b.submit_bulk(1, spec(vec![step(2)]));
    let request = b.advice_requests(Some(1)).remove(0);
    b.answer_advice(&request, &["w1"]);
    assert_eq!(b.starts().len(), 1);
    // A ticket is valid for 2 s and a call takes 0.4 s.
    b.advance(Millis(1_300));
    assert_eq!(b.advice_requests(Some(1)).len(), 1);
    b.advance(Millis(300));
    b.advance(Millis(10));
    assert_eq!(b.advice_requests(Some(1)).len(), 2);
}

/// Examining all workers takes processor time of the leader, which it needs to answer calls.
#[test]
fn a_ticket_for_a_worker_that_fell_silent_has_nobody_looked_for_all_the_time() {
    let mut b = Harness::new("advice");
    b.set_advice_callers(&["e1", "e2", "e3"]);
    b.join("w1", 1);
    b.submit(1, spec(vec![step(2)]));
    let request = b.advice_requests(Some(1)).remove(0);
    b.answer_advice(&request, &["w1"]);
    b.renewal_fails("w1", common::NO_ANSWER());
    // By now the ticket has expired, and no advice can be requested on its worker.
    b.advance(Millis(2_500));
    let scans: u32 = (0..40)
        .map(|_| {
            b.advance(Millis(50));
            b.dispatcher.figures().scans
        })
        .sum();
    assert!(scans <= 6, "{scans} times in two seconds");
}

/// Guards against steps that wait for several plans until one looks for workers for them. The cost of a plan is bounded
/// by the workers that it examines, of which there is one here, and not by the number of steps.
#[test]
fn one_plan_requests_advice_for_all_steps_while_instances_are_free() {
    let mut b = Harness::new("advice");
    let callers: Vec<String> = (0..40).map(|i| format!("e{i}")).collect();
    b.set_advice_callers(&callers.iter().map(String::as_str).collect::<Vec<_>>());
    b.join("w1", 8);
    for id in 1..=30 {
        b.submit(id, spec(vec![step(9)]));
    }
    b.advance(Millis(100));
    let requested =
        |b: &Harness| (1..=30).filter(|id| !b.advice_requests(Some(*id)).is_empty()).count();
    assert_eq!(requested(&b), 30);
    assert!(b.dispatcher.figures().workers_scanned <= 30 * 2);
}

/// A plan that has used up its examination budget must not drop the steps for which it was to request advice ahead of
/// need.
#[test]
fn advice_ahead_is_asked_for_later_if_a_plan_has_looked_for_many_steps() {
    let mut b = Harness::new("advice");
    let callers: Vec<String> = (0..40).map(|i| format!("e{i}")).collect();
    b.set_advice_callers(&callers.iter().map(String::as_str).collect::<Vec<_>>());
    b.join("w1", 8);
    let second = StepSpec { depends_on: vec![0], ..step(1) };
    b.submit(1, spec(vec![step(1), second]));
    let request = b.advice_requests(Some(1)).remove(0);
    // One plan handles both the answer and a backlog.
    for id in 2..=30 {
        b.submit(id, spec(vec![step(9)]));
    }
    b.answer_advice(&request, &["w1"]);
    (0..20).for_each(|_| b.advance(Millis(20)));
    let steps: Vec<u32> = b.advice_requests(Some(1)).iter().map(|a| a.step.step).collect();
    assert!(steps.contains(&1), "{steps:?}");
}

/// The leader's figures distinguish a backlog that waits for calls for advice from one that waits for capacity.
#[test]
fn the_figures_tell_how_many_steps_wait_for_an_instance_to_make_a_call() {
    let mut b = Harness::new("advice");
    b.set_advice_callers(&["e1", "e2", "e3"]);
    b.join("w1", 16);
    for id in 1..=5 {
        b.submit_bulk(id, spec(vec![step(1)]));
    }
    let figures = b.dispatcher.figures();
    assert_eq!((figures.advice_callers_busy, figures.advice_callers), (2, 3));
    assert_eq!(figures.steps_without_caller, 3);
}
