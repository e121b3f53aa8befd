//! Tests of how worker crashes are attributed to tasks, and when a job is given up for them.

mod common;

use std::sync::Arc;

use clock::Millis;
use common::{join, step, submit, task};
use rstest::rstest;
use workload::{
    Command, CrashSuspects, End, EndKind, JobId, JobState, MAX_CRASHES, MAX_SHARED_CRASHES,
    MAX_TOTAL_CRASHES, ReplicatedState, StepSpec, TaskKey, WorkerId,
};

fn with_job(spec: StepSpec) -> ReplicatedState {
    let mut replicated = ReplicatedState::default();
    replicated.apply(&submit(1, vec![spec]));
    replicated
}

fn plain() -> StepSpec {
    step(4)
}

fn gang() -> StepSpec {
    StepSpec { gang: true, ..plain() }
}

fn start(replicated: &mut ReplicatedState, name: &str, runs: &[(TaskKey, u32)]) {
    replicated.apply(&join(name));
    replicated.apply(&Command::Started { worker: WorkerId::from(name), runs: runs.to_vec() });
}

fn primary(runs: &[(TaskKey, u32)]) -> CrashSuspects {
    CrashSuspects { primary: runs.to_vec(), primary_young: true, ..CrashSuspects::default() }
}

fn crashed(name: &str, crash_suspects: CrashSuspects) -> Command {
    let worker = WorkerId::from(name);
    Command::WorkerCrashed { worker, saved: Vec::new(), crash_suspects, at: Millis(20) }
}

fn lapsed(name: &str, crash_suspects: CrashSuspects) -> [Command; 2] {
    let worker = WorkerId::from(name);
    let lapsed = Command::Lapsed { worker: worker.clone(), saved: Vec::new() };
    [Command::CrashSuspected { worker, crash_suspects }, lapsed]
}

/// Starts a run of one task on a worker that then crashes.
fn crash(replicated: &mut ReplicatedState, name: &str, index: u32, run: u32) {
    let runs = [(task(index), run)];
    start(replicated, name, &runs);
    replicated.apply(&crashed(name, primary(&runs)));
}

fn state(replicated: &ReplicatedState) -> Option<JobState> {
    replicated.job(JobId(1)).map(|j| j.state)
}

#[test]
fn a_job_is_given_up_at_the_last_crash_and_not_before() {
    let mut replicated = with_job(plain());
    for run in 1..MAX_CRASHES {
        crash(&mut replicated, &format!("w{run}"), 0, u32::from(run));
        assert_eq!(state(&replicated), Some(JobState::Running));
    }
    crash(&mut replicated, "w", 0, u32::from(MAX_CRASHES));
    assert_eq!(state(&replicated), Some(JobState::Failed));
    assert!(replicated.crashes().gave_up(JobId(1)));
    assert!(replicated.open().is_empty(), "none of its tasks waits");
}

#[test]
fn each_task_is_counted_by_itself() {
    let mut replicated = with_job(plain());
    (0..4).for_each(|i| crash(&mut replicated, &format!("w{i}"), i, 1));
    assert_eq!(state(&replicated), Some(JobState::Running));
}

#[test]
fn a_crash_that_is_committed_twice_counts_once() {
    let mut replicated = with_job(plain());
    let runs = [(task(0), 1)];
    start(&mut replicated, "w", &runs);
    replicated.apply(&crashed("w", primary(&runs)));
    replicated.apply(&crashed("w", primary(&runs)));
    assert_eq!(replicated.crashes().crashes(&task(0)), 1);
}

#[test]
fn a_gang_counts_once_a_run_however_many_of_its_workers_crash() {
    let mut replicated = with_job(gang());
    for run in 1..=u32::from(MAX_CRASHES) {
        assert!(!state(&replicated).is_some_and(JobState::is_final), "run {run}");
        for index in 0..4 {
            start(&mut replicated, &format!("w{index}-{run}"), &[(task(index), run)]);
        }
        for index in 0..4 {
            replicated.apply(&crashed(&format!("w{index}-{run}"), primary(&[(task(index), run)])));
        }
    }
    assert_eq!(state(&replicated), Some(JobState::Failed));
}

