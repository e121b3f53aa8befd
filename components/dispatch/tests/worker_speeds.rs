//! Tests of the speeds that the leader learns of machines: which work runs on slow ones, and which runs are moved.

mod common;

use std::collections::BTreeMap;

use clock::Millis;
use common::fleet::{Fleet, Kind, LONG_RUN_FACTOR};
use common::mix::JobMix;
use common::step;
use dispatch::{Limits, Mechanisms};
use model::Size;
use rstest::rstest;
use workload::{JobId, StepKey, StepSpec, WorkerId};

/// The speed of a slow worker.
const SLOW: f64 = 0.55;
/// How long the leader sees runs before the tests judge what it does.
const LEARNING_TIME: Millis = Millis(30_000);
/// How long the tests judge it for.
const JUDGED_TIME: Millis = Millis(20_000);

fn limits(prefers_suitable_speeds: bool) -> Limits {
    let mechanisms = Mechanisms { prefers_suitable_speeds, ..Mechanisms::default() };
    Limits { mechanisms, ..Limits::default() }
}

/// Returns a fleet of 24 workers of which every fourth has the speed `slow`.
fn fleet(seed: u64, slow: f64, prefers_suitable_speeds: bool) -> Fleet {
    let mut f = Fleet::new(seed, 12);
    f.configure(limits(prefers_suitable_speeds), "advice, long, patient");
    f.join("w", 24, Size::new(16_000, 64_000, 0));
    for (i, host) in f.hosts.values_mut().enumerate() {
        host.speed = if i % 4 == 0 { slow } else { 1.0 };
    }
    f.advance(Millis(500));
    f
}

fn is_slow(f: &Fleet, worker: &WorkerId) -> bool {
    f.hosts[worker].speed < 1.0
}

/// Returns the part of the runs of a kind that began on slow workers from a time on.
fn slow_part(f: &Fleet, kind: Kind, from: Millis) -> f64 {
    let starts = f.failures.starts.iter().filter(|s| s.kind == kind && s.at >= from);
    let on_slow: Vec<bool> = starts.map(|s| is_slow(f, &s.worker)).collect();
    on_slow.iter().filter(|s| **s).count() as f64 / on_slow.len().max(1) as f64
}

/// Returns the part of the jobs of a kind submitted from a time on that were completed within their objective.
fn in_time(f: &Fleet, kind: Kind, from: Millis) -> f64 {
    let jobs = f.jobs.iter().filter(|(_, j)| j.kind == kind && j.at >= from);
    let is_in_time = |id: &JobId, at: Millis| {
        let Some(job) = f.harness.committed.job(*id) else { return false };
        let path = job.spec.critical_path(|_| true).0;
        job.ended_at.is_some_and(|end| end.since(at) <= Millis(path * 3 / 2 + 250))
    };
    let results: Vec<bool> = jobs.map(|(id, j)| is_in_time(id, j.at)).collect();
    results.iter().filter(|r| **r).count() as f64 / results.len().max(1) as f64
}

/// Drives a mix through the learning time and the judged time, and returns when the latter began.
fn drive(f: &mut Fleet, mix: &mut JobMix) -> Millis {
    mix.drive(f, LEARNING_TIME);
    let from = f.harness.now;
    mix.drive(f, JUDGED_TIME);
    f.advance(Millis(6_000));
    from
}

/// Without the speeds, a quarter of the tasks of quick jobs ran on slow workers and made three of four such jobs late.
#[rstest]
fn quick_jobs_run_on_fast_workers_and_batch_work_on_slow_ones(#[values(1, 2, 3)] seed: u64) {
    let judge = |prefers_suitable_speeds| {
        let mut f = fleet(seed, SLOW, prefers_suitable_speeds);
        let from = drive(&mut f, &mut JobMix::new(0.25, 0.25, 0.0));
        let (quick, batch) = (slow_part(&f, Kind::Quick, from), slow_part(&f, Kind::Batch, from));
        (quick, batch, in_time(&f, Kind::Quick, from))
    };
    let (on, off) = (judge(true), judge(false));
    println!("seed {seed}: on {on:?}, off {off:?}");
    assert!(on.0 <= 0.02, "{:.3} of the quick runs began on slow workers", on.0);
    assert!(on.1 >= 1.3 * off.1, "batch runs on slow workers: {:.3}, before {:.3}", on.1, off.1);
    assert!(on.2 >= 0.95 && on.2 > off.2, "in time: {:.3}, before {:.3}", on.2, off.2);
}

