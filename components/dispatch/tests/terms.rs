//! An instance that leads again, in a later term or after a restart, is called at the same address as before, and an
//! answer to an earlier request may come late. Calls for advice were numbered from 1 in each term, so such an answer
//! was taken for the answer to another call: it barred the workers that the new call had named for good, and its
//! tickets were valid for none of them.
//!
//! This was found by reading the code for other numbers that start anew under a name that stays; it was never seen in
//! a recorded run.

mod common;

use clock::Millis;
use common::{Harness, spec, step, worker};
use dispatch::Input;

/// Returns a leader of two workers whose service asks for advice, in some term, with a job for which a call for
/// advice has just left.
fn leader(term: u64) -> Harness {
    let before = Harness::new("advice").committed;
    let mut b = Harness::take_over(before, term, Millis(1_000_000));
    b.set_advice_callers(&["e1"]);
    b.join("w1", 8);
    b.join("w2", 8);
    b.submit(term, spec(vec![step(2)]));
    b.commit();
    b
}

#[test]
fn no_two_terms_number_their_calls_for_advice_alike() {
    let (first, second) = (leader(1), leader(2));
    let numbers = |b: &Harness| b.advice_requests(None).iter().map(|a| a.id).collect::<Vec<_>>();
    let (first, second) = (numbers(&first), numbers(&second));
    assert!(!first.is_empty() && !second.is_empty());
    assert!(first.iter().all(|n| !second.contains(n)), "{first:?} {second:?}");
}

#[test]
fn a_late_answer_to_an_earlier_term_bars_nobody() {
    let earlier_id = leader(1).advice_requests(None)[0].id;
    let mut b = leader(2);
    let nobody = Some(Vec::new());
    b.feed(Input::Advised { id: earlier_id, valid: Some(Millis(2_000)), allowed: nobody });
    let request = b.advice_requests(None)[0].clone();
    let allowed = request.workers.iter().map(|w| (w.clone(), "ticket".into())).collect();
    b.feed(Input::Advised { id: request.id, valid: Some(Millis(2_000)), allowed: Some(allowed) });
    b.commit();
    assert_eq!(b.starts().len(), 2, "on {} and {}", worker("w1"), worker("w2"));
}
