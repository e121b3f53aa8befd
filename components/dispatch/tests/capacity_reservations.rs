//! Tests of capacity for gangs and large tasks that wait: what is reserved for them, which runs are stopped for them,
//! and which job comes first.

mod common;

use clock::Millis;
use common::setups::wide;
use common::{Harness, end, row, spec, task};
use rstest::rstest;
use workload::{EndKind, StepSpec};

fn gang(count: u32, cores: u64) -> StepSpec {
    StepSpec { gang: true, ..wide(count, cores) }
}

fn with_checkpoints(step: StepSpec) -> StepSpec {
    StepSpec { checkpointing: true, ..step }
}

/// Returns a dispatcher with two workers of eight cores, each of which runs a confirmed bulk task that takes `cores`
/// and is changed by `change`.
fn with_bulk_work(change: impl Fn(StepSpec) -> StepSpec, cores: u64, estimate: Millis) -> Harness {
    let mut b = Harness::new("");
    b.join("w1", 8);
    b.join("w2", 8);
    let long = |s: StepSpec| StepSpec { estimate, ..s };
    b.submit_bulk(1, spec(vec![change(long(wide(2, cores)))]));
    b.commit();
    for (worker, order) in b.starts() {
        b.started(&worker.0, order.task, 1, Ok(()));
    }
    assert_eq!(b.starts().len(), 2);
    b
}

#[test]
fn a_gang_has_runs_stopped_that_keep_their_progress_and_have_time_to_spare() {
    let mut b = with_bulk_work(with_checkpoints, 5, Millis(20_000));
    b.submit(2, spec(vec![gang(2, 8)]));
    b.commit();
    assert_eq!(b.stops().len(), 2);
    // They are stopped once, however often the dispatcher plans until they are gone.
    b.advance(Millis(50));
    b.advance(Millis(50));
    assert_eq!(b.stops().len(), 2);
    for (worker, key, run) in b.stops() {
        b.stopped(&worker.0, key, run);
        b.report(&worker.0, vec![], vec![end(1, key, run, EndKind::Stopped)]);
        b.commit();
    }
    let of_gang = b.starts().into_iter().filter(|(_, o)| o.task.step.job.0 == 2).count();
    assert_eq!(of_gang, 2, "the gang gets the capacity, not the runs that had it");
}

#[test]
fn no_run_is_stopped_that_would_lose_its_work() {
    let mut b = with_bulk_work(|s| s, 5, Millis(20_000));
    b.submit(2, spec(vec![gang(2, 8)]));
    b.commit();
    assert!(b.stops().is_empty());
}

#[test]
fn no_run_is_stopped_that_would_be_late_for_it() {
    let mut b = with_bulk_work(with_checkpoints, 5, Millis(2_000));
    b.submit(2, spec(vec![gang(2, 8)]));
    b.commit();
    assert!(b.stops().is_empty());
}

/// Guards against runs that are stopped for a gang although the ends of others free its capacity as soon: on a fleet of
/// short runs, one start in twenty was that of a run that had been stopped.
#[rstest]
#[case::where_nothing_ends(0, 2)]
#[case::where_much_ends(40, 0)]
fn runs_are_stopped_only_where_capacity_is_not_freed_by_itself(
    #[case] ends: u64,
    #[case] stops: usize,
) {
    let mut b = with_bulk_work(with_checkpoints, 5, Millis(40_000));
    for n in 1..=ends {
        b.submit(100 + n, spec(vec![wide(2, 3)]));
        b.commit();
        let started = b.starts().split_off(2 * n as usize);
        for (worker, order) in started {
            b.started(&worker.0, order.task, 1, Ok(()));
            let running = b.starts().into_iter().find(|(w, _)| *w == worker).unwrap().1.task;
            let done = end(n, order.task, 1, EndKind::Done);
            b.report(&worker.0, vec![row(running, 1)], vec![done]);
        }
        b.commit();
        b.advance(Millis(50));
    }
    b.submit(2, spec(vec![gang(2, 8)]));
    b.commit();
    assert_eq!(b.stops().len(), stops);
}

