//! The indexed search makes the same choices as a full scan, and the planner follows its policy.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use model::{Class, JobKind, JobSpec, Profile, Size, Spread, TaskId};
use placement::{
    Decision, Ledger, PlacementRequest, Planner, Policy, Preference, SpreadCounts, WorkerIndex,
    WorkerInfo, select_worker_by_scan,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEPS: usize = 12_000;

fn size(rng: &mut StdRng) -> Size {
    let accelerators = if rng.random_range(0..10) == 0 { rng.random_range(1..4) } else { 0 };
    Size::new(rng.random_range(1..6_000), rng.random_range(1..12_000), accelerators)
}

fn worker(rng: &mut StdRng, i: usize) -> WorkerInfo {
    let accelerators = if i.is_multiple_of(4) { 8 } else { 0 };
    WorkerInfo {
        name: format!("w{i}").as_str().into(),
        rack: format!("r{}", i / 8).as_str().into(),
        total: Size::new(
            rng.random_range(4..32) * 1_000,
            rng.random_range(8..64) * 1_000,
            accelerators,
        ),
    }
}

/// Applies random reservations, releases, openings and closings, and makes each search both with
/// the index and by a full scan.
fn check_same_choices(seed: u64, preference: Preference, spread: bool) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut ledger = Ledger::default();
    for i in 0..60 {
        let info = worker(&mut rng, i);
        let ix = ledger.add(info);
        ledger.set_open(ix, true);
    }
    let mut placed: Vec<(WorkerIndex, Size)> = Vec::new();
    let mut counts = SpreadCounts::default();
    let mut found = 0;
    for _ in 0..STEPS {
        match rng.random_range(0..10) {
            0..6 => {
                let size = size(&mut rng);
                let skipped = WorkerIndex(rng.random_range(0..60));
                let skip = move |ix: WorkerIndex| ix == skipped;
                let request = PlacementRequest {
                    size,
                    preference,
                    spread: spread.then_some(&counts),
                    skip: &skip,
                };
                let indexed = ledger.select_worker(&request);
                assert_eq!(indexed, select_worker_by_scan(&ledger, &request), "size {size}");
                if let Some(ix) = indexed {
                    found += 1;
                    assert!(ledger.reserve(ix, &size));
                    counts.add(&ledger.info(ix).rack.clone(), ix);
                    placed.push((ix, size));
                }
            }
            6..9 if !placed.is_empty() => {
                let (ix, size) = placed.swap_remove(rng.random_range(0..placed.len()));
                ledger.release(ix, &size);
                counts.remove(&ledger.info(ix).rack.clone(), ix);
            }
            _ => {
                let ix = WorkerIndex(rng.random_range(0..60));
                let open = rng.random_range(0..4) > 0;
                ledger.set_open(ix, open);
            }
        }
    }
    assert!(found > STEPS / 10, "only {found} searches found a worker");
}

macro_rules! same {
    ($($name:ident: $seed:expr, $preference:ident, $spread:expr;)*) => {$(
        #[test]
        fn $name() {
            check_same_choices($seed, Preference::$preference, $spread);
        }
    )*};
}

same! {
    tightest_without_spread: 1, LeastFree, false;
    tightest_with_spread: 2, LeastFree, true;
    roomiest_without_spread: 3, MostFree, false;
    roomiest_with_spread: 4, MostFree, true;
}

#[test]
fn the_ledger_never_gives_more_than_there_is() {
    let mut ledger = Ledger::default();
    let total = Size::new(4_000, 8_000, 1);
    let ix = ledger.add(WorkerInfo { name: "w".into(), rack: "r".into(), total });
    ledger.set_open(ix, true);
    for (size, fits) in [
        (Size::new(4_001, 1, 0), false),
        (Size::new(1, 8_001, 0), false),
        (Size::new(1, 1, 2), false),
        (Size::new(4_000, 8_000, 1), true),
        (Size::new(1, 0, 0), false),
    ] {
        assert_eq!(ledger.reserve(ix, &size), fits, "{size}");
    }
    // Capacity that an earlier allocator overcommitted has to be released before any is free.
    ledger.reserve_running(ix, &Size::new(1_000, 0, 0));
    ledger.release(ix, &Size::new(1_000, 0, 0));
    assert_eq!(ledger.free(ix), Size::ZERO);
}

