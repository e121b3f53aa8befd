//! Admission by a forecast of the wait: what certainly ends too late to be worth anything is refused at once, and
//! nothing else is.
//!
//! Everything was accepted before, and on an overloaded fleet up to 62% of a day's batch jobs waited until their result
//! was worth nothing. The tests guard against both faults: a backlog that grows without bound, and refusals of jobs that
//! could be served. docs/design/admission.md describes the forecast.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clock::Millis;
use common::fleet::{Fleet, Kind};
use common::mix::JobMix;
use common::organisations::{configuration, key_of};
use common::{Harness, job, mix, row, spec, step, worker};
use dispatch::{Action, Admission, Answer, RefusalCause, Verb};
use events::kinds;
use model::{Name, Size};
use rstest::rstest;
use workload::{JobId, JobSpec, JobState, Queue, StepSpec};

/// How long a leader measures before it refuses anything, with some time for the workers to answer.
const MEASURED_AFTER: Millis = Millis(5_500);
/// The number of jobs of [`second_of_work`] that are far more than a fleet of one worker can serve in time.
const FLOOD: u64 = 40;
/// The id of the first job of a flood; the jobs under test have lower ones.
const FIRST_OF_FLOOD: u64 = 1_000;

/// Returns a job that keeps a worker of eight cores busy for a second. Its objective is 1,450 ms.
fn second_of_work() -> Arc<JobSpec> {
    spec(vec![step(10)])
}

/// Lets time pass in which nothing happens.
fn pass(h: &mut Harness, span: Millis) {
    let until = h.now + span;
    while h.now < until {
        h.advance(Millis(250));
    }
}

/// Lets time pass in which a worker reports that it runs what it was given, and nothing ends.
fn pass_in_contact(h: &mut Harness, span: Millis) {
    let until = h.now + span;
    while h.now < until {
        h.advance(Millis(250));
        let runs = h.dispatcher.replicated().worker(&worker("w1")).map(|w| w.runs.clone());
        let rows = runs.into_iter().flatten().map(|(task, run)| row(task, run)).collect();
        h.report("w1", rows, vec![]);
        h.commit();
    }
}

/// Returns a leader that has measured, with one worker of eight cores.
fn measured(config: &str) -> Harness {
    let mut h = Harness::new(config);
    h.join("w1", 8);
    pass(&mut h, MEASURED_AFTER);
    h
}

/// Submits a job to a queue and returns the answer, with everything committed.
fn submit_to(h: &mut Harness, queue: &str, id: u64, spec: Arc<JobSpec>) -> Answer {
    let token = h.call_path(&format!("/{queue}/{}", JobId(id)), Verb::Submit(spec));
    h.commit();
    h.answer(token).cloned().expect("an answer")
}

/// Submits far more batch work than can be served.
fn flood(h: &mut Harness) -> Vec<Answer> {
    let ids = FIRST_OF_FLOOD..FIRST_OF_FLOOD + FLOOD;
    ids.map(|id| submit_to(h, "bulk", id, second_of_work())).collect()
}

/// Returns after how long the caller of a refused job may retry.
fn retry_after(answer: &Answer) -> Millis {
    match answer {
        Answer::NotDone { retry_after } => *retry_after,
        _ => panic!("not refused: {answer:?}"),
    }
}

fn is_refused(answer: &Answer) -> bool {
    matches!(answer, Answer::NotDone { .. })
}

/// Returns the log lines about refused jobs.
fn refusal_lines(h: &Harness) -> Vec<String> {
    let line = |a: &Action| match a {
        Action::LogEvent { kind, details, .. } if *kind == &kinds::JOB_REFUSED => {
            Some(details.clone())
        }
        _ => None,
    };
    h.actions.iter().filter_map(line).collect()
}

/// Returns a fleet of eight workers with eight cores each, on which a batch job of the mix is a second of work.
fn small_fleet(seed: u64) -> Fleet {
    let mut f = Fleet::new(seed, 8);
    f.join("w", 8, Size::new(8_000, 16_000, 0));
    f.advance(Millis(500));
    f
}

fn refused_of(f: &Fleet, kind: Kind) -> usize {
    f.jobs.values().filter(|j| j.kind == kind && !j.refusals.is_empty()).count()
}

