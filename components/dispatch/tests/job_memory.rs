//! Jobs for which there is no memory are refused, and small ones last.
//!
//! Any job within the limits was accepted before: two dozen submissions of a hundred bytes each made a leader take 200 to 550
//! MB; see docs/incidents/accepted-jobs-that-took-all-memory.md.

mod common;

use std::sync::Arc;

use clock::Millis;
use common::{Harness, spec, step};
use dispatch::{Answer, Limits, RefusalCause, Verb};
use workload::{Command, Document, JobId, JobSpec, ReplicatedState};

/// What all jobs may take.
const MEMORY: u64 = 1 << 20;

fn harness() -> Harness {
    let mut replicated = ReplicatedState::default();
    replicated.apply(&Command::Configure(Document { version: 1, text: "quick".into() }));
    let limits = Limits { job_memory: MEMORY, ..Limits::default() };
    Harness::with_limits(limits, replicated, 1, Millis(1_000_000))
}

fn submit(h: &mut Harness, id: u64, spec: &Arc<JobSpec>) -> Answer {
    let token = h.call_path(&format!("/q/{}", JobId(id)), Verb::Submit(spec.clone()));
    h.commit();
    h.answer(token).cloned().expect("an answer")
}

/// Submits copies of a job until one is refused, and returns how many were accepted.
fn fill(h: &mut Harness, first: u64, spec: &Arc<JobSpec>) -> u64 {
    let limit = MEMORY / spec.footprint() + 2;
    (0..limit).take_while(|n| submit(h, first + n, spec) == Answer::Accepted).count() as u64
}

fn is_refused(answer: &Answer) -> bool {
    matches!(answer, Answer::NotDone { retry_after } if *retry_after >= Millis(1_000))
}

#[test]
fn large_jobs_are_refused_before_the_memory_is_full_and_small_ones_are_not() {
    let mut h = harness();
    let (large, small) = (spec(vec![step(3_000)]), spec(vec![step(3)]));
    let accepted = fill(&mut h, 1, &large);
    assert!(accepted > 1, "a job within the limits is accepted");
    assert_eq!(submit(&mut h, 500, &small), Answer::Accepted);
    let refused = JobId(1 + accepted);
    let cause = h.dispatcher.refusal(refused).map(|r| r.cause.clone());
    assert!(matches!(cause, Some(RefusalCause::Memory(_))), "{cause:?}");
    fill(&mut h, 1_000, &small);
    assert!(h.dispatcher.replicated().job_memory() <= MEMORY);
    assert_eq!(h.dispatcher.figures().refused_for_memory, 2);
    assert_eq!(h.dispatcher.figures().job_memory, h.dispatcher.replicated().job_memory());
}

/// A caller that is told that its job is not taken must not see it run, whichever copy of its call arrives late.
#[test]
fn a_copy_of_a_refused_submission_is_refused_though_there_is_memory_again() {
    let mut h = harness();
    let large = spec(vec![step(3_000)]);
    let accepted = fill(&mut h, 1, &large);
    let refused = 1 + accepted;
    h.call_path(&format!("/q/{}", JobId(1)), Verb::Cancel);
    h.commit();
    assert!(is_refused(&submit(&mut h, refused, &large)));
    assert!(h.dispatcher.replicated().job(JobId(refused)).is_none());
}

/// A job that is known takes nothing more.
#[test]
fn a_job_that_is_accepted_is_accepted_again_when_the_memory_is_full() {
    let mut h = harness();
    let large = spec(vec![step(3_000)]);
    fill(&mut h, 1, &large);
    assert_eq!(submit(&mut h, 1, &large), Answer::Accepted);
}

/// What a leader refuses does not depend on what it was when the jobs were accepted.
#[test]
fn a_new_leader_counts_the_jobs_that_it_finds() {
    let mut h = harness();
    let large = spec(vec![step(3_000)]);
    let accepted = fill(&mut h, 1, &large);
    let limits = Limits { job_memory: MEMORY, ..Limits::default() };
    let mut next = Harness::with_limits(limits, h.committed.clone(), 2, h.now);
    assert!(is_refused(&submit(&mut next, 1 + accepted, &large)));
}