fn planner(workers: usize, profile: Profile) -> Planner {
    let mut planner = Planner::new(Policy { profile, ..Policy::default() });
    for i in 0..workers {
        let ix = planner.ledger.add(WorkerInfo {
            name: format!("w{i}").as_str().into(),
            rack: format!("r{}", i / 2).as_str().into(),
            total: Size::new(4_000, 8_000, 0),
        });
        planner.ledger.set_open(ix, true);
    }
    planner
}

fn spec(name: &str, kind: JobKind, tasks: u32, cpu: u64) -> JobSpec {
    JobSpec {
        run_time: if kind == JobKind::Service { Millis::ZERO } else { Millis(10_000) },
        ..JobSpec::new(name, name, kind, tasks, Size::new(cpu, 100, 0))
    }
}

fn submit(planner: &mut Planner, now: u64, spec: JobSpec) {
    let tasks = spec.tasks;
    planner.submit(Millis(now), &Arc::new(spec), 1, 0..tasks);
}

fn starts(decisions: &[Decision]) -> BTreeMap<String, u32> {
    let mut starts = BTreeMap::new();
    for decision in decisions {
        if let Decision::Start { task, .. } = decision {
            *starts.entry(task.job.to_string()).or_default() += 1;
        }
    }
    starts
}

fn release_all(planner: &mut Planner, job: &str) {
    let tasks: Vec<TaskId> = planner.all_placed().map(|(t, _)| t.clone()).collect();
    tasks.iter().filter(|t| t.job.as_str() == job).for_each(|t| {
        planner.release(t);
    });
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut p = planner(4, Profile::Packing);
    submit(&mut p, 0, spec("one", JobKind::Batch, 1, 3_000));
    p.plan(Millis(0), 100);
    submit(&mut p, 1, spec("gang", JobKind::Gang, 4, 3_000));
    assert_eq!(starts(&p.plan(Millis(1), 100)).get("gang"), None);
    assert_eq!(p.all_placed().filter(|(t, _)| t.job.as_str() == "gang").count(), 0);
    release_all(&mut p, "one");
    assert_eq!(starts(&p.plan(Millis(2), 100)).get("gang"), Some(&4));
}

#[test]
fn short_work_starts_before_a_waiting_gang_and_long_work_does_not() {
    let mut p = planner(2, Profile::Packing);
    submit(&mut p, 0, spec("first", JobKind::Batch, 1, 3_000));
    p.plan(Millis(0), 100);
    submit(&mut p, 1, spec("gang", JobKind::Gang, 2, 4_000));
    p.plan(Millis(1), 100);
    // The gang waits until the first job ends at 10,000 ms. Work that ends by then may start before
    // it.
    let mut short = spec("short", JobKind::Batch, 1, 2_000);
    short.run_time = Millis(5_000);
    submit(&mut p, 2, short);
    submit(&mut p, 2, spec("long", JobKind::Batch, 1, 2_000));
    let started = starts(&p.plan(Millis(2), 100));
    assert_eq!(started.get("short"), Some(&1));
    assert_eq!(started.get("long"), None);
}