#[test]
fn no_run_is_stopped_that_is_as_urgent_as_the_gang() {
    let mut b = Harness::new("");
    b.join("w1", 8);
    b.submit(1, spec(vec![with_checkpoints(StepSpec { estimate: Millis(20_000), ..wide(1, 5) })]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, Ok(()));
    b.submit(2, spec(vec![gang(1, 8)]));
    b.commit();
    assert!(b.stops().is_empty());
}

#[test]
fn nothing_is_stopped_for_a_task_that_is_over_as_soon_as_a_stop() {
    let mut b = with_bulk_work(with_checkpoints, 5, Millis(20_000));
    b.submit(2, spec(vec![StepSpec { estimate: Millis(500), ..wide(1, 8) }]));
    b.commit();
    assert!(b.stops().is_empty());
}

#[test]
fn a_wall_clock_that_jumps_makes_no_job_late_or_early() {
    let mut b = with_bulk_work(with_checkpoints, 5, Millis(2_000));
    b.wall_clock_lag = Millis(60_000);
    b.submit(2, spec(vec![gang(2, 8)]));
    b.commit();
    assert!(b.stops().is_empty(), "the bulk job has as little slack as before");
}

#[test]
fn nothing_is_stopped_where_the_gang_would_not_fit_all_the_same() {
    let mut b = with_bulk_work(with_checkpoints, 5, Millis(20_000));
    b.submit(2, spec(vec![gang(3, 8)]));
    b.commit();
    assert!(b.stops().is_empty());
}

#[test]
fn capacity_that_a_gang_waits_for_is_reserved_from_less_urgent_work() {
    let mut b = with_bulk_work(|s| s, 5, Millis(20_000));
    b.submit(2, spec(vec![gang(2, 8)]));
    b.submit_bulk(3, spec(vec![wide(2, 3)]));
    b.commit();
    assert_eq!(b.starts().len(), 2, "three free cores on each worker wait for the gang");
    for name in ["w1", "w2"] {
        let runs: Vec<_> = b.starts().into_iter().filter(|(w, _)| *w.0 == *name).collect();
        b.report(name, vec![], vec![end(1, runs[0].1.task, 1, EndKind::Done)]);
        b.commit();
    }
    let jobs: Vec<u64> = b.starts()[2..].iter().map(|(_, o)| o.task.step.job.0).collect();
    assert_eq!(jobs, [2, 2], "the gang comes first");
}

#[test]
fn capacity_is_reserved_only_on_as_many_workers_as_the_gang_needs() {
    let mut b = with_bulk_work(|s| s, 5, Millis(20_000));
    b.join("w3", 4);
    b.submit(2, spec(vec![gang(1, 8)]));
    b.submit_bulk(3, spec(vec![wide(3, 3)]));
    b.commit();
    assert_eq!(b.starts().len(), 4, "one of the first two workers and the third one take more");
}

#[test]
fn capacity_is_freed_for_a_large_task_that_is_no_gang_too() {
    let mut b = with_bulk_work(with_checkpoints, 5, Millis(20_000));
    b.submit(2, spec(vec![wide(1, 8)]));
    b.commit();
    assert_eq!(b.stops().len(), 1);
}

#[test]
fn small_tasks_take_their_turn_and_stop_nobody() {
    let mut b = with_bulk_work(with_checkpoints, 8, Millis(20_000));
    b.submit(2, spec(vec![wide(4, 1)]));
    b.commit();
    assert!(b.stops().is_empty());
}

/// Has a bulk job wait for `waits` behind a full worker, then a more urgent one come; returns whose task starts first
/// when capacity becomes free.
fn first_started_after(waits: Millis) -> u64 {
    let mut b = Harness::new("");
    b.join("w1", 8);
    b.submit(1, spec(vec![wide(1, 8)]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, Ok(()));
    // Its maximum time is 1.5 times ten seconds and 250 ms, so it has 5,250 ms of slack.
    b.submit_bulk(2, spec(vec![StepSpec { estimate: Millis(10_000), ..wide(1, 8) }]));
    b.commit();
    let until = b.now + waits;
    while b.now < until {
        b.advance(Millis(50));
        b.report("w1", vec![row(task(1, 0, 0), 1)], vec![]);
    }
    b.submit_mid(3, spec(vec![StepSpec { estimate: Millis(10_000), ..wide(1, 8) }]));
    b.commit();
    b.report("w1", vec![], vec![end(1, task(1, 0, 0), 1, EndKind::Done)]);
    b.commit();
    b.advance(Millis(50));
    b.starts()[1].1.task.step.job.0
}

#[test]
fn a_more_urgent_job_goes_first_while_the_other_has_time() {
    assert_eq!(first_started_after(Millis(1_000)), 3);
}

#[test]
fn a_job_that_must_start_soon_to_be_in_time_goes_before_a_more_urgent_one() {
    assert_eq!(first_started_after(Millis(4_000)), 2);
}

#[test]
fn a_job_that_is_late_whatever_is_done_goes_by_its_priority() {
    assert_eq!(first_started_after(Millis(6_000)), 3);
}
