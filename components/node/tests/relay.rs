//! Calls relayed to the leader: the final answer is correct, whatever happens to leaders.

use std::sync::Arc;

use clock::Millis;
use dispatch::{Answer, Call, Verb};
use node::{Leader, LeaderClock, Message, Reachability, Relay, RelayAction};
use rstest::rstest;
use workload::JobSpec;

const MAX_WAIT: Millis = Millis(1_800);

fn call(verb: Verb) -> Call {
    Call::Job { host: "h".into(), path: "/p/".into(), size: 0, verb }
}

fn submit() -> Call {
    call(Verb::Submit(Arc::new(JobSpec::default())))
}

/// Returns a leader whose clock shows the same as that of the relay.
fn leader(name: &str) -> Leader {
    Leader { id: name.into(), term: 1, clock: LeaderClock::own(Millis(0)) }
}

fn sent(actions: &[RelayAction]) -> usize {
    let is_call = |m: &Message| matches!(m, Message::TimedCall { .. });
    actions.iter().filter(|a| matches!(a, RelayAction::Send(_, m) if is_call(m))).count()
}

fn final_answer(actions: Vec<RelayAction>) -> Option<Answer> {
    actions.into_iter().find_map(|a| match a {
        RelayAction::Answer(_, answer) => Some(answer),
        RelayAction::Send(..) => None,
    })
}

#[test]
fn an_answer_is_handed_on_once() {
    let l1 = leader("l1");
    let mut relay = Relay::new(1);
    let token = relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    assert_eq!(sent(&relay.tick(Millis(0), Some(&l1))), 1);
    let answer = relay.on_answer(Millis(9), token, Answer::Accepted);
    assert_eq!(answer, Some(RelayAction::Answer(token, Answer::Accepted)));
    assert_eq!(relay.on_answer(Millis(9), token, Answer::Accepted), None);
    assert!(!relay.has_pending());
}

#[test]
fn without_any_leader_a_call_is_surely_not_done() {
    let mut relay = Relay::new(1);
    relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    assert_eq!(relay.tick(Millis(1_000), None), vec![]);
    let answer = final_answer(relay.tick(MAX_WAIT, None));
    assert!(matches!(answer, Some(Answer::NotDone { .. })));
}

#[rstest]
#[case::submit(submit(), true)]
#[case::cancel(call(Verb::Cancel), true)]
#[case::look(call(Verb::Query), false)]
#[case::read(Call::Read, false)]
fn a_call_that_was_sent_and_not_answered_may_have_been_done_if_it_changes_something(
    #[case] call: Call,
    #[case] unsure: bool,
) {
    let l1 = leader("l1");
    let mut relay = Relay::new(1);
    relay.accept(Millis(0), Millis(0), call, MAX_WAIT);
    relay.tick(Millis(0), Some(&l1));
    let answer = final_answer(relay.tick(MAX_WAIT, None));
    assert_eq!(matches!(answer, Some(Answer::Unsure { .. })), unsure);
}

#[test]
fn a_refusal_after_an_unanswered_try_does_not_hide_that_try() {
    let (old, new) = (leader("l1"), leader("l2"));
    let mut relay = Relay::new(1);
    let token = relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    relay.tick(Millis(0), Some(&old));
    relay.leader_changed(Millis(100));
    assert_eq!(sent(&relay.tick(Millis(100), Some(&new))), 1);
    let refusal = Answer::NotDone { retry_after: Millis(1) };
    assert_eq!(relay.on_answer(Millis(110), token, refusal), None);
    let answer = final_answer(relay.tick(MAX_WAIT, None));
    assert!(matches!(answer, Some(Answer::Unsure { .. })));
}

#[test]
fn a_refusal_to_the_only_try_leaves_the_call_surely_not_done() {
    let l1 = leader("l1");
    let mut relay = Relay::new(1);
    let token = relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    relay.tick(Millis(0), Some(&l1));
    relay.on_answer(Millis(10), token, Answer::NotDone { retry_after: Millis(1) });
    let answer = final_answer(relay.tick(MAX_WAIT, None));
    assert!(matches!(answer, Some(Answer::NotDone { .. })));
}

