//! Tests of the allocator's individual rules.

use std::collections::BTreeMap;

use cell::{Command, Job, JobState, Share, TaskEnd, TaskOutcome};
use clock::Millis;
use model::{Epoch, JobKind, JobSpec, Name, Profile, Size, TaskId};
use upstream::{
    EndedTask, ListedWorker, RunningTask, SyncReply, SyncRequest, TaskEnding, WorkerReport,
    WorkerState,
};
use zone::{Action, Allocator, AllocatorConfig, AllocatorEvent, Authority};

const TOTAL: Size = Size { cpu_milli: 4_000, memory_mb: 8_000, accelerators: 0 };

fn allocator(workers: usize) -> Allocator {
    let cfg = AllocatorConfig {
        zone: "za".into(),
        epoch: Epoch(10),
        worker_lease: Millis(3_000),
        profile: Profile::Packing,
        quotas: BTreeMap::new(),
    };
    let mut a = Allocator::new(Millis(0), cfg);
    let listed = |i: usize| ListedWorker {
        name: format!("w{i}").as_str().into(),
        zone: "za".into(),
        rack: "r".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        size: TOTAL,
        state: WorkerState::Live,
    };
    a.set_workers(Millis(0), &(0..workers).map(listed).collect::<Vec<_>>());
    a
}

fn job(name: &str, version: u64, tasks: u32, cpu: u64) -> Job {
    Job {
        spec: JobSpec {
            run_time: Millis(1_000),
            ..JobSpec::new(name, "t", JobKind::Batch, tasks, Size::new(cpu, 100, 0))
        },
        version,
        created: Millis::ZERO,
        shares: vec![Share { zone: "za".into(), first: 0, count: tasks }],
        state: JobState::Active,
        done: Default::default(),
        failed: Default::default(),
        claimed: Default::default(),
    }
}

fn running(job: &str, index: u32, generation: u64) -> RunningTask {
    RunningTask { task: TaskId { job: job.into(), index }, generation }
}

fn report(tasks: &[RunningTask], taken: u64) -> WorkerReport {
    WorkerReport {
        boot: 1,
        now: Millis(500),
        total: TOTAL,
        leaving: false,
        running: tasks.to_vec(),
        taken: Size::new(taken, 0, 0),
        ended: Vec::new(),
        used: Size::ZERO,
    }
}

/// Returns the worker calls among `actions`, by worker.
fn calls_in(actions: Vec<Action>) -> BTreeMap<Name, SyncRequest> {
    let call = |action| match action {
        Action::Sync { worker, req, .. } => Some((worker, req)),
        _ => None,
    };
    actions.into_iter().filter_map(call).collect()
}

/// Ticks the allocator and returns the calls that it makes.
fn calls(a: &mut Allocator, now: u64, right: Authority) -> BTreeMap<Name, SyncRequest> {
    calls_in(a.tick(Millis(now), right))
}

/// Answers a worker's call with a report.
fn answer(
    a: &mut Allocator,
    now: u64,
    calls: &BTreeMap<Name, SyncRequest>,
    w: &str,
    r: WorkerReport,
) {
    let seq = calls[w].seq;
    a.on_reply(Millis(now), &w.into(), seq, Ok(SyncReply::Done(r)));
}

fn started(calls: &BTreeMap<Name, SyncRequest>) -> usize {
    calls.values().map(|c| c.start.len()).sum()
}

#[test]
fn nothing_starts_on_a_worker_before_its_report() {
    let mut a = allocator(1);
    a.apply_job(Millis(0), &job("new", 20, 1, 1_000));
    let first = calls(&mut a, 1, Authority::Full);
    assert_eq!((first["w0"].boot, first["w0"].lease, started(&first)), (0, None, 0));
    answer(&mut a, 2, &first, "w0", report(&[], 0));
    let second = calls(&mut a, 3, Authority::Full);
    assert_eq!((second["w0"].boot, started(&second)), (1, 1));
}

#[test]
fn foreign_tasks_count_as_taken_until_they_have_stopped() {
    let mut a = allocator(1);
    let first = calls(&mut a, 1, Authority::Full);
    answer(&mut a, 2, &first, "w0", report(&[running("gone", 0, 3)], 3_000));
    a.apply_job(Millis(3), &job("new", 20, 1, 2_000));
    let second = calls(&mut a, 4, Authority::Full);
    assert_eq!(second["w0"].stop.len(), 1, "the foreign task is stopped");
    assert_eq!(started(&second), 0, "its capacity is still allocated");
    answer(&mut a, 5, &second, "w0", report(&[], 0));
    assert_eq!(started(&calls(&mut a, 6, Authority::Full)), 1);
}

