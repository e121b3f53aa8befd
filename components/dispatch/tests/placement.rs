//! Tests of where the tasks of a step may run, and from when on.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use common::{Harness, announcement, end, spec, step, task, worker};
use model::Size;
use workload::{EndKind, JobSpec, StepSpec, WorkerId};

/// Has a worker with labels join.
fn join_labelled(b: &mut Harness, name: &str, cores: u64, labels: &[&str]) {
    let mut announcement = announcement(name, cores);
    announcement.info.labels = labels.iter().map(|l| (*l).into()).collect();
    b.join_as(announcement);
}

fn count_by_worker(b: &Harness) -> BTreeMap<WorkerId, usize> {
    let mut count = BTreeMap::new();
    b.starts().into_iter().for_each(|(w, _)| *count.entry(w).or_default() += 1);
    count
}

#[test]
fn a_task_starts_only_on_workers_that_bear_its_label() {
    let mut b = Harness::new("");
    join_labelled(&mut b, "w1", 8, &["a", "r1"]);
    b.submit(1, spec(vec![StepSpec { constraint: Some("b".into()), ..step(2) }]));
    b.commit();
    assert!(b.starts().is_empty());
    join_labelled(&mut b, "w2", 8, &["b", "r1"]);
    b.commit();
    assert_eq!(count_by_worker(&b), [(worker("w2"), 2)].into());
}

#[test]
fn no_worker_gets_more_tasks_of_a_step_than_the_step_allows() {
    let mut b = Harness::new("");
    b.join("w1", 8);
    b.join("w2", 8);
    b.submit(1, spec(vec![StepSpec { max_per_worker: 1, ..step(3) }]));
    b.commit();
    b.advance(Millis(100));
    assert_eq!(count_by_worker(&b), [(worker("w1"), 1), (worker("w2"), 1)].into());
    // Another start on the worker of an ended task is within the limit.
    let (first, _) = b.starts().remove(0);
    let key = b.starts()[0].1.task;
    b.started(&first.0, key, 1, Ok(()));
    b.report(&first.0, vec![], vec![end(1, key, 1, EndKind::Done)]);
    b.commit();
    b.advance(Millis(10));
    assert_eq!(b.starts().len(), 3);
}

#[test]
fn tasks_go_to_the_rack_of_their_data_while_it_has_capacity() {
    let mut b = Harness::new("");
    join_labelled(&mut b, "w1", 8, &["a", "r1"]);
    join_labelled(&mut b, "w2", 2, &["a", "r2"]);
    b.submit(1, spec(vec![StepSpec { rack: Some("r2".into()), ..step(3) }]));
    b.commit();
    assert_eq!(count_by_worker(&b), [(worker("w1"), 1), (worker("w2"), 2)].into());
}

#[test]
fn a_gang_goes_to_one_rack_where_that_makes_it_fast_and_one_has_capacity() {
    let mut b = Harness::new("");
    join_labelled(&mut b, "w1", 2, &["a", "r1"]);
    join_labelled(&mut b, "w2", 2, &["a", "r2"]);
    join_labelled(&mut b, "w3", 2, &["a", "r2"]);
    b.submit(1, spec(vec![StepSpec { gang: true, same_rack: true, ..step(4) }]));
    b.commit();
    assert_eq!(count_by_worker(&b), [(worker("w2"), 2), (worker("w3"), 2)].into());
}

#[test]
fn fillers_and_tasks_that_keep_a_target_latency_stay_apart() {
    let mut b = Harness::new("");
    b.join("w1", 8);
    let serving = StepSpec { long_running: true, target_latency: Millis(50), ..step(1) };
    b.submit(1, spec(vec![serving]));
    b.commit();
    b.submit(2, spec(vec![StepSpec { filler: true, ..step(2) }]));
    b.commit();
    assert_eq!(b.starts().len(), 1, "the filler waits");
    b.join("w2", 8);
    b.commit();
    assert_eq!(count_by_worker(&b), [(worker("w1"), 1), (worker("w2"), 2)].into());
}

#[test]
fn a_filler_leaves_the_processor_of_others_and_takes_memory() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.submit(1, spec(vec![StepSpec { filler: true, ..step(2) }]));
    b.commit();
    b.submit(2, spec(vec![step(4)]));
    b.commit();
    assert_eq!(b.starts().len(), 6, "fillers leave all four cores");
    b.submit(3, spec(vec![step(3)]));
    b.commit();
    assert_eq!(b.starts().len(), 6, "two of eight gigabytes are left, and no core");
}

#[test]
fn each_round_of_a_timed_job_starts_when_it_is_due_and_not_before() {
    let mut b = Harness::new("");
    b.join("w1", 8);
    let due = b.now + Millis(1_000);
    let timed = JobSpec {
        steps: vec![step(1)],
        rounds: 2,
        first_due: due,
        interval: Millis(500),
        ..JobSpec::default()
    };
    b.submit(1, Arc::new(timed));
    b.commit();
    let mut started = Vec::new();
    for _ in 0..40 {
        b.advance(Millis(50));
        b.report("w1", vec![], vec![]);
        while started.len() < b.starts().len() {
            started.push((b.now.since(due).0, b.starts()[started.len()].1.task.step.round));
        }
        assert!(b.now >= due || started.is_empty(), "not before it is due");
    }
    assert_eq!(started.iter().map(|(_, round)| *round).collect::<Vec<_>>(), [0, 1]);
    assert!(started[0].0 <= 50 && (500..=550).contains(&started[1].0), "{started:?}");
}

#[test]
fn a_step_that_needs_more_than_any_worker_has_leaves_others_alone() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    let huge = StepSpec { size: Size::new(64_000, 1_000, 0), ..step(1) };
    b.submit(1, spec(vec![huge]));
    b.submit(2, spec(vec![step(1)]));
    b.commit();
    assert_eq!(b.starts().len(), 1);
    assert_eq!(b.starts()[0].1.task, task(2, 0, 0));
}

/// Has a worker with accelerators join.
fn join_with_accelerators(b: &mut Harness, name: &str, accelerators: u64) {
    let mut announcement = announcement(name, 32);
    announcement.info.capacity.accelerators = accelerators;
    b.join_as(announcement);
}

fn accelerated(count: u32, accelerators: u64) -> StepSpec {
    StepSpec { size: Size::new(1_000, 1_000, accelerators), ..step(count) }
}

#[test]
fn tasks_with_one_accelerator_share_a_worker_so_that_others_stay_whole() {
    let mut b = Harness::new("");
    for name in ["w1", "w2", "w3"] {
        join_with_accelerators(&mut b, name, 8);
    }
    for id in 1..=4 {
        b.submit(id, spec(vec![accelerated(2, 1)]));
        b.commit();
    }
    assert_eq!(count_by_worker(&b).len(), 1, "eight tasks fill one worker's accelerators");
    b.submit(5, spec(vec![StepSpec { gang: true, ..accelerated(2, 8) }]));
    b.commit();
    assert_eq!(b.starts().len(), 10, "the gang has its two whole workers");
}