#[test]
fn a_refusal_for_a_backlog_reaches_the_caller_at_once() {
    // Sent again until it expired, each refused call came to the overloaded leader twelve times.
    let l1 = leader("l1");
    let mut relay = Relay::new(1);
    let token = relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    relay.tick(Millis(0), Some(&l1));
    let refusal = Answer::NotDone { retry_after: Millis(4_200) };
    let answer = relay.on_answer(Millis(10), token, refusal.clone());
    assert_eq!(answer, Some(RelayAction::Answer(token, refusal)));
    assert!(!relay.has_pending());
}

#[test]
fn a_refusal_for_a_backlog_does_not_hide_an_earlier_unanswered_try() {
    let (old, new) = (leader("l1"), leader("l2"));
    let mut relay = Relay::new(1);
    let token = relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    relay.tick(Millis(0), Some(&old));
    relay.leader_changed(Millis(100));
    relay.tick(Millis(100), Some(&new));
    let refusal = Answer::NotDone { retry_after: Millis(4_200) };
    let answer = relay.on_answer(Millis(110), token, refusal);
    let unsure = Answer::Unsure { retry_after: Millis(4_200) };
    assert_eq!(answer, Some(RelayAction::Answer(token, unsure)));
}

/// Returns the token of the attempt that was sent, and whether it is marked as a repeated one.
fn attempt(actions: &[RelayAction]) -> (u64, bool) {
    let attempt = actions.iter().find_map(|a| match a {
        RelayAction::Send(_, Message::TimedCall { token, repeated, .. }) => {
            Some((*token, *repeated))
        }
        _ => None,
    });
    attempt.expect("an attempt")
}

/// Guards against a late rejection by an earlier leader hiding what a later one does with the call.
#[rstest]
#[case::no_queue(Answer::NoQueue)]
#[case::no_key(Answer::NoKey)]
#[case::invalid(Answer::Invalid("fault".into()))]
#[case::too_large(Answer::TooLarge)]
#[case::no_job(Answer::NoJob)]
#[case::not_done(Answer::NotDone { retry_after: Millis(50) })]
fn a_rejection_of_an_earlier_attempt_is_passed_over(#[case] rejection: Answer) {
    let (old, new) = (leader("l1"), leader("l2"));
    let mut relay = Relay::new(1);
    let call = relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    let (first, marked) = attempt(&relay.tick(Millis(0), Some(&old)));
    assert!(!marked);
    relay.leader_changed(Millis(100));
    let (second, marked) = attempt(&relay.tick(Millis(100), Some(&new)));
    assert!(marked && second != first);
    assert_eq!(relay.on_answer(Millis(110), first, rejection), None);
    let answer = relay.on_answer(Millis(120), second, Answer::Accepted);
    assert_eq!(answer, Some(RelayAction::Answer(call, Answer::Accepted)));
    assert!(!relay.has_pending());
}

/// Guards against vague or late answers where the leader has answered for all attempts.
#[rstest]
#[case::no_queue(Answer::NoQueue)]
#[case::no_key(Answer::NoKey)]
#[case::too_large(Answer::TooLarge)]
fn a_rejection_of_the_last_attempt_reaches_the_caller_at_once(#[case] rejection: Answer) {
    let l1 = leader("l1");
    let mut relay = Relay::new(1);
    let call = relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    relay.tick(Millis(0), Some(&l1));
    let (second, _) = attempt(&relay.tick(Millis(600), Some(&l1)));
    let answer = relay.on_answer(Millis(610), second, rejection.clone());
    assert_eq!(answer, Some(RelayAction::Answer(call, rejection)));
}

/// Guards against a refusal that a copy of an earlier attempt makes false once the backlog is shorter.
#[test]
fn a_refusal_of_the_last_attempt_for_a_backlog_leaves_the_earlier_one_open() {
    let l1 = leader("l1");
    let mut relay = Relay::new(1);
    let call = relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    relay.tick(Millis(0), Some(&l1));
    let (second, _) = attempt(&relay.tick(Millis(600), Some(&l1)));
    let refusal = Answer::NotDone { retry_after: Millis(4_200) };
    let unsure = Answer::Unsure { retry_after: Millis(4_200) };
    let answer = relay.on_answer(Millis(610), second, refusal);
    assert_eq!(answer, Some(RelayAction::Answer(call, unsure)));
}

/// Guards against the acceptance of an earlier attempt being passed over.
#[test]
fn a_late_acceptance_of_an_earlier_attempt_is_final() {
    let l1 = leader("l1");
    let mut relay = Relay::new(1);
    let call = relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    let (first, _) = attempt(&relay.tick(Millis(0), Some(&l1)));
    relay.tick(Millis(600), Some(&l1));
    let answer = relay.on_answer(Millis(610), first, Answer::Accepted);
    assert_eq!(answer, Some(RelayAction::Answer(call, Answer::Accepted)));
}

