//! Tests of the log lines about long-running tasks that have waited for long, and of the statistics about them.

mod common;

use std::collections::BTreeMap;

use clock::Millis;
use common::{Harness, NO_ANSWER, announcement, end, job, row, spec, step, task, worker};
use dispatch::{
    Action, CallError, Input, Refusal, RunStatus, ServiceFigures, Verb, WorkerAnnouncement,
};
use model::{Name, Size};
use workload::{
    Command, CrashSuspects, Document, EndKind, ReplicatedState, StepSpec, TaskKey, WorkerId,
    WorkerInfo,
};

/// Returns a step of long-running tasks.
fn long_running(count: u32) -> StepSpec {
    StepSpec { long_running: true, ..step(count) }
}

/// Returns a step of one long-running task that takes so many cores.
fn large(cores: u64) -> StepSpec {
    StepSpec { size: Size::new(cores * 1_000, 1_000, 0), ..long_running(1) }
}

/// Takes the log lines about waiting tasks out of the actions: the subject of each, and its details.
fn take_wait_log_lines(b: &mut Harness) -> Vec<(String, String)> {
    let line = |a: Action| match a {
        Action::LogEvent { kind, subject, details } if kind.name == "task_waits" => {
            Some((subject, details))
        }
        _ => None,
    };
    std::mem::take(&mut b.actions).into_iter().filter_map(line).collect()
}

/// Lets time pass with a tick every 50 ms; returns the log lines that were written.
fn wait_log_lines_during(b: &mut Harness, span: Millis) -> Vec<(Millis, String, String)> {
    let until = b.now + span;
    let mut lines = Vec::new();
    while b.now < until {
        b.advance(Millis(50));
        let now = b.now;
        lines.extend(
            take_wait_log_lines(b).into_iter().map(|(subject, details)| (now, subject, details)),
        );
    }
    lines
}

/// Has a worker run and fail a task of each of two jobs.
fn fail_twice(b: &mut Harness, name: &str, ids: [u64; 2]) {
    for (number, id) in (1..).zip(ids) {
        b.submit(id, spec(vec![step(1)]));
        b.commit();
        b.started(name, task(id, 0, 0), 1, Ok(()));
        b.report(name, vec![], vec![end(number, task(id, 0, 0), 1, EndKind::Failed)]);
        b.call_path(&format!("/q/{}", job(id)), Verb::Cancel);
        b.commit();
    }
}

fn announce_leaving(b: &mut Harness, name: &str, cores: u64) {
    b.feed(Input::Announcement(WorkerAnnouncement {
        leaving: true,
        number: 2,
        ..announcement(name, cores)
    }));
}

/// Has a worker join and run a long-running task that fills it.
fn join_full(b: &mut Harness, name: &str, id: u64) {
    b.join(name, 1);
    b.submit(id, spec(vec![long_running(1)]));
    b.commit();
    b.started(name, task(id, 0, 0), 1, Ok(()));
}

#[test]
fn a_line_is_written_after_two_seconds_and_every_five_from_then_on() {
    let mut b = Harness::new("");
    b.submit(1, spec(vec![long_running(3)]));
    b.commit();
    let began = b.now;
    let lines = wait_log_lines_during(&mut b, Millis(13_000));
    let at: Vec<Millis> = lines.iter().map(|(at, ..)| at.since(began)).collect();
    assert_eq!(at, [Millis(2_000), Millis(7_000), Millis(12_000)]);
    let (_, subject, details) = &lines[0];
    assert_eq!(subject, &task(1, 0, 0).to_string());
    assert_eq!(details, "since_ms=2000 tasks=3 held_back=0 looked=yes workers=0 fit=0");
}

