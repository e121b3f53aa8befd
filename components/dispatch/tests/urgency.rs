//! In which order steps that wait are given workers.

mod common;

use clock::Millis;
use common::{Bench, end, spec, step, task};
use workload::{EndKind, StepSpec};

/// A worker of one core that runs job 1, and job 2 behind it for so long.
fn waiting_for(span: Millis) -> Bench {
    let mut b = Bench::new("");
    b.join("w1", 1);
    b.submit(1, spec(vec![step(1)]));
    b.submit(2, spec(vec![step(1)]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, Ok(()));
    b.pass(span);
    b.submit(3, spec(vec![step(1)]));
    b.commit();
    b
}

fn room_comes(b: &mut Bench, ended: u64) {
    b.report("w1", vec![], vec![end(ended, task(ended, 0, 0), 1, EndKind::Done)]);
    b.commit();
}

#[test]
fn the_first_to_come_is_served_first_while_it_can_be_in_time() {
    // The target is 1.5 times 0.8 s and 0.25 s more.
    let mut b = waiting_for(Millis(400));
    room_comes(&mut b, 1);
    assert_eq!(b.starts()[1].1.task, task(2, 0, 0));
}

#[test]
fn a_job_that_can_still_be_in_time_goes_before_one_that_cannot() {
    let mut b = waiting_for(Millis(1_000));
    room_comes(&mut b, 1);
    assert_eq!(b.starts()[1].1.task, task(3, 0, 0));
    b.started("w1", task(3, 0, 0), 1, Ok(()));
    room_comes(&mut b, 3);
    assert_eq!(b.starts()[2].1.task, task(2, 0, 0), "it is not forgotten");
}

#[test]
fn less_urgent_queues_come_after_urgent_ones_that_are_late() {
    let mut b = waiting_for(Millis(3_000));
    b.submit_bulk(4, spec(vec![StepSpec { estimate: Millis(60_000), ..step(1) }]));
    b.commit();
    room_comes(&mut b, 1);
    b.started("w1", task(3, 0, 0), 1, Ok(()));
    room_comes(&mut b, 3);
    assert_eq!(b.starts()[2].1.task, task(2, 0, 0));
}

#[test]
fn later_steps_count_towards_the_time_that_a_job_needs() {
    let mut b = Bench::new("");
    b.join("w1", 1);
    b.submit(1, spec(vec![step(1)]));
    let second = StepSpec { depends_on: vec![0], ..step(1) };
    // The target is 1.5 times 1.6 s and 0.25 s more: 1.05 s of slack.
    b.submit(2, spec(vec![step(1), second]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, Ok(()));
    b.pass(Millis(900));
    b.submit(3, spec(vec![step(1)]));
    b.commit();
    room_comes(&mut b, 1);
    assert_eq!(b.starts()[1].1.task, task(2, 0, 0), "it can still be in time");
}
