//! Workers are lost at related times, and jobs that are well or at fault among them.

mod common;

use clock::Millis;
use common::fleet::crash::Fault;
use common::fleet::{Fleet, Kind, STEP};
use common::setups::fleet_allowing_all;
use common::{step, task};
use model::Size;
use rstest::rstest;
use workload::{JobId, JobState, MAX_TOTAL_CRASHES, StepSpec, WorkerId};

fn fleet(workers: usize, down_for: Millis) -> Fleet {
    let mut f = fleet_allowing_all(1, "w", workers, Size::new(16_000, 32_000, 0));
    f.crashes.down_for = down_for;
    f
}

fn long(count: u32) -> StepSpec {
    StepSpec { estimate: Millis(600_000), ..step(count) }
}

fn submit(f: &mut Fleet, jobs: usize, spec: &StepSpec) -> Vec<JobId> {
    (0..jobs).map(|_| f.submit_job(Kind::Batch, "bulk", vec![spec.clone()])).collect()
}

fn usable(f: &Fleet) -> Vec<WorkerId> {
    f.workers(|h| h.is_usable())
}

/// Crashes all usable workers in the order of their names.
fn crash_all(f: &mut Fleet, gap: Millis) {
    for id in usable(f) {
        f.crash(&id);
        f.advance(gap);
    }
}

fn state(f: &Fleet, job: JobId) -> Option<JobState> {
    f.harness.committed.job(job).map(|j| j.state)
}

fn assert_none_failed(f: &Fleet, jobs: &[JobId]) {
    let failed: Vec<_> = jobs.iter().filter(|j| state(f, **j) == Some(JobState::Failed)).collect();
    let trace = failed.first().map(|j| f.trace(**j)).unwrap_or_default();
    assert!(failed.is_empty(), "{} of {} failed\n{trace}", failed.len(), jobs.len());
}

/// Guards against healthy jobs that are given up because all workers are lost at once at regular intervals: the runs
/// are lost at the same age each time, and that must not hide the other losses.
#[rstest]
fn no_job_that_is_well_is_given_up_as_all_workers_restart_at_regular_intervals(
    #[values(Millis(2_500), Millis(4_000))] interval: Millis,
) {
    let mut f = fleet(24, Millis(400));
    let jobs = submit(&mut f, 12, &long(2));
    f.advance(Millis(3_000));
    for _ in 0..7 {
        crash_all(&mut f, Millis::ZERO);
        f.advance(interval);
    }
    f.advance(Millis(6_000));
    assert_none_failed(&f, &jobs);
}

/// Guards against healthy jobs that are given up because the lost workers stay down for longer than the leases of their
/// runs.
#[rstest]
fn no_job_that_is_well_is_given_up_as_workers_are_down_for_longer_than_a_lease(
    #[values(Millis(400), Millis(9_000))] down_for: Millis,
    #[values(Millis(40), Millis(60))] gap: Millis,
) {
    let mut f = fleet(48, down_for);
    let jobs = submit(&mut f, 8, &long(1));
    f.advance(Millis(5_000));
    for pause in [13_000, 14_700, 12_400, 15_900, 13_600].map(Millis) {
        crash_all(&mut f, gap);
        f.advance(pause);
    }
    assert_none_failed(&f, &jobs);
}

/// Guards against a faulty gang that is excused because another of its members crashes its worker each time.
#[rstest]
fn a_gang_at_fault_is_given_up_although_its_members_take_turns(
    #[values(Millis(30), Millis(90), Millis(200))] gap: Millis,
) {
    let mut f = fleet(48, Millis(400));
    let job = submit(&mut f, 1, &StepSpec { gang: true, max_per_worker: 1, ..long(4) })[0];
    let until = f.harness.now + Millis(60_000);
    let mut next = f.harness.now;
    while f.harness.now < until && state(&f, job) != Some(JobState::Failed) {
        let at_fault = f.crashes.by_job(job) % 4;
        for index in 0..4 {
            let after = if index == at_fault { Millis(1_000) } else { Millis(1_000_000) };
            f.make_faulty(task(job.0, 0, index), Fault::After(after));
        }
        if f.harness.now >= next {
            let idle = f.workers(|h| h.is_usable() && h.fake.running.is_empty());
            let id = idle.into_iter().min_by_key(|id| (id.0.len(), id.clone()));
            f.crash(&id.expect("a worker runs nothing"));
            next = f.harness.now + gap;
        }
        f.advance(STEP);
    }
    let (crashes, trace) = (f.crashes.by_job(job), f.trace(job));
    assert!(crashes <= u32::from(MAX_TOTAL_CRASHES), "took down {crashes} workers\n{trace}");
    assert_eq!(state(&f, job), Some(JobState::Failed), "after {crashes} crashes\n{trace}");
}
