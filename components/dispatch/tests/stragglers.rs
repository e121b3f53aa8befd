//! Tests of runs that progress too slowly, and of workers on which every run does.

mod common;

use clock::Millis;
use common::{Harness, row, spec, step, task, worker};
use dispatch::RunStatus;
use workload::{StepSpec, TaskKey};

/// Returns a dispatcher with three workers that run one task of a step each and have capacity for one more.
fn three_workers(step_spec: StepSpec) -> Harness {
    let mut b = Harness::new("");
    for name in ["w1", "w2", "w3"] {
        b.join(name, 2);
    }
    b.submit(1, spec(vec![step_spec]));
    b.commit();
    for (on, order) in b.starts() {
        b.started(&on.0, order.task, order.run, Ok(()));
    }
    b
}

fn progress(task: TaskKey, percent: u32) -> RunStatus {
    RunStatus { percent, ..row(task, 1) }
}

/// Reports every 300 ms: the run on `slow` progresses by `by` percent each time, the others by 15 percent.
fn report_progress(b: &mut Harness, slow: &str, by: u32, reports: u32) {
    let placed: Vec<(String, TaskKey)> =
        b.starts().iter().map(|(w, s)| (w.to_string(), s.task)).collect();
    for n in 1..=reports {
        b.advance(Millis(300));
        for (on, key) in &placed {
            let percent = if on == slow { by * n } else { 15 * n };
            b.report(on, vec![progress(*key, percent)], vec![]);
        }
        b.commit();
    }
}

#[test]
fn a_run_far_slower_than_its_siblings_is_stopped() {
    let mut b = three_workers(step(3));
    report_progress(&mut b, "w2", 2, 3);
    assert_eq!(b.stops().len(), 1);
    assert_eq!(b.stops()[0].0, worker("w2"));
}

#[test]
fn a_run_that_makes_no_progress_is_stopped() {
    let mut b = three_workers(step(3));
    report_progress(&mut b, "w3", 0, 5);
    assert_eq!(b.stops().iter().map(|(w, ..)| w.clone()).collect::<Vec<_>>(), vec![worker("w3")]);
}

#[test]
fn a_run_a_little_slower_is_left_alone() {
    let mut b = three_workers(step(3));
    report_progress(&mut b, "w2", 10, 5);
    assert!(b.stops().is_empty());
}

#[test]
fn a_run_without_siblings_is_left_alone_whatever_its_estimate() {
    let mut b = three_workers(StepSpec { estimate: Millis(10), ..step(1) });
    report_progress(&mut b, "none", 0, 3);
    assert!(b.stops().is_empty());
}

#[test]
fn members_of_gangs_and_long_running_tasks_are_left_alone() {
    for step_spec in
        [StepSpec { gang: true, ..step(3) }, StepSpec { long_running: true, ..step(3) }]
    {
        let mut b = three_workers(step_spec);
        report_progress(&mut b, "w2", 0, 5);
        assert!(b.stops().is_empty());
    }
}

#[test]
fn a_slow_worker_gets_nothing_new_for_a_while() {
    let mut b = three_workers(step(3));
    report_progress(&mut b, "w2", 2, 3);
    let before = b.starts().len();
    b.submit(2, spec(vec![step(3)]));
    b.commit();
    let new = b.starts().split_off(before);
    assert_eq!(new.len(), 2, "two workers have capacity for one task each");
    assert!(new.iter().all(|(w, _)| *w != worker("w2")));
}

#[test]
fn a_moved_run_does_not_go_back_to_its_worker_while_others_have_capacity() {
    let mut b = three_workers(step(3));
    report_progress(&mut b, "w2", 2, 3);
    let (slow, key, run) = b.stops()[0].clone();
    b.stopped(&slow.0, key, run);
    // The worker is no longer deprioritised for being slow, and no lease has run out.
    b.advance(Millis(2_600));
    b.report("w2", vec![], vec![common::end(1, key, run, workload::EndKind::Stopped)]);
    b.commit();
    let (on, order) = b.starts().last().cloned().unwrap();
    assert_eq!((order.task, order.run), (task(1, 0, key.index), 2));
    assert_ne!(on, slow);
}

#[test]
fn a_straggler_stays_where_it_is_while_no_other_worker_has_capacity() {
    let mut b = three_workers(StepSpec { size: model::Size::new(2_000, 1_000, 0), ..step(3) });
    report_progress(&mut b, "w2", 2, 4);
    assert!(b.stops().is_empty());
}

#[test]
fn a_run_that_has_just_begun_is_not_judged() {
    let mut b = three_workers(step(3));
    report_progress(&mut b, "w2", 0, 1);
    assert!(b.stops().is_empty());
}