#[test]
fn the_line_names_the_task_that_has_waited_longest() {
    let mut b = Harness::new("");
    b.join("w1", 1);
    b.submit(1, spec(vec![long_running(2)]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, Ok(()));
    b.advance(Millis(1_000));
    announce_leaving(&mut b, "w1", 1);
    b.report("w1", vec![], vec![end(1, task(1, 0, 0), 1, EndKind::Failed)]);
    b.commit();
    b.advance(Millis(1_000));
    let lines = take_wait_log_lines(&mut b);
    let expected = "since_ms=2000 tasks=2 held_back=0 looked=yes workers=1 fit=0 leaving=1";
    assert_eq!(lines, [(task(1, 0, 1).to_string(), expected.to_string())]);
}

#[test]
fn what_is_placed_in_time_or_does_not_last_or_is_over_has_no_line() {
    let mut b = Harness::new("");
    b.submit(1, spec(vec![step(3)]));
    b.submit(2, spec(vec![large(16)]));
    b.submit(3, spec(vec![long_running(1)]));
    b.commit();
    assert_eq!(wait_log_lines_during(&mut b, Millis(1_900)), []);
    b.call_path(&format!("/q/{}", job(2)), Verb::Cancel);
    b.join("w1", 8);
    b.commit();
    assert_eq!(wait_log_lines_during(&mut b, Millis(5_000)), []);
}

#[test]
fn no_more_than_five_lines_are_written_in_a_second_and_each_step_has_its_turn() {
    let mut b = Harness::new("");
    for id in 1..=40 {
        b.submit(id, spec(vec![long_running(2)]));
    }
    b.commit();
    let lines = wait_log_lines_during(&mut b, Millis(12_000));
    for (from, ..) in &lines {
        let within = lines.iter().filter(|(at, ..)| at >= from && at.since(*from) < Millis(1_000));
        assert!(within.count() <= 5, "from {from:?}");
    }
    let mut times: BTreeMap<&String, usize> = BTreeMap::new();
    lines.iter().for_each(|(_, subject, _)| *times.entry(subject).or_default() += 1);
    assert_eq!(times.len(), 40, "each step is logged");
    assert!(
        times.values().all(|n| *n <= 2),
        "none is logged a third time before others: {times:?}"
    );
}

#[test]
fn a_step_that_waits_again_is_not_logged_more_often() {
    let mut b = Harness::new("");
    b.submit(1, spec(vec![long_running(1)]));
    b.commit();
    assert_eq!(wait_log_lines_during(&mut b, Millis(2_000)).len(), 1);
    b.join("w1", 1);
    b.commit();
    b.started("w1", task(1, 0, 0), 1, Ok(()));
    announce_leaving(&mut b, "w1", 1);
    b.report("w1", vec![], vec![end(1, task(1, 0, 0), 1, EndKind::Failed)]);
    b.commit();
    assert_eq!(wait_log_lines_during(&mut b, Millis(4_900)), []);
    assert_eq!(wait_log_lines_during(&mut b, Millis(200)).len(), 1);
}

/// A worker is counted under the first reason that excludes it: the workers that lack the label or are too small
/// leave, too, and the one that leaves is full.
#[test]
fn workers_are_counted_once_by_the_first_cause() {
    let mut b = Harness::new("other");
    b.join("resting", 1);
    b.submit(5, spec(vec![step(1)]));
    b.commit();
    join_full(&mut b, "full", 10);
    join_full(&mut b, "leaving", 11);
    announce_leaving(&mut b, "leaving", 1);
    b.join("silent", 1);
    b.renewal_fails("silent", NO_ANSWER());
    let unlabelled = WorkerInfo { labels: vec!["b".into()], ..announcement("bare", 1).info };
    let small = WorkerInfo { capacity: Size::new(500, 500, 0), ..announcement("small", 1).info };
    let elsewhere = WorkerInfo { service: "other".into(), ..announcement("elsewhere", 1).info };
    for info in [unlabelled, small, elsewhere] {
        let name = info.id.clone();
        b.join_as(WorkerAnnouncement { info: info.clone(), ..announcement(&name.0, 1) });
        b.feed(Input::Announcement(WorkerAnnouncement {
            info,
            leaving: true,
            number: 2,
            ..announcement(&name.0, 1)
        }));
    }
    b.submit(6, spec(vec![StepSpec { constraint: Some("a".into()), ..long_running(1) }]));
    b.commit();
    b.advance(Millis(1_990));
    let refused = Err(CallError::Refused(Refusal::Unhealthy));
    b.started("resting", task(5, 0, 0), 1, refused);
    b.call_path(&format!("/q/{}", job(5)), Verb::Cancel);
    b.commit();
    b.advance(Millis(10));
    let (_, details) = take_wait_log_lines(&mut b).remove(0);
    let expected = "workers=6 fit=0 unlabelled=1 too_small=1 leaving=1 silent=1 resting=1 full=1";
    assert!(details.ends_with(expected), "{details}");
}

#[test]
fn a_slow_worker_does_not_count_as_quarantined() {
    let mut b = Harness::new("");
    ["w1", "w2", "w3"].into_iter().for_each(|name| b.join(name, 2));
    b.submit(1, spec(vec![step(3)]));
    b.commit();
    let placed: Vec<(WorkerId, TaskKey)> =
        b.starts().into_iter().map(|(on, order)| (on, order.task)).collect();
    placed.iter().for_each(|(on, task)| b.started(&on.0, *task, 1, Ok(())));
    b.submit(2, spec(vec![large(2)]));
    b.commit();
    for n in 1..=7 {
        b.advance(Millis(300));
        for (on, task) in &placed {
            let percent = if *on == worker("w2") { 2 * n } else { 13 * n };
            b.report(&on.0, vec![RunStatus { percent, ..row(*task, 1) }], vec![]);
        }
        b.commit();
    }
    let lines = take_wait_log_lines(&mut b);
    let details = &lines.first().expect("a line is written").1;
    assert!(details.ends_with("workers=3 fit=0 full=3"), "{details}");
    assert_eq!(b.dispatcher.figures().quarantined_workers, 0, "a slow worker does not fail");
}

#[test]
fn reserved_capacity_is_distinguished_from_none() {
    let mut b = Harness::new("");
    b.join("w1", 8);
    b.submit(1, spec(vec![StepSpec { size: Size::new(4_000, 1_000, 0), ..step(1) }]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, Ok(()));
    b.submit(2, spec(vec![large(8)]));
    b.commit();
    b.submit_bulk(3, spec(vec![long_running(1)]));
    b.commit();
    b.advance(Millis(2_000));
    let mut lines = take_wait_log_lines(&mut b);
    lines.sort();
    let expected = [(2, "full"), (3, "kept")].map(|(id, reason)| {
        let details =
            format!("since_ms=2000 tasks=1 held_back=0 looked=yes workers=1 fit=0 {reason}=1");
        (task(id, 0, 0).to_string(), details)
    });
    assert_eq!(lines, expected);
}

#[test]
fn workers_with_siblings_or_with_fillers_are_distinguished() {
    let mut b = Harness::new("");
    b.join("w1", 8);
    b.submit(1, spec(vec![StepSpec { max_per_worker: 1, ..long_running(2) }]));
    b.submit(2, spec(vec![StepSpec { filler: true, ..long_running(1) }]));
    b.commit();
    b.submit(3, spec(vec![StepSpec { target_latency: Millis(100), ..long_running(1) }]));
    b.commit();
    b.advance(Millis(2_000));
    let lines = take_wait_log_lines(&mut b);
    let reasons = |id: u64, index: u32| {
        let subject = task(id, 0, index).to_string();
        let (_, details) = lines.iter().find(|(of, _)| *of == subject).expect("a line is written");
        details.rsplit_once("workers=1 ").map(|(_, reasons)| reasons.to_string())
    };
    assert_eq!(reasons(1, 1).as_deref(), Some("fit=0 crowded=1"));
    assert_eq!(reasons(3, 0).as_deref(), Some("fit=0 mixed=1"));
}

/// A gang of three has a ticket for one worker, two workers are not allowed, and nobody was asked about a fourth in
/// time.
#[test]
fn permission_to_run_is_reported_by_what_is_known_of_it() {
    let mut b = Harness::new("advice");
    b.set_advice_callers(&["e1"]);
    ["w1", "w2", "w3"].into_iter().for_each(|name| b.join(name, 1));
    b.submit(1, spec(vec![StepSpec { gang: true, ..long_running(3) }]));
    b.commit();
    let request = b.advice_requests(None).first().cloned().expect("a call for advice");
    assert_eq!(request.workers.len(), 3);
    b.answer_advice(&request, &["w1"]);
    b.advance(Millis(1_900));
    b.join("w4", 1);
    b.advance(Millis(99));
    let (_, details) = take_wait_log_lines(&mut b).remove(0);
    assert!(details.ends_with("workers=4 fit=0 not_allowed=2 unknown=1 no_ticket=1"), "{details}");
}

/// A gang of three has a worker left on which it failed, and one that nothing excludes.
#[test]
fn a_worker_on_which_the_task_has_failed_is_distinguished_from_one_that_fits() {
    let mut b = Harness::new("");
    ["w1", "w2", "w3"].into_iter().for_each(|name| b.join(name, 1));
    b.submit(1, spec(vec![StepSpec { gang: true, ..long_running(3) }]));
    b.commit();
    let starts = b.starts();
    starts.iter().for_each(|(on, o)| b.started(&on.0, o.task, 1, Ok(())));
    announce_leaving(&mut b, &starts[1].0.0, 1);
    for (on, order) in &starts {
        let kind = if order.task.index == 0 { EndKind::Failed } else { EndKind::Broken };
        b.report(&on.0, vec![], vec![end(1, order.task, 1, kind)]);
    }
    b.commit();
    b.advance(Millis(2_000));
    let (subject, details) = take_wait_log_lines(&mut b).pop().expect("a line is written");
    assert_eq!(subject, task(1, 0, 0).to_string());
    assert!(details.ends_with("workers=3 fit=1 leaving=1 avoided=1"), "{details}");
}

/// Makes a replicated state with jobs of so many long-running tasks, each of which has crashed so many workers while
/// young.
fn replicated_with_crashes(jobs: &[(u64, &str, u8, u32, u32)]) -> ReplicatedState {
    let mut replicated = ReplicatedState::default();
    replicated.apply(&Command::Configure(Document { version: 1, text: "".into() }));
    for (id, queue, priority, tasks, crashes) in jobs {
        replicated.apply(&Command::Submit {
            id: job(*id),
            at: Millis(1_000),
            queue: (*queue).into(),
            service: "s".into(),
            priority: *priority,
            max_attempts: 2,
            spec: spec(vec![long_running(*tasks)]),
        });
        for run in 1..=*crashes {
            let primary = (0..*tasks).map(|i| (task(*id, 0, i), run)).collect();
            let crash_suspects =
                CrashSuspects { primary, primary_young: true, ..CrashSuspects::default() };
            let worker = worker(&format!("gone-{id}-{run}"));
            let at = Millis(2_000);
            replicated.apply(&Command::WorkerCrashed { worker, saved: vec![], crash_suspects, at });
        }
    }
    replicated
}

#[test]
fn tasks_that_are_held_back_as_suspects_are_counted() {
    let mut b =
        Harness::take_over(replicated_with_crashes(&[(1, "q", 0, 5, 1)]), 2, Millis(1_000_000));
    b.advance(Millis(2_000));
    let (_, details) = take_wait_log_lines(&mut b).remove(0);
    assert_eq!(details, "since_ms=2000 tasks=5 held_back=4 looked=yes workers=0 fit=0");
}

/// The second task is on its last attempt and may not run beside the first.
#[test]
fn a_worker_with_a_young_suspect_is_reported_for_a_task_that_may_not_run_beside_it() {
    let jobs = [(1, "q", 0, 1, 1), (2, "bulk", 2, 1, 2)];
    let mut b = Harness::take_over(replicated_with_crashes(&jobs), 2, Millis(1_000_000));
    b.advance(Millis(1_500));
    b.join("w1", 2);
    b.commit();
    assert_eq!(b.starts().len(), 1);
    b.advance(Millis(499));
    let (_, details) = take_wait_log_lines(&mut b).remove(0);
    assert!(details.ends_with("looked=yes workers=1 fit=0 suspects=1"), "{details}");
}

/// More urgent steps would use up the examination budget of a plan; a long-running task that has waited for long
/// comes first.
#[test]
fn a_step_that_waits_behind_hundreds_of_others_is_examined() {
    let mut b = Harness::new("");
    b.submit_bulk(1_000, spec(vec![long_running(1)]));
    b.commit();
    b.advance(Millis(1_000));
    for id in 1..=600 {
        b.submit(id, spec(vec![step(1)]));
    }
    b.submit_mid(601, spec(vec![step(1)]));
    b.commit();
    let lines = wait_log_lines_during(&mut b, Millis(1_100));
    let (_, subject, details) = lines.first().expect("a line is written");
    assert_eq!(subject, &task(1_000, 0, 0).to_string());
    assert!(details.contains("tasks=1 held_back=0 looked=yes workers=0"), "{details}");
}

#[test]
fn figures_show_quarantined_workers_and_waiting_tasks_by_service() {
    let mut b = Harness::new("other");
    b.join("w1", 1);
    fail_twice(&mut b, "w1", [1, 2]);
    b.submit(3, spec(vec![long_running(2)]));
    b.commit();
    let figures = b.dispatcher.figures();
    assert_eq!((figures.quarantined_workers, figures.long_running_waiting), (1, 2));
    let expected = [
        ("other", ServiceFigures::default()),
        ("s", ServiceFigures { quarantined_workers: 1, long_running_waiting: 2 }),
    ];
    let expected: BTreeMap<Name, ServiceFigures> =
        expected.into_iter().map(|(service, f)| (service.into(), f)).collect();
    assert_eq!(b.dispatcher.service_figures(), expected);
    b.advance(Millis(4_000));
    b.commit();
    let figures = b.dispatcher.figures();
    assert_eq!(
        (figures.quarantined_workers, figures.long_running_waiting),
        (0, 1),
        "one of them runs"
    );
}
