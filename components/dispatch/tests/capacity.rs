//! A worker's capacity shrinks and grows while it runs, and its announcements report the change.
//!
//! If the capacity of the first announcement held for a worker's whole incarnation, a worker that lost half of its cores
//! would be filled beyond what it has left, and one that got them back would stay half empty.

mod common;

use clock::Millis;
use common::setups::wide;
use common::{Harness, announcement, end, spec, step, task};
use dispatch::{Input, WorkerAnnouncement};
use model::Size;
use workload::{EndKind, StepSpec};

/// Lets a worker announce itself with this many cores, in the announcement of this number.
fn announce(b: &mut Harness, name: &str, cores: u64, number: u64) {
    b.feed(Input::Announcement(WorkerAnnouncement { number, ..announcement(name, cores) }));
    b.commit();
}

/// Returns a harness with one worker of eight cores.
fn with_one_worker() -> Harness {
    let mut b = Harness::new("");
    b.join("w", 8);
    b
}

#[test]
fn a_shrunk_worker_is_filled_to_what_is_left() {
    let mut b = with_one_worker();
    announce(&mut b, "w", 4, 2);
    b.submit(1, spec(vec![step(8)]));
    b.commit();
    assert_eq!(b.starts().len(), 4);
}

#[test]
fn a_grown_worker_is_used_at_once() {
    let mut b = with_one_worker();
    b.submit(1, spec(vec![step(12)]));
    b.commit();
    assert_eq!(b.starts().len(), 8);
    announce(&mut b, "w", 12, 2);
    assert_eq!(b.starts().len(), 12);
}

/// An overcommitted worker has free capacity only once enough of its runs have ended; a run that is being stopped counts
/// until then. Even a task that takes no processor time would overcommit it further.
#[test]
fn nothing_starts_on_a_worker_that_is_over_its_room() {
    let mut b = with_one_worker();
    b.submit(1, spec(vec![step(6)]));
    b.commit();
    (0..6).for_each(|i| b.started("w", task(1, 0, i), 1, Ok(())));
    announce(&mut b, "w", 4, 2);
    let filler = StepSpec { filler: true, ..step(1) };
    let no_cpu = StepSpec { size: Size::new(0, 100, 0), ..step(1) };
    b.submit(2, spec(vec![filler, no_cpu, step(1)]));
    b.commit();
    b.call_path("/q/0000000000000001", dispatch::Verb::Cancel);
    b.commit();
    assert_eq!(b.stops().len(), 6);
    b.advance(Millis(50));
    assert_eq!(b.starts().len(), 6, "what is being stopped counts");
    let ends = (0..6).map(|i| end(u64::from(i) + 1, task(1, 0, i), 1, EndKind::Stopped));
    b.report("w", vec![], ends.collect());
    b.commit();
    b.advance(Millis(50));
    assert_eq!(b.starts().len(), 9);
}

#[test]
fn a_start_that_is_not_committed_when_the_worker_shrinks_is_not_sent() {
    let mut b = with_one_worker();
    b.submit(1, spec(vec![step(8)]));
    assert!(b.starts().is_empty());
    b.feed(Input::Announcement(WorkerAnnouncement { number: 2, ..announcement("w", 4) }));
    b.commit();
    assert!(b.starts().len() <= 4, "{} starts", b.starts().len());
    b.advance(Millis(50));
    assert_eq!(b.starts().len(), 4, "the others wait");
}

#[test]
fn an_old_announcement_that_comes_late_changes_nothing() {
    let mut b = with_one_worker();
    announce(&mut b, "w", 4, 3);
    announce(&mut b, "w", 8, 2);
    b.submit(1, spec(vec![step(8)]));
    b.commit();
    assert_eq!(b.starts().len(), 4);
}

#[test]
fn the_next_leader_knows_of_it() {
    let mut b = with_one_worker();
    announce(&mut b, "w", 4, 2);
    let mut b = Harness::take_over(b.committed.clone(), 2, b.now);
    b.advance(Millis(1));
    b.report("w", vec![], vec![]);
    b.submit(1, spec(vec![step(8)]));
    b.commit();
    assert_eq!(b.starts().len(), 4);
}

/// No capacity is freed for a large task on a worker that has become too small for it.
#[test]
fn no_run_is_stopped_for_a_task_that_is_larger_than_what_is_left() {
    let mut b = with_one_worker();
    let estimate = Millis(20_000);
    b.submit_bulk(1, spec(vec![StepSpec { checkpointing: true, estimate, ..wide(2, 4) }]));
    b.commit();
    (0..2).for_each(|i| b.started("w", task(1, 0, i), 1, Ok(())));
    announce(&mut b, "w", 6, 2);
    b.submit(2, spec(vec![wide(1, 8)]));
    b.commit();
    b.advance(Millis(50));
    assert!(b.stops().is_empty());
}

/// A quarter of the workers shrink to little more than half, and a burst of tasks follows: each worker is filled to the
/// capacity it has left, and the other tasks wait.
#[test]
fn a_burst_on_workers_that_have_shrunk_fills_what_is_left() {
    let mut b = Harness::new("");
    let names = ["w1", "w2", "w3", "w4"];
    names.iter().for_each(|name| b.join(name, 9));
    b.submit(1, spec(vec![step(12)]));
    b.commit();
    announce(&mut b, "w1", 5, 2);
    b.submit(2, spec(vec![step(40)]));
    b.commit();
    b.advance(Millis(100));
    let on = |name: &str| b.starts().iter().filter(|(w, _)| w.0.as_ref() == name).count();
    assert_eq!(names.map(on), [5, 9, 9, 9]);
}
