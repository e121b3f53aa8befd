//! Tests of workers that the log holds without a start time, and which then begin to announce one. Such a worker may
//! have been restarted under its name before that, so the number of the last end that the log holds may be of an
//! earlier incarnation: with one such worker ends 1 to 4 were never processed, and tasks that had ended ran again.

mod common;

use clock::Millis;
use common::{Harness, NO_ANSWER, announcement, end, row, spec, step, task, worker};
use dispatch::{CallError, Input, Report, WorkerAnnouncement};
use workload::{EndKind, JobState, WorkerId};

const STARTED_AT: u64 = 1_790_000_000_000;

fn incarnation(started_at: u64) -> WorkerId {
    WorkerId::with_incarnation("w", Some(started_at))
}

fn name(incarnation: &WorkerId) -> &str {
    incarnation.0.as_ref()
}

/// Returns a dispatcher with one worker that does not announce its start time, on which a job of two tasks runs and
/// of which four ends are in the log.
fn with_a_job_that_runs() -> Harness {
    let mut b = Harness::new("");
    b.join("w", 8);
    b.submit(1, spec(vec![step(4)]));
    b.commit();
    (0..4).for_each(|i| b.started("w", task(1, 0, i), 1, Ok(())));
    let ends = (0..4).map(|i| end(u64::from(i) + 1, task(1, 0, i), 1, EndKind::Done));
    b.report("w", vec![], ends.collect());
    b.commit();
    b.submit(2, spec(vec![step(2)]));
    b.commit();
    (0..2).for_each(|i| b.started("w", task(2, 0, i), 1, Ok(())));
    assert_eq!(b.committed.worker(&worker("w")).map(|w| w.last_end), Some(4));
    b
}

/// Returns the announcement of an incarnation, at the address that all incarnations of the worker have.
fn announcement_of(incarnation: &WorkerId, number: u64) -> WorkerAnnouncement {
    let mut announcement = WorkerAnnouncement { number, ..announcement(name(incarnation), 8) };
    announcement.info.address = "w:1".into();
    announcement
}

/// Has the worker announce its start time.
fn announce_incarnation(b: &mut Harness, incarnation: &WorkerId, number: u64) {
    b.feed(Input::Announcement(announcement_of(incarnation, number)));
    b.commit();
}

/// Has the worker answer the renewal that named no start time.
fn answer_with_incarnation(b: &mut Harness, incarnation: &WorkerId) {
    let (worker, sent_at) = (worker("w"), b.now);
    b.feed(Input::Renewed { worker, sent_at, result: Err(CallError::Named(incarnation.clone())) });
    b.commit();
}

/// The two ways by which a start time becomes known.
const WAYS_TO_LEARN: [fn(&mut Harness, &WorkerId); 2] =
    [|b, l| announce_incarnation(b, l, 9), answer_with_incarnation];

/// Returns the same dispatcher once the incarnation is known, with how many starts there were until then.
fn with_known_incarnation(learn: fn(&mut Harness, &WorkerId)) -> (Harness, WorkerId, usize) {
    let (mut b, incarnation) = (with_a_job_that_runs(), incarnation(STARTED_AT));
    let starts = b.starts().len();
    learn(&mut b, &incarnation);
    b.advance(Millis(20));
    (b, incarnation, starts)
}

#[test]
fn runs_go_on_under_the_incarnation_that_lists_them() {
    for learn in WAYS_TO_LEARN {
        let (mut b, incarnation, starts) = with_known_incarnation(learn);
        assert_eq!(b.committed.workers().keys().collect::<Vec<_>>(), [&incarnation]);
        let rows = (0..2).map(|i| row(task(2, 0, i), 1)).collect();
        b.report(name(&incarnation), rows, vec![]);
        b.advance(Millis(20));
        let ends = (0..2).map(|i| end(u64::from(i) + 5, task(2, 0, i), 1, EndKind::Done));
        b.report(name(&incarnation), vec![], ends.collect());
        b.commit();
        assert_eq!(b.committed.job(common::job(2)).map(|j| j.state), Some(JobState::Completed));
        assert_eq!(b.starts().len(), starts, "nothing was started again");
    }
}

/// The incarnation that answers numbers its ends from one, though the log holds number four.
#[test]
fn ends_of_an_incarnation_that_began_unnoticed_are_processed() {
    for learn in WAYS_TO_LEARN {
        let (mut b, incarnation, starts) = with_known_incarnation(learn);
        let ends = (0..2).map(|i| end(u64::from(i) + 1, task(2, 0, i), 1, EndKind::Done));
        b.report(name(&incarnation), vec![], ends.collect());
        b.commit();
        assert_eq!(b.committed.job(common::job(2)).map(|j| j.state), Some(JobState::Completed));
        assert_eq!(b.starts().len(), starts, "nothing was started again");
    }
}

#[test]
fn runs_that_the_incarnation_does_not_know_are_started_again() {
    for learn in WAYS_TO_LEARN {
        let (mut b, incarnation, starts) = with_known_incarnation(learn);
        b.report(name(&incarnation), vec![], vec![]);
        b.commit();
        b.advance(Millis(20));
        assert_eq!(b.starts().len(), starts + 2);
    }
}

