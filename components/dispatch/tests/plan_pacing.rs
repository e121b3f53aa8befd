//! Tests that plans leave a leader the time to carry out what they decide.

mod common;

use clock::Millis;
use common::{Harness, spec, step};
use dispatch::Moment;
use rstest::rstest;

/// Guards against a leader with little processor time that spends it on plans: commits and answers of workers waited, so
/// that the starts in flight stayed at their bound and half of the fleet was idle.
#[rstest]
#[case::after_a_quick_plan(Millis::ZERO, Millis(10))]
#[case::after_a_slow_plan(Millis(7), Millis(49))]
#[case::after_a_very_slow_plan(Millis(100), Millis(60))]
fn the_next_plan_waits_for_several_times_as_long_as_the_last_one_took(
    #[case] took: Millis,
    #[case] starts_within: Millis,
) {
    let mut b = Harness::new("");
    b.join("w1", 8);
    b.advance(Millis(100));
    let m = Moment { now: b.now, wall: b.now, leads_until: b.now + Millis(1_000) };
    b.dispatcher.record_decision_time(m, took);
    b.submit(1, spec(vec![step(1)]));
    let begun = b.now;
    while b.starts().is_empty() {
        b.commit();
        if b.starts().is_empty() {
            b.advance(Millis(1));
        }
        assert!(b.now.since(begun) <= Millis(100), "the task does not start");
    }
    assert!(b.now.since(begun) <= starts_within, "it started after {}", b.now.since(begun));
    assert!(b.now.since(begun) >= starts_within.min(Millis(7 * took.0)));
}
