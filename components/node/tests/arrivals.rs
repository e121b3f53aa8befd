//! When calls arrived that a process reads after it did not run.

use clock::Millis;
use node::Arrivals;

fn running_until(now: u64) -> Arrivals {
    let mut arrivals = Arrivals::new(Millis(0));
    (0..=now).step_by(50).for_each(|t| arrivals.record_turn(Millis(t)));
    arrivals
}

#[test]
fn a_call_that_a_running_process_reads_has_just_arrived() {
    let mut arrivals = running_until(2_000);
    // A busy machine delays a turn.
    arrivals.record_turn(Millis(2_190));
    assert_eq!(arrivals.arrived_after(Millis(2_195)), Millis(2_195));
}

/// Guards against a call that waited in the socket of a frozen process being taken for a new one.
#[test]
fn a_call_that_is_read_after_a_stall_may_have_arrived_as_it_began() {
    let mut arrivals = running_until(2_000);
    arrivals.record_turn(Millis(6_000));
    (6_000..=6_900).step_by(50).for_each(|t| arrivals.record_turn(Millis(t)));
    assert_eq!(arrivals.arrived_after(Millis(6_000)), Millis(2_000));
    assert_eq!(arrivals.arrived_after(Millis(6_999)), Millis(2_000));
    assert_eq!(arrivals.arrived_after(Millis(7_000)), Millis(7_000), "all that waited is read");
}

/// Guards against a second stall that hides what waited during the first one.
#[test]
fn a_call_may_wait_through_two_stalls() {
    let mut arrivals = running_until(2_000);
    arrivals.record_turn(Millis(6_000));
    arrivals.record_turn(Millis(6_050));
    arrivals.record_turn(Millis(9_000));
    assert_eq!(arrivals.arrived_after(Millis(9_100)), Millis(2_000));
    assert_eq!(arrivals.arrived_after(Millis(10_000)), Millis(10_000));
    (9_000..=12_000).step_by(50).for_each(|t| arrivals.record_turn(Millis(t)));
    arrivals.record_turn(Millis(13_000));
    assert_eq!(arrivals.arrived_after(Millis(13_000)), Millis(12_000), "the first is long over");
}

/// Guards against calls that are refused as too old at an instance that is slow all the time.
#[test]
fn calls_at_a_process_that_stalls_again_and_again_have_arrived_lately() {
    let mut arrivals = running_until(0);
    for second in 1..=120 {
        let began = Millis(second * 1_000);
        (0..=14).for_each(|turn| arrivals.record_turn(began + Millis(turn * 50)));
        let age = began.since(arrivals.arrived_after(began));
        assert!(age <= Millis(3_000), "{age} at {began}");
    }
}