/// Guards against refusals for the few steps that wait at any time, and for a short peak.
#[rstest]
fn nothing_is_refused_on_a_calm_or_merely_busy_fleet(
    #[values(0.3, 0.8, 1.1)] share: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut f = small_fleet(seed);
    JobMix::everyday(0.5).drive(&mut f, Millis(8_000));
    JobMix::everyday(share).drive(&mut f, Millis(6_000));
    assert!(f.jobs.values().all(|j| j.refusals.is_empty()));
    assert_eq!(f.harness.dispatcher.figures().refused, 0);
    f.finish_all_jobs(Millis(60_000));
}

/// Guards against refusals by the length of the steps that are not open yet: on a calm fleet they follow what runs.
#[test]
fn later_steps_of_running_jobs_are_no_backlog() {
    let mut f = small_fleet(1);
    f.allow_all();
    let size = Size::new(8_000, 8_000, 0);
    let first = StepSpec { size, estimate: Millis(4_000), ..step(4) };
    let later = StepSpec { estimate: Millis(40_000), depends_on: vec![0], ..first.clone() };
    f.advance(MEASURED_AFTER);
    f.submit_job(Kind::Wide, "bulk", vec![first, later]);
    f.advance(Millis(2_000));
    let short = f.submit_job(Kind::Batch, "bulk", vec![step(1)]);
    f.advance(Millis(1_000));
    assert_eq!(f.jobs[&short].refusals, vec![]);
    assert!(f.jobs[&short].first_start.is_some());
}

/// Guards against a backlog that grows without bound, against refused jobs that run, and against quick jobs that are
/// refused for batch work behind them.
#[rstest]
fn batch_work_is_refused_at_many_times_the_capacity_and_quick_jobs_are_not(
    #[values(1, 2, 3)] seed: u64,
) {
    let mut f = small_fleet(seed);
    let mut calm = JobMix::everyday(0.5);
    calm.drive(&mut f, MEASURED_AFTER);
    for _ in 0..60 {
        mix::batch(&mut f);
    }
    f.advance(Millis(100));
    let at_once = refused_of(&f, Kind::Batch);
    assert!(at_once > 0, "seed {seed}: nothing is refused at once");
    JobMix::new(0.3, 1.0, 0.0).drive(&mut f, Millis(8_000));
    assert_eq!(refused_of(&f, Kind::Quick), 0, "seed {seed}");
    f.advance(Millis(120_000));
    for (id, job) in &f.jobs {
        let state = f.harness.committed.job(*id).map(|j| j.state);
        match job.accepted {
            true => assert_eq!(state, Some(JobState::Completed), "seed {seed}: {id}"),
            false => assert_eq!((state, job.first_start), (None, None), "seed {seed}: {id}"),
        }
    }
    let returned = f.jobs.values().filter(|j| !j.refusals.is_empty() && j.accepted).count();
    println!("seed {seed}: {at_once} refused at once, {returned} accepted when they returned");
    assert!(returned > 0, "seed {seed}: nothing is accepted when its caller returns");
}

/// Guards against refusals of jobs that could still be served within three times their objective: 4,350 ms, of which
/// the job itself takes 800 ms.
#[test]
fn what_can_be_served_in_time_is_accepted() {
    let mut h = measured("");
    let answers = flood(&mut h);
    let accepted = answers.iter().take_while(|a| !is_refused(a)).count();
    // A second of work starts at once, and 3.55 s of it may wait.
    assert!((5..=8).contains(&accepted), "{accepted} of {FLOOD} accepted");
    assert!(answers[accepted..].iter().all(is_refused), "the backlog does not shrink here");
    let quick = submit_to(&mut h, "q", 1, second_of_work());
    assert_eq!(quick, Answer::Accepted);
    assert_eq!(h.dispatcher.figures().refused, FLOOD - accepted as u64);
    assert_eq!(h.dispatcher.refused_by_queue().get("bulk").copied(), Some(FLOOD - accepted as u64));
}

