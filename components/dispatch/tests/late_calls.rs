//! Calls that reach the leader after their callers' time limits are not carried out.

mod common;

use clock::Millis;
use common::{Harness, job, spec, step};
use dispatch::{Action, Answer, Call, CallTimes, Input, Verb};
use events::kinds;
use rstest::rstest;
use workload::Credential;

const PATH: &str = "/q/0000000000000001";

fn submit() -> Call {
    let verb = Verb::Submit(spec(vec![step(1)]));
    Call::from_caller(("h".into(), PATH.into()), 100, verb, Credential::None)
}

fn drain(drained: bool) -> Call {
    Call::DrainZone { zone: "z".into(), drained }
}

/// Feeds a call whose time limit ends at `deadline` and returns its answer.
fn call_until(b: &mut Harness, deadline: Millis, call: Call, repeated: bool) -> Answer {
    let token = 0x1_0000 + b.actions.len() as u64;
    let times = CallTimes { received_at: deadline.since(Millis(3_000)), deadline };
    b.feed(Input::TimedCall { token, call, repeated, times });
    b.commit();
    b.answer(token).cloned().expect("an answer")
}

fn late_lines(b: &Harness) -> usize {
    let is_late = |a: &&Action| matches!(a, Action::LogEvent { kind, .. } if kind.number == kinds::CALL_LATE.number);
    b.actions.iter().filter(is_late).count()
}

/// Guards against a job that runs although its caller has given it up, and against a zone that is drained after the order was
/// answered as unsure.
#[rstest]
#[case::submit(submit(), false)]
#[case::repeated_submit(submit(), true)]
#[case::drain(drain(true), false)]
fn a_call_after_its_time_limit_changes_nothing(#[case] call: Call, #[case] repeated: bool) {
    let mut b = Harness::new("");
    let deadline = b.now.since(Millis(1));
    let answer = call_until(&mut b, deadline, call, repeated);
    assert!(matches!(answer, Answer::NotDone { .. }), "{answer:?}");
    assert_eq!(b.committed.job(job(1)), None);
    assert!(b.committed.drained_zones().is_empty());
    assert_eq!(b.dispatcher.figures().late_calls, 1);
}

#[rstest]
#[case::submit(submit(), Answer::Accepted)]
#[case::drain(drain(true), Answer::ZoneUpdated)]
fn a_call_within_its_time_limit_is_carried_out(#[case] call: Call, #[case] answer: Answer) {
    let mut b = Harness::new("");
    // The call was handed in after the leader's term had begun.
    b.now += Millis(4_000);
    let deadline = b.now;
    assert_eq!(call_until(&mut b, deadline, call, false), answer);
    assert_eq!(late_lines(&b), 0);
}

/// Feeds an order about the zone that was handed in at a time and returns its answer.
fn order_at(b: &mut Harness, received_at: Millis, drained: bool) -> Answer {
    let token = 0x1_0000 + b.actions.len() as u64;
    let times = CallTimes { received_at, deadline: b.now + Millis(3_000) };
    b.feed(Input::TimedCall { token, call: drain(drained), repeated: false, times });
    b.commit();
    b.answer(token).cloned().expect("an answer")
}

/// Guards against a zone that is drained, or used, against the last order that was acknowledged: one that was handed in
/// earlier was held up.
#[rstest]
#[case::a_drain_before_a_restore_that_changed_nothing(false, false)]
#[case::a_drain_before_a_restore(true, false)]
#[case::a_restore_before_a_drain(false, true)]
#[case::a_restore_before_a_drain_that_changed_nothing(true, true)]
fn an_earlier_order_does_not_undo_a_later_one(#[case] was_drained: bool, #[case] drained: bool) {
    let mut b = Harness::new("");
    let now = b.now;
    order_at(&mut b, now, was_drained);
    let handed_in = b.now + Millis(10);
    b.now += Millis(700);
    let now = b.now;
    assert_eq!(order_at(&mut b, now, drained), Answer::ZoneUpdated);
    b.now += Millis(1_000);
    let answer = order_at(&mut b, handed_in, !drained);
    assert!(matches!(answer, Answer::NotDone { .. }), "{answer:?}");
    assert_eq!(b.committed.drained_zones().contains("z"), drained);
    // The same order, handed in again, is the last one.
    let now = b.now;
    assert_eq!(order_at(&mut b, now, !drained), Answer::ZoneUpdated);
    assert_eq!(b.committed.drained_zones().contains("z"), !drained);
}

/// Guards against an order from before a change of leader that undoes a later one.
#[test]
fn a_new_leader_refuses_an_order_from_before_its_term_unless_it_changes_nothing() {
    let mut b = Harness::new("");
    let handed_in = b.now;
    b.now += Millis(700);
    let now = b.now;
    order_at(&mut b, now, false);
    let mut b = Harness::take_over(b.committed.clone(), 2, b.now + Millis(700));
    assert!(matches!(order_at(&mut b, handed_in, true), Answer::NotDone { .. }));
    assert_eq!(order_at(&mut b, handed_in, false), Answer::ZoneUpdated);
    b.now += Millis(1);
    let now = b.now;
    assert_eq!(order_at(&mut b, now, true), Answer::ZoneUpdated);
}

/// Guards against a log that a cut floods as it ends.
#[test]
fn late_calls_are_logged_once_a_second() {
    let mut b = Harness::new("");
    for _ in 0..500 {
        let deadline = b.now.since(Millis(1));
        call_until(&mut b, deadline, submit(), false);
    }
    assert_eq!(late_lines(&b), 1);
    assert_eq!(b.dispatcher.figures().late_calls, 500);
}
