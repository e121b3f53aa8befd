//! Tests of keys, owners and limits of organisations, as callers and workers see them.

mod common;

use clock::Millis;
use common::organisations::with_key;
use common::{Harness, job, spec, step, task};
use dispatch::{Answer, Verb};
use model::Size;
use rstest::rstest;
use workload::{Command, Credential, EndKind, JobState, StepSpec};

const PATH: &str = "/q/00000000000000aa";
const TWO: &str = "public org=a:4000:1:key-a,other-a org=b:0:1:key-b";

fn submit_to(b: &mut Harness, credential: Credential, path: &str) -> Option<Answer> {
    let token = b.call_with(credential, path, Verb::Submit(spec(vec![step(1)])));
    b.commit();
    b.answer(token).cloned()
}

#[rstest]
#[case::known(with_key("key-a"), Answer::Accepted)]
#[case::another_of_the_same(with_key("other-a"), Answer::Accepted)]
#[case::unknown(with_key("key-c"), Answer::NoKey)]
#[case::missing(Credential::None, Answer::NoKey)]
#[case::malformed(Credential::Malformed, Answer::NoKey)]
fn a_call_needs_a_key_of_an_organisation(#[case] shown: Credential, #[case] answer: Answer) {
    let mut b = Harness::new(TWO);
    assert_eq!(submit_to(&mut b, shown, PATH), Some(answer.clone()));
    assert_eq!(b.committed.jobs().len(), usize::from(answer == Answer::Accepted));
}

#[rstest]
#[case::known(with_key("key-a"), Some("a"))]
#[case::unknown(with_key("key-c"), None)]
#[case::missing(Credential::None, None)]
fn a_public_queue_needs_none(#[case] shown: Credential, #[case] owner: Option<&str>) {
    let mut b = Harness::new(TWO);
    assert_eq!(submit_to(&mut b, shown, "/mid/00000000000000aa"), Some(Answer::Accepted));
    assert_eq!(b.committed.ownership().owner(job(0xaa)).map(|o| &**o), owner);
}

#[test]
fn without_organisations_no_call_needs_a_key() {
    let mut b = Harness::new("");
    assert_eq!(submit_to(&mut b, Credential::None, PATH), Some(Answer::Accepted));
    assert_eq!(submit_to(&mut b, with_key("any"), PATH), Some(Answer::Accepted));
}

#[test]
fn a_missing_queue_is_reported_before_a_key_is_required() {
    let mut b = Harness::new(TWO);
    let elsewhere = "/none/00000000000000aa";
    assert_eq!(submit_to(&mut b, Credential::None, elsewhere), Some(Answer::NoQueue));
}

#[rstest]
#[case::its_owner("key-a", Answer::State(JobState::Queued), Answer::Cancelled)]
#[case::by_another_key("other-a", Answer::State(JobState::Queued), Answer::Cancelled)]
#[case::another_organisation("key-b", Answer::NoJob, Answer::NoJob)]
#[case::nobody("key-c", Answer::NoKey, Answer::NoKey)]
fn a_job_is_seen_and_cancelled_by_its_organisation_only(
    #[case] key: &str,
    #[case] expected_query: Answer,
    #[case] expected_cancel: Answer,
) {
    let mut b = Harness::new(TWO);
    submit_to(&mut b, with_key("key-a"), PATH);
    let query = b.call_with(with_key(key), PATH, Verb::Query);
    let cancel = b.call_with(with_key(key), PATH, Verb::Cancel);
    b.commit();
    assert_eq!(b.answer(query), Some(&expected_query));
    assert_eq!(b.answer(cancel), Some(&expected_cancel));
}

#[test]
fn an_id_that_another_organisation_has_taken_is_refused() {
    let mut b = Harness::new(TWO);
    submit_to(&mut b, with_key("key-a"), PATH);
    let answer = submit_to(&mut b, with_key("key-b"), PATH);
    assert!(matches!(answer, Some(Answer::Invalid(_))), "{answer:?}");
    assert_eq!(submit_to(&mut b, with_key("other-a"), PATH), Some(Answer::Accepted));
    assert_eq!(b.committed.ownership().owner(job(0xaa)).map(|o| &**o), Some("a"));
}