#[test]
fn a_newer_epoch_at_a_worker_ends_the_allocator() {
    let mut a = allocator(2);
    a.apply_job(Millis(0), &job("new", 20, 1, 1_000));
    let first = calls(&mut a, 1, Authority::Full);
    let refused = SyncReply::Refused { epoch: Epoch(11), seq: 1 };
    a.on_reply(Millis(2), &"w0".into(), first["w0"].seq, Ok(refused));
    answer(&mut a, 2, &first, "w1", report(&[], 0));
    assert!(a.is_deposed());
    let notes = a.tick(Millis(3), Authority::Full);
    assert!(
        matches!(notes[..], [Action::Event(AllocatorEvent::EpochOutdated { .. }), ..]),
        "{notes:?}"
    );
    assert!(a.tick(Millis(5_000), Authority::Full).is_empty());
}

/// Checks what an allocator with one responsive worker starts under each authority, given a movable job and one that may
/// not move.
macro_rules! rights {
    ($($name:ident: $right:ident => $starts:expr, movable $movable:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut a = allocator(1);
            let first = calls(&mut a, 1, Authority::Full);
            answer(&mut a, 2, &first, "w0", report(&[], 0));
            a.apply_job(Millis(3), &job("moves", 20, 1, 500));
            let mut fixed = job("stays", 21, 1, 500);
            fixed.spec.may_move = false;
            a.apply_job(Millis(3), &fixed);
            let next = calls(&mut a, 2_000, Authority::$right);
            let names: Vec<&str> =
                next["w0"].start.iter().map(|s| s.task.job.as_str()).collect();
            assert_eq!(names, $starts as &[&str]);
            let lease = next["w0"].lease.unwrap();
            assert_eq!(lease.movable_until > Millis::ZERO, $movable);
            assert!(lease.fixed_until > Millis::ZERO, "tasks that may not move keep their lease");
        }
    )*};
}

rights! {
    a_confirmed_allocator_starts_everything: Full => &["moves", "stays"], movable true;
    a_cut_off_allocator_with_pledges_starts_fixed_tasks: ZoneOnly => &["stays"], movable false;
    a_cut_off_allocator_without_starts_nothing: RenewOnly => &[], movable false;
}

#[test]
fn tasks_of_an_earlier_epoch_wait_for_every_worker_s_report() {
    let mut a = allocator(2);
    a.apply_job(Millis(0), &job("old", 5, 2, 1_000));
    let first = calls(&mut a, 1, Authority::Full);
    answer(&mut a, 2, &first, "w0", report(&[running("old", 0, 5)], 1_000));
    assert_eq!(a.task_counts(), (1, 0, 1), "one is adopted, one is unaccounted for");
    let second = calls(&mut a, 3, Authority::Full);
    assert_eq!(started(&second), 0);
    answer(&mut a, 4, &second, "w0", report(&[running("old", 0, 5)], 1_000));
    assert_eq!(started(&calls(&mut a, 5, Authority::Full)), 0);
    answer(&mut a, 6, &first, "w1", report(&[], 0));
    assert_eq!(started(&calls(&mut a, 7, Authority::Full)), 1);
}

/// If a worker never reports, movable tasks of an earlier epoch start once its leases have certainly expired. Tasks that
/// may not move keep waiting.
#[test]
fn unaccounted_tasks_start_after_all_leases_only_if_they_may_move() {
    let mut a = allocator(2);
    a.apply_job(Millis(0), &job("moves", 5, 1, 1_000));
    let mut fixed = job("stays", 6, 1, 1_000);
    fixed.spec.may_move = false;
    a.apply_job(Millis(0), &fixed);
    let mut starts = Vec::new();
    for now in (1..10_000u64).step_by(100) {
        let made = calls(&mut a, now, Authority::Full);
        if made.contains_key("w0") {
            for s in &made["w0"].start {
                starts.push((now, s.task.job.to_string()));
            }
            let tasks: Vec<RunningTask> = starts.iter().map(|_| running("moves", 0, 5)).collect();
            answer(&mut a, now, &made, "w0", report(&tasks, 1_000 * tasks.len() as u64));
        }
        if let Some(call) = made.get("w1") {
            let lost = errors::Error::Refused("no answer".into());
            a.on_reply(Millis(now), &"w1".into(), call.seq, Err(lost));
        }
    }
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert!(starts[0].0 > 3_150 && starts[0].1 == "moves", "{starts:?}");
}

