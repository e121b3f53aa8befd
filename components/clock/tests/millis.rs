//! Tests that spans never wrap around and clocks never step back.

use clock::{Clock, ManualClock, Millis, SystemClock};
use rstest::rstest;

#[rstest]
#[case::of_nothing(0, 5, 0)]
#[case::rounded_up(1, 5, 2)]
#[case::exact(100, 5, 105)]
#[case::saturated(u64::MAX, 5, u64::MAX)]
fn a_span_grows_by_percent(#[case] span: u64, #[case] percent: u64, #[case] expected: u64) {
    assert_eq!(Millis(span).plus_percent(percent), Millis(expected));
}

#[rstest]
#[case::earlier(7, 5, 2)]
#[case::the_same(5, 5, 0)]
#[case::later_yields_zero(5, 7, 0)]
fn a_span_since_another_time(#[case] now: u64, #[case] then: u64, #[case] expected: u64) {
    assert_eq!(Millis(now).since(Millis(then)), Millis(expected));
}

#[test]
fn sums_saturate_at_the_maximum() {
    assert_eq!(Millis::MAX + Millis(1), Millis::MAX);
}

#[test]
fn a_manual_clock_advances_only_when_told_to() {
    let clock = ManualClock::default();
    assert_eq!(clock.now(), Millis::ZERO);
    clock.advance(Millis(7));
    assert_eq!((clock.now(), clock.now()), (Millis(7), Millis(7)));
}

#[test]
fn the_system_clock_never_steps_back() {
    let clock = SystemClock::default();
    let mut last = clock.now();
    for _ in 0..1_000 {
        let now = clock.now();
        assert!(now >= last);
        last = now;
    }
}
