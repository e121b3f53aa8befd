//! Submissions of jobs that were cancelled after they were handed in, and before they reached the leader.

mod common;

use clock::Millis;
use common::{Harness, announcement, job, spec, step};
use dispatch::{Answer, Call, CallTimes, Input, Verb};
use rstest::rstest;
use workload::{Command, Credential, JobId, MAX_WITHDRAWN, ReplicatedState};

/// How long a withdrawn id is kept.
const RETENTION: Millis = Millis(60_000);

fn submit() -> Verb {
    Verb::Submit(spec(vec![step(1)]))
}

/// Feeds a call on a job that an instance received at a time, and returns its token.
fn feed_call(b: &mut Harness, received_at: Millis, id: JobId, verb: Verb) -> u64 {
    let path = format!("/q/{id}").as_str().into();
    let call = Call::from_caller(("h".into(), path), 100, verb, Credential::None);
    let token = 0x1_0000 + b.actions.len() as u64;
    let times = CallTimes { received_at, deadline: b.now + Millis(3_000) };
    b.feed(Input::TimedCall { token, call, repeated: false, times });
    token
}

fn call_at(b: &mut Harness, received_at: Millis, id: JobId, verb: Verb) -> Answer {
    let token = feed_call(b, received_at, id, verb);
    b.commit();
    b.answer(token).cloned().expect("an answer")
}

fn cancel(b: &mut Harness, id: JobId) -> Answer {
    let now = b.now;
    call_at(b, now, id, Verb::Cancel)
}

fn is_refused(answer: &Answer) -> bool {
    matches!(answer, Answer::NotDone { .. })
}

/// Where a withdrawal has to be known.
#[derive(Clone, Copy, Debug)]
enum After {
    Nothing,
    ChangeOfLeader,
    Snapshot,
    ChangeOfLeaderAndWait,
}

/// Guards against the start of a job whose submission was held up until after its cancel was acknowledged.
#[rstest]
#[case::the_same_leader(After::Nothing)]
#[case::a_new_leader(After::ChangeOfLeader)]
#[case::a_leader_that_read_a_snapshot(After::Snapshot)]
#[case::a_new_leader_after_nearly_the_retention(After::ChangeOfLeaderAndWait)]
fn a_submission_from_before_the_cancel_is_refused(#[case] after: After) {
    let mut b = Harness::new("");
    let handed_in = b.now;
    b.now += Millis(700);
    assert_eq!(cancel(&mut b, job(1)), Answer::NoJob);
    let mut b = match after {
        After::Nothing => b,
        After::ChangeOfLeader | After::ChangeOfLeaderAndWait => {
            Harness::take_over(b.committed.clone(), 2, b.now)
        }
        After::Snapshot => {
            let bytes = b.committed.encode().unwrap();
            Harness::take_over(ReplicatedState::decode(&bytes).unwrap(), 2, b.now)
        }
    };
    if matches!(after, After::ChangeOfLeaderAndWait) {
        b.now = handed_in + RETENTION.since(Millis(1));
        b.feed(Input::Tick);
    } else {
        b.now += Millis(1_300);
    }
    let answer = call_at(&mut b, handed_in, job(1), submit());
    assert!(is_refused(&answer), "{answer:?}");
    assert_eq!(b.committed.job(job(1)), None);
    assert_eq!(call_at(&mut b, handed_in, job(1), Verb::Query), Answer::NoJob);
    assert_eq!(b.dispatcher.figures().late_calls, 1);
}

/// Guards against an acknowledgement that a change of leader takes back.
#[test]
fn the_cancel_of_an_unknown_job_is_acknowledged_once_it_is_committed() {
    let mut b = Harness::new("");
    let now = b.now;
    let token = feed_call(&mut b, now, job(1), Verb::Cancel);
    assert_eq!(b.answer(token), None);
    b.commit();
    assert_eq!(b.answer(token), Some(&Answer::NoJob));
}

