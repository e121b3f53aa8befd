//! A process detects that it did not run for a while, and why.

use clock::Millis;
use node::{Stall, StallDetector};
use rstest::rstest;

#[rstest]
#[case::on_time(Millis(50), Millis(0), None)]
#[case::held_up_a_little(Millis(400), Millis(0), None)]
#[case::frozen(Millis(5_000), Millis(0), Some((5_000, 0)))]
#[case::suspended(Millis(7_050), Millis(7_000), Some((7_050, 7_000)))]
fn a_look_tells_of_an_absence(
    #[case] after: Millis,
    #[case] suspended: Millis,
    #[case] wanted: Option<(u64, u64)>,
) {
    let mut detector = StallDetector::new(Millis(100), Millis(30));
    let stall = detector.check(Millis(100) + after, || Millis(30) + suspended);
    let wanted = wanted.map(|(away, s)| Stall { elapsed: Millis(away), suspended: Millis(s) });
    assert_eq!(stall, wanted);
    let again = detector.check(Millis(150) + after, || Millis(30) + suspended);
    assert_eq!(again, None, "it is reported once");
}

/// An instance may check after every event. Checks within a tick do not read the suspension clock, and a stall that
/// follows them is reported in full.
#[test]
fn looks_within_a_tick_do_not_ask_for_the_suspension() {
    let mut detector = StallDetector::new(Millis(100), Millis(30));
    for now in 101..150 {
        let stall = detector.check(Millis(now), || unreachable!("within a tick, at {now}"));
        assert_eq!(stall, None);
    }
    let stall = detector.check(Millis(5_100), || Millis(2_030));
    assert_eq!(stall, Some(Stall { elapsed: Millis(5_000), suspended: Millis(2_000) }));
}
