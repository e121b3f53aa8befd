//! Rate-limited logging of long-running tasks that have waited for long.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clock::Millis;
use events::kinds;
use workload::{StepKey, TaskKey};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{MAX_WAIT_LINES_PER_SECOND, MIN_LOGGED_WAIT, WAIT_LOG_INTERVAL};
use crate::long_running_waits::LongRunningWaits;

/// The time over which [`MAX_WAIT_LINES_PER_SECOND`] is counted.
const RATE_WINDOW: Millis = Millis(1_000);

/// Which waiting steps are logged, and when they were logged last.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitLogger {
    /// When each step was last logged.
    logged_at: BTreeMap<StepKey, Millis>,
    /// When the log lines of the last second were written.
    recent_lines: VecDeque<Millis>,
    /// The steps that the current plan still has to log.
    due: BTreeSet<StepKey>,
}

impl WaitLogger {
    /// Chooses the steps that the plan that begins is to log: first those that were never logged or
    /// not for the longest time, so that they rotate if there are more of them than lines.
    pub(crate) fn choose(&mut self, now: Millis, waits: &LongRunningWaits) {
        self.recent_lines.retain(|at| now.since(*at) < RATE_WINDOW);
        let logged_recently = |at: &Millis| now.since(*at) < WAIT_LOG_INTERVAL;
        self.logged_at.retain(|key, at| logged_recently(at) || waits.since(key).is_some());
        let mut due: Vec<(Option<Millis>, Millis, StepKey)> = waits
            .steps()
            .filter(|(_, since)| now.since(*since) >= MIN_LOGGED_WAIT)
            .map(|(key, since)| (self.logged_at.get(key).copied(), since, *key))
            .filter(|(logged_at, ..)| !logged_at.as_ref().is_some_and(logged_recently))
            .collect();
        due.sort_unstable();
        let remaining_lines = MAX_WAIT_LINES_PER_SECOND.saturating_sub(self.recent_lines.len());
        self.due = due.into_iter().take(remaining_lines).map(|(.., key)| key).collect();
    }

    fn record_logged(&mut self, now: Millis, key: StepKey) {
        self.logged_at.insert(key, now);
        self.recent_lines.push_back(now);
    }
}

impl Dispatcher {
    /// Logs that a step has waited for long, if it is due now; `examined` says whether the current
    /// plan has reached the step.
    pub(crate) fn log_wait(&mut self, m: Moment, key: &StepKey, examined: bool) {
        if !self.wait_logger.due.remove(key) {
            return;
        }
        let waiting: Vec<(TaskKey, Millis)> = self
            .long_running_waits
            .of_step(key)
            .filter(|(task, _)| self.still_waits(task))
            .collect();
        let Some((task, since)) = waiting.iter().min_by_key(|(_, since)| *since).copied() else {
            return;
        };
        if m.now.since(since) < MIN_LOGGED_WAIT {
            return;
        }
        let held_back = waiting.len() - self.startable_tasks(m, key, &waiting);
        let details = format!(
            "since_ms={} tasks={} held_back={held_back} looked={} {}{}",
            m.now.since(since).0,
            waiting.len(),
            if examined { "yes" } else { "no" },
            self.wait_reasons(m, task),
            if self.is_at_limit(key) { " at_limit=yes" } else { "" },
        );
        self.wait_logger.record_logged(m.now, *key);
        self.log_event(&kinds::TASK_WAITS, task, details);
    }

    /// Returns how many tasks of a step are not held back as suspects.
    fn startable_tasks(&self, m: Moment, key: &StepKey, waiting: &[(TaskKey, Millis)]) -> usize {
        let Some(spec) = self.replicated.step_spec(key) else { return 0 };
        let waiting = waiting.iter().map(|(task, _)| task.index).collect();
        self.may_start(m, key, spec, waiting).len()
    }

    /// Logs the steps that the plan has not reached.
    pub(crate) fn log_remaining_waits(&mut self, m: Moment) {
        for key in self.wait_logger.due.clone() {
            self.log_wait(m, &key, false);
        }
    }
}
