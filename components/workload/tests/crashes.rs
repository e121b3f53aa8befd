//! What the log holds against tasks under which workers have crashed.

mod common;

use std::sync::Arc;

use clock::Millis;
use common::{join, step, submit, task};
use rstest::rstest;
use workload::{
    Command, CrashSuspects, End, EndKind, JobId, JobState, MAX_CRASHES, MAX_SHARED_CRASHES,
    MAX_TOTAL_CRASHES, ReplicatedState, StepSpec, TaskKey, WorkerId,
};

fn replicated(spec: StepSpec) -> ReplicatedState {
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

fn under(runs: &[(TaskKey, u32)]) -> CrashSuspects {
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

/// Lets a task run on a worker that crashes.
fn crash(replicated: &mut ReplicatedState, name: &str, index: u32, run: u32) {
    let runs = [(task(index), run)];
    start(replicated, name, &runs);
    replicated.apply(&crashed(name, under(&runs)));
}

fn state(replicated: &ReplicatedState) -> Option<JobState> {
    replicated.job(JobId(1)).map(|j| j.state)
}

#[test]
fn a_job_is_given_up_at_the_last_crash_and_not_before() {
    let mut b = replicated(plain());
    for run in 1..MAX_CRASHES {
        crash(&mut b, &format!("w{run}"), 0, u32::from(run));
        assert_eq!(state(&b), Some(JobState::Running));
    }
    crash(&mut b, "w", 0, u32::from(MAX_CRASHES));
    assert_eq!(state(&b), Some(JobState::Failed));
    assert!(b.crashes().gave_up(JobId(1)));
    assert!(b.open().is_empty(), "nothing of it waits");
}

#[test]
fn each_task_is_counted_by_itself() {
    let mut b = replicated(plain());
    (0..4).for_each(|i| crash(&mut b, &format!("w{i}"), i, 1));
    assert_eq!(state(&b), Some(JobState::Running));
}

#[test]
fn a_command_that_comes_twice_counts_once() {
    let mut b = replicated(plain());
    let runs = [(task(0), 1)];
    start(&mut b, "w", &runs);
    b.apply(&crashed("w", under(&runs)));
    b.apply(&crashed("w", under(&runs)));
    assert_eq!(b.crashes().crashes(&task(0)), 1);
}

#[test]
fn a_gang_counts_once_a_run_however_many_of_its_workers_crash() {
    let mut b = replicated(gang());
    for run in 1..=u32::from(MAX_CRASHES) {
        assert!(!state(&b).is_some_and(JobState::is_final), "run {run}");
        for index in 0..4 {
            start(&mut b, &format!("w{index}-{run}"), &[(task(index), run)]);
        }
        for index in 0..4 {
            b.apply(&crashed(&format!("w{index}-{run}"), under(&[(task(index), run)])));
        }
    }
    assert_eq!(state(&b), Some(JobState::Failed));
}

#[test]
fn a_lapsed_run_counts_once_its_worker_is_known_to_have_crashed() {
    let mut b = replicated(plain());
    let runs = [(task(0), 1)];
    start(&mut b, "w", &runs);
    lapsed("w", under(&runs)).iter().for_each(|c| b.apply(c));
    assert_eq!(b.crashes().crashes(&task(0)), 0);
    assert!(b.crashes().has_lapsed_runs(&WorkerId::from("w")));
    b.apply(&crashed("w", CrashSuspects::default()));
    assert_eq!(b.crashes().crashes(&task(0)), 1);
}

#[rstest]
#[case::heard_of_again(Command::WorkerSurvived { worker: WorkerId::from("w") })]
#[case::had_said_that_it_leaves(Command::WorkerGone { worker: WorkerId::from("w"), saved: vec![] })]
fn a_lapsed_run_counts_for_nothing_if_its_worker(#[case] command: Command) {
    let mut b = replicated(plain());
    let runs = [(task(0), 1)];
    start(&mut b, "w", &runs);
    lapsed("w", under(&runs)).iter().for_each(|c| b.apply(c));
    b.apply(&command);
    assert!(b.crashes().is_empty());
}

#[test]
fn as_many_lapses_as_give_a_task_up_make_it_wait() {
    let mut b = replicated(plain());
    for run in 1..=u32::from(MAX_CRASHES) {
        assert!(!b.crashes().must_wait(&task(0)), "run {run}");
        let (name, runs) = (format!("w{run}"), [(task(0), run)]);
        start(&mut b, &name, &runs);
        let crash_suspects = CrashSuspects { silent_alone: true, ..under(&runs) };
        lapsed(&name, crash_suspects).iter().for_each(|c| b.apply(c));
    }
    assert!(b.crashes().must_wait(&task(0)));
    b.apply(&Command::WorkerSurvived { worker: WorkerId::from("w1") });
    assert!(!b.crashes().must_wait(&task(0)));
}

/// It is the last to be given up, but it is: else one that ends its workers late would always have younger
/// neighbours to blame.
#[test]
fn what_had_been_well_beside_young_runs_is_given_up_last() {
    let mut b = replicated(plain());
    for run in 1..=u32::from(MAX_TOTAL_CRASHES) {
        assert!(!state(&b).is_some_and(JobState::is_final), "run {run}");
        let (name, runs) = (format!("w{run}"), [(task(0), run)]);
        start(&mut b, &name, &runs);
        let crash_suspects = CrashSuspects {
            secondary: runs.to_vec(),
            primary_young: true,
            ..CrashSuspects::default()
        };
        b.apply(&crashed(&name, crash_suspects));
    }
    assert_eq!(state(&b), Some(JobState::Failed));
}

#[test]
fn a_task_that_is_done_or_has_run_for_long_is_cleared() {
    let mut b = replicated(plain());
    crash(&mut b, "w1", 0, 1);
    crash(&mut b, "w2", 1, 1);
    start(&mut b, "w3", &[(task(0), 2)]);
    let (kind, checkpoint) = (EndKind::Done, Arc::from(""));
    let end = End { number: 1, task: task(0), run: 2, kind, checkpoint };
    b.apply(&Command::Ended { worker: WorkerId::from("w3"), ends: vec![end], at: Millis(30) });
    b.apply(&Command::SuspectsCleared { tasks: vec![task(1)] });
    assert!(b.crashes().is_empty());
}

#[test]
fn the_counts_survive_a_snapshot() {
    let mut b = replicated(plain());
    crash(&mut b, "w1", 0, 1);
    let runs = [(task(1), 1)];
    start(&mut b, "w2", &runs);
    lapsed("w2", under(&runs)).iter().for_each(|c| b.apply(c));
    assert_eq!(ReplicatedState::decode(&b.encode().unwrap()).unwrap(), b);
}

/// A snapshot from before crashes were counted ends where the counts begin now.
#[test]
fn a_snapshot_without_counts_is_read() {
    let mut b = replicated(plain());
    let without = b.encode().unwrap();
    let empty_ledger = 2;
    let old = &without[..without.len() - empty_ledger];
    assert_eq!(ReplicatedState::decode(old).unwrap(), b);
    crash(&mut b, "w1", 0, 1);
    assert!(b.encode().unwrap().len() > without.len());
}

#[test]
fn the_counts_of_forgotten_jobs_are_forgotten() {
    let mut b = replicated(plain());
    crash(&mut b, "w1", 0, 1);
    b.apply(&Command::Cancel { id: JobId(1), at: Millis(40) });
    b.apply(&Command::Forget { before: Millis(1_000) });
    assert!(b.crashes().is_empty());
}

/// A small cell whose workers crashed one after the other gave up a job that was well: it met three crashes, each time
/// beside three other young runs, one of which was at fault.
///
///     WARN E958 run_lost 800003e800000057.0.0.0 run=3 worker=i-3-2 why="another life answered" age_ms=622 stage=confirmed beside=3
///     INFO E933 job_over 800003e800000057 state=Failed queue=q took_ms=2608 why="its workers crashed"
#[test]
fn a_crash_in_company_gives_a_job_up_one_later() {
    let mut b = replicated(plain());
    for run in 1..=u32::from(MAX_CRASHES) {
        crash_with(&mut b, &[(task(0), run), (task(1), run)]);
        assert_eq!(state(&b), Some(JobState::Running), "run {run}");
    }
    crash_with(&mut b, &[(task(0), 9), (task(2), 9)]);
    assert_eq!(state(&b), Some(JobState::Failed));
    assert_eq!(b.crashes().crashes(&task(0)), MAX_SHARED_CRASHES);
}

#[test]
fn a_crash_alone_after_some_in_company_gives_it_up_at_once() {
    let mut b = replicated(plain());
    for run in 1..=u32::from(MAX_CRASHES) {
        crash_with(&mut b, &[(task(0), run), (task(1), run)]);
    }
    crash_with(&mut b, &[(task(1), 9)]);
    assert_eq!(state(&b), Some(JobState::Failed));
}

/// Lets tasks run on a worker that crashes.
fn crash_with(replicated: &mut ReplicatedState, runs: &[(TaskKey, u32)]) {
    start(replicated, "w", runs);
    replicated.apply(&crashed("w", under(runs)));
}

#[rstest]
#[case::by_itself(true, Some(JobState::Failed))]
#[case::with_others(false, Some(JobState::Running))]
fn workers_that_fall_silent_for_good_give_a_job_up_if_each_did_so(
    #[case] silent_alone: bool,
    #[case] wanted: Option<JobState>,
) {
    let mut b = replicated(plain());
    for run in 1..=u32::from(MAX_CRASHES) {
        let (name, runs) = (format!("w{run}"), [(task(0), run)]);
        start(&mut b, &name, &runs);
        let crash_suspects = CrashSuspects { silent_alone, ..under(&runs) };
        lapsed(&name, crash_suspects).iter().for_each(|c| b.apply(c));
        let worker = WorkerId::from(name.as_str());
        b.apply(&Command::WorkerLost { worker, at: Millis(50) });
    }
    assert_eq!(state(&b), wanted);
}