#[test]
fn urgent_work_stops_bulk_work_and_starts_in_its_place() {
    let mut p = planner(2, Profile::Packing);
    let mut bulk = spec("bulk", JobKind::Batch, 8, 1_000);
    bulk.class = Class::Bulk;
    submit(&mut p, 0, bulk);
    assert_eq!(starts(&p.plan(Millis(0), 100)).get("bulk"), Some(&8));
    let mut urgent = spec("urgent", JobKind::Batch, 1, 2_000);
    urgent.class = Class::Urgent;
    submit(&mut p, 1, urgent);
    let decisions = p.plan(Millis(1), 100);
    let evicted: Vec<TaskId> = decisions
        .iter()
        .filter_map(|d| match d {
            Decision::Evict { task, .. } => Some(task.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(evicted.len(), 2, "no more than needed: {decisions:?}");
    assert!(p.plan(Millis(2), 100).is_empty(), "capacity is being freed already");
    evicted.iter().for_each(|t| {
        p.release(t);
    });
    assert_eq!(starts(&p.plan(Millis(3), 100)).get("urgent"), Some(&1));
}

#[test]
fn teams_get_equal_shares_whoever_came_first() {
    let mut p = planner(4, Profile::Packing);
    submit(&mut p, 0, spec("early", JobKind::Batch, 100, 1_000));
    submit(&mut p, 1, spec("late", JobKind::Batch, 100, 1_000));
    let started = starts(&p.plan(Millis(2), 100));
    assert_eq!((started["early"], started["late"]), (8, 8));
}

#[test]
fn a_quota_is_never_exceeded() {
    let mut p = planner(4, Profile::Packing);
    p.policy.quotas.insert("capped".into(), Size::new(2_500, 100_000, 0));
    submit(&mut p, 0, spec("capped", JobKind::Batch, 10, 1_000));
    assert_eq!(starts(&p.plan(Millis(0), 100)).get("capped"), Some(&2));
}

#[test]
fn room_is_kept_from_bulk_work_when_waiting_weighs_most() {
    let mut p = planner(10, Profile::Waiting);
    let mut bulk = spec("bulk", JobKind::Batch, 40, 1_000);
    bulk.class = Class::Bulk;
    submit(&mut p, 0, bulk);
    assert_eq!(starts(&p.plan(Millis(0), 100)).get("bulk"), Some(&38));
}

#[test]
fn a_job_that_can_never_run_is_told_so_at_once() {
    let mut p = planner(4, Profile::Packing);
    submit(&mut p, 0, spec("huge", JobKind::Batch, 1, 5_000));
    submit(&mut p, 0, spec("wide", JobKind::Gang, 9, 2_000));
    let hopeless: Vec<String> = p
        .plan(Millis(0), 100)
        .into_iter()
        .filter_map(|d| match d {
            Decision::Unplaceable { job, .. } => Some(job.to_string()),
            _ => None,
        })
        .collect();
    assert_eq!(hopeless, ["huge", "wide"]);
    assert!(p.queue().is_empty());
}

#[test]
fn a_cancelled_wave_of_ten_thousand_tasks_never_starts() {
    let mut p = planner(4, Profile::Packing);
    for i in 0..100 {
        submit(&mut p, 0, spec(&format!("job{i}"), JobKind::Batch, 100, 4_000));
    }
    p.plan(Millis(0), 2);
    for i in 0..100 {
        p.withdraw(&format!("job{i}").as_str().into());
    }
    assert!(p.queue().is_empty());
    assert!(p.plan(Millis(1), 100_000).is_empty());
}

#[test]
fn run_times_are_learned_from_what_ran() {
    let mut p = planner(1, Profile::Packing);
    let job = spec("job", JobKind::Batch, 1, 1_000);
    assert_eq!(p.estimator.expected(&job), Millis(10_000));
    for _ in 0..20 {
        p.estimator.learn(&job, Millis(100_000));
    }
    assert_eq!(p.estimator.expected(&job), Millis(100_000));
    let mut sibling = spec("sibling", JobKind::Batch, 1, 1_000);
    sibling.organisation = "job".into();
    assert_eq!(
        p.estimator.expected(&sibling),
        Millis(100_000),
        "an organisation's jobs share a ratio"
    );
}

#[test]
fn a_service_is_spread_over_racks() {
    let mut p = planner(8, Profile::Packing);
    let mut service = spec("service", JobKind::Service, 4, 500);
    service.spread = Spread::Rack;
    submit(&mut p, 0, service);
    p.plan(Millis(0), 100);
    let mut racks: Vec<&str> =
        p.all_placed().map(|(_, placed)| &*p.ledger.info(placed.worker).rack).collect();
    racks.sort_unstable();
    racks.dedup();
    assert_eq!(racks.len(), 4);
}