#[test]
fn a_key_that_is_taken_away_ends_calls_and_not_jobs() {
    let mut b = Harness::new(TWO);
    b.join("w1", 4);
    submit_to(&mut b, with_key("key-a"), PATH);
    b.publish(2, "org=a:4000:1: org=b:0:1:key-b,key-a");
    // An answer that depends on the new configuration waits until the configuration is committed.
    let query = b.call_with(with_key("other-a"), PATH, Verb::Query);
    assert_eq!(b.answer(query), None);
    b.commit();
    assert_eq!(b.answer(query), Some(&Answer::NoKey));
    // The key now belongs to another organisation, and the job does not.
    let query = b.call_with(with_key("key-a"), PATH, Verb::Query);
    assert_eq!(b.answer(query), Some(&Answer::NoJob));
    assert_eq!(b.starts().len(), 1);
}

#[test]
fn a_new_leader_knows_the_keys_and_the_owners() {
    let mut b = Harness::new(TWO);
    submit_to(&mut b, with_key("key-a"), PATH);
    let mut b = Harness::take_over(b.committed, 2, b.now + Millis(100));
    let query = |b: &mut Harness, key| b.call_with(with_key(key), PATH, Verb::Query);
    let (own, other, unknown) =
        (query(&mut b, "other-a"), query(&mut b, "key-b"), query(&mut b, "key-c"));
    assert_eq!(b.answer(own), Some(&Answer::State(JobState::Queued)));
    assert_eq!(b.answer(other), Some(&Answer::NoJob));
    assert_eq!(b.answer(unknown), Some(&Answer::NoKey));
}

/// Load pattern: one organisation submits more than it may have running, on a fleet with capacity for all of it.
#[test]
fn no_more_runs_than_the_limit_and_the_rest_follows_as_runs_end() {
    let mut b = Harness::new(TWO);
    b.join("w1", 16);
    b.submit_with_key("key-a", PATH, spec(vec![step(6)]));
    b.submit_with_key("key-b", "/q/00000000000000bb", spec(vec![step(6)]));
    b.commit();
    assert_eq!(b.starts().len(), 4 + 6);
    assert_eq!(b.committed.ownership().used("a"), Size::new(4_000, 4_000, 0));
    let ended = b.starts().iter().find(|(_, s)| s.task.step.job == job(0xaa)).unwrap().1.clone();
    b.started("w1", ended.task, ended.run, Ok(()));
    b.report("w1", vec![], vec![common::end(1, ended.task, ended.run, EndKind::Done)]);
    b.commit();
    b.advance(Millis(100));
    assert_eq!(b.starts().len(), 11);
}

/// Tasks that are placed and withdrawn again would fill the log with both at every plan.
#[test]
fn a_plan_places_no_more_than_the_limit() {
    let mut b = Harness::new(TWO);
    b.join("w1", 16);
    b.submit_with_key("key-a", PATH, spec(vec![step(6)]));
    let commands = b.pending.iter().flat_map(|(_, commands)| commands);
    let placed = |c: &Command| if let Command::Started { runs, .. } = c { runs.len() } else { 0 };
    assert_eq!(commands.map(placed).sum::<usize>(), 4);
}

#[test]
fn a_new_leader_counts_what_runs() {
    let mut b = Harness::new(TWO);
    b.join("w1", 16);
    b.submit_with_key("key-a", PATH, spec(vec![step(3)]));
    b.commit();
    let mut b = Harness::take_over(b.committed, 2, b.now + Millis(100));
    b.join("w2", 16);
    b.submit_with_key("key-a", "/q/00000000000000bb", spec(vec![step(4)]));
    b.commit();
    // The worker that runs the first three has not reported to the new leader yet.
    assert_eq!(b.starts().len(), 1);
}

#[rstest]
#[case::fits_beside(3, 3)]
#[case::waits_whole(4, 0)]
fn a_gang_starts_whole_within_the_limit_or_not_at_all(#[case] members: u32, #[case] start: usize) {
    let mut b = Harness::new("org=a:4000:1:key-a");
    b.join("w1", 16);
    b.submit_with_key("key-a", PATH, spec(vec![step(1)]));
    let gang = StepSpec { gang: true, ..step(members) };
    b.submit_with_key("key-a", "/q/00000000000000bb", spec(vec![gang]));
    b.commit();
    let of_gang = b.starts().iter().filter(|(_, s)| s.task.step.job == job(0xbb)).count();
    assert_eq!(of_gang, start);
}

