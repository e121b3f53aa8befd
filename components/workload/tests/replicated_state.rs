//! Tests of single rules of the replicated state machine.

mod common;

use std::sync::Arc;

use clock::Millis;
use common::{join, step, submit, task};
use rstest::rstest;
use workload::{
    Command, Document, End, EndKind, JobId, JobSpec, JobState, LossRecord, ReplicatedState,
    StepSpec, TaskKey, USUAL_SPEED, WorkerId,
};

fn started(name: &str, index: u32, run: u32) -> Command {
    Command::Started { worker: WorkerId::from(name), runs: vec![(task(index), run)] }
}

fn ended(name: &str, number: u64, index: u32, run: u32, kind: EndKind) -> Command {
    let end = End { number, task: task(index), run, kind, checkpoint: Arc::from("saved") };
    Command::Ended { worker: WorkerId::from(name), ends: vec![end], at: Millis(20) }
}

fn apply_all(commands: &[Command]) -> ReplicatedState {
    let mut replicated = ReplicatedState::default();
    commands.iter().for_each(|c| replicated.apply(c));
    replicated
}

fn used(replicated: &ReplicatedState, name: &str) -> u64 {
    replicated.worker(&WorkerId::from(name)).map_or(0, |w| w.used.cpu_milli)
}

fn state(replicated: &ReplicatedState) -> Option<JobState> {
    replicated.job(JobId(1)).map(|j| j.state)
}

#[rstest]
#[case::done(EndKind::Done, Some(JobState::Completed), 0)]
#[case::failed_once(EndKind::Failed, Some(JobState::Running), 1)]
#[case::stopped(EndKind::Stopped, Some(JobState::Running), 1)]
#[case::lapsed(EndKind::Lapsed, Some(JobState::Running), 1)]
fn an_end_frees_capacity_and_decides_what_comes_next(
    #[case] kind: EndKind,
    #[case] expected: Option<JobState>,
    #[case] open: usize,
) {
    let replicated = apply_all(&[
        submit(1, vec![step(1)]),
        join("w"),
        started("w", 0, 1),
        ended("w", 1, 0, 1, kind),
    ]);
    assert_eq!(used(&replicated, "w"), 0);
    assert_eq!(state(&replicated), expected);
    assert_eq!(replicated.open().len(), open);
}

/// The memory of the jobs is no part of a snapshot and must be the same on all instances, also after a restart.
#[test]
fn the_memory_of_the_jobs_follows_from_them_also_after_a_restart() {
    let mut replicated = apply_all(&[submit(1, vec![step(1)]), submit(2, vec![step(1_000)])]);
    let footprint = |r: &ReplicatedState, id| r.job(JobId(id)).map_or(0, |j| j.spec.footprint());
    let (small, large) = (footprint(&replicated, 1), footprint(&replicated, 2));
    assert!(small > 0 && large > 1_000 * size_of::<workload::TaskState>() as u64);
    assert_eq!(replicated.job_memory(), small + large);
    replicated.apply(&Command::Cancel { id: JobId(2), at: Millis(30) });
    replicated.apply(&Command::Forget { before: Millis(31) });
    assert_eq!(replicated.job_memory(), small);
    let encoded = replicated.encode().expect("a snapshot");
    let restored = ReplicatedState::decode(&encoded).expect("a valid snapshot");
    assert_eq!(restored.job_memory(), small);
}

/// The body of a job with many times is as small as that of a job with one.
#[rstest]
#[case::many_tasks(JobSpec { steps: vec![step(50_000)], ..JobSpec::default() })]
#[case::many_times(JobSpec { steps: vec![step(1)], rounds: 50_000, ..JobSpec::default() })]
#[case::more_than_can_be_counted(JobSpec { steps: vec![step(u32::MAX); 9], rounds: u32::MAX, ..JobSpec::default() })]
fn every_task_of_every_time_counts(#[case] spec: JobSpec) {
    let tasks: u64 = spec.steps.iter().map(|s| u64::from(s.count)).sum();
    let all = tasks.saturating_mul(u64::from(spec.round_count()));
    assert!(spec.footprint() >= all.saturating_mul(size_of::<workload::TaskState>() as u64));
}

#[test]
fn an_end_counts_once_however_often_it_is_reported() {
    let failed = ended("w", 1, 0, 1, EndKind::Failed);
    let replicated = apply_all(&[
        submit(1, vec![step(1)]),
        join("w"),
        started("w", 0, 1),
        failed.clone(),
        failed,
    ]);
    assert_eq!(replicated.task(&task(0)).map(|t| t.failed), Some(1));
    assert_eq!(state(&replicated), Some(JobState::Running));
}

#[test]
fn a_failed_run_counts_also_if_it_was_believed_lost() {
    let worker = WorkerId::from("w");
    let replicated = apply_all(&[
        submit(1, vec![step(1)]),
        join("w"),
        join("v"),
        started("w", 0, 1),
        Command::Lapsed { worker, saved: vec![] },
        started("v", 0, 2),
        ended("w", 1, 0, 1, EndKind::Failed),
        ended("v", 1, 0, 2, EndKind::Failed),
    ]);
    assert_eq!(state(&replicated), Some(JobState::Failed));
}