/// Guards against callers that are told that their job was accepted and never runs, or the other way round.
#[test]
fn a_refused_job_is_not_stored_and_is_accepted_once_the_backlog_is_gone() {
    let mut h = measured("");
    flood(&mut h);
    let refused = submit_to(&mut h, "bulk", 1, second_of_work());
    let wait = retry_after(&refused);
    assert_eq!(h.dispatcher.replicated().job(job(1)), None);
    let why = h.dispatcher.refusal(job(1)).expect("the refusal is kept").clone();
    assert_eq!((why.retry_after, &*why.queue, why.times), (wait, "bulk", 1));
    let RefusalCause::Wait(forecast) = &why.cause else { panic!("{:?}", why.cause) };
    assert_eq!(forecast.objective, Millis(1_450));
    assert!(forecast.ends_in > Millis(3 * 1_450));
    for id in FIRST_OF_FLOOD..FIRST_OF_FLOOD + FLOOD {
        h.call_path(&format!("/bulk/{}", JobId(id)), Verb::Cancel);
    }
    h.commit();
    h.now += wait;
    assert_eq!(submit_to(&mut h, "bulk", 1, second_of_work()), Answer::Accepted);
    assert_eq!(h.dispatcher.refusal(job(1)), None);
    assert!(h.dispatcher.replicated().job(job(1)).is_some());
}

/// Guards against a copy of a call, sent again by an entry instance, that is accepted after its caller was told that
/// the job never runs.
#[test]
fn a_copy_of_a_refused_call_is_refused() {
    let mut h = measured("");
    flood(&mut h);
    let first = retry_after(&submit_to(&mut h, "bulk", 1, second_of_work()));
    for id in FIRST_OF_FLOOD..FIRST_OF_FLOOD + FLOOD {
        h.call_path(&format!("/bulk/{}", JobId(id)), Verb::Cancel);
    }
    h.commit();
    h.now += Millis(600);
    let copy = submit_to(&mut h, "bulk", 1, second_of_work());
    assert_eq!(retry_after(&copy), first.since(Millis(600)));
    assert_eq!(h.dispatcher.replicated().job(job(1)), None);
}

/// Guards against an accepted job that is refused when its caller sends it again.
#[test]
fn a_resend_of_an_accepted_job_is_never_refused() {
    let mut h = measured("");
    assert_eq!(submit_to(&mut h, "bulk", 1, second_of_work()), Answer::Accepted);
    assert!(flood(&mut h).iter().any(is_refused));
    assert_eq!(submit_to(&mut h, "bulk", 1, second_of_work()), Answer::Accepted);
}

/// Guards against callers that return together, and against times that callers cannot use.
#[test]
fn returns_are_spread() {
    let mut h = measured("");
    flood(&mut h);
    let answers: Vec<Answer> =
        (1..=100).map(|id| submit_to(&mut h, "bulk", id, second_of_work())).collect();
    let waits: BTreeSet<Millis> = answers.iter().map(retry_after).collect();
    assert!(waits.iter().all(|w| (Millis(1_000)..=Millis(10_000)).contains(w)), "{waits:?}");
    let (first, last) = (*waits.first().unwrap(), *waits.last().unwrap());
    assert!(waits.len() > 80 && last.since(first) >= Millis(1_500), "{waits:?}");
}

/// Guards against one organisation's backlog that shuts out the others.
#[test]
fn a_flood_of_one_organisation_refuses_no_job_of_another() {
    let mut h = measured(&configuration([("a", 0), ("b", 0)]));
    let mut answers = Vec::new();
    for id in 1..=FLOOD {
        let path = format!("/bulk/{}", JobId(id));
        let token = h.submit_with_key(&key_of("a"), &path, second_of_work());
        h.commit();
        answers.push(h.answer(token).cloned().unwrap());
    }
    assert!(answers.iter().any(is_refused));
    let token = h.submit_with_key(&key_of("b"), &format!("/bulk/{}", JobId(100)), second_of_work());
    h.commit();
    assert_eq!(h.answer(token), Some(&Answer::Accepted));
    let refused = answers.iter().filter(|a| is_refused(a)).count() as u64;
    let figures = h.dispatcher.organisation_figures();
    assert_eq!((figures["a"].refused, figures["b"].refused), (refused, 0));
}

/// Guards against a backlog of an organisation that its limit keeps from ever being served, while the fleet is idle.
#[test]
fn a_flood_above_the_limit_of_an_organisation_is_refused() {
    let mut h = measured(&configuration([("a", 1_000), ("b", 0)]));
    let mut refused = 0;
    for id in 1..=4 {
        let path = format!("/bulk/{}", JobId(id));
        let token = h.submit_with_key(&key_of("a"), &path, second_of_work());
        h.commit();
        refused += u64::from(is_refused(h.answer(token).unwrap()));
    }
    // One core serves a job in eight seconds, and 5.3 s of work may wait.
    assert_eq!(refused, 3);
}

