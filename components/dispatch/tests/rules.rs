//! Tests of single rules of the dispatcher. Each test guards against one failure.

mod common;

use clock::Millis;
use common::{Harness, NO_ANSWER, announcement, end, job, row, spec, step, task, worker};
use dispatch::{Action, Answer, Call, CallError, Input, Limits, Refusal, Verb};
use errors::Result;
use workload::{Document, EndKind, JobState, StepSpec};

const DONE: Result<(), CallError> = Ok(());

#[test]
fn a_job_is_accepted_only_once_it_is_committed() {
    let mut b = Harness::new("");
    let token = b.submit(1, spec(vec![step(1)]));
    assert_eq!(b.answer(token), None);
    b.commit();
    assert_eq!(b.answer(token), Some(&Answer::Accepted));
}

#[test]
fn a_start_leaves_only_once_it_is_committed() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.submit(1, spec(vec![step(1)]));
    assert!(b.starts().is_empty());
    b.commit();
    assert_eq!(b.starts().len(), 1);
}

#[test]
fn a_call_without_a_lease_on_leadership_is_not_done_and_leaves_no_trace() {
    let mut b = Harness::new("");
    b.is_leader = false;
    let token = b.submit(1, spec(vec![step(1)]));
    assert!(matches!(b.answer(token), Some(Answer::NotDone { .. })));
    assert!(b.pending.is_empty());
    assert!(b.dispatcher.replicated().job(job(1)).is_none());
}

#[test]
fn a_job_that_is_sent_again_is_the_same_job() {
    let mut b = Harness::new("");
    b.join("w1", 8);
    b.submit(1, spec(vec![step(2)]));
    b.commit();
    let token = b.submit(1, spec(vec![step(2)]));
    b.commit();
    assert_eq!(b.answer(token), Some(&Answer::Accepted));
    assert_eq!(b.starts().len(), 2);
}

#[test]
fn an_end_is_acknowledged_only_once_it_is_committed() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, DONE);
    b.report("w1", vec![], vec![end(1, task(1, 0, 0), 1, EndKind::Done)]);
    assert!(b.renewals("w1").iter().all(|(_, seen)| *seen == 0));
    b.commit();
    assert_eq!(b.renewals("w1").last().map(|(_, seen)| *seen), Some(1));
}

#[test]
fn a_step_waits_for_the_steps_it_depends_on() {
    let mut b = Harness::new("");
    b.join("w1", 8);
    let second = StepSpec { depends_on: vec![0], ..step(1) };
    b.submit(1, spec(vec![step(2), second]));
    b.commit();
    assert_eq!(b.starts().len(), 2);
    b.report("w1", vec![row(task(1, 0, 1), 1)], vec![end(1, task(1, 0, 0), 1, EndKind::Done)]);
    b.commit();
    assert_eq!(b.starts().len(), 2);
    b.report("w1", vec![], vec![end(2, task(1, 0, 1), 1, EndKind::Done)]);
    b.commit();
    assert_eq!(b.starts().len(), 3);
}

#[test]
fn no_worker_is_given_more_than_it_has() {
    let mut b = Harness::new("");
    b.join("w1", 2);
    b.join("w2", 1);
    b.submit(1, spec(vec![step(9)]));
    b.commit();
    let starts = b.starts();
    let on = |name: &str| starts.iter().filter(|(w, _)| *w == worker(name)).count();
    assert_eq!((on("w1"), on("w2")), (2, 1));
}

#[test]
fn what_is_being_stopped_still_takes_capacity() {
    let mut b = Harness::new("");
    b.join("w1", 1);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, DONE);
    b.call_path("/q/0000000000000001", Verb::Cancel);
    b.submit(2, spec(vec![step(1)]));
    b.commit();
    assert_eq!(b.stops(), vec![(worker("w1"), task(1, 0, 0), 1)]);
    assert_eq!(b.starts().len(), 1);
    b.stopped("w1", task(1, 0, 0), 1);
    b.report("w1", vec![], vec![end(1, task(1, 0, 0), 1, EndKind::Stopped)]);
    b.commit();
    assert_eq!(b.starts().len(), 2);
}

#[test]
fn a_task_that_failed_as_often_as_it_may_fails_its_job() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    for run in 1..=2 {
        b.started("w1", task(1, 0, 0), run, DONE);
        b.report("w1", vec![], vec![end(run.into(), task(1, 0, 0), run, EndKind::Failed)]);
        b.commit();
    }
    assert_eq!(b.starts().len(), 2);
    assert_eq!(b.committed.job(job(1)).map(|j| j.state), Some(JobState::Failed));
}

