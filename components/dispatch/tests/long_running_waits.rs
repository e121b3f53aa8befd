//! Tests of the statistics about how long long-running tasks have waited.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use common::fleet::crash::Fault;
use common::fleet::{Fleet, Kind, STEP};
use common::mix::{self, JobMix};
use common::{Harness, announcement, end, job, row, spec, step, task};
use dispatch::{CallError, Figures, Input, Refusal, Verb, WorkerAnnouncement};
use model::Size;
use rstest::rstest;
use workload::{EndKind, JobSpec, StepSpec, TaskKey, WorkerId};

/// Returns a step of long-running tasks.
fn long_running(count: u32) -> StepSpec {
    StepSpec { long_running: true, ..step(count) }
}

/// Returns how many long-running tasks wait, and how long the first of them has waited.
fn waiting(b: &Harness) -> (u64, Millis) {
    let Figures { long_running_waiting, long_running_max_wait, .. } = b.dispatcher.figures();
    (long_running_waiting, long_running_max_wait)
}

#[test]
fn a_task_waits_from_its_job_being_accepted_to_its_placement() {
    let mut b = Harness::new("");
    b.submit(1, spec(vec![long_running(2)]));
    b.commit();
    assert_eq!(waiting(&b), (2, Millis::ZERO));
    b.advance(Millis(1_500));
    assert_eq!(waiting(&b), (2, Millis(1_500)));
    b.join("w1", 1);
    b.commit();
    assert_eq!(b.starts().len(), 1);
    assert_eq!(waiting(&b), (1, Millis(1_501)));
}

/// Has the worker announce that it leaves.
fn announce_leaving(b: &mut Harness, name: &str, cores: u64) {
    b.feed(Input::Announcement(WorkerAnnouncement {
        leaving: true,
        number: 2,
        ..announcement(name, cores)
    }));
}

fn fails(b: &mut Harness) {
    announce_leaving(b, "w1", 2);
    b.report("w1", vec![], vec![end(1, task(1, 0, 0), 1, EndKind::Failed)]);
}

fn another_incarnation_answers(b: &mut Harness) {
    b.renewal_fails("w1", CallError::Refused(Refusal::OtherLife));
}

fn leaves_and_is_gone(b: &mut Harness) {
    announce_leaving(b, "w1", 2);
    another_incarnation_answers(b);
}

fn lapses(b: &mut Harness) {
    let until = b.now + Millis(20_000);
    while b.dispatcher.figures().runs > 0 && b.now < until {
        b.advance_with_silent("w1", "w2", Millis(100));
    }
}