/// A gang of which one member runs on a slow worker ends as late as one that runs only on slow workers.
#[rstest]
fn a_gang_is_placed_on_workers_of_similar_speed(#[values(1, 2, 3)] seed: u64) {
    let mut f = fleet(seed, SLOW, true);
    let from = drive(&mut f, &mut JobMix::new(0.2, 0.2, 0.15));
    let mut speeds: BTreeMap<StepKey, Vec<bool>> = BTreeMap::new();
    for start in f.failures.starts.iter().filter(|s| s.kind == Kind::Gang && s.at >= from) {
        speeds.entry(start.task.step).or_default().push(is_slow(&f, &start.worker));
    }
    let mixed = speeds.values().filter(|s| s.contains(&true) && s.contains(&false)).count();
    println!("seed {seed}: {mixed} of {} gangs on workers of different speeds", speeds.len());
    assert!(speeds.len() >= 10, "{} gangs", speeds.len());
    assert!(mixed * 20 <= speeds.len(), "{mixed} of {} gangs", speeds.len());
}

/// Measured run times differ by chance. A preference that follows them would move work about for nothing.
#[rstest]
fn a_uniform_fleet_is_placed_as_without_speeds(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(1.0, 0.95)] slow: f64,
) {
    let placements = |prefers_suitable_speeds| {
        let mut f = fleet(seed, slow, prefers_suitable_speeds);
        JobMix::everyday(0.6).drive(&mut f, Millis(40_000));
        let starts = f.failures.starts.iter();
        starts.map(|s| (s.at, s.task, s.worker.clone())).collect::<Vec<_>>()
    };
    let (on, off) = (placements(true), placements(false));
    let first = on.iter().zip(&off).find(|(a, b)| a != b);
    assert!(on.len() == off.len() && first.is_none(), "first difference: {first:?}");
}

/// One run in thirty takes seven times as long on some fleets. A machine must not be avoided for that.
#[rstest]
fn a_long_run_does_not_make_its_machine_slow(#[values(1, 2)] seed: u64) {
    let mut f = fleet(seed, 1.0, true);
    f.long_runs_per_thousand = 30;
    JobMix::new(0.3, 0.3, 0.0).drive(&mut f, LEARNING_TIME + JUDGED_TIME);
    assert_eq!(f.harness.dispatcher.figures().slow_machines, 0);
}

/// A machine that is started anew is as slow as before. Learning that again would make quick jobs late.
#[test]
fn a_machine_keeps_its_speed_over_a_new_incarnation() {
    let mut f = fleet(1, SLOW, true);
    JobMix::new(0.25, 0.25, 0.0).drive(&mut f, LEARNING_TIME);
    let slow = f.workers(|h| h.speed < 1.0);
    slow.iter().for_each(|id| f.announce_incarnation(id));
    f.advance(Millis(500));
    assert!(f.harness.committed.workers().keys().any(|id| id.incarnation().is_some()));
    let from = f.harness.now;
    JobMix::new(0.2, 0.0, 0.0).drive(&mut f, Millis(3_000));
    let part = slow_part(&f, Kind::Quick, from);
    assert!(part <= 0.02, "{part:.3} of the quick runs began on slow workers");
}

/// The estimates of a leader are lost with it. A new one that begins without them makes quick jobs late for half a
/// minute.
#[rstest]
fn a_new_leader_knows_the_speeds(#[values(1, 2)] seed: u64) {
    let mut f = fleet(seed, SLOW, true);
    JobMix::new(0.25, 0.25, 0.0).drive(&mut f, LEARNING_TIME);
    let known = f.harness.dispatcher.figures().slow_machines;
    assert_eq!(known, 6);
    f.lose_leader();
    f.advance(Millis(500));
    f.take_over();
    assert_eq!(f.harness.dispatcher.figures().slow_machines, 6);
    f.advance(Millis(1_000));
    let from = f.harness.now;
    JobMix::new(0.2, 0.2, 0.0).drive(&mut f, JUDGED_TIME);
    let part = slow_part(&f, Kind::Quick, from);
    assert!(part <= 0.02, "{part:.3} of the quick runs began on slow workers");
    assert_eq!(f.harness.dispatcher.figures().slow_machines, 6);
}