#[test]
fn a_long_running_task_is_started_again_however_it_ends() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.submit(1, spec(vec![StepSpec { long_running: true, ..step(1) }]));
    b.commit();
    for (run, kind) in [(1, EndKind::Done), (2, EndKind::Failed), (3, EndKind::Failed)] {
        b.started("w1", task(1, 0, 0), run, DONE);
        b.report("w1", vec![], vec![end(run.into(), task(1, 0, 0), run, kind)]);
        b.commit();
    }
    assert_eq!(b.starts().len(), 4);
}

#[test]
fn a_gang_starts_whole_with_one_run_number_or_not_at_all() {
    let mut b = Harness::new("");
    b.join("w1", 2);
    b.submit(1, spec(vec![StepSpec { gang: true, ..step(3) }]));
    b.commit();
    assert!(b.starts().is_empty());
    b.join("w2", 1);
    b.commit();
    assert_eq!(b.starts().iter().map(|(_, s)| s.run).collect::<Vec<_>>(), vec![1, 1, 1]);
}

#[test]
fn a_gang_that_lost_a_member_starts_again_once_all_of_it_is_gone() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.submit(1, spec(vec![StepSpec { gang: true, ..step(2) }]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, DONE);
    b.started("w1", task(1, 0, 1), 1, DONE);
    b.report("w1", vec![row(task(1, 0, 1), 1)], vec![end(1, task(1, 0, 0), 1, EndKind::Failed)]);
    b.commit();
    assert_eq!(b.stops(), vec![(worker("w1"), task(1, 0, 1), 1)]);
    assert_eq!(b.starts().len(), 2);
    b.report("w1", vec![], vec![end(2, task(1, 0, 1), 1, EndKind::Broken)]);
    b.commit();
    assert_eq!(b.starts().iter().skip(2).map(|(_, s)| s.run).collect::<Vec<_>>(), vec![2, 2]);
}

#[test]
fn a_lost_worker_gets_no_longer_lease_and_its_tasks_move_once_it_has_surely_run_out() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, DONE);
    b.report("w1", vec![row(task(1, 0, 0), 1)], vec![]);
    b.join("w2", 4);
    let lease = Limits::default().lease;
    b.advance_with_silent("w1", "w2", lease - Millis(200));
    assert_eq!(b.starts().len(), 1, "the lease may still hold");
    b.advance_with_silent("w1", "w2", Millis(1_000));
    assert_eq!(b.starts().len(), 2, "renewal attempts must not extend the lease");
}

#[test]
fn an_announcement_of_a_second_incarnation_on_a_machine_does_not_end_the_first() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, DONE);
    b.renewal_fails("w1", NO_ANSWER());
    // A late announcement of an earlier incarnation at the same address.
    let mut old = announcement("w0", 4);
    old.info.machine = announcement("w1", 4).info.machine;
    b.feed(Input::Announcement(old));
    b.commit();
    assert!(b.committed.worker(&worker("w1")).is_some());
    assert_eq!(b.starts().len(), 1);
}

#[test]
fn another_incarnation_that_answers_ends_what_ran_there() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.join("w2", 4);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    let on = b.starts()[0].0.clone();
    b.renewal_fails(&on.0, CallError::Refused(Refusal::OtherLife));
    b.commit();
    assert_eq!(b.starts().len(), 2);
    assert_ne!(b.starts()[1].0, on);
}

#[test]
fn a_start_without_an_answer_keeps_its_task_until_the_worker_reports() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.join("w2", 4);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    let (on, order) = b.starts()[0].clone();
    b.started(&on.0, order.task, 1, Err(NO_ANSWER()));
    b.report(&on.0, vec![], vec![]);
    b.advance(Millis(500));
    let starts = b.starts();
    assert!(starts.iter().all(|(w, s)| *w == on && s.run == 1), "the same start is sent again");
    assert_eq!(starts.len(), 2);
    b.started(&on.0, order.task, 1, DONE);
    b.report(&on.0, vec![row(order.task, 1)], vec![]);
    b.commit();
    assert_eq!(b.starts().len(), 2);
}

#[test]
fn a_start_refused_at_a_second_try_is_stopped_and_only_then_moved() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    let key = task(1, 0, 0);
    b.started("w1", key, 1, Err(NO_ANSWER()));
    b.advance(Millis(500));
    b.started("w1", key, 1, Err(CallError::Refused(Refusal::Ticket)));
    b.commit();
    assert_eq!(b.starts().len(), 2, "the first start may still be carried out");
    assert_eq!(b.stops().len(), 1);
    b.stopped("w1", key, 1);
    b.advance(Millis(10));
    b.report("w1", vec![], vec![]);
    b.commit();
    assert_eq!(b.starts().last().map(|(_, s)| s.run), Some(2));
}