/// Guards against a call that is carried out after its caller was told that the outcome is unknown, because it was held up.
#[test]
fn every_attempt_carries_the_time_by_which_its_caller_has_an_answer() {
    let clock = LeaderClock::stated(Millis(50_000), Millis(100));
    let leader = Leader { id: "l1".into(), term: 7, clock };
    let mut relay = Relay::new(1);
    relay.accept(Millis(100), Millis(100), submit(), MAX_WAIT);
    for now in [100, 700, 1_300] {
        let actions = relay.tick(Millis(now), Some(&leader));
        let [RelayAction::Send(_, Message::TimedCall { term, times, .. })] = &actions[..] else {
            panic!("{actions:?}");
        };
        assert_eq!((*term, times.deadline), (7, clock.at_least(Millis(100) + MAX_WAIT)));
    }
    let answered_at = Millis(100) + MAX_WAIT;
    assert!(final_answer(relay.tick(answered_at, Some(&leader))).is_some());
}

#[test]
fn a_call_that_is_not_answered_is_sent_again() {
    let l1 = leader("l1");
    let mut relay = Relay::new(1);
    relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    let tries: usize = (0..18).map(|t| sent(&relay.tick(Millis(t * 100), Some(&l1)))).sum();
    assert_eq!(tries, 3);
}

#[test]
fn an_instance_that_is_cut_off_refuses_at_once_what_surely_was_not_taken() {
    let l1 = leader("l1");
    let mut relay = Relay::new(1);
    let sent_call = relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    relay.tick(Millis(0), Some(&l1));
    let unsent_call = relay.accept(Millis(10), Millis(10), submit(), MAX_WAIT);
    relay.set_reachability(Millis(10), Reachability::Minority);
    let actions = relay.tick(Millis(10), None);
    let refusal = Answer::NotDone { retry_after: Millis(700) };
    assert_eq!(actions, vec![RelayAction::Answer(unsent_call, refusal)]);
    let answer = relay.on_answer(Millis(20), sent_call, Answer::Accepted);
    assert_eq!(answer, Some(RelayAction::Answer(sent_call, Answer::Accepted)));
}

#[test]
fn an_instance_that_is_cut_off_says_soon_that_a_call_may_have_been_taken() {
    let l1 = leader("l1");
    let mut relay = Relay::new(1);
    relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    relay.tick(Millis(0), Some(&l1));
    for now in [500, 550, 600] {
        relay.set_reachability(Millis(now), Reachability::Minority);
        assert_eq!(
            final_answer(relay.tick(Millis(now), None)),
            None,
            "an answer may be on its way"
        );
    }
    let answer = final_answer(relay.tick(Millis(700), None));
    assert!(matches!(answer, Some(Answer::Unsure { .. })), "the caller can ask elsewhere");
}

#[test]
fn an_instance_that_hears_nobody_keeps_a_call_for_a_moment_and_then_sends_the_caller_on_at_once() {
    let mut relay = Relay::new(1);
    relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    relay.set_reachability(Millis(0), Reachability::Isolated);
    assert_eq!(relay.tick(Millis(250), None), vec![]);
    let answer = final_answer(relay.tick(Millis(300), None));
    assert_eq!(answer, Some(Answer::NotDone { retry_after: Millis::ZERO }));
    // A longer loss of all voters must not use up the attempts of callers within a second.
    relay.accept(Millis(1_500), Millis(1_500), submit(), MAX_WAIT);
    relay.set_reachability(Millis(1_500), Reachability::Isolated);
    let answer = final_answer(relay.tick(Millis(1_800), None));
    assert_eq!(answer, Some(Answer::NotDone { retry_after: Millis(700) }));
}

#[test]
fn a_call_waits_on_once_enough_voters_are_back() {
    let l1 = leader("l1");
    let mut relay = Relay::new(1);
    relay.accept(Millis(0), Millis(0), submit(), MAX_WAIT);
    relay.set_reachability(Millis(0), Reachability::Isolated);
    relay.set_reachability(Millis(200), Reachability::Majority);
    assert_eq!(sent(&relay.tick(Millis(200), Some(&l1))), 1);
    assert_eq!(final_answer(relay.tick(Millis(700), Some(&l1))), None);
}
