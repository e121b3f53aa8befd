//! Random schedules that combine whatever may keep a long-running task from its next run: workers that fail
//! everything that they start, jobs that fail wherever they run, long-running tasks that fail by themselves, few
//! allowed workers, steps that spread their tasks, a backlog, crashes, and leaders that are lost. Then no such event
//! happens for half a minute, since late effects show only then. At each step [`common::downtime_checker`] checks that
//! long-running tasks run again in time.
//!
//! `HEATHVALE_LASTING_SEEDS=1-200 cargo test -p dispatch --test lasting_schedules` runs more seeds than the eight of
//! every run.

mod common;

use std::collections::BTreeMap;

use clock::Millis;
use common::fleet::{Fleet, Kind};
use common::host::Host;
use common::mix::{self, JobMix};
use common::{step, task};
use model::Size;
use rand::seq::IndexedRandom;
use rstest::rstest;
use workload::{JobId, JobState, MAX_CRASHES, StepSpec, TaskKey, WorkerId};

/// How many events happen in one schedule, one after the other.
const EVENTS: usize = 25;
/// How long no event happens in the end, while callers go on submitting jobs.
const CALM_DURATION: Millis = Millis(30_000);
/// The time within which all jobs must have ended after that.
const SETTLE_TIME: Millis = Millis(60_000);
/// How many runs of a task must fail for its job to fail.
const MIN_FAILED_RUNS: usize = 2;

/// Draws one of some values.
fn one_of<T: Copy>(f: &mut Fleet, values: &[T]) -> T {
    values.choose(&mut f.rng).copied().unwrap_or(values[0])
}

/// Submits a job of long-running tasks, of which some fail by themselves again and again.
fn submit_long_running(f: &mut Fleet) {
    let count = 1 + f.random_below(3) as u32;
    let max_per_worker = f.random_below(2) as u32;
    let constraint = (f.random_below(4) == 0).then(|| "few".into());
    let cores = one_of(f, &[1_000, 2_000, 3_000]);
    let spec = StepSpec {
        long_running: true,
        size: Size::new(cores, 1_000, 0),
        max_per_worker,
        constraint,
        estimate: Millis(20_000),
        ..step(count)
    };
    let queue = one_of(f, &["q", "mid", "bulk"]);
    let job = f.submit_job(Kind::LongRunning, queue, vec![spec]);
    if f.random_below(2) == 0 {
        let after = Millis(3_000 + f.random_below(12_000));
        f.fail_runs_after(task(job.0, 0, 0), after);
    }
}

/// Returns every `one_in`-th usable worker, from a random one on.
fn every_nth(f: &mut Fleet, one_in: usize) -> Vec<WorkerId> {
    let first = f.random_below(one_in as u64) as usize;
    f.workers(Host::is_usable).into_iter().skip(first).step_by(one_in).collect()
}

fn set_failing(f: &mut Fleet, one_in: usize) {
    every_nth(f, one_in).iter().for_each(|id| f.set_failing(id, true));
}

fn stop_failures(f: &mut Fleet) {
    f.workers(|h| h.failing).iter().for_each(|id| f.set_failing(id, false));
}

/// Makes some of the long-running tasks fail now.
fn fail_some(f: &mut Fleet) {
    let running: Vec<TaskKey> = f.hosts.values().flat_map(Host::long_running_tasks).collect();
    for task in running.iter().step_by(4) {
        f.fail_now(task);
    }
}

fn disturb(f: &mut Fleet, mix: &mut JobMix) {
    match f.random_below(12) {
        0 | 1 => {
            let one_in = one_of(f, &[1, 2, 3, 5, 10]);
            set_failing(f, one_in);
        }
        2 => {
            set_failing(f, 1);
            let span = Millis(500 + f.random_below(5_000));
            mix.drive(f, span);
            stop_failures(f);
        }
        3 | 4 => stop_failures(f),
        5 => mix.failing_percent = one_of(f, &[0, 10, 33, 50]),
        6 => submit_long_running(f),
        7 | 8 => fail_some(f),
        9 => (0..10).for_each(|_| mix::wide(f)),
        10 => {
            f.lose_leader();
            mix.drive(f, Millis(700));
            f.take_over();
        }
        _ => {
            let lost = every_nth(f, 16);
            lost.iter().for_each(|id| f.crash(id));
        }
    }
    let pause = Millis(200 + f.random_below(1_500));
    mix.drive(f, pause);
}

/// Returns a fleet of which the advice service allows few workers, with long-running tasks.
fn fleet(seed: u64) -> Fleet {
    let mut f = Fleet::new(seed, 10);
    let share = one_of(&mut f, &[12, 20, 35, 70]);
    f.allow(share);
    // Other work may wait for as long as the workers that failed it are quarantined.
    f.wait_checker.record_only = true;
    let size = Size::new(16_000, 32_000, 0);
    f.join("w", 36, size);
    f.join("few", 6, size);
    f.advance(Millis(500));
    (0..12).for_each(|_| submit_long_running(&mut f));
    f
}

