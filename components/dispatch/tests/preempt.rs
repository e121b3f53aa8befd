//! Urgent work takes the room of less urgent work that can be stopped.

mod common;

use clock::Millis;
use common::{Bench, end, row, spec, step, task, worker};
use dispatch::RunRow;
use model::Size;
use workload::{EndKind, StepSpec};

/// A step of batch tasks that keep their progress.
fn batch(count: u32, cores: u64) -> StepSpec {
    let size = Size::new(cores * 1_000, cores * 1_000, 0);
    StepSpec { size, checkpointing: true, estimate: Millis(5_000), ..step(count) }
}

/// One worker whose room is taken by a batch job, which has run for a second.
fn full_of(spec_of: StepSpec) -> Bench {
    let cores = spec_of.size.cpu_milli / 1_000 * u64::from(spec_of.count);
    let mut b = Bench::new("");
    b.join("w1", cores);
    b.submit_bulk(1, spec(vec![spec_of.clone()]));
    b.commit();
    for index in 0..spec_of.count {
        b.started("w1", task(1, 0, index), 1, Ok(()));
    }
    b.pass(Millis(1_000));
    b
}

fn report_progress(b: &mut Bench, count: u32, percent: u32) {
    let rows = (0..count).map(|i| RunRow { percent, ..row(task(1, 0, i), 1) }).collect();
    b.report("w1", rows, vec![]);
    b.commit();
}

#[test]
fn an_urgent_task_takes_the_room_of_a_batch_task_which_goes_on_later() {
    let mut b = full_of(batch(1, 1));
    b.submit(2, spec(vec![step(1)]));
    b.commit();
    assert_eq!(b.stops(), vec![(worker("w1"), task(1, 0, 0), 1)]);
    assert_eq!(b.starts().len(), 1, "the room is not free yet");
    b.stopped("w1", task(1, 0, 0), 1);
    let mut ended = end(1, task(1, 0, 0), 1, EndKind::Stopped);
    ended.checkpoint = "kept".into();
    b.report("w1", vec![], vec![ended]);
    b.commit();
    assert_eq!(b.starts()[1].1.task, task(2, 0, 0));
    b.started("w1", task(2, 0, 0), 1, Ok(()));
    b.report("w1", vec![], vec![end(2, task(2, 0, 0), 1, EndKind::Done)]);
    b.commit();
    let again = &b.starts()[2].1;
    assert_eq!((again.task, again.run, &*again.checkpoint), (task(1, 0, 0), 2, "kept"));
}

#[test]
fn no_more_is_stopped_than_is_needed() {
    let mut b = full_of(batch(3, 2));
    b.submit(2, spec(vec![step(2)]));
    b.commit();
    assert_eq!(b.stops().len(), 1, "two tasks fit into the room of one");
    b.pass(Millis(50));
    b.pass(Millis(50));
    assert_eq!(b.stops().len(), 1, "the stop is under way");
    b.submit(3, spec(vec![step(1)]));
    b.commit();
    assert_eq!(b.stops().len(), 2, "all that comes free is spoken for");
}

#[test]
fn batch_work_stops_nothing() {
    let mut b = Bench::new("");
    b.join("w1", 1);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, Ok(()));
    b.submit_bulk(2, spec(vec![batch(1, 1)]));
    b.commit();
    b.pass(Millis(100));
    assert!(b.stops().is_empty());
}

fn nothing_is_stopped(mut b: Bench) {
    b.submit(2, spec(vec![step(1)]));
    b.commit();
    b.pass(Millis(100));
    assert!(b.stops().is_empty(), "{:?}", b.stops());
}

#[test]
fn gangs_are_not_torn_for_one_task() {
    nothing_is_stopped(full_of(StepSpec { gang: true, ..batch(2, 1) }));
}

#[test]
fn tasks_that_last_are_left_alone() {
    nothing_is_stopped(full_of(StepSpec { long_running: true, ..batch(2, 1) }));
}

#[test]
fn a_task_that_is_nearly_done_is_left_alone() {
    let mut b = full_of(batch(1, 1));
    report_progress(&mut b, 1, 90);
    nothing_is_stopped(b);
}

#[test]
fn nothing_is_stopped_where_that_takes_longer_than_the_urgent_task() {
    let mut b = full_of(batch(1, 1));
    b.submit(2, spec(vec![StepSpec { estimate: Millis(100), ..step(1) }]));
    b.commit();
    assert!(b.stops().is_empty(), "a stop takes 200 ms");
}

#[test]
fn a_task_is_stopped_for_others_only_a_few_times() {
    let mut b = full_of(batch(1, 1));
    for (n, run) in (2..9u64).zip(1..) {
        b.submit(n, spec(vec![step(1)]));
        b.commit();
        b.pass(Millis(50));
        if b.stops().len() < run as usize {
            assert_eq!(run, 3);
            return;
        }
        b.stopped("w1", task(1, 0, 0), run);
        b.report("w1", vec![], vec![end(2 * n, task(1, 0, 0), run, EndKind::Stopped)]);
        b.commit();
        b.started("w1", task(n, 0, 0), 1, Ok(()));
        b.report("w1", vec![], vec![end(2 * n + 1, task(n, 0, 0), 1, EndKind::Done)]);
        b.commit();
        b.started("w1", task(1, 0, 0), run + 1, Ok(()));
        b.pass(Millis(100));
    }
    panic!("it was stopped each time");
}
