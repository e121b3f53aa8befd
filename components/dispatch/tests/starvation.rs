//! Work that can start must not wait behind work that cannot.
//!
//! Two accepted jobs waited for half a minute without a run while less than half of the workers' capacity was in use.
//! A backlog of more urgent steps waited for other workers, which were all full. Each of those steps had its tickets
//! renewed every two seconds, to have them at hand when capacity became free, and calls for advice were made in order
//! of urgency alone: all instances that may make long calls were busy with renewals, and the two jobs, which needed
//! one call each, got none. Meanwhile `load_told` logged
//!
//!     cpu_milli=547250/2144000 memory_mb=1082912/7208960 runs=78 open_steps=61 unsettled=0 workers=47/47
//!
//! Of 256 calls in 12 s, 134 were for steps of which no task started, and the jobs' runs were placed 150 to 250 ms
//! after the first `advice_asked` that named them.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use common::{Harness, announcement, row, spec, step, task};
use dispatch::{AdviceRequest, RunStatus};
use model::Size;
use rstest::rstest;
use workload::{JobSpec, StepSpec, WorkerId};

/// How long a call for advice takes, as the queues' policy says.
const CALL_DURATION: Millis = Millis(430);
/// By how much one call is longer than the one before, where instances must not all become free at the same time, and
/// after how many calls the first duration comes again.
const CALL_DURATION_INCREMENT: u64 = 10;
const CALL_DURATION_CYCLE: u64 = 17;
/// How often every worker reports, well within its lease.
const REPORT_INTERVAL: Millis = Millis(500);

/// A dispatcher whose calls for advice and starts are answered, and whose runs never end.
struct Fleet {
    harness: Harness,
    workers: Vec<String>,
    running: BTreeMap<WorkerId, Vec<RunStatus>>,
    /// How many of the calls for advice and of the starts were processed.
    advice_requests_seen: usize,
    starts_seen: usize,
    pending_calls: Vec<(Millis, AdviceRequest)>,
    next_report_at: Millis,
    /// After how many calls for advice the first duration comes again; one if all take equally long.
    call_duration_cycle: u64,
}

impl Fleet {
    fn new(config: &str, callers: usize) -> Fleet {
        let mut harness = Harness::new(config);
        let names: Vec<String> = (0..callers).map(|i| format!("e{i}")).collect();
        harness.set_advice_callers(&names.iter().map(String::as_str).collect::<Vec<_>>());
        Fleet {
            harness,
            workers: Vec::new(),
            running: BTreeMap::new(),
            advice_requests_seen: 0,
            starts_seen: 0,
            pending_calls: Vec::new(),
            next_report_at: Millis::ZERO,
            call_duration_cycle: 1,
        }
    }

    /// Has workers with a label join.
    fn join(&mut self, label: &str, count: usize, capacity: Size) {
        for _ in 0..count {
            let name = format!("{label}-{}", self.workers.len());
            let mut announcement = announcement(&name, 1);
            announcement.info.capacity = capacity;
            announcement.info.labels = vec![label.into()];
            self.harness.join_as(announcement);
            self.workers.push(name);
        }
    }

    fn advance(&mut self, span: Millis) {
        let until = self.harness.now + span;
        while self.harness.now < until {
            self.harness.advance(Millis(10));
            self.take_starts();
            self.answer_advice_requests();
            if self.harness.now >= self.next_report_at {
                self.next_report_at = self.harness.now + REPORT_INTERVAL;
                self.report();
            }
        }
    }

    fn take_starts(&mut self) {
        for (worker, order) in self.harness.starts().split_off(self.starts_seen) {
            self.starts_seen += 1;
            self.harness.started(&worker.0, order.task, order.run, Ok(()));
            self.running.entry(worker).or_default().push(row(order.task, order.run));
        }
    }

    /// Allows every worker that was asked about.
    fn answer_advice_requests(&mut self) {
        let advice_requests =
            self.harness.advice_requests(None).split_off(self.advice_requests_seen);
        self.advice_requests_seen += advice_requests.len();
        let now = self.harness.now;
        let longer =
            |a: &AdviceRequest| Millis(a.id % self.call_duration_cycle * CALL_DURATION_INCREMENT);
        let until = |a: &AdviceRequest| now + CALL_DURATION + longer(a);
        self.pending_calls.extend(advice_requests.into_iter().map(|a| (until(&a), a)));
        let due = |(at, _): &(Millis, AdviceRequest)| *at <= now;
        let (due, rest) = std::mem::take(&mut self.pending_calls).into_iter().partition(due);
        self.pending_calls = rest;
        let due: Vec<(Millis, AdviceRequest)> = due;
        for (_, request) in due {
            let names = Harness::names(&request.workers);
            let names: Vec<&str> = names.iter().map(|n| &**n).collect();
            self.harness.answer_advice(&request, &names);
        }
    }