/// Guards against a price for callers whose submissions are in time.
#[rstest]
#[case::handed_in_again_after_the_cancel(Some(Millis(0)), Millis(1), Millis(1))]
#[case::handed_in_again_much_later(Some(Millis(0)), Millis(90_000), Millis(90_000))]
#[case::another_job_was_cancelled(None, Millis(0), Millis(700))]
#[case::nearly_as_old_as_the_retention(None, Millis(0), Millis(59_999))]
fn a_timely_submission_is_accepted(
    #[case] cancelled_at: Option<Millis>,
    #[case] handed_in: Millis,
    #[case] arrives: Millis,
) {
    let mut b = Harness::new("");
    let start = b.now;
    match cancelled_at {
        Some(at) => {
            b.now = start + at;
            cancel(&mut b, job(1));
        }
        None => drop(cancel(&mut b, job(2))),
    }
    b.now = start + arrives;
    b.feed(Input::Announcement(announcement("w", 4)));
    assert_eq!(call_at(&mut b, start + handed_in, job(1), submit()), Answer::Accepted);
    assert!(b.committed.job(job(1)).is_some());
    assert_eq!(b.committed.withdrawals().number(job(1)), None);
}

/// Guards against calls that are refused because a leader was lost while they waited for one.
#[test]
fn a_submission_that_waited_for_a_new_leader_is_accepted() {
    let mut b = Harness::new("");
    let handed_in = b.now;
    cancel(&mut b, job(2));
    let mut b = Harness::take_over(b.committed.clone(), 2, b.now + Millis(1_400));
    assert_eq!(call_at(&mut b, handed_in, job(1), submit()), Answer::Accepted);
}

/// Guards against a submission that was held up for so long that its withdrawal is no longer kept.
#[test]
fn a_submission_older_than_the_retention_is_refused() {
    let mut b = Harness::new("");
    let handed_in = b.now;
    assert_eq!(cancel(&mut b, job(1)), Answer::NoJob);
    b.now += RETENTION + Millis(6_000);
    b.feed(Input::Tick);
    b.commit();
    assert_eq!(b.committed.withdrawals().number(job(1)), None, "the id is no longer kept");
    let answer = call_at(&mut b, handed_in, job(1), submit());
    assert!(is_refused(&answer), "{answer:?}");
}

/// Guards against memory that grows with the number of cancelled ids that never were, and against withdrawals that are lost
/// because of them.
#[test]
fn many_cancels_of_ids_that_never_were_displace_no_withdrawal_unnoticed() {
    let mut b = Harness::new("");
    let start = b.now;
    for n in 0..=MAX_WITHDRAWN as u64 {
        b.now = start + Millis(n);
        let now = b.now;
        feed_call(&mut b, now, JobId(n + 1), Verb::Cancel);
    }
    b.commit();
    let withdrawals = b.committed.withdrawals();
    assert_eq!((withdrawals.number(job(1)), withdrawals.oldest()), (None, Some(2)));
    assert!(b.committed.encode().unwrap().len() < 1_000_000);
    let answer = call_at(&mut b, start, job(1), submit());
    assert!(is_refused(&answer), "the id was displaced: {answer:?}");
    let other = JobId(u64::MAX);
    assert_eq!(call_at(&mut b, start + Millis(1), other, submit()), Answer::Accepted);
    // A new leader does not know when the last one was displaced.
    let mut b = Harness::take_over(b.committed.clone(), 2, b.now);
    let answer = call_at(&mut b, start, job(1), submit());
    assert!(is_refused(&answer), "{answer:?}");
}

/// A submission of an earlier version of an instance tells no time.
#[test]
fn a_submission_without_a_time_is_refused_while_its_withdrawal_is_kept() {
    let mut b = Harness::new("");
    cancel(&mut b, job(1));
    let token = b.call_with(Credential::None, "/q/0000000000000001", submit());
    b.commit();
    assert!(b.answer(token).is_some_and(is_refused));
}

#[test]
fn a_job_that_was_accepted_is_cancelled_and_not_withdrawn() {
    let mut b = Harness::new("");
    let now = b.now;
    assert_eq!(call_at(&mut b, now, job(1), submit()), Answer::Accepted);
    assert_eq!(cancel(&mut b, job(1)), Answer::Cancelled);
    assert_eq!(b.committed.withdrawals().number(job(1)), None);
    b.committed.apply(&Command::Withdraw { id: job(1) });
    assert_eq!(b.committed.withdrawals().number(job(1)), None);
}
