//! The invariants that the fleet checks at each step.

use workload::JobId;

use super::Fleet;
use crate::common::downtime_checker::FleetState;

impl Fleet {
    /// Asserts that no worker is overcommitted and that no task waits for long although there is capacity for it.
    pub(super) fn check(&mut self) {
        for (id, host) in &self.hosts {
            let (used, capacity) = (host.used(), host.info.capacity);
            assert!(used.fits(&capacity), "{id} is overcommitted: {used} of {capacity}");
        }
        if !self.has_leader || self.hosts.values().any(|h| h.failing) {
            self.note_disturbance();
        }
        self.check_lasting();
        if !self.has_leader {
            self.wait_checker.reset();
            return;
        }
        let (now, replicated) = (self.harness.now, self.harness.dispatcher.replicated());
        let starved = self.wait_checker.examine(now, replicated, &self.hosts, &self.service);
        if let Some(starved) = starved {
            let figures = self.harness.dispatcher.figures();
            let trace = self.trace(starved.task.step.job);
            panic!("seed {}, {now:?}: {starved:#?}\n{figures:#?}\n{trace}", self.seed);
        }
    }

    /// Asserts that no long-running task is down for long although there is capacity for it.
    fn check_lasting(&mut self) {
        let state = FleetState {
            replicated: &self.harness.committed,
            hosts: &self.hosts,
            service: &self.service,
            disturbed_at: self.disturbed_at,
        };
        // A task that crashes its workers may wait until its job is given up.
        let jobs =
            self.long_running_jobs.iter().filter(|id| !self.wait_checker.faulty.contains(id));
        if let Some(down_task) = self.downtime_checker.examine(self.harness.now, jobs, &state) {
            let (now, figures) = (self.harness.now, self.harness.dispatcher.figures());
            let trace = self.trace(down_task.task.step.job);
            panic!("seed {}, {now:?}: {down_task:#?}\n{figures:#?}\n{trace}", self.seed);
        }
    }

    /// Returns the lines of an event that the dispatcher logged about a subject.
    pub fn lines_of(&self, event: &str, subject: &str) -> Vec<&str> {
        let named = format!(" {event} ");
        let lines =
            self.log_lines.iter().filter(|(of, text)| of == subject && text.contains(&named));
        lines.map(|(_, text)| text.as_str()).collect()
    }

    /// Returns the dispatcher's log of a job.
    pub fn trace(&self, job: JobId) -> String {
        let about = job.to_string();
        let log_lines = self.log_lines.iter().filter(|(subject, _)| subject.starts_with(&about));
        log_lines.map(|(_, text)| text.as_str()).collect::<Vec<_>>().join("\n")
    }
}
