//! Tests of the explanation of a job: why its tasks wait.

mod common;

use std::collections::BTreeMap;

use clock::Millis;
use common::{Harness, job, spec, step, task};
use model::Size;
use workload::{JobState, StepSpec};

/// Guards against an explanation that leaves out what waits, counts the wrong workers or places the job wrongly in the order.
#[test]
fn a_waiting_job_is_explained_by_its_steps_its_place_and_the_workers() {
    let mut b = Harness::new("");
    b.join("w1", 1);
    b.join("w2", 1);
    b.submit(1, spec(vec![step(2)]));
    b.commit();
    for (on, order) in b.starts() {
        b.started(&on.0, order.task, order.run, Ok(()));
    }
    b.submit(2, spec(vec![step(1)]));
    b.submit(3, spec(vec![step(3), StepSpec { depends_on: vec![0], ..step(1) }]));
    b.commit();
    b.advance(Millis(50));
    let m = b.moment();

    let running = b.dispatcher.explain_job(m, job(1)).expect("a job");
    assert_eq!((running.state, running.running_tasks), (JobState::Running, 2));
    assert_eq!((running.waiting_steps.len(), running.first_wait), (0, None));

    let waiting = b.dispatcher.explain_job(m, job(3)).expect("a job");
    assert_eq!((waiting.state, waiting.running_tasks), (JobState::Queued, 0));
    assert_eq!(&*waiting.queue, "q");
    assert_eq!(waiting.organisation, None);
    let [first] = &waiting.waiting_steps[..] else { panic!("{:?}", waiting.waiting_steps) };
    assert_eq!((first.key, first.waiting_tasks), (task(3, 0, 0).step, 3));
    assert_eq!((first.size, first.due, first.at_limit), (Size::new(1_000, 1_000, 0), true, false));
    let wait = waiting.first_wait.expect("a waiting task");
    assert_eq!((wait.task, wait.steps_before), (task(3, 0, 0), 1));
    // The objective is 1.5 times the critical path of 1,600 ms plus 250 ms; that path remains, and 50 ms have passed.
    assert_eq!(wait.slack, Millis(2_400 + 250 - 1_600 - 50));
    assert_eq!((wait.workers, wait.fit), (2, 0));
    assert_eq!(wait.reasons, BTreeMap::from([("full", 2)]));
}

/// Guards against an answer about a job that was never accepted.
#[test]
fn an_unknown_job_has_no_explanation() {
    let b = Harness::new("");
    assert_eq!(b.dispatcher.explain_job(b.moment(), job(9)), None);
}