#[test]
fn a_new_leader_starts_nothing_twice() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.submit(1, spec(vec![step(2)]));
    b.commit();
    let mut next = Harness::take_over(b.committed.clone(), 2, b.now);
    next.advance(Millis(10));
    assert!(next.starts().is_empty());
    // One of the two starts had arrived; the fence keeps the other one out.
    next.report("w1", vec![row(task(1, 0, 0), 1)], vec![]);
    next.commit();
    next.report("w1", vec![row(task(1, 0, 0), 1)], vec![]);
    next.commit();
    let starts = next.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!((starts[0].1.task, starts[0].1.run, starts[0].1.fence), (task(1, 0, 1), 2, 2));
}

#[test]
fn a_new_leader_waits_out_the_longest_lease_of_a_worker_it_cannot_reach() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    let mut next = Harness::take_over(b.committed.clone(), 2, b.now);
    next.join("w2", 4);
    next.advance_with_silent("w1", "w2", Millis(10_000));
    assert!(next.starts().is_empty());
    next.advance_with_silent("w1", "w2", Millis(800));
    assert_eq!(next.starts().len(), 1);
}

#[test]
fn a_leaving_worker_gets_nothing_new_not_even_what_was_decided_before() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.submit(1, spec(vec![step(1)]));
    let mut leaving = announcement("w1", 4);
    leaving.leaving = true;
    leaving.number = 2;
    b.feed(Input::Announcement(leaving));
    b.commit();
    b.report("w1", vec![], vec![]);
    b.commit();
    assert!(b.starts().is_empty());
}

#[test]
fn a_run_that_was_believed_lost_and_was_done_counts_and_its_other_run_is_stopped() {
    let mut b = Harness::new("");
    b.join("w1", 4);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, DONE);
    b.join("w2", 4);
    b.advance_with_silent("w1", "w2", Millis(9_500));
    assert_eq!(b.starts().len(), 2);
    b.started("w2", task(1, 0, 0), 2, DONE);
    b.report("w1", vec![], vec![end(1, task(1, 0, 0), 1, EndKind::Done)]);
    b.commit();
    assert_eq!(b.committed.job(job(1)).map(|j| j.state), Some(JobState::Completed));
    assert_eq!(b.stops(), vec![(worker("w2"), task(1, 0, 0), 2)]);
}

