//! What cannot start never keeps what is free from those behind it, however many it is.

use std::sync::Arc;

use clock::Millis;
use model::{JobKind, JobSpec, Size};
use placement::{Decision, Planner, Policy, WorkerInfo};

/// How many decisions one plan may take here.
const BUDGET: usize = 100;

fn planner(workers: usize) -> Planner {
    let mut planner = Planner::new(Policy::default());
    for i in 0..workers {
        let name = format!("w{i}").as_str().into();
        let total = Size::new(4_000, 8_000, 0);
        let ix = planner.ledger.add(WorkerInfo { name, rack: "r".into(), total });
        planner.ledger.set_open(ix, true);
    }
    planner
}

/// A job of one task, of the one team here.
fn spec(name: &str, kind: JobKind, cpu: u64) -> JobSpec {
    let run_time = Millis(10_000);
    JobSpec { run_time, ..JobSpec::new(name, "team", kind, 1, Size::new(cpu, 100, 0)) }
}

fn submit(planner: &mut Planner, spec: JobSpec) {
    let tasks = spec.tasks;
    planner.submit(Millis(0), &Arc::new(spec), 1, 0..tasks);
}

/// Gives after how many plans, of at most `most`, a task of `job` starts.
fn plans_until_start(planner: &mut Planner, job: &str, most: u64) -> Option<u64> {
    let starts =
        |d: &Decision| matches!(d, Decision::Start { task, .. } if task.job.as_str() == job);
    (1..=most).find(|&n| planner.plan(Millis(n), BUDGET).iter().any(starts))
}

/// Four workers with one core of four taken, and jobs for a whole worker before a small one.
fn small_job_behind(stuck: usize) -> Planner {
    let mut planner = planner(4);
    let workers: Vec<_> = planner.ledger.workers().collect();
    for worker in workers {
        assert!(planner.ledger.reserve(worker, &Size::new(1_000, 100, 0)));
    }
    for i in 0..stuck {
        submit(&mut planner, spec(&format!("large{i}"), JobKind::Batch, 4_000));
    }
    submit(&mut planner, spec("small", JobKind::Batch, 1_000));
    planner
}

/// A small job behind so many of its team's jobs that cannot start does so within so many plans.
macro_rules! starts_behind {
    ($($name:ident: $stuck:expr => $plans:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut planner = small_job_behind($stuck);
            let started = plans_until_start(&mut planner, "small", $plans);
            assert!(started.is_some(), "not within {} plans", $plans);
        }
    )*};
}

starts_behind! {
    a_job_behind_a_few_stuck_ones_starts_at_once: 63 => 1;
    a_job_behind_64_stuck_ones_starts_at_once: 64 => 1;
    a_job_behind_1000_stuck_ones_starts_in_bounded_time: 1_000 => 100;
}

#[test]
fn a_job_behind_stuck_ones_has_its_turn_while_room_is_freed_all_the_time() {
    let mut planner = small_job_behind(1_000);
    let worker = planner.ledger.find("w0").expect("there are four workers");
    let started = (0..100).any(|_| {
        planner.ledger.release(worker, &Size::new(1, 0, 0));
        plans_until_start(&mut planner, "small", 1).is_some()
    });
    assert!(started, "not within 100 plans");
}

#[test]
fn the_turns_begin_anew_when_all_behind_them_are_withdrawn() {
    let mut planner = small_job_behind(1_000);
    for n in 0..20 {
        planner.plan(Millis(n), BUDGET);
    }
    for i in 100..1_000 {
        planner.withdraw(&format!("large{i}").as_str().into());
    }
    planner.withdraw(&"small".into());
    submit(&mut planner, spec("late", JobKind::Batch, 1_000));
    assert!(plans_until_start(&mut planner, "late", 10).is_some(), "not within 10 plans");
}
