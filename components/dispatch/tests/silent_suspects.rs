//! A step whose tasks have crashed their workers goes on with one of them, and the worker of that task falls silent.

mod common;

use clock::Millis;
use common::fleet::{Fleet, Kind};
use common::{step, task};
use model::Size;
use workload::StepSpec;

/// The time within which a task starts while there is capacity for it.
const MAX_WAIT: Millis = Millis(3_000);

/// Five workers are lost at the same time, each with a task of one healthy step. The first task to start again is cut
/// off with its worker before it has shown that it is healthy. Nothing is learnt from it until its lease is over, so
/// the others must not wait for that: [`common::wait_checker`] fails the test if they wait for three seconds while workers
/// have free capacity.
#[test]
fn a_step_does_not_wait_despite_free_capacity_for_a_task_on_a_silent_worker() {
    let mut f = Fleet::new(1, 6);
    f.allow_all();
    f.join("w", 20, Size::new(8_000, 16_000, 0));
    f.advance(Millis(500));
    let spread = StepSpec { estimate: Millis(4_000), max_per_worker: 1, ..step(5) };
    let job = f.submit_job(Kind::Batch, "bulk", vec![spread]);
    f.advance(Millis(1_200));
    let busy = f.workers(|h| !h.fake.running.is_empty());
    assert_eq!(busy.len(), 5);
    busy.iter().for_each(|id| f.crash(id));
    let runs = |f: &Fleet| f.workers(|h| !h.fake.silent && !h.fake.running.is_empty());
    (0..900).find(|_| {
        f.advance(Millis(10));
        !runs(&f).is_empty()
    });
    let first = runs(&f);
    assert_eq!(first.len(), 1, "one task starts again first");
    let first_task = f.hosts[&first[0]].fake.running.keys().next().copied();
    f.advance(Millis(1_000));
    first.iter().for_each(|id| f.set_silent(id, true));
    let cut_at = f.harness.now;
    f.advance(Millis(5_000));
    for others in (0..5).map(|i| task(job.0, 0, i)).filter(|t| Some(*t) != first_task) {
        let again = f.failures.starts_of(&others).get(1).copied();
        let in_time = again.is_some_and(|at| at <= cut_at + MAX_WAIT);
        assert!(
            in_time,
            "{others} began again at {again:?}, its sibling was cut off at {cut_at:?}"
        );
    }
}
