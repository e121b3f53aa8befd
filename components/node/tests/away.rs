//! A process finds out that it was away, and why.

use clock::Millis;
use node::{Absence, AwayWatch};
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
    let mut watch = AwayWatch::new(Millis(100), Millis(30));
    let seen = watch.look(Millis(100) + after, Millis(30) + suspended);
    let wanted = wanted.map(|(away, s)| Absence { away: Millis(away), suspended: Millis(s) });
    assert_eq!(seen, wanted);
    assert_eq!(watch.look(Millis(150) + after, Millis(30) + suspended), None, "it is told once");
}
