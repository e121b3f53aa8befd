//! Where the leader's processor time goes, and how long its orders take, summed up over each second.

use std::fmt;
use std::time::Duration;

use clock::{Millis, process_cpu_time, thread_cpu_time};

/// A part of a turn of the leader's event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Handling what has arrived: calls, answers and reports of workers, and ticks.
    Events,
    /// Deciding, which includes the plan.
    Decide,
    /// Carrying out what was decided: sending orders, answering calls and logging.
    Execute,
}

/// The number and the sum of some spans, and the longest of them.
#[derive(Clone, Copy, Debug, Default)]
struct Spans {
    count: u64,
    sum: Millis,
    longest: Millis,
}

impl Spans {
    fn add(&mut self, span: Millis) {
        self.count += 1;
        self.sum += span;
        self.longest = self.longest.max(span);
    }
}

impl fmt::Display for Spans {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Spans { count, sum, longest } = self;
        write!(f, "{}/{}/{}", count, sum.0 / (*count).max(1), longest.0)
    }
}

/// The processor time and the waits of a leader since its last report.
#[derive(Debug)]
pub(crate) struct LeaderTimings {
    turns: u64,
    longest_turn: Millis,
    events: Duration,
    decide: Duration,
    execute: Duration,
    /// The processor time of the event loop's thread at the start of the current phase.
    phase_began: Duration,
    process_began: Duration,
    thread_began: Duration,
    log_began: Duration,
    /// From the proposal of a batch of commands to its commit.
    commits: Spans,
    /// From the sending of a start to its answer.
    starts: Spans,
    /// How many runs have ended.
    ends: u64,
    /// How many reports of workers have arrived.
    reports: u64,
}

impl LeaderTimings {
    pub(crate) fn new(log_cpu: Duration) -> LeaderTimings {
        let thread = thread_cpu_time();
        LeaderTimings {
            turns: 0,
            longest_turn: Millis::ZERO,
            events: Duration::ZERO,
            decide: Duration::ZERO,
            execute: Duration::ZERO,
            phase_began: thread,
            process_began: process_cpu_time(),
            thread_began: thread,
            log_began: log_cpu,
            commits: Spans::default(),
            starts: Spans::default(),
            ends: 0,
            reports: 0,
        }
    }

    /// Records that a turn of the event loop begins.
    pub(crate) fn begin_turn(&mut self) {
        self.turns += 1;
        self.phase_began = thread_cpu_time();
    }

    /// Records that a phase of the turn has ended and the next one begins.
    pub(crate) fn end_phase(&mut self, phase: Phase) {
        let now = thread_cpu_time();
        let spent = now.saturating_sub(self.phase_began);
        self.phase_began = now;
        match phase {
            Phase::Events => self.events += spent,
            Phase::Decide => self.decide += spent,
            Phase::Execute => self.execute += spent,
        }
    }

    /// Records that a turn has ended that took `span`.
    pub(crate) fn end_turn(&mut self, span: Millis) {
        self.longest_turn = self.longest_turn.max(span);
    }

    pub(crate) fn record_commit(&mut self, span: Millis) {
        self.commits.add(span);
    }

    /// Records that a start was answered, or that its answer is overdue, after `span`.
    pub(crate) fn record_start(&mut self, span: Millis) {
        self.starts.add(span);
    }

    /// Records the report of a worker with so many ends of runs.
    pub(crate) fn record_report(&mut self, ends: usize) {
        self.reports += 1;
        self.ends += ends as u64;
    }

    /// Returns the sums as text for the log, and begins anew. `log_cpu` is the processor time of the log thread.
    pub(crate) fn take(&mut self, log_cpu: Duration) -> String {
        let thread = thread_cpu_time().saturating_sub(self.thread_began);
        let process = process_cpu_time().saturating_sub(self.process_began);
        let log = log_cpu.saturating_sub(self.log_began);
        let network = thread.saturating_sub(self.events + self.decide + self.execute);
        let ms = |d: Duration| d.as_millis();
        let text = format!(
            "cpu_ms={} events_ms={} decide_ms={} execute_ms={} network_ms={} log_ms={} turns={} longest_turn_ms={} \
             commits={} starts={} reports={} ends={}",
            ms(process),
            ms(self.events),
            ms(self.decide),
            ms(self.execute),
            ms(network),
            ms(log),
            self.turns,
            self.longest_turn.0,
            self.commits,
            self.starts,
            self.reports,
            self.ends,
        );
        *self = LeaderTimings::new(log_cpu);
        text
    }
}