#[test]
fn advice_is_asked_for_at_once_and_only_allowed_workers_are_used() {
    let mut b = Harness::new("advice");
    b.feed(Input::AdviceCallers(["e1".into()].into_iter().collect()));
    b.join("w1", 4);
    b.join("w2", 4);
    b.submit(1, spec(vec![step(2)]));
    let advice_requests: Vec<_> = b
        .actions
        .iter()
        .filter_map(|a| match a {
            dispatch::Action::RequestAdvice(request) => Some(request.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(advice_requests.len(), 1);
    assert_eq!(advice_requests[0].workers.len(), 2);
    let allowed = Some(vec![(worker("w2"), "ticket".into())]);
    b.feed(Input::Advised { id: advice_requests[0].id, valid: Some(Millis(2_000)), allowed });
    b.commit();
    let starts = b.starts();
    assert_eq!(starts.len(), 2);
    assert!(
        starts.iter().all(|(w, s)| *w == worker("w2") && s.ticket.as_deref() == Some("ticket"))
    );
}

#[test]
fn the_highest_configuration_holds_and_others_change_nothing() {
    let mut b = Harness::new("");
    let publish = |version, text: &str| Call::Publish(Document { version, text: text.into() });
    let newer = b.call(publish(7, "seven"));
    let older = b.call(publish(3, "three"));
    let faulty = b.call(publish(9, "faulty"));
    assert_eq!(b.answer(newer), None, "not before it is committed");
    b.commit();
    assert_eq!(b.answer(newer), Some(&Answer::Published));
    assert_eq!(b.answer(older), Some(&Answer::Published));
    assert!(matches!(b.answer(faulty), Some(Answer::Invalid(_))));
    let read = b.call(Call::Read);
    let seven = Document { version: 7, text: "seven".into() };
    assert_eq!(b.answer(read), Some(&Answer::Document(seven)));
}

#[test]
fn a_body_above_the_configured_size_is_refused_and_nothing_is_taken() {
    let mut b = Harness::new("");
    let path = "/q/00000000000000aa";
    let (host, verb) = ("h".into(), Verb::Submit(spec(vec![step(1)])));
    let token = b.call(Call::Job { host, path: path.into(), size: 1_001, verb });
    assert_eq!(b.answer(token), Some(&Answer::TooLarge));
    assert!(b.pending.is_empty());
}

#[test]
fn a_backlog_is_not_planned_again_at_every_answer() {
    let mut b = Harness::new("");
    b.join("w1", 1);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    for id in 2..=100 {
        b.submit(id, spec(vec![step(1)]));
    }
    b.commit();
    b.advance(Millis(1_000));
    b.started("w1", task(1, 0, 0), 1, DONE);
    // The end is applied immediately; the plan that it makes possible follows after a pause.
    b.report("w1", vec![], vec![end(1, task(1, 0, 0), 1, EndKind::Done)]);
    b.commit();
    assert_eq!(b.committed.job(job(1)).map(|j| j.state), Some(JobState::Completed));
    assert_eq!(b.starts().len(), 1);
    b.advance(Millis(100));
    assert_eq!(b.starts().len(), 2);
}

#[test]
fn callers_get_the_outcome_of_their_call() {
    let mut b = Harness::new("");
    let id = "/q/00000000000000aa";
    let unknown = b.call_path(id, Verb::Query);
    let elsewhere = b.call_path("/other/00000000000000aa", Verb::Query);
    let misnamed = b.call_path("/q/xyz", Verb::Submit(spec(vec![step(1)])));
    let empty = b.call_path(id, Verb::Submit(spec(vec![])));
    b.submit(0xbb, spec(vec![step(1)]));
    b.commit();
    let pending = b.call_path("/q/", Verb::Query);
    let state = b.call_path("/q/00000000000000bb", Verb::Query);
    assert_eq!(b.answer(unknown), Some(&Answer::NoJob));
    assert_eq!(b.answer(elsewhere), Some(&Answer::NoQueue));
    assert!(matches!(b.answer(misnamed), Some(Answer::Invalid(_))));
    assert!(matches!(b.answer(empty), Some(Answer::Invalid(_))));
    assert_eq!(b.answer(pending), Some(&Answer::Pending(1)));
    assert_eq!(b.answer(state), Some(&Answer::State(JobState::Queued)));
}

/// A worker that failed for a long time may be the only one on which a job can run.
#[test]
fn a_worker_that_failed_again_and_again_is_tried_again_within_a_while() {
    let mut b = Harness::new("");
    b.join("w1", 8);
    let mut failed = 0;
    for id in 1..=70 {
        b.submit(id, spec(vec![step(1)]));
        b.commit();
        // Every run on the worker fails.
        while failed < b.starts().len() {
            let (key, run) = (b.starts()[failed].1.task, b.starts()[failed].1.run);
            failed += 1;
            b.started("w1", key, run, DONE);
            b.report("w1", vec![], vec![end(failed as u64, key, run, EndKind::Failed)]);
            b.commit();
        }
        b.advance(Millis(1_000));
        b.report("w1", vec![], vec![]);
    }
    b.advance(Millis(16_000));
    b.report("w1", vec![], vec![]);
    b.advance(Millis(10));
    assert!(b.starts().len() > failed, "the worker gets a task within 16 s");
}

#[test]
fn no_more_starts_leave_than_a_leader_can_take_the_answers_to() {
    let mut b = Harness::new("");
    b.join("w1", 2_000);
    for id in 1..=60 {
        b.submit(id, spec(vec![step(10)]));
    }
    b.commit();
    b.advance(Millis(100));
    let sent = b.starts().len();
    assert!((200..=220).contains(&sent), "{sent} starts are unanswered");
    for (worker, order) in b.starts() {
        b.started(&worker.0, order.task, 1, Ok(()));
    }
    b.commit();
    b.advance(Millis(100));
    assert!(b.starts().len() > sent, "more starts leave once the first ones are confirmed");
}

#[test]
fn starts_at_workers_that_fell_silent_hold_nobody_up() {
    let mut b = Harness::new("");
    b.join("w1", 300);
    b.submit(1, spec(vec![step(250)]));
    b.commit();
    assert_eq!(b.starts().len(), 250);
    b.renewal_fails("w1", NO_ANSWER());
    b.join("w2", 8);
    b.submit(2, spec(vec![step(1)]));
    b.commit();
    b.advance(Millis(100));
    assert!(b.starts().iter().any(|(_, o)| o.task == task(2, 0, 0)));
}

/// Has a worker answer each start after `took`, and returns how long the dispatcher waits for the answer to the next
/// one.
fn answer_within_after(took: Millis) -> Millis {
    let mut b = Harness::new("");
    b.join("w1", 64);
    for id in 1..=40 {
        b.submit(id, spec(vec![step(1)]));
        b.commit();
        b.now += took;
        b.started("w1", task(id, 0, 0), 1, Ok(()));
    }
    b.submit(41, spec(vec![step(1)]));
    b.commit();
    b.starts().pop().map_or(Millis::ZERO, |(_, order)| order.answer_timeout)
}

#[test]
fn a_start_without_an_answer_is_sent_again_soon_where_answers_come_at_once() {
    assert_eq!(answer_within_after(Millis(5)), Millis(120));
}

#[test]
fn a_leader_that_processes_answers_late_awaits_them_longer() {
    assert!(answer_within_after(Millis(300)) >= Millis(300));
}

#[test]
fn a_renewal_is_awaited_little_longer_than_it_waits_where_answers_come_at_once() {
    let mut b = Harness::new("");
    b.join("w1", 64);
    for id in 1..=40 {
        b.submit(id, spec(vec![step(1)]));
        b.commit();
        b.now += Millis(5);
        b.started("w1", task(id, 0, 0), 1, Ok(()));
    }
    b.report("w1", vec![], vec![]);
    b.commit();
    let renewal = |a: &Action| match a {
        Action::Renew { order, .. } => Some(order.answer_timeout),
        _ => None,
    };
    assert_eq!(b.actions.iter().filter_map(renewal).next_back(), Some(Millis(120)));
}

#[test]
fn a_start_that_surely_did_not_leave_goes_to_another_worker_at_once() {
    let mut b = Harness::new("");
    b.join("w1", 8);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    b.join("w2", 4);
    b.started("w1", task(1, 0, 0), 1, Err(CallError::NotSent("no connection".into())));
    b.commit();
    let placed: Vec<_> = b.starts().into_iter().map(|(w, o)| (w, o.run)).collect();
    assert_eq!(placed, [(worker("w1"), 1), (worker("w2"), 2)]);
}

#[test]
fn a_later_try_that_did_not_leave_says_nothing_of_the_first() {
    let mut b = Harness::new("");
    b.join("w1", 8);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, Err(NO_ANSWER()));
    b.advance(Millis(200));
    assert_eq!(b.starts().len(), 2, "the order is sent again");
    b.started("w1", task(1, 0, 0), 1, Err(CallError::NotSent("no connection".into())));
    b.commit();
    assert_eq!(b.dispatcher.replicated().worker(&worker("w1")).map(|w| w.runs.len()), Some(1));
}

#[test]
fn a_late_announcement_of_an_ended_incarnation_takes_nothing_from_the_newer_one_at_its_address() {
    let mut b = Harness::new("");
    let at_one_address = |name: &str, number: u64| {
        let mut announcement = announcement(name, 8);
        announcement.info.address = "h:1".into();
        announcement.number = number;
        announcement
    };
    b.join_as(at_one_address("old", 1));
    b.renewal_fails("old", CallError::Refused(Refusal::OtherLife));
    b.commit();
    b.join_as(at_one_address("new", 1));
    b.submit(1, spec(vec![step(2)]));
    b.commit();
    b.feed(Input::Announcement(at_one_address("old", 2)));
    b.commit();
    b.submit(2, spec(vec![step(2)]));
    b.commit();
    assert!(b.starts().iter().all(|(w, _)| *w == worker("new")));
    b.advance(Millis(1));
    b.renewal_fails("old", CallError::Refused(Refusal::OtherLife));
    b.commit();
    let replicated = b.dispatcher.replicated();
    assert!(replicated.worker(&worker("old")).is_none());
    assert_eq!(replicated.worker(&worker("new")).map(|w| w.runs.len()), Some(4));
}

/// A worker that was quarantined gets one trial run, and none that would fail its job. Where it is the only worker,
/// every task may be on its last attempt, and nothing else would ever show that the worker is healthy again.
#[test]
fn tasks_on_their_last_attempt_are_tried_on_the_only_worker_there_is() {
    let mut b = Harness::new("");
    b.join("w1", 8);
    for id in 1..=2 {
        b.submit(id, spec(vec![step(1)]));
        b.commit();
        b.started("w1", task(id, 0, 0), 1, DONE);
        b.report("w1", vec![], vec![end(id, task(id, 0, 0), 1, EndKind::Failed)]);
        b.commit();
    }
    let before = b.starts().len();
    for _ in 0..30 {
        b.advance(Millis(100));
        b.report("w1", vec![], vec![]);
    }
    assert!(b.starts().len() > before, "the worker gets a trial run within 3 s");
}