fn drive(seed: u64) {
    let mut f = fleet(seed);
    let mut mix = JobMix::new(0.25, 0.1, 0.03);
    mix.drive(&mut f, Millis(3_000));
    mix.wide = one_of(&mut f, &[0.0, 0.2, 0.4, 0.6]);
    for _ in 0..EVENTS {
        disturb(&mut f, &mut mix);
    }
    stop_failures(&mut f);
    // Jobs that can never succeed are no fault of the fleet's, and go on for a while.
    mix.drive(&mut f, Millis(CALM_DURATION.0 / 2));
    mix.failing_percent = 0;
    mix.drive(&mut f, Millis(CALM_DURATION.0 / 2));
    let (max_downtime, max_wait) = (f.downtime_checker.longest, f.wait_checker.longest);
    println!(
        "seed {seed}: a long-running task was without a run for {max_downtime:?}, longest wait of any step {max_wait:?}"
    );
    // By now no job that can never succeed is left, and no worker may be quarantined for long.
    f.wait_checker.record_only = false;
    f.advance(SETTLE_TIME);
    check(&f, seed);
}

/// Checks that every job has reached its expected end.
fn check(f: &Fleet, seed: u64) {
    let max_wasted_runs = max_wasted_runs(f);
    for (id, job) in f.jobs.iter().filter(|(id, _)| has_allowed_workers(f, **id)) {
        let state = f.harness.committed.job(*id).map(|j| j.state);
        let kind = job.kind;
        let most = max_wasted_runs.get(id).copied().unwrap_or(0);
        match kind {
            Kind::LongRunning => {
                let is_over = state.is_none_or(JobState::is_final);
                assert!(!is_over, "seed {seed}: {id}, which is long-running, is {state:?}");
            }
            _ if f.failures.jobs.contains(id) => {
                assert_eq!(state, Some(JobState::Failed), "seed {seed}: {id}, {kind:?}");
            }
            _ if state == Some(JobState::Failed) => {
                let is_lost = most >= MIN_FAILED_RUNS || crashes(f, *id) >= u32::from(MAX_CRASHES);
                assert!(is_lost, "seed {seed}: {id} failed, {most} runs of a task were wasted");
            }
            _ => assert_eq!(state, Some(JobState::Completed), "seed {seed}: {id}, {kind:?}"),
        }
    }
}

/// Returns whether every step of a job has workers on which it may run: where few workers are allowed, none of the
/// present ones is for some steps. A gang takes a whole worker, and long-running tasks may hold a part of some for
/// good.
fn has_allowed_workers(f: &Fleet, job: JobId) -> bool {
    let fewest = if f.jobs[&job].kind == Kind::Gang { 3 } else { 1 };
    let is_there = |id: &&WorkerId| f.hosts[*id].is_usable();
    let allowed = |step| f.allowed(&task(job.0, step, 0).step).iter().filter(is_there).count();
    (0..2).all(|step| allowed(step) >= fewest)
}

/// Returns how many workers have crashed under the task of a job that met the most crashes.
fn crashes(f: &Fleet, job: JobId) -> u32 {
    let of_job = f.crashes.under.iter().filter(|(task, _)| task.step.job == job);
    of_job.map(|(_, crashes)| *crashes).max().unwrap_or(0)
}

/// Returns for each job the largest number of wasted runs of one of its tasks; a gang counts as one task.
fn max_wasted_runs(f: &Fleet) -> BTreeMap<JobId, usize> {
    let mut by_task: BTreeMap<TaskKey, usize> = BTreeMap::new();
    for start in f.failures.starts.iter().filter(|s| s.is_wasted) {
        let index = if start.kind == Kind::Gang { 0 } else { start.task.index };
        *by_task.entry(TaskKey { index, ..start.task }).or_default() += 1;
    }
    let mut most: BTreeMap<JobId, usize> = BTreeMap::new();
    for (task, runs) in by_task {
        let known = most.entry(task.step.job).or_default();
        *known = runs.max(*known);
    }
    most
}

#[rstest]
fn tasks_that_last_are_at_work_again(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    drive(seed);
}

/// Runs the seeds that the environment names.
#[test]
fn tasks_that_last_are_at_work_again_with_more_seeds() {
    let requested = std::env::var("HEATHVALE_LASTING_SEEDS").unwrap_or_default();
    let range =
        requested.split_once('-').and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    if let Some((from, to)) = range {
        (from..=to).for_each(drive);
    }
}