    fn report(&mut self) {
        for name in &self.workers {
            let rows = self.running.get(&common::worker(name)).cloned().unwrap_or_default();
            self.harness.report(name, rows, vec![]);
        }
        self.harness.commit();
    }

    fn has_started(&self, job: u64) -> bool {
        self.harness.starts().iter().any(|(_, order)| order.task == task(job, 0, 0))
    }
}

/// Returns a step of one task with a generous estimate, for workers with a label.
fn long_step(label: &str, size: Size) -> StepSpec {
    StepSpec { constraint: Some(label.into()), size, estimate: Millis(20_000), ..step(1) }
}

#[test]
fn a_backlog_that_waits_for_full_workers_leaves_calls_for_advice_to_a_job_whose_workers_are_free() {
    let worker_size = Size::new(16_000, 32_000, 8);
    let mut f = Fleet::new("advice, long", 6);
    f.join("full", 4, worker_size);
    f.join("free", 8, worker_size);
    for id in 1..=40 {
        f.harness.submit_mid(id, spec(vec![long_step("full", worker_size)]));
    }
    f.advance(Millis(8_000));
    let started = (1..=40).filter(|id| f.has_started(*id)).count();
    assert_eq!(started, 4, "the others wait for capacity");
    f.harness.submit_bulk(99, spec(vec![long_step("free", Size::new(4_000, 4_000, 0))]));
    f.advance(Millis(2_000));
    assert!(f.has_started(99), "a free call and its answer take less than a second");
}

/// A plan examines a bounded number of open steps. Those behind them must still get their turn.
#[test]
fn a_backlog_longer_than_a_plan_examines_does_not_hide_a_job_whose_workers_are_free() {
    let worker_size = Size::new(16_000, 32_000, 8);
    let mut f = Fleet::new("", 0);
    f.join("full", 2, worker_size);
    f.join("free", 2, worker_size);
    for id in 1..=300 {
        f.harness.submit_mid(id, spec(vec![long_step("full", worker_size)]));
    }
    f.harness.submit_bulk(999, spec(vec![long_step("free", Size::new(4_000, 4_000, 0))]));
    f.advance(Millis(1_000));
    assert!(f.has_started(999));
}

/// The rounds of a timed job are all known when it is accepted. Rounds that are not due are not waiting work.
#[test]
fn rounds_that_are_not_due_yet_do_not_hide_other_work() {
    let mut f = Fleet::new("", 0);
    f.join("free", 2, Size::new(16_000, 32_000, 8));
    let timed = JobSpec {
        spec: "text".into(),
        steps: vec![step(1)],
        rounds: 300,
        first_due: f.harness.moment().wall + Millis(60_000),
        interval: Millis(60_000),
    };
    f.harness.submit(1, Arc::new(timed));
    f.harness.submit(2, spec(vec![step(1)]));
    f.advance(Millis(100));
    assert!(f.has_started(2));
    assert!(!f.has_started(1));
}

/// A plan reserves capacity for a bounded number of large tasks. Those that wait for some workers must not use that
/// up for tasks on others: small tasks would take all capacity there as it becomes free.
#[test]
fn large_tasks_that_wait_for_full_workers_leave_capacity_to_be_reserved_for_one_elsewhere() {
    let worker_size = Size::new(16_000, 32_000, 8);
    let quarter = Size::new(4_000, 4_000, 0);
    let mut f = Fleet::new("", 0);
    f.join("full", 2, worker_size);
    f.join("other", 1, worker_size);
    f.harness.submit_bulk(1, spec(vec![long_step("other", quarter)]));
    for id in 2..=40 {
        f.harness.submit_mid(id, spec(vec![long_step("full", worker_size)]));
    }
    f.harness.submit_bulk(50, spec(vec![long_step("other", worker_size)]));
    f.harness.submit_bulk(51, spec(vec![long_step("other", quarter)]));
    f.advance(Millis(1_000));
    assert!(f.has_started(1) && !f.has_started(50));
    assert!(!f.has_started(51), "it would take the capacity that the earlier task waits for");
}