/// A start that is unanswered when the start time of the worker becomes known is settled with the incarnation that
/// answers.
#[test]
fn a_start_under_way_is_sent_again_to_the_incarnation_that_answers() {
    let mut b = Harness::new("");
    b.join("w", 8);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    announce_incarnation(&mut b, &incarnation(STARTED_AT), 9);
    b.started("w", task(1, 0, 0), 1, Err(NO_ANSWER()));
    b.advance(Millis(20));
    b.report(name(&incarnation(STARTED_AT)), vec![], vec![]);
    b.advance(Millis(20));
    assert_eq!(b.starts().len(), 2, "the same run is started again");
    assert!(b.starts().iter().all(|(_, order)| order.run == 1));
}

/// The worker was restarted at another address before it announced its start time: the log holds an incarnation that
/// is over.
#[test]
fn an_incarnation_at_another_address_is_called_there() {
    let (mut b, incarnation) = (with_a_job_that_runs(), incarnation(STARTED_AT));
    let mut moved = announcement_of(&incarnation, 1);
    moved.info.address = "elsewhere:1".into();
    b.feed(Input::Announcement(moved));
    b.commit();
    let address_of = |b: &Harness| b.committed.worker(&incarnation).map(|w| w.info.address.clone());
    assert_eq!(address_of(&b).as_deref(), Some("elsewhere:1"));
    assert!(b.committed.worker(&worker("w")).is_some(), "until its lease is over");
}

/// A worker that is known by both ids gets nothing new under the one without a start time.
#[test]
fn an_id_without_a_start_time_is_given_up_where_the_incarnation_is_known() {
    let mut b = with_a_job_that_runs();
    let mut moved = announcement_of(&incarnation(STARTED_AT), 1);
    moved.info.address = "elsewhere:1".into();
    b.feed(Input::Announcement(moved));
    answer_with_incarnation(&mut b, &incarnation(STARTED_AT));
    let starts = b.starts().len();
    b.submit(3, spec(vec![step(1)]));
    b.commit();
    assert_eq!(b.starts().len(), starts, "nobody that may be called has reported yet");
}

/// An instance of an older version passes on announcements without the start time: with two ids the same worker would
/// count twice.
#[test]
fn announcements_without_the_birth_make_no_second_worker_of_one_that_is_known() {
    let mut b = Harness::new("");
    announce_incarnation(&mut b, &incarnation(STARTED_AT), 1);
    b.feed(Input::Announcement(WorkerAnnouncement { number: 7, ..announcement("w", 8) }));
    b.commit();
    assert_eq!(b.committed.workers().keys().collect::<Vec<_>>(), [&incarnation(STARTED_AT)]);
}

#[test]
fn the_next_life_takes_work_whatever_the_one_before_has_said() {
    let mut b = Harness::new("");
    let (first, next) = (incarnation(STARTED_AT), incarnation(STARTED_AT - 5_000));
    let leaving = WorkerAnnouncement { leaving: true, ..announcement_of(&first, 50) };
    announce_incarnation(&mut b, &first, 1);
    b.report(name(&first), vec![], vec![]);
    b.feed(Input::Announcement(leaving));
    // Its wall clock was set back in the meantime.
    announce_incarnation(&mut b, &next, 1);
    // The last announcement of the earlier incarnation comes late, and does not name the incarnation.
    b.feed(Input::Left(worker("w")));
    let sent_at = b.now;
    let refused = Err(CallError::Refused(dispatch::Refusal::OtherLife));
    b.feed(Input::Renewed { worker: first.clone(), sent_at, result: refused });
    b.report(name(&next), vec![], vec![]);
    b.submit(1, spec(vec![step(2)]));
    b.commit();
    assert_eq!(b.starts().len(), 2);
    assert_eq!(b.committed.workers().keys().collect::<Vec<_>>(), [&next]);
}

#[test]
fn reports_of_one_incarnation_do_not_count_for_another() {
    let mut b = Harness::new("");
    let (first, next) = (incarnation(STARTED_AT), incarnation(STARTED_AT + 5_000));
    announce_incarnation(&mut b, &first, 1);
    announce_incarnation(&mut b, &next, 1);
    let report = |clock| Report { clock: Millis(clock), ..Report::default() };
    for (worker, clock) in [(&first, 400_000), (&next, 300)] {
        let (worker, sent_at) = (worker.clone(), b.now);
        b.feed(Input::Renewed { worker, sent_at, result: Ok(report(clock)) });
    }
    let refused = Err(CallError::Refused(dispatch::Refusal::OtherLife));
    let sent_at = b.now;
    b.feed(Input::Renewed { worker: first, sent_at, result: refused });
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    let deadlines: Vec<Millis> = b.starts().iter().map(|(_, order)| order.deadline).collect();
    assert!(
        deadlines.iter().all(|d| *d < Millis(100_000)),
        "deadlines go by the clock of the incarnation: {deadlines:?}"
    );
}