/// However a run has ended, its task waits from then on.
#[rstest]
#[case::it_fails(fails)]
#[case::its_worker_crashes(another_incarnation_answers)]
#[case::its_worker_leaves(leaves_and_is_gone)]
#[case::its_lease_runs_out(lapses)]
fn a_run_that_is_over_begins_a_new_wait(#[case] ends: fn(&mut Harness)) {
    let mut b = Harness::new("");
    b.join("w1", 2);
    b.join("w2", 1);
    b.submit(1, spec(vec![StepSpec { size: Size::new(2_000, 1_000, 0), ..long_running(1) }]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, Ok(()));
    b.advance(Millis(700));
    assert_eq!(waiting(&b), (0, Millis::ZERO));
    ends(&mut b);
    b.commit();
    b.advance(Millis(100));
    let since_the_end = waiting(&b).1;
    b.advance(Millis(300));
    assert_eq!(waiting(&b), (1, since_the_end + Millis(300)));
    assert!(since_the_end <= Millis(200), "{since_the_end}");
}

#[test]
fn a_run_that_never_began_begins_a_new_wait() {
    let mut b = Harness::new("");
    b.join("w1", 1);
    b.submit(1, spec(vec![long_running(1)]));
    b.commit();
    b.advance(Millis(100));
    assert_eq!(waiting(&b), (0, Millis::ZERO));
    let refused = Err(CallError::Refused(Refusal::Unhealthy));
    b.started("w1", task(1, 0, 0), 1, refused);
    b.commit();
    b.advance(Millis(300));
    assert_eq!(waiting(&b), (1, Millis(300)));
}

#[test]
fn tasks_that_do_not_last_are_not_counted() {
    let mut b = Harness::new("");
    b.submit(1, spec(vec![step(3)]));
    b.commit();
    b.advance(Millis(1_000));
    assert_eq!(waiting(&b), (0, Millis::ZERO));
}

#[test]
fn a_step_waits_only_once_what_it_depends_on_is_done() {
    let mut b = Harness::new("");
    b.join("w1", 1);
    b.submit(1, spec(vec![step(1), StepSpec { depends_on: vec![0], ..long_running(1) }]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, Ok(()));
    b.advance(Millis(800));
    b.report("w1", vec![row(task(1, 0, 0), 1)], vec![]);
    assert_eq!(waiting(&b), (0, Millis::ZERO));
    announce_leaving(&mut b, "w1", 1);
    b.report("w1", vec![], vec![end(1, task(1, 0, 0), 1, EndKind::Done)]);
    b.commit();
    b.advance(Millis(200));
    assert_eq!(waiting(&b), (1, Millis(200)));
}

#[test]
fn a_round_that_is_not_due_does_not_wait() {
    let mut b = Harness::new("");
    let first_due = b.now + Millis(1_000);
    let rounds = JobSpec { rounds: 3, first_due, interval: Millis(500), ..JobSpec::default() };
    b.submit(1, Arc::new(JobSpec { steps: vec![long_running(1)], ..rounds }));
    b.commit();
    b.advance(Millis(900));
    assert_eq!(waiting(&b), (0, Millis::ZERO));
    b.advance(Millis(200));
    b.advance(Millis(100));
    assert_eq!(waiting(&b), (1, Millis(100)));
    b.advance(Millis(300));
    assert_eq!(waiting(&b), (2, Millis(400)));
}

#[test]
fn a_job_that_is_over_waits_no_more() {
    let mut b = Harness::new("");
    b.submit(1, spec(vec![long_running(1)]));
    b.commit();
    b.advance(Millis(500));
    b.call_path(&format!("/q/{}", job(1)), Verb::Cancel);
    assert_eq!(waiting(&b), (0, Millis::ZERO));
    b.commit();
    b.advance(Millis(500));
    assert_eq!(waiting(&b), (0, Millis::ZERO));
}

#[test]
fn after_a_change_of_leader_tasks_wait_since_then() {
    let mut b = Harness::new("");
    b.submit(1, spec(vec![long_running(1)]));
    b.commit();
    b.advance(Millis(5_000));
    assert_eq!(waiting(&b), (1, Millis(5_000)));
    let mut next = Harness::take_over(b.committed.clone(), 2, b.now);
    assert_eq!(waiting(&next), (1, Millis::ZERO));
    next.advance(Millis(40));
    assert_eq!(waiting(&next), (1, Millis(40)));
}

#[test]
fn each_task_has_its_own_wait() {
    let mut b = Harness::new("");
    b.join("w1", 1);
    b.submit(1, spec(vec![long_running(1)]));
    b.commit();
    b.advance(Millis(400));
    b.submit(2, spec(vec![StepSpec { size: Size::new(2_000, 1_000, 0), ..long_running(1) }]));
    b.commit();
    b.advance(Millis(600));
    assert_eq!(waiting(&b), (1, Millis(600)));
}

/// The longest time until the next plan, by which the dispatcher must know of a wait and of its end.
const MAX_PLAN_DELAY: Millis = Millis(200);

/// Since when long-running tasks have waited, computed from the whole replicated state at each step.
#[derive(Default)]
struct ExpectedWaits {
    since: BTreeMap<TaskKey, Millis>,
    /// Since when the dispatcher's statistics have differed.
    mismatch_since: Option<Millis>,
    /// How many waits there were.
    waits: usize,
}

impl ExpectedWaits {
    fn scan(&mut self, f: &Fleet) {
        let (now, replicated) = (f.harness.now, f.harness.dispatcher.replicated());
        let mut current = BTreeMap::new();
        for entry in replicated.open() {
            let is_long_running = replicated.step_spec(&entry.key).is_some_and(|s| s.long_running);
            let step = replicated.step(&entry.key).filter(|_| is_long_running);
            for index in step.into_iter().flat_map(|s| s.waiting()) {
                let task = TaskKey { step: entry.key, index };
                let known = self.since.get(&task).copied();
                self.waits += usize::from(known.is_none());
                current.insert(task, known.unwrap_or(now));
            }
        }
        self.since = current;
        self.compare(f);
    }

    fn compare(&mut self, f: &Fleet) {
        let now = f.harness.now;
        let (waiting, longest) = waiting(&f.harness);
        let wanted = self.since.values().min().map_or(Millis::ZERO, |since| now.since(*since));
        // A job that was submitted during a step is found here at the end of the step.
        let close = longest <= wanted + STEP && wanted.since(longest) <= MAX_PLAN_DELAY;
        if waiting == self.since.len() as u64 && close {
            self.mismatch_since = None;
            return;
        }
        let mismatch_since = *self.mismatch_since.get_or_insert(now);
        let mismatch =
            format!("reported {waiting} for {longest}, found {} for {wanted}", self.since.len());
        assert!(now.since(mismatch_since) <= MAX_PLAN_DELAY, "{now}: {mismatch}");
    }

    fn advance(&mut self, f: &mut Fleet, mix: &mut JobMix, span: Millis) {
        let until = f.harness.now + span;
        while f.harness.now < until {
            mix.drive(f, STEP);
            self.scan(f);
        }
    }
}

/// Workers leave, are lost with what they run, crash and fall silent, jobs are given up, and another instance takes
/// over the lead. The waits that the dispatcher maintains must match a scan of the whole replicated state.
#[test]
fn the_waits_match_a_scan_of_the_whole_replicated_state() {
    for seed in 1..=4 {
        let mut f = Fleet::new(seed, 12);
        f.join("w", 16, Size::new(8_000, 16_000, 0));
        let (mut expected, mut mix) = (ExpectedWaits::default(), JobMix::everyday(0.9));
        for n in 0..60 {
            match n % 10 {
                0 | 2 | 6 => mix::long_running_job(&mut f, None),
                // These jobs crash their workers until they are given up, and other tasks on those workers are lost
                // with them.
                4 => {
                    let spec = StepSpec { estimate: Millis(20_000), ..long_running(2) };
                    let faulty = f.submit_job(Kind::LongRunning, "mid", vec![spec]);
                    f.make_faulty(task(faulty.0, 0, 0), Fault::After(Millis(300)));
                }
                _ => {}
            }
            let workers: Vec<WorkerId> = f.workers(|h| !h.crashed && !h.leaving);
            let some = workers[f.random_below(workers.len() as u64) as usize].clone();
            match f.random_below(6) {
                0 => f.announce_leaving(&some),
                1 => f.set_silent(&some, true),
                2 => {
                    f.lose_leader();
                    f.take_over();
                    // The log may lack the workers that joined last.
                    f.workers(|h| !h.leaving).iter().for_each(|id| f.announce(id));
                    expected = ExpectedWaits { waits: expected.waits, ..ExpectedWaits::default() };
                }
                _ => f.workers(|_| true).iter().for_each(|id| f.set_silent(id, false)),
            }
            expected.advance(&mut f, &mut mix, Millis(700));
            if f.workers(|h| !h.crashed && !h.leaving).len() < 10 {
                f.join(&format!("n{n}-"), 6, Size::new(8_000, 16_000, 0));
            }
        }
        assert!(expected.waits > 60, "seed {seed}: only {} waits", expected.waits);
    }
}
