//! Jobs that cannot start, however many, never keep free capacity from the jobs behind them.

use std::sync::Arc;

use clock::Millis;
use model::{Class, JobKind, JobSpec, Size, TaskId};
use placement::{Decision, Planner, Policy, WorkerIndex, WorkerInfo};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The maximum number of decisions of a plan in these tests.
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

/// A job with one task. All jobs here belong to one organisation.
fn spec(name: &str, kind: JobKind, cpu: u64) -> JobSpec {
    let run_time = Millis(10_000);
    JobSpec { run_time, ..JobSpec::new(name, "organisation", kind, 1, Size::new(cpu, 100, 0)) }
}

fn submit(planner: &mut Planner, spec: JobSpec) {
    let tasks = spec.tasks;
    planner.submit(Millis(0), &Arc::new(spec), 1, 0..tasks);
}

/// Returns the number of plans after which a task of `job` starts, if it does within `max` plans.
fn plans_until_start(planner: &mut Planner, job: &str, max: u64) -> Option<u64> {
    let starts =
        |d: &Decision| matches!(d, Decision::Start { task, .. } if task.job.as_str() == job);
    (1..=max).find(|&n| planner.plan(Millis(n), BUDGET).iter().any(starts))
}

/// Four workers with one of four cores taken, and a small job behind `stuck` jobs that need a whole
/// worker.
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

/// A small job behind many jobs of its organisation that cannot start still starts within a bounded
/// number of plans.
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

/// Returns the number of plans after which nothing is left to try, if that is at most `max`.
fn plans_until_settled(planner: &mut Planner, max: u64) -> Option<u64> {
    (1..=max).find(|&n| {
        planner.plan(Millis(n), BUDGET);
        planner.is_settled()
    })
}

/// Jobs that cannot start cause no more planning once each has been tried, until something changes.
macro_rules! settles_behind {
    ($($name:ident: $stuck:expr => $plans:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut planner = small_job_behind($stuck);
            planner.withdraw(&"small".into());
            for change in 0..3 {
                let settled = plans_until_settled(&mut planner, $plans);
                assert!(settled.is_some(), "not within {} plans, change {change}", $plans);
                planner.reexamine_stuck();
                assert!(!planner.is_settled());
            }
        }
    )*};
}

settles_behind! {
    a_few_stuck_jobs_settle_at_once: 64 => 1;
    some_more_stuck_jobs_settle: 65 => 3;
    a_thousand_stuck_jobs_settle: 1_000 => 65;
}

#[test]
fn a_job_that_comes_at_any_time_of_a_lap_starts_before_the_planner_settles() {
    for plans in 0..70 {
        let mut planner = small_job_behind(1_000);
        planner.withdraw(&"small".into());
        (0..plans).for_each(|n| _ = planner.plan(Millis(n), BUDGET));
        submit(&mut planner, spec("late", JobKind::Batch, 1_000));
        let started = plans_until_start(&mut planner, "late", 65);
        assert!(started.is_some(), "not within 65 plans after {plans}");
    }
}

#[test]
fn room_that_is_freed_at_any_time_of_a_lap_is_used_wherever_in_line_its_user_stands() {
    for (plans, stands_at) in [(0, 70), (30, 70), (30, 300), (30, 900), (59, 300), (80, 300)] {
        let mut planner = planner(1);
        let worker = planner.ledger.find("w0").expect("there is one worker");
        assert!(planner.ledger.reserve(worker, &Size::new(4_000, 100, 0)));
        for i in 0..1_000 {
            let cpu = if i == stands_at { 1_000 } else { 4_000 };
            submit(&mut planner, spec(&format!("job{i}"), JobKind::Batch, cpu));
        }
        (0..plans).for_each(|n| _ = planner.plan(Millis(n), BUDGET));
        planner.ledger.release(worker, &Size::new(1_000, 0, 0));
        let started = plans_until_start(&mut planner, &format!("job{stands_at}"), 65);
        assert!(started.is_some(), "not within 65 plans after {plans}, at {stands_at}");
    }
}

