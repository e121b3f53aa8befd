//! Tests of workers that restart under the same id and number the ends of their runs from 1 again.
//!
//! The tests guard against ends of a new incarnation being taken for those of the previous one. If the state of a worker is
//! kept by its id alone and four ends are recorded, the ends 1 to 4 of the next incarnation are ignored as duplicates, and
//! their runs, neither listed nor ended, are taken for never started. Completed tasks then ran up to four times, and a job
//! made no progress beside free workers. In the logs this shows as `run_not_started ... why="not listed"` for the first four
//! runs after a restart and `run_ended ... end=5` as the first end that is logged.

use std::time::Duration;

use crate::cell::{Cell, job_body};
use crate::submit;

/// How long a worker is down before its next incarnation starts.
const DOWN: Duration = Duration::from_millis(100);

/// Submits a job and waits until it is done.
fn do_job(cell: &mut Cell, id: &str, tasks: u32) {
    cell.wait("a job is accepted", |c| submit(c, id, &job_body(tasks)) == 200);
    cell.wait("the job is done", |c| c.state(id).as_deref() == Some("completed"));
}

#[test]
fn what_is_done_on_a_worker_that_started_again_is_not_done_again() {
    let mut cell = Cell::start_with_fixed_ids(1);
    do_job(&mut cell, "00000000000003a1", 6);
    cell.workers[0].restart(DOWN);
    do_job(&mut cell, "00000000000003a2", 3);
    assert_eq!(cell.runs.violations(), Vec::<String>::new());
    assert_eq!(cell.runs.ended("00000000000003a2", "done"), 4, "each task once");
}

/// The worker restarts and then all instances do, so that the earlier ends are known from the replicated log alone.
#[test]
fn a_step_begins_once_the_one_before_it_is_done_whoever_started_again() {
    let mut cell = Cell::start_with_fixed_ids(1);
    do_job(&mut cell, "00000000000003b1", 8);
    cell.workers[0].restart(DOWN);
    cell.nodes.iter_mut().for_each(crate::cell::Node::kill);
    cell.nodes.iter_mut().for_each(crate::cell::Node::start);
    do_job(&mut cell, "00000000000003b2", 2);
    assert_eq!(cell.runs.violations(), Vec::<String>::new());
    assert_eq!(cell.runs.ended("00000000000003b2", "done"), 3, "each task once");
}

#[test]
fn a_worker_that_said_it_leaves_is_used_again_once_it_has_started_again() {
    let mut cell = Cell::start_with_fixed_ids(1);
    do_job(&mut cell, "00000000000003c1", 2);
    cell.workers[0].leave();
    cell.wait("the leader has logged that the worker leaves", |c| {
        c.nodes[0..3].iter().any(|n| n.logged("worker_leaves"))
    });
    cell.workers[0].restart(DOWN);
    do_job(&mut cell, "00000000000003c2", 2);
    assert_eq!(cell.runs.violations(), Vec::<String>::new());
}

#[test]
fn a_worker_that_started_again_with_less_is_not_filled_to_what_it_had() {
    let mut cell = Cell::start_with_fixed_ids(1);
    do_job(&mut cell, "00000000000003d1", 6);
    cell.workers[0].resize(2_000);
    cell.workers[0].restart(DOWN);
    // The new incarnation numbers its announcements anew, and the first ones carry the smaller capacity.
    std::thread::sleep(Duration::from_millis(800));
    do_job(&mut cell, "00000000000003d2", 6);
    assert_eq!(cell.workers[0].overcommits(), 0);
    assert_eq!(cell.runs.violations(), Vec::<String>::new());
}