#[test]
fn a_done_task_is_forgotten_by_its_worker_only_once_that_is_lasting() {
    let mut a = allocator(1);
    a.apply_job(Millis(0), &job("j", 20, 1, 1_000));
    let first = calls(&mut a, 1, Authority::Full);
    answer(&mut a, 2, &first, "w0", report(&[], 0));
    let second = calls(&mut a, 3, Authority::Full);
    let ended =
        EndedTask { task: running("j", 0, 20), ending: TaskEnding::Done, ran: Millis(1_000) };
    let done = WorkerReport { ended: vec![ended], ..report(&[], 0) };
    answer(&mut a, 1_100, &second, "w0", done.clone());
    let (mut proposed, mut third) = (None, BTreeMap::new());
    for action in a.tick(Millis(1_101), Authority::Full) {
        match action {
            Action::Propose(Command::EndTasks { ended, .. }) => proposed = Some(ended),
            Action::Sync { worker, req, .. } => {
                third.insert(worker, req);
            }
            _ => {}
        }
    }
    let end = TaskEnd { task: running("j", 0, 20).task, outcome: TaskOutcome::Done };
    assert_eq!(proposed, Some(vec![end.clone()]));
    assert!(third["w0"].forget.is_empty());
    a.on_tasks_ended(&[end]);
    answer(&mut a, 2_201, &third, "w0", done);
    assert_eq!(calls(&mut a, 2_202, Authority::Full)["w0"].forget.len(), 1);
}

/// Reports a failure of every task that the call starts, and returns their number.
fn fail_all(a: &mut Allocator, now: u64, made: &BTreeMap<Name, SyncRequest>, w: &str) -> usize {
    let Some(call) = made.get(w) else { return 0 };
    let failed = |s: &upstream::StartTask| EndedTask {
        task: RunningTask { task: s.task.clone(), generation: s.generation },
        ending: TaskEnding::Failed("broken".into()),
        ran: Millis(1),
    };
    let ended: Vec<EndedTask> = call.start.iter().map(failed).collect();
    let n = ended.len();
    answer(a, now, made, w, WorkerReport { ended, ..report(&[], 0) });
    n
}

#[test]
fn a_worker_that_fails_every_task_is_set_aside_and_blames_no_job() {
    let mut a = allocator(1);
    for i in 0..5 {
        a.apply_job(Millis(0), &job(&format!("j{i}"), 20 + i, 1, 4_000));
    }
    let first = calls(&mut a, 1, Authority::Full);
    answer(&mut a, 2, &first, "w0", report(&[], 0));
    let mut failures = 0;
    let mut quarantined = false;
    for now in (10..9_000u64).step_by(20) {
        let actions = a.tick(Millis(now), Authority::Full);
        quarantined |= actions
            .iter()
            .any(|x| matches!(x, Action::Event(AllocatorEvent::WorkerQuarantined { .. })));
        let ends = actions.iter().any(|x| matches!(x, Action::Propose(Command::EndTasks { .. })));
        assert!(!ends, "no job fails because of a single worker");
        let made = calls_in(actions);
        failures += fail_all(&mut a, now, &made, "w0");
    }
    assert!(quarantined);
    assert_eq!(failures, 3, "three jobs failing in a row quarantine the worker");
}

#[test]
fn a_job_that_fails_everywhere_is_told_so() {
    check_reported_as_failed(&["w0", "w1", "w2", "w3"]);
}

#[test]
fn a_job_that_fails_is_told_so_in_a_zone_of_two_workers() {
    check_reported_as_failed(&["w0", "w1"]);
}

fn check_reported_as_failed(workers: &[&str]) {
    let mut a = allocator(workers.len());
    a.apply_job(Millis(0), &job("bad", 20, 1, 1_000));
    let first = calls(&mut a, 1, Authority::Full);
    for w in workers {
        answer(&mut a, 2, &first, w, report(&[], 0));
    }
    for now in (10..5_000u64).step_by(20) {
        let actions = a.tick(Millis(now), Authority::Full);
        for action in &actions {
            if let Action::Propose(Command::EndTasks { ended, .. }) = action {
                let TaskOutcome::Failed(reason) = &ended[0].outcome else { panic!("{ended:?}") };
                assert!(reason.contains("failed on several workers"), "{reason}");
                return;
            }
        }
        let made = calls_in(actions);
        for w in workers {
            fail_all(&mut a, now, &made, w);
        }
    }
    panic!("the job was not reported as failed");
}

#[test]
fn a_wave_of_ten_thousand_cancelled_tasks_starts_none() {
    let mut a = allocator(1);
    for i in 0..10 {
        a.apply_job(Millis(0), &job(&format!("j{i}"), 20 + i, 1_000, 1_000));
    }
    let first = calls(&mut a, 1, Authority::Full);
    for i in 0..10 {
        a.remove_job(Millis(2), &format!("j{i}").as_str().into());
    }
    answer(&mut a, 3, &first, "w0", report(&[], 0));
    for now in (4..2_000u64).step_by(20) {
        let made = calls(&mut a, now, Authority::Full);
        assert_eq!(started(&made), 0);
        if made.contains_key("w0") {
            answer(&mut a, now, &made, "w0", report(&[], 0));
        }
    }
    assert_eq!(a.task_counts(), (0, 0, 0));
}