/// Submits, ends and withdraws random jobs. The planner must settle within a bounded number of
/// plans, and whenever it has settled no waiting task may fit on any worker.
fn nothing_fits_once_settled(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut p = small_job_behind(0);
    for step in 0..400 {
        match rng.random_range(0..10) {
            0..6 => {
                let name = format!("job{step}");
                submit(&mut p, spec(&name, JobKind::Batch, rng.random_range(1..=4) * 1_000));
            }
            6..8 => {
                let placed: Vec<TaskId> = p.all_placed().map(|(t, _)| t.clone()).collect();
                if !placed.is_empty() {
                    p.release(&placed[rng.random_range(0..placed.len())]);
                }
            }
            8 => _ = p.withdraw(&format!("job{}", rng.random_range(0..=step)).as_str().into()),
            _ => _ = p.plan(Millis(step), BUDGET),
        }
        if p.is_settled() || rng.random_range(0..20) == 0 {
            assert!(plans_until_settled(&mut p, 40).is_some(), "seed {seed}, step {step}");
            let fits = |size: &Size| p.ledger.workers().any(|ix| size.fits(&p.ledger.free(ix)));
            assert!(!p.queue().iter().any(|b| fits(&b.spec.size)), "seed {seed}, step {step}");
        }
    }
}

#[test]
fn nothing_that_waits_fits_once_the_planner_has_settled() {
    (0..100).for_each(nothing_fits_once_settled);
}

#[test]
fn a_search_for_room_that_is_under_way_keeps_the_planner_from_settling() {
    let mut planner = bulk_behind(3_000, Runs::Service);
    for i in 0..200 {
        submit_urgent(&mut planner, &format!("urgent{i}"), 2_000);
    }
    let stopped = (1..=100).find_map(|now| evicts_on(&mut planner, now));
    assert_eq!(stopped, Some(3_000));
    assert!(plans_until_settled(&mut planner, 200).is_some(), "not within 200 plans");
}

/// The work that occupies a whole worker.
#[derive(Clone, Copy)]
enum Runs {
    /// A service, which cannot be evicted.
    Service,
    /// A service, and so little bulk work that evicting it frees too little capacity.
    LittleBulk,
    /// Bulk work.
    Bulk,
}

/// Makes `worker` run a task of `kind` with `cpu` thousandths of a core.
fn run(planner: &mut Planner, worker: WorkerIndex, kind: JobKind, cpu: u64) {
    let name = format!("{kind:?} on {}", planner.ledger.info(worker).name);
    let class = if kind == JobKind::Batch { Class::Bulk } else { Class::Normal };
    let spec = JobSpec { class, ..spec(&name, kind, cpu) };
    planner.adopt(Millis(0), &Arc::new(spec), 1, 0, worker);
}

/// A fleet whose first `before` workers run work whose eviction frees too little, and whose last
/// worker runs bulk work.
fn bulk_behind(before: usize, first: Runs) -> Planner {
    let mut planner = planner(before + 1);
    let workers: Vec<_> = planner.ledger.workers().collect();
    for (i, worker) in workers.into_iter().enumerate() {
        match if i < before { first } else { Runs::Bulk } {
            Runs::Service => run(&mut planner, worker, JobKind::Service, 4_000),
            Runs::LittleBulk => {
                run(&mut planner, worker, JobKind::Service, 3_000);
                run(&mut planner, worker, JobKind::Batch, 1_000);
            }
            Runs::Bulk => run(&mut planner, worker, JobKind::Batch, 4_000),
        }
    }
    planner
}

fn submit_urgent(planner: &mut Planner, name: &str, cpu: u64) {
    submit(planner, JobSpec { class: Class::Urgent, ..spec(name, JobKind::Batch, cpu) });
}

/// Returns the index of the worker on which the next plan evicts a task, if any.
fn evicts_on(planner: &mut Planner, now: u64) -> Option<u32> {
    let decisions = planner.plan(Millis(now), BUDGET);
    decisions.iter().find_map(|d| match d {
        Decision::Evict { worker, .. } => Some(worker.0),
        _ => None,
    })
}

/// Capacity for urgent work is freed within a bounded number of plans, however many workers before
/// the right one have nothing to evict.
macro_rules! evicts_behind {
    ($($name:ident: $before:expr, $first:ident => $plans:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut planner = bulk_behind($before, Runs::$first);
            submit_urgent(&mut planner, "urgent", 2_000);
            let stopped = (1..=$plans).find_map(|now| evicts_on(&mut planner, now));
            assert_eq!(stopped, Some($before), "within {} plans", $plans);
        }
    )*};
}

evicts_behind! {
    room_is_made_behind_511_workers_with_services_at_once: 511, Service => 1;
    room_is_made_behind_512_workers_with_services: 512, Service => 2;
    room_is_made_behind_3000_workers_with_services: 3_000, Service => 6;
    room_is_made_behind_3000_workers_with_little_bulk_work: 3_000, LittleBulk => 6;
}