/// A gang needs capacity for all of its tasks at the same time. Capacity for some of them is no reason to ask for
/// advice before others.
#[test]
fn gangs_that_find_capacity_for_a_part_only_leave_calls_for_advice_to_others() {
    let worker_size = Size::new(16_000, 32_000, 8);
    let mut f = Fleet::new("advice, long", 6);
    f.join("few", 3, worker_size);
    f.join("free", 2, worker_size);
    let gang = StepSpec { count: 4, gang: true, ..long_step("few", worker_size) };
    for id in 1..=40 {
        f.harness.submit_mid(id, spec(vec![gang.clone()]));
    }
    f.advance(Millis(8_000));
    f.harness.submit_bulk(99, spec(vec![long_step("free", Size::new(4_000, 4_000, 0))]));
    f.advance(Millis(2_000));
    assert!(f.has_started(99));
}

/// Calls for steps that wait for capacity are made last, so capacity on workers for which the steps hold no ticket
/// still has to be found.
#[test]
fn a_worker_that_joins_is_found_by_a_backlog_that_waits_for_capacity() {
    let worker_size = Size::new(16_000, 32_000, 8);
    let mut f = Fleet::new("advice, long", 6);
    f.join("full", 4, worker_size);
    for id in 1..=40 {
        f.harness.submit_mid(id, spec(vec![long_step("full", worker_size)]));
    }
    f.advance(Millis(8_000));
    f.join("full", 1, worker_size);
    f.advance(Millis(2_000));
    let started = (1..=40).filter(|id| f.has_started(*id)).count();
    assert_eq!(started, 5);
}

/// After a burst, or with a new leader, it is not yet known of any step whether it waits for capacity, and a plan has
/// a small examination budget. While some steps were not examined, no call may go to those that were and wait.
#[rstest]
#[case::few_callers(3)]
#[case::more_callers(6)]
#[case::many_callers(13)]
fn a_burst_that_waits_for_full_workers_is_examined_before_it_gets_calls(#[case] callers: usize) {
    let worker_size = Size::new(16_000, 32_000, 8);
    let mut f = Fleet::new("advice, long", callers);
    f.call_duration_cycle = CALL_DURATION_CYCLE;
    f.join("full", 4, worker_size);
    f.join("free", 8, worker_size);
    for id in 1..=4 {
        f.harness.submit_mid(id, spec(vec![long_step("full", worker_size)]));
    }
    f.advance(Millis(4_000));
    for id in 5..=190 {
        f.harness.submit_mid(id, spec(vec![long_step("full", worker_size)]));
    }
    f.harness.submit_bulk(999, spec(vec![long_step("free", Size::new(4_000, 4_000, 0))]));
    f.advance(Millis(2_500));
    assert!(f.has_started(999));
}

/// Tasks that need whole workers have capacity reserved for them until what runs there has ended. Reserved on all
/// workers at the same time, it would hold up everything else on a fleet that is nearly idle.
#[test]
fn capacity_reserved_for_large_tasks_is_a_part_of_all_capacity() {
    let worker_size = Size::new(16_000, 32_000, 8);
    let small = Size::new(2_000, 2_000, 0);
    let mut f = Fleet::new("", 0);
    f.join("some", 20, worker_size);
    for id in 1..=20 {
        f.harness.submit_bulk(id, spec(vec![long_step("some", small)]));
    }
    f.advance(Millis(500));
    for id in 21..=40 {
        f.harness.submit_mid(id, spec(vec![long_step("some", worker_size)]));
    }
    f.harness.submit_bulk(99, spec(vec![long_step("some", small)]));
    f.advance(Millis(1_000));
    assert!((1..=20).all(|id| f.has_started(id)));
    assert!(f.has_started(99), "an eighth of the capacity is in use");
}

/// Before a call is made for a step that waits for capacity, the steps behind it that could start must have been
/// examined. A plan considers ten steps for calls, and only while an instance is free; with four calls of 430 ms in
/// flight that is less often than 100 steps need to stay known as waiting.
#[test]
fn a_backlog_larger_than_a_plan_examines_leaves_calls_for_advice_to_a_job_whose_workers_are_free() {
    let worker_size = Size::new(16_000, 32_000, 8);
    let mut f = Fleet::new("advice, long", 6);
    f.join("full", 4, worker_size);
    f.join("free", 8, worker_size);
    for id in 1..=100 {
        f.harness.submit_mid(id, spec(vec![long_step("full", worker_size)]));
    }
    f.advance(Millis(8_000));
    f.harness.submit_bulk(999, spec(vec![long_step("free", Size::new(4_000, 4_000, 0))]));
    f.advance(Millis(3_000));
    assert!(f.has_started(999), "a free call and its answer take less than a second");
}