#[test]
fn a_lapsed_run_counts_once_its_worker_is_known_to_have_crashed() {
    let mut replicated = with_job(plain());
    let runs = [(task(0), 1)];
    start(&mut replicated, "w", &runs);
    lapsed("w", primary(&runs)).iter().for_each(|c| replicated.apply(c));
    assert_eq!(replicated.crashes().crashes(&task(0)), 0);
    assert!(replicated.crashes().has_lapsed_runs(&WorkerId::from("w")));
    replicated.apply(&crashed("w", CrashSuspects::default()));
    assert_eq!(replicated.crashes().crashes(&task(0)), 1);
}

#[rstest]
#[case::is_in_contact_again(Command::WorkerSurvived { worker: WorkerId::from("w") })]
#[case::had_announced_that_it_leaves(Command::WorkerGone { worker: WorkerId::from("w"), saved: vec![] })]
fn a_lapsed_run_counts_for_nothing_if_its_worker(#[case] command: Command) {
    let mut replicated = with_job(plain());
    let runs = [(task(0), 1)];
    start(&mut replicated, "w", &runs);
    lapsed("w", primary(&runs)).iter().for_each(|c| replicated.apply(c));
    replicated.apply(&command);
    assert!(replicated.crashes().is_empty());
}

#[test]
fn as_many_lapses_as_give_a_task_up_make_it_wait() {
    let mut replicated = with_job(plain());
    for run in 1..=u32::from(MAX_CRASHES) {
        assert!(!replicated.crashes().must_wait(&task(0)), "run {run}");
        let (name, runs) = (format!("w{run}"), [(task(0), run)]);
        start(&mut replicated, &name, &runs);
        let crash_suspects = CrashSuspects { silent_alone: true, ..primary(&runs) };
        lapsed(&name, crash_suspects).iter().for_each(|c| replicated.apply(c));
    }
    assert!(replicated.crashes().must_wait(&task(0)));
    replicated.apply(&Command::WorkerSurvived { worker: WorkerId::from("w1") });
    assert!(!replicated.crashes().must_wait(&task(0)));
}

/// A run that was healthy for a while beside young runs is given up only at the overall limit, but it is given up:
/// otherwise a task that crashes its workers late would never be given up, as younger runs are always suspected first.
#[test]
fn a_run_that_was_healthy_beside_young_ones_is_given_up_last() {
    let mut replicated = with_job(plain());
    for run in 1..=u32::from(MAX_TOTAL_CRASHES) {
        assert!(!state(&replicated).is_some_and(JobState::is_final), "run {run}");
        let (name, runs) = (format!("w{run}"), [(task(0), run)]);
        start(&mut replicated, &name, &runs);
        let crash_suspects = CrashSuspects {
            secondary: runs.to_vec(),
            primary_young: true,
            ..CrashSuspects::default()
        };
        replicated.apply(&crashed(&name, crash_suspects));
    }
    assert_eq!(state(&replicated), Some(JobState::Failed));
}

#[test]
fn a_task_that_is_done_or_has_run_for_long_is_cleared() {
    let mut replicated = with_job(plain());
    crash(&mut replicated, "w1", 0, 1);
    crash(&mut replicated, "w2", 1, 1);
    start(&mut replicated, "w3", &[(task(0), 2)]);
    let (kind, checkpoint) = (EndKind::Done, Arc::from(""));
    let end = End { number: 1, task: task(0), run: 2, kind, checkpoint };
    replicated.apply(&Command::Ended {
        worker: WorkerId::from("w3"),
        ends: vec![end],
        at: Millis(30),
    });
    replicated.apply(&Command::SuspectsCleared { tasks: vec![task(1)] });
    assert!(replicated.crashes().is_empty());
}