/// Guards against refusals by a leader that knows neither the rate nor most of the workers.
#[test]
fn a_new_leader_refuses_nothing_before_it_has_measured() {
    let mut first = measured("");
    flood(&mut first);
    let mut h = Harness::take_over(first.committed.clone(), 2, first.now);
    for id in 1..=20 {
        assert_eq!(submit_to(&mut h, "bulk", id, second_of_work()), Answer::Accepted);
    }
    pass(&mut h, Millis(500));
    h.report("w1", vec![], vec![]);
    for id in 21..=40 {
        assert_eq!(submit_to(&mut h, "bulk", id, second_of_work()), Answer::Accepted);
    }
    pass_in_contact(&mut h, MEASURED_AFTER);
    let ids = 2_000..2_000 + FLOOD;
    let answers: Vec<Answer> =
        ids.map(|id| submit_to(&mut h, "bulk", id, second_of_work())).collect();
    assert!(answers.iter().any(is_refused), "it has measured");
}

/// Guards against refusals for late work, which comes after all that can still be in time, and against late work that
/// grows without bound: what would be late itself waits for it.
#[test]
fn late_work_counts_only_for_what_would_be_late() {
    let mut h = measured("");
    let mut accepted = Vec::new();
    for wave in 0..8 {
        let ids = 1 + wave * FLOOD..1 + (wave + 1) * FLOOD;
        let answers = ids.map(|id| submit_to(&mut h, "bulk", id, second_of_work()));
        accepted.push(answers.filter(|a| !is_refused(a)).count());
        pass_in_contact(&mut h, Millis(1_000));
    }
    println!("accepted by wave: {accepted:?}");
    assert!(accepted[0] >= 5, "{accepted:?}");
    assert!(accepted[2..].iter().all(|n| *n <= 3), "{accepted:?}");
    assert!(accepted.iter().all(|n| *n >= 1), "{accepted:?}");
}

/// Guards against refusals for work that has nothing to do with the job: it waits for other workers, or for workers
/// that do not exist.
#[rstest]
#[case::of_other_workers(StepSpec { constraint: Some("b".into()), ..step(10) })]
#[case::of_no_worker(StepSpec { constraint: Some("nowhere".into()), ..step(10) })]
#[case::too_large_for_any(StepSpec { size: Size::new(9_000, 1_000, 0), ..step(10) })]
fn work_that_other_workers_must_do_refuses_nothing(#[case] waiting: StepSpec) {
    let mut h = Harness::new("");
    h.join("w1", 8);
    let mut other = common::announcement("w2", 8);
    other.info.labels = vec!["b".into()];
    h.join_as(other);
    pass(&mut h, MEASURED_AFTER);
    for id in FIRST_OF_FLOOD..FIRST_OF_FLOOD + FLOOD {
        submit_to(&mut h, "bulk", id, spec(vec![waiting.clone()]));
    }
    // It also has its place among the free workers if it says so.
    let bound = StepSpec { constraint: Some("a".into()), ..step(2) };
    for (id, steps) in [(1, vec![step(2)]), (2, vec![bound])] {
        assert_eq!(submit_to(&mut h, "bulk", id, spec(steps)), Answer::Accepted);
    }
}

/// Guards against refusals of jobs that have no end or no objective to miss.
#[test]
fn jobs_without_an_end_are_accepted_behind_any_backlog() {
    let mut h = measured("");
    flood(&mut h);
    let long_running = spec(vec![StepSpec { long_running: true, ..step(1) }]);
    assert_eq!(submit_to(&mut h, "bulk", 1, long_running), Answer::Accepted);
    let now = h.now;
    let recurring = JobSpec {
        steps: vec![step(1)],
        rounds: 3,
        first_due: now,
        interval: Millis(1_000),
        ..JobSpec::default()
    };
    assert_eq!(submit_to(&mut h, "bulk", 2, Arc::new(recurring)), Answer::Accepted);
}

/// Guards against refusals that fill the leader's memory or its log.
#[test]
fn what_is_kept_and_logged_of_refusals_is_bounded() {
    let mut h = measured("");
    flood(&mut h);
    h.actions.clear();
    let refused = 700;
    for id in 1..=refused {
        assert!(is_refused(&submit_to(&mut h, "bulk", id, second_of_work())));
    }
    assert!(refusal_lines(&h).is_empty(), "the lines of this second were written in the flood");
    let kept = (1..=refused).filter(|id| h.dispatcher.refusal(job(*id)).is_some()).count();
    assert_eq!(kept, 500);
    assert!(h.dispatcher.refusal(job(refused)).is_some());
    pass(&mut h, Millis(1_000));
    // What waited is late by now, so that the first of these jobs are accepted.
    let ids = 2_000..2_000 + FLOOD;
    let first = ids.map(|id| submit_to(&mut h, "bulk", id, second_of_work())).find(is_refused);
    assert!(first.is_some());
    let lines = refusal_lines(&h);
    let not_logged = lines[0].split_whitespace().find_map(|w| w.strip_prefix("not_logged="));
    let not_logged: u64 = not_logged.unwrap().parse().unwrap();
    assert_eq!(lines.len(), 1);
    assert!(not_logged >= refused, "{lines:?}");
}

