//! A step whose tasks have crashed their workers goes on with one task, from which little is learnt at first. The
//! others must follow as soon as it seems healthy, or as soon as nothing can be learnt from it, and all must end.
//!
//! Five workers are lost at the same time, each with a task of one healthy step. One task started again. The others
//! waited until it was two seconds old and then until the next ones were, or, if its worker was cut off meanwhile,
//! until that worker was in contact again. The log of one such run, in milliseconds:
//!
//!     1005530 run_placed 0000000000000001.0.0.0 run=2 worker=w01
//!     1006550 the worker is cut off; nothing is placed up to 1008120, when the others have waited for three seconds
//!
//! [`common::wait_checker`] fails the test if a task waits for three seconds while workers have free capacity.

mod common;

use clock::Millis;
use common::fleet::{Fleet, Kind};
use common::host::Host;
use common::step;
use model::Size;
use rstest::rstest;
use workload::{JobState, StepSpec, WorkerId};

/// `cut_after` is when the worker of the first task is cut off, counted from the task's start; `comes_back` is
/// whether it is in contact again later.
#[rstest]
fn the_other_tasks_of_a_step_follow_its_first_one(
    #[values(None, Some(Millis(100)), Some(Millis(500)), Some(Millis(1_000)), Some(Millis(1_800)))]
    cut_after: Option<Millis>,
    #[values(false, true)] comes_back: bool,
) {
    for seed in 1..=10 {
        let mut f = Fleet::new(seed, 6);
        f.allow_all();
        f.join("w", 20, Size::new(8_000, 16_000, 0));
        f.advance(Millis(500));
        let spread = StepSpec { estimate: Millis(4_000), max_per_worker: 1, ..step(5) };
        let job = f.submit_job(Kind::Batch, "bulk", vec![spread]);
        f.advance(Millis(1_200));
        let busy = f.workers(|h| !h.fake.running.is_empty());
        assert_eq!(busy.len(), 5, "seed {seed}");
        busy.iter().for_each(|id| f.crash(id));
        let first = first_to_run(&mut f);
        assert_eq!(first.len(), 1, "seed {seed}: one task starts again first");
        if let Some(after) = cut_after {
            f.advance(after);
            first.iter().for_each(|id| f.set_silent(id, true));
            f.advance(Millis(8_000));
            first.iter().filter(|_| comes_back).for_each(|id| f.set_silent(id, false));
        }
        f.advance(Millis(25_000));
        let state = f.harness.committed.job(job).map(|j| j.state);
        assert_eq!(state, Some(JobState::Completed), "seed {seed}");
    }
}

/// Waits until some task runs again; returns the workers that run any.
fn first_to_run(f: &mut Fleet) -> Vec<WorkerId> {
    let running = |f: &Fleet| f.workers(|h: &Host| !h.fake.running.is_empty());
    for _ in 0..900 {
        f.advance(Millis(10));
        if !running(f).is_empty() {
            break;
        }
    }
    running(f)
}