#[test]
fn a_lapsed_worker_frees_its_capacity_and_keeps_the_checkpoints() {
    let worker = WorkerId::from("w");
    let saved = vec![(task(0), Arc::from("progress"))];
    let replicated = apply_all(&[
        submit(1, vec![step(2)]),
        join("w"),
        started("w", 0, 1),
        started("w", 1, 1),
        Command::Lapsed { worker, saved },
    ]);
    assert_eq!(used(&replicated, "w"), 0);
    assert_eq!(
        replicated.task(&task(0)).map(|t| t.checkpoint.to_string()),
        Some("progress".into())
    );
    assert_eq!(replicated.step(&task(0).step).map(|s| s.waiting().count()), Some(2));
}

#[test]
fn a_cancelled_job_keeps_its_capacity_until_its_runs_have_ended_and_then_can_be_forgotten() {
    let mut replicated = apply_all(&[
        submit(1, vec![step(1)]),
        join("w"),
        started("w", 0, 1),
        Command::Cancel { id: JobId(1), at: Millis(30) },
        Command::Forget { before: Millis(1_000) },
    ]);
    assert_eq!((used(&replicated, "w"), state(&replicated)), (1_000, Some(JobState::Cancelled)));
    assert!(!replicated.is_wanted(&task(0), 1));
    replicated.apply(&ended("w", 1, 0, 1, EndKind::Stopped));
    replicated.apply(&Command::Forget { before: Millis(1_000) });
    assert_eq!((used(&replicated, "w"), state(&replicated)), (0, None));
}

#[test]
fn a_gang_is_done_once_one_member_is_done() {
    let gang = StepSpec { gang: true, ..step(3) };
    let runs = (0..3).map(|i| (task(i), 1)).collect();
    let replicated = apply_all(&[
        submit(1, vec![gang]),
        join("w"),
        Command::Started { worker: WorkerId::from("w"), runs },
        ended("w", 1, 1, 1, EndKind::Done),
    ]);
    assert_eq!(state(&replicated), Some(JobState::Completed));
    assert_eq!(
        used(&replicated, "w"),
        2_000,
        "the other members take capacity until their ends are reported"
    );
}

#[test]
fn a_gangs_failed_run_counts_once_for_all_members() {
    let gang = StepSpec { gang: true, ..step(2) };
    let runs = (0..2).map(|i| (task(i), 1)).collect();
    let replicated = apply_all(&[
        submit(1, vec![gang]),
        join("w"),
        Command::Started { worker: WorkerId::from("w"), runs },
        ended("w", 1, 0, 1, EndKind::Failed),
        ended("w", 2, 1, 1, EndKind::Failed),
    ]);
    assert_eq!(state(&replicated), Some(JobState::Running));
    assert_eq!(replicated.open().len(), 1);
}

#[test]
fn only_a_higher_version_changes_the_configuration() {
    let publish = |version, text: &str| Command::Configure(Document { version, text: text.into() });
    let replicated = apply_all(&[publish(4, "four"), publish(4, "other"), publish(2, "two")]);
    assert_eq!(replicated.document(), &Document { version: 4, text: "four".into() });
}

#[test]
fn the_state_is_restored_from_a_snapshot() {
    let replicated = apply_all(&[submit(1, vec![step(2)]), join("w"), started("w", 0, 1)]);
    assert_eq!(ReplicatedState::decode(&replicated.encode().unwrap()).unwrap(), replicated);
    assert!(ReplicatedState::decode(&[7; 9]).is_err());
}

#[test]
fn a_snapshot_holds_the_drained_zones() {
    let drain = |zone: &str, drained| Command::DrainZone { zone: zone.into(), drained };
    let replicated = apply_all(&[drain("a", true), drain("b", true), drain("a", false)]);
    assert_eq!(replicated.drained_zones().iter().map(|z| &**z).collect::<Vec<_>>(), ["b"]);
    assert_eq!(ReplicatedState::decode(&replicated.encode().unwrap()).unwrap(), replicated);
}

/// A member that restarts from a snapshot must know the speeds, and one that reads a snapshot written before they
/// existed must know none.
#[test]
fn a_snapshot_holds_the_speeds_of_machines() {
    let learned = |speeds: &[(&str, u32)]| {
        let speeds = speeds.iter().map(|(machine, speed)| ((*machine).into(), *speed)).collect();
        Command::SpeedsLearned { speeds }
    };
    let without = apply_all(&[submit(1, vec![step(2)]), join("w")]);
    let with = apply_all(&[
        submit(1, vec![step(2)]),
        join("w"),
        learned(&[("m1", 550), ("m2", 460)]),
        learned(&[("m1", USUAL_SPEED), ("m2", 480)]),
    ]);
    let speeds: Vec<(&str, u32)> = with.machine_speeds().iter().map(|(m, s)| (&**m, *s)).collect();
    assert_eq!(speeds, [("m2", 480)]);
    assert_eq!(ReplicatedState::decode(&with.encode().unwrap()).unwrap(), with);
    let decoded = ReplicatedState::decode(&without.encode().unwrap()).unwrap();
    assert!(decoded.machine_speeds().is_empty());
    assert!(with.encode().unwrap().starts_with(&without.encode().unwrap()));
}

