//! The work of a plan does not grow with the number of workers that need nothing.

mod common;

use clock::Millis;
use common::{Harness, spec, step};
use rstest::rstest;

/// Guards against plans that pass over every worker: with 6,000 of them each end of a run cost the leader 1.9 ms, more
/// than its processor has at 740 ends a second.
#[rstest]
#[case::of_a_hundred(100)]
#[case::of_two_thousand(2_000)]
fn a_plan_looks_only_at_workers_that_are_starting_something(#[case] workers: usize) {
    let mut b = Harness::new("");
    (0..workers).for_each(|i| b.join(&format!("w{i:04}"), 16));
    b.advance(Millis(50));
    assert_eq!(b.dispatcher.figures().workers_checked, 0);
    b.submit(1, spec(vec![step(3)]));
    b.commit();
    b.advance(Millis(50));
    assert_eq!(b.dispatcher.figures().workers_checked, 3);
    for (worker, start) in b.starts() {
        b.started(&worker.0, start.task, start.run, Ok(()));
    }
    b.advance(Millis(50));
    assert_eq!(b.dispatcher.figures().workers_checked, 0);
}