/// A speed is a preference. A quick job that waited for a fast worker beside a free slow one would be late as well.
#[test]
fn a_quick_job_starts_on_a_slow_worker_where_the_fast_ones_are_full() {
    let mut f = fleet(1, SLOW, true);
    f.allow_all();
    JobMix::new(0.25, 0.25, 0.0).drive(&mut f, LEARNING_TIME);
    f.advance(Millis(8_000));
    // More tasks than the 18 fast workers have cores.
    let estimate = Millis(800);
    let job = f.submit_job(Kind::Quick, "q", vec![StepSpec { estimate, ..step(340) }]);
    let from = f.harness.now;
    f.advance(Millis(600));
    let starts = f.failures.starts.iter().filter(|s| s.task.step.job == job && s.at >= from);
    let on_slow: Vec<bool> = starts.map(|s| is_slow(&f, &s.worker)).collect();
    assert_eq!(on_slow.len(), 340);
    let on_slow = on_slow.iter().filter(|s| **s).count();
    assert!(on_slow >= 52, "{on_slow} of 340 runs began on slow workers");
}

/// Recorded speeds are limited to changes that matter, at most one record in five seconds.
#[test]
fn speeds_are_recorded_seldom() {
    let mut f = fleet(1, SLOW, true);
    JobMix::new(0.25, 0.25, 0.0).drive(&mut f, LEARNING_TIME + JUDGED_TIME);
    assert_eq!(f.harness.committed.machine_speeds().len(), 6);
    let records = &f.speed_records;
    assert!((1..=10).contains(&records.len()), "{records:?}");
    assert!(records.windows(2).all(|w| w[1].since(w[0]) >= Millis(5_000)), "{records:?}");
}

/// On a fleet where one run in thirty takes seven times as long, moved runs must end sooner on average than they would
/// have, and those that are not long are to stay. Without speeds, one run in five was stopped.
#[rstest]
fn moved_runs_end_sooner(#[values(1, 2, 3)] seed: u64, #[values(1.0, SLOW)] slow: f64) {
    let judge = |prefers_suitable_speeds| {
        let mut f = fleet(seed, slow, prefers_suitable_speeds);
        f.long_runs_per_thousand = 30;
        let from = drive(&mut f, &mut JobMix::new(0.25, 0.3, 0.0));
        let gains = f.gains_of_moved_runs();
        let mean = gains.iter().sum::<i64>() / gains.len().max(1) as i64;
        let sooner = gains.iter().filter(|g| **g > 0).count();
        let quick = in_time(&f, Kind::Quick, from);
        (gains.len(), sooner, mean, quick, f.failures.starts.len())
    };
    let (on, off) = (judge(true), judge(false));
    println!(
        "seed {seed} slow {slow}: (moved, sooner, mean gain, quick in time, runs) on {on:?}, off {off:?}"
    );
    let (moved, sooner, mean, quick, runs) = on;
    assert!(moved >= 10, "{moved} of {runs} runs were moved");
    assert!(
        mean > 0 && sooner * 10 >= moved * 8,
        "{sooner} of {moved} ended sooner, by {mean} ms on average"
    );
    assert!(moved * 20 <= runs, "{moved} of {runs} runs were moved");
    assert!(quick >= off.3, "quick jobs in time: {quick:.3}, before {:.3}", off.3);
}

/// A quick job of one task has no other run to be compared with, and ends seven times too late if nothing is done.
#[test]
fn a_long_run_without_siblings_is_moved() {
    let mut f = fleet(1, 1.0, true);
    let mut mix = JobMix::new(0.2, 0.2, 0.0);
    mix.drive(&mut f, LEARNING_TIME);
    let estimate = Millis(1_500);
    let job = f.submit_job(Kind::Quick, "q", vec![StepSpec { estimate, ..step(1) }]);
    f.long_runs.insert((common::task(job.0, 0, 0), 1));
    let at = f.harness.now;
    mix.drive(&mut f, Millis(6_000));
    let ended = f.harness.committed.job(job).and_then(|j| j.ended_at);
    let long = Millis(estimate.0 * LONG_RUN_FACTOR / 2);
    assert!(
        ended.is_some_and(|end| end.since(at) < long),
        "submitted at {at:?}, ended at {ended:?}"
    );
}

/// The speeds must not depend on a switch that is off.
#[test]
fn nothing_is_learned_while_the_switch_is_off() {
    let mut f = fleet(1, SLOW, false);
    JobMix::new(0.25, 0.25, 0.0).drive(&mut f, LEARNING_TIME);
    assert_eq!(f.harness.dispatcher.figures().slow_machines, 0);
    assert!(f.harness.committed.machine_speeds().is_empty());
}