#[test]
fn the_counts_survive_a_snapshot() {
    let mut replicated = with_job(plain());
    crash(&mut replicated, "w1", 0, 1);
    let runs = [(task(1), 1)];
    start(&mut replicated, "w2", &runs);
    lapsed("w2", primary(&runs)).iter().for_each(|c| replicated.apply(c));
    assert_eq!(ReplicatedState::decode(&replicated.encode().unwrap()).unwrap(), replicated);
}

/// A snapshot written before crashes were counted ends where the crash ledger now begins.
#[test]
fn a_snapshot_without_counts_is_read() {
    let mut replicated = with_job(plain());
    let without = replicated.encode().unwrap();
    let empty_ledger = 2;
    let old = &without[..without.len() - empty_ledger];
    assert_eq!(ReplicatedState::decode(old).unwrap(), replicated);
    crash(&mut replicated, "w1", 0, 1);
    assert!(replicated.encode().unwrap().len() > without.len());
}

#[test]
fn the_counts_of_forgotten_jobs_are_forgotten() {
    let mut replicated = with_job(plain());
    crash(&mut replicated, "w1", 0, 1);
    replicated.apply(&Command::Cancel { id: JobId(1), at: Millis(40) });
    replicated.apply(&Command::Forget { before: Millis(1_000) });
    assert!(replicated.crashes().is_empty());
}

/// Guards against giving up a healthy job in a small cell whose workers crash one after the other. In this log the job
/// met three crashes, each time beside three other young runs, one of which was faulty.
///
///     WARN E958 run_lost 800003e800000057.0.0.0 run=3 worker=i-3-2 why="another life answered" age_ms=622 stage=confirmed beside=3
///     INFO E933 job_over 800003e800000057 state=Failed queue=q took_ms=2608 why="its workers crashed"
#[test]
fn crashes_beside_other_young_runs_give_a_job_up_one_crash_later() {
    let mut replicated = with_job(plain());
    for run in 1..=u32::from(MAX_CRASHES) {
        crash_together(&mut replicated, &[(task(0), run), (task(1), run)]);
        assert_eq!(state(&replicated), Some(JobState::Running), "run {run}");
    }
    crash_together(&mut replicated, &[(task(0), 9), (task(2), 9)]);
    assert_eq!(state(&replicated), Some(JobState::Failed));
    assert_eq!(replicated.crashes().crashes(&task(0)), MAX_SHARED_CRASHES);
}

#[test]
fn a_crash_without_other_suspects_after_shared_ones_gives_the_job_up_immediately() {
    let mut replicated = with_job(plain());
    for run in 1..=u32::from(MAX_CRASHES) {
        crash_together(&mut replicated, &[(task(0), run), (task(1), run)]);
    }
    crash_together(&mut replicated, &[(task(1), 9)]);
    assert_eq!(state(&replicated), Some(JobState::Failed));
}

/// Starts runs of several tasks on a worker that then crashes.
fn crash_together(replicated: &mut ReplicatedState, runs: &[(TaskKey, u32)]) {
    start(replicated, "w", runs);
    replicated.apply(&crashed("w", primary(runs)));
}

#[rstest]
#[case::by_itself(true, Some(JobState::Failed))]
#[case::with_others(false, Some(JobState::Running))]
fn workers_that_are_lost_give_a_job_up_if_each_lost_contact_alone(
    #[case] silent_alone: bool,
    #[case] expected: Option<JobState>,
) {
    let mut replicated = with_job(plain());
    for run in 1..=u32::from(MAX_CRASHES) {
        let (name, runs) = (format!("w{run}"), [(task(0), run)]);
        start(&mut replicated, &name, &runs);
        let crash_suspects = CrashSuspects { silent_alone, ..primary(&runs) };
        lapsed(&name, crash_suspects).iter().for_each(|c| replicated.apply(c));
        let worker = WorkerId::from(name.as_str());
        replicated.apply(&Command::WorkerLost { worker, at: Millis(50) });
    }
    assert_eq!(state(&replicated), expected);
}