#[test]
fn a_lowered_limit_stops_nothing_that_runs_and_starts_nothing_above_it() {
    let mut b = Harness::new(TWO);
    b.join("w1", 16);
    b.submit_with_key("key-a", PATH, spec(vec![step(4)]));
    b.commit();
    b.publish(2, "org=a:2000:1:key-a org=b:0:1:key-b");
    b.submit_with_key("key-a", "/q/00000000000000bb", spec(vec![step(1)]));
    b.commit();
    b.advance(Millis(200));
    assert_eq!((b.starts().len(), b.stops().len()), (4, 0));
}

#[test]
fn a_start_that_was_not_sent_before_the_limit_was_lowered_is_taken_back() {
    let mut b = Harness::new(TWO);
    b.join("w1", 16);
    b.submit_with_key("key-a", PATH, spec(vec![step(4)]));
    b.publish(2, "org=a:2000:1:key-a org=b:0:1:key-b");
    b.commit();
    b.advance(Millis(200));
    assert_eq!(b.starts().len(), 2);
    assert_eq!(b.committed.ownership().used("a"), Size::new(2_000, 2_000, 0));
}

#[test]
fn a_start_without_an_answer_is_not_sent_again_above_a_lowered_limit() {
    let mut b = Harness::new(TWO);
    b.join("w1", 16);
    b.submit_with_key("key-a", PATH, spec(vec![step(1)]));
    b.commit();
    b.publish(2, "org=a:500:1:key-a org=b:0:1:key-b");
    b.commit();
    b.started("w1", task(0xaa, 0, 0), 1, Err(common::NO_ANSWER()));
    b.advance(Millis(200));
    assert_eq!(b.starts().len(), 1);
    assert_eq!(b.stops().len(), 1);
}

#[rstest]
#[case::a_task_too_large(StepSpec { size: Size::new(5_000, 1_000, 0), ..step(1) }, false)]
#[case::a_gang_too_wide(StepSpec { gang: true, ..step(5) }, false)]
#[case::a_step_that_goes_in_waves(step(50), true)]
fn what_never_fits_its_limit_is_refused_at_once(#[case] step: StepSpec, #[case] taken: bool) {
    let mut b = Harness::new(TWO);
    let token = b.submit_with_key("key-a", PATH, spec(vec![step]));
    b.commit();
    let accepted = matches!(b.answer(token), Some(Answer::Accepted));
    assert_eq!(accepted, taken);
    assert_eq!(b.committed.jobs().len(), usize::from(taken));
}

/// Load pattern: an organisation at its limit has hundreds of steps waiting before those of the others. They take no
/// calls for advice, reserve no capacity and hold nobody up.
#[test]
fn what_waits_for_its_limit_takes_neither_calls_nor_looks_nor_room() {
    let mut b = Harness::new("advice, long org=a:1000:1:key-a org=b:0:1:key-b");
    b.set_advice_callers(&["e1", "e2", "e3", "e4"]);
    b.join("w1", 16);
    b.submit_with_key("key-a", "/bulk/00000000000000aa", spec(vec![step(1)]));
    b.commit();
    let first = b.advice_requests(None)[0].clone();
    b.answer_advice(&first, &["w1"]);
    assert_eq!(b.starts().len(), 1);
    let large = StepSpec { size: Size::new(1_000, 16_000, 0), ..step(1) };
    for n in 0..300 {
        let path = format!("/bulk/{:016x}", 0x1000 + n);
        b.submit_with_key("key-a", &path, spec(vec![large.clone()]));
    }
    b.commit();
    b.submit_with_key("key-b", "/bulk/00000000000000bb", spec(vec![step(1)]));
    b.commit();
    b.advance(Millis(50));
    assert_eq!(b.advice_requests(None).len(), 2, "calls are made only for steps that may start");
    let request = b.advice_requests(Some(0xbb))[0].clone();
    b.answer_advice(&request, &["w1"]);
    b.advance(Millis(50));
    assert_eq!(b.starts().len(), 2);
}

#[test]
fn the_figures_show_what_waits_at_a_limit() {
    let mut b = Harness::new(TWO);
    b.join("w1", 16);
    b.submit_with_key("key-a", PATH, spec(vec![step(6)]));
    b.commit();
    let of = b.dispatcher.organisation_figures();
    assert_eq!((of["a"].open_steps, of["a"].steps_at_limit), (1, 1));
    assert_eq!((of["a"].used.cpu_milli, of["a"].limit.cpu_milli), (4_000, 4_000));
    assert_eq!(of["b"], dispatch::OrganisationFigures::default());
}
