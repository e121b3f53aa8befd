//! Workers of a deployment started again under the ids that they had, and numbered their ends from 1 again. Tasks that
//! had been done ran up to four times, and a job stood at the end of the day beside free workers.
//!
//! What was known of a worker was kept by its id, which was taken for one life. The log held four ends of the life before,
//! so those numbered 1 to 4 by the next one were passed over, and their runs, neither listed nor ended, taken for never begun.
//!
//! What settled it: `run_ended ... end=5` was the first end that was told of from a worker since its start, and for the four
//! runs before it stood `run_not_started ... why="not listed"`. In two records that line stands 174 and 426 times, each
//! time for a worker that had started again.

use std::time::Duration;

use crate::cell::{Cell, job_body};
use crate::submit;

/// How long a worker is down before its next life begins.
const DOWN: Duration = Duration::from_millis(100);

/// Has a job taken and waits until it is done.
fn do_job(cell: &mut Cell, id: &str, tasks: u32) {
    cell.wait("a job is taken", |c| submit(c, id, &job_body(tasks)) == 200);
    cell.wait("it is done", |c| c.state(id).as_deref() == Some("completed"));
}

#[test]
fn what_is_done_on_a_worker_that_started_again_is_not_done_again() {
    let mut cell = Cell::start_with_lives(1);
    do_job(&mut cell, "00000000000003a1", 6);
    cell.workers[0].restart(DOWN);
    do_job(&mut cell, "00000000000003a2", 3);
    assert_eq!(cell.runs.violations(), Vec::<String>::new());
    assert_eq!(cell.runs.ended("00000000000003a2", "done"), 4, "each task once");
}

/// As in the second record: the workers start again, and then all processes, so that the log alone tells of the ends before.
#[test]
fn a_step_begins_once_the_one_before_it_is_done_whoever_started_again() {
    let mut cell = Cell::start_with_lives(1);
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
    let mut cell = Cell::start_with_lives(1);
    do_job(&mut cell, "00000000000003c1", 2);
    cell.workers[0].leave();
    cell.wait("the leader knows", |c| c.nodes[0..3].iter().any(|n| n.told("worker_leaves")));
    cell.workers[0].restart(DOWN);
    do_job(&mut cell, "00000000000003c2", 2);
    assert_eq!(cell.runs.violations(), Vec::<String>::new());
}

#[test]
fn a_worker_that_started_again_with_less_is_not_filled_to_what_it_had() {
    let mut cell = Cell::start_with_lives(1);
    do_job(&mut cell, "00000000000003d1", 6);
    cell.workers[0].resize(2_000);
    cell.workers[0].restart(DOWN);
    // Its announcements count anew, and the first ones tell what it has now.
    std::thread::sleep(Duration::from_millis(800));
    do_job(&mut cell, "00000000000003d2", 6);
    assert_eq!(cell.workers[0].overcommits(), 0);
    assert_eq!(cell.runs.violations(), Vec::<String>::new());
}