#[test]
fn two_urgent_jobs_that_take_turns_both_see_every_worker() {
    let mut planner = bulk_behind(1_000, Runs::LittleBulk);
    let last = planner.ledger.find("w1000").expect("it is the last one");
    planner.ledger.set_open(last, false);
    submit_urgent(&mut planner, "first", 3_500);
    submit_urgent(&mut planner, "second", 2_000);
    assert!((1..=10).all(|now| evicts_on(&mut planner, now).is_none()));
    planner.ledger.set_open(last, true);
    assert_eq!((11..=20).find_map(|now| evicts_on(&mut planner, now)), Some(1_000));
}

#[test]
fn a_worker_that_opens_behind_the_search_is_seen_in_the_next_one() {
    let mut planner = bulk_behind(1_500, Runs::Service);
    let (first, last) = (WorkerIndex(0), WorkerIndex(1_500));
    planner.release(&TaskId { job: "Service on w0".into(), index: 0 });
    run(&mut planner, first, JobKind::Batch, 4_000);
    planner.ledger.set_open(first, false);
    planner.ledger.set_open(last, false);
    submit_urgent(&mut planner, "urgent", 2_000);
    assert_eq!(evicts_on(&mut planner, 1), None);
    planner.ledger.set_open(first, true);
    assert_eq!((2..=8).find_map(|now| evicts_on(&mut planner, now)), Some(0));
}

/// A gang waits for ten workers. Nine are empty; the tenth runs a task that was expected to end
/// after one second and never does.
fn gang_waiting_for_an_overrun() -> Planner {
    let mut planner = planner(10);
    submit(
        &mut planner,
        JobSpec { run_time: Millis(1_000), ..spec("over", JobKind::Batch, 3_000) },
    );
    assert_eq!(planner.plan(Millis(1), BUDGET).len(), 1);
    submit(&mut planner, JobSpec { tasks: 10, ..spec("gang", JobKind::Gang, 4_000) });
    assert_eq!(planner.plan(Millis(20_000), BUDGET).len(), 0);
    planner
}

/// Returns when `job` starts, in milliseconds, if it is submitted at 20 s.
fn starts_at(planner: &mut Planner, job: JobSpec) -> Option<u64> {
    let name = job.name.clone();
    submit(planner, job);
    let starts = |d: &Decision| matches!(d, Decision::Start { task, .. } if task.job == name);
    (20_000..600_000u64)
        .step_by(20)
        .find(|&now| planner.plan(Millis(now), BUDGET).iter().any(starts))
}

/// The task that a gang waits for may never end. Other work gets the reserved capacity within a
/// bounded time.
macro_rules! starts_beside_a_waiting_gang {
    ($($name:ident: $kind:ident, run $run:expr => by $by:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut planner = gang_waiting_for_an_overrun();
            let job = spec("waits", JobKind::$kind, 1_000);
            let at = starts_at(&mut planner, JobSpec { run_time: Millis($run), ..job });
            println!("starts at {at:?} ms");
            assert!(at.is_some_and(|ms| ms <= $by), "starts at {at:?} ms");
        }
    )*};
}

starts_beside_a_waiting_gang! {
    a_short_task_gets_room_behind_a_gang: Batch, run 2_000 => by 141_000;
    a_long_task_gets_room_behind_a_gang: Batch, run 40_000 => by 141_000;
    a_service_gets_room_behind_a_gang: Service, run 0 => by 141_000;
}

#[test]
fn a_service_does_not_take_the_room_of_a_gang_that_starts_soon() {
    let mut planner = planner(2);
    submit(&mut planner, spec("first", JobKind::Batch, 3_000));
    assert_eq!(planner.plan(Millis(0), BUDGET).len(), 1);
    submit(&mut planner, JobSpec { tasks: 2, ..spec("gang", JobKind::Gang, 4_000) });
    submit(&mut planner, spec("waits", JobKind::Service, 1_000));
    let starts = (20..10_000u64).step_by(20).map(|now| planner.plan(Millis(now), BUDGET).len());
    assert_eq!(starts.sum::<usize>(), 0, "the gang can start at 10,000 ms");
    let first = TaskId { job: "first".into(), index: 0 };
    planner.release(&first);
    assert_eq!(planner.plan(Millis(10_000), BUDGET).len(), 2, "the gang starts");
}