/// Guards against a mechanism that cannot be switched off to measure its effect.
#[test]
fn nothing_is_refused_with_the_mechanism_switched_off() {
    let mut h = Harness::without_forecasts("");
    h.join("w1", 8);
    pass(&mut h, MEASURED_AFTER);
    assert!(!flood(&mut h).iter().any(is_refused));
}

/// Guards against forecasts that are far off on a fleet that works off a backlog: the rate is what the fleet completes,
/// which is less than its capacity while steps wait for calls for advice.
#[rstest]
fn a_forecast_agrees_with_what_happens(#[values(1, 2, 3)] seed: u64) {
    let mut f = small_fleet(seed);
    JobMix::everyday(0.5).drive(&mut f, Millis(8_000));
    (0..25).for_each(|_| mix::batch(&mut f));
    f.advance(Millis(3_000));
    let job = StepSpec { size: Size::new(2_000, 4_000, 0), estimate: Millis(4_000), ..step(6) };
    let spec = spec(vec![job.clone()]);
    let (m, queue) = (f.harness.moment(), bulk_queue());
    let forecast = f.harness.dispatcher.forecast_wait(m, &queue, None, &spec).expect("a forecast");
    let id = f.submit_job(Kind::Wide, "bulk", vec![job]);
    let ended = |f: &Fleet| f.harness.committed.job(id).is_some_and(|j| j.state.is_final());
    while !ended(&f) {
        f.advance(Millis(100));
        assert!(f.harness.now.since(m.now) < Millis(120_000));
    }
    let took = f.harness.now.since(m.now);
    println!("seed {seed}: the job took {took:?}, {forecast:?}");
    let ratio = forecast.ends_in.0 as f64 / took.0 as f64;
    assert!((0.5..=1.5).contains(&ratio), "forecast {:?}, took {took:?}", forecast.ends_in);
}

/// Returns the queue for batch jobs as the harness configures it.
fn bulk_queue() -> Queue {
    Queue {
        name: "bulk".into(),
        host: "h".into(),
        path_prefix: "/bulk/".into(),
        service: "s".into(),
        priority: 2,
        max_attempts: 4,
        stretch: 1.5,
        target_latency: Millis(250),
        advice: None,
        public: false,
    }
}

/// Returns how long 2,000 decisions take with a number of jobs waiting. The least of several measurements counts, as
/// other processes use the machine at the same time.
fn decisions_take(waiting: u64) -> Duration {
    // Its objective lies beyond the test, so that none of the jobs is late.
    let estimate = Millis(100_000);
    let mut h = Harness::new("");
    h.join("w1", 8);
    for id in 0..waiting {
        h.submit_bulk(FIRST_OF_FLOOD + id, spec(vec![StepSpec { estimate, ..step(1) }]));
    }
    h.commit();
    pass_in_contact(&mut h, MEASURED_AFTER);
    let queue = bulk_queue();
    let (m, spec) = (h.moment(), second_of_work());
    let decide = |id: u64| h.dispatcher.admit(m, &queue, None::<&Name>, &spec, job(id));
    let measure = || {
        let start = Instant::now();
        let refused = (1..=2_000).filter(|id| decide(*id) != Admission::Accept).count();
        assert_eq!(refused, 2_000, "a forecast is made");
        start.elapsed()
    };
    (0..7).map(|_| measure()).min().unwrap()
}

/// Guards against a pass over the waiting steps for each call, which would take a hundred times as long.
#[test]
fn the_cost_of_a_call_does_not_grow_with_the_number_of_waiting_steps() {
    let (few, many) = (decisions_take(50), decisions_take(5_000));
    println!("2,000 decisions: {few:?} with 50 steps waiting, {many:?} with 5,000");
    assert!(many < few * 5, "{few:?}, {many:?}");
}