/// Guards against lost runs that a new leader judges without the earlier ones of their task, and against snapshots of
/// earlier versions that no longer decode.
#[test]
fn lost_runs_and_the_times_of_orders_are_kept_over_a_snapshot() {
    let loss = |run, of_age| LossRecord { run, age: Some(Millis(70)), of_age, same_age: [380; 4] };
    let mut without = ReplicatedState::default();
    without.apply(&join("w0"));
    without.apply(&submit(1, vec![step(2)]));
    let mut with = without.clone();
    with.apply(&Command::OrderTime { at: Millis(5_000) });
    with.apply(&started("w0", 0, 1));
    with.apply(&Command::LossesRecorded { losses: vec![(task(0), loss(1, 120))] });
    with.apply(&Command::LossesRecorded { losses: vec![(task(0), loss(1, 90))] });
    let decoded = ReplicatedState::decode(&with.encode().unwrap()).unwrap();
    assert_eq!(decoded, with);
    assert_eq!(decoded.loss_records().of(&task(0)), [loss(1, 90)], "a run is recorded once");
    assert_eq!(decoded.loss_records().ordered_at(&task(0)), Some(Millis(5_000)));
    assert_eq!(decoded.uncounted_losses(&task(0)), 1);
    let decoded = ReplicatedState::decode(&without.encode().unwrap()).unwrap();
    assert!(decoded.loss_records().no_losses());
    with.apply(&ended("w0", 1, 0, 1, EndKind::Done));
    assert_eq!(with.loss_records().ordered_at(&task(0)), None, "the run has ended");
    assert!(with.loss_records().no_losses(), "a task that is done is cleared");
}

/// Guards against a member that read a snapshot and drops other ids than the others, and against snapshots of earlier versions
/// that no longer decode.
#[test]
fn withdrawn_ids_are_kept_over_a_snapshot_and_dropped_alike() {
    let mut without = ReplicatedState::default();
    without.apply(&submit(1, vec![step(2)]));
    let mut with = without.clone();
    [2, 3, 4, 2].into_iter().for_each(|n| with.apply(&Command::Withdraw { id: JobId(n) }));
    let mut restored = ReplicatedState::decode(&with.encode().unwrap()).unwrap();
    assert_eq!(restored, with);
    assert!(
        ReplicatedState::decode(&without.encode().unwrap())
            .unwrap()
            .withdrawals()
            .oldest()
            .is_none()
    );
    with.apply(&submit(3, vec![step(1)]));
    restored.apply(&submit(3, vec![step(1)]));
    for state in [&mut with, &mut restored] {
        state.apply(&Command::ForgetWithdrawn { up_to: 3 });
        let numbers = [2, 3, 4].map(|n| state.withdrawals().number(JobId(n)));
        assert_eq!(numbers, [Some(4), None, None], "the last withdrawal of an id counts");
        state.apply(&Command::ForgetWithdrawn { up_to: 4 });
    }
    // The numbers go on after a snapshot without any ids.
    let mut restored = ReplicatedState::decode(&with.encode().unwrap()).unwrap();
    for state in [&mut with, &mut restored] {
        state.apply(&Command::Withdraw { id: JobId(5) });
        assert_eq!(state.withdrawals().number(JobId(5)), Some(5));
    }
    assert_eq!(restored, with);
}

#[rstest]
#[case::no_steps(vec![], 0)]
#[case::count_of_zero(vec![step(0)], 0)]
#[case::far_too_many(vec![step(u32::MAX)], 0)]
#[case::far_too_often(vec![step(1_000)], 1_000_000)]
#[case::depends_on_itself(vec![StepSpec { depends_on: vec![0], ..step(1) }], 0)]
#[case::depends_on_later(vec![StepSpec { depends_on: vec![1], ..step(1) }, step(1)], 0)]
fn faulty_jobs_are_found(#[case] steps: Vec<StepSpec>, #[case] rounds: u32) {
    assert!(JobSpec { steps, rounds, ..JobSpec::default() }.check().is_err());
}

#[rstest]
#[case("00000000000000aa.0.1.17", true)]
#[case("00000000000000aa.0.1", false)]
#[case("00000000000000aa.0.1.17.3", false)]
#[case("aa.0.1.17", false)]
#[case("00000000000000ag.0.1.17", false)]
#[case("00000000000000aa.0.-1.17", false)]
fn tasks_are_read_as_they_are_written(#[case] text: &str, #[case] valid: bool) {
    let read = text.parse::<TaskKey>();
    assert_eq!(read.is_ok(), valid);
    if let Ok(key) = read {
        assert_eq!(key.to_string(), text);
    }
}
