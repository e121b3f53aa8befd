//! What the fleet checks at each step.

use workload::JobId;

use super::Fleet;
use crate::common::downtime_checker::FleetState;

impl Fleet {
    /// Looks for what must not be: a worker over its room, and work that stands beside room for it.
    pub(super) fn check(&mut self) {
        for (id, host) in &self.hosts {
            let (used, capacity) = (host.used(), host.info.capacity);
            assert!(used.fits(&capacity), "{id} is over its room: {used} of {capacity}");
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
        let standing = self.wait_checker.examine(now, replicated, &self.hosts, &self.service);
        if let Some(standing) = standing {
            let figures = self.harness.dispatcher.figures();
            let trace = self.trace(standing.task.step.job);
            panic!("seed {}, {now:?}: {standing:#?}\n{figures:#?}\n{trace}", self.seed);
        }
    }

    /// Checks that no task that lasts is away for long beside room.
    fn check_lasting(&mut self) {
        let around = FleetState {
            replicated: &self.harness.committed,
            hosts: &self.hosts,
            service: &self.service,
            disturbed_at: self.disturbed_at,
        };
        // A task that ends its workers may wait until that is understood.
        let jobs =
            self.long_running_jobs.iter().filter(|id| !self.wait_checker.faulty.contains(id));
        if let Some(missing) = self.downtime_checker.examine(self.harness.now, jobs, &around) {
            let (now, figures) = (self.harness.now, self.harness.dispatcher.figures());
            let trace = self.trace(missing.task.step.job);
            panic!("seed {}, {now:?}: {missing:#?}\n{figures:#?}\n{trace}", self.seed);
        }
    }

    /// Gives what the dispatcher told of a job.
    pub fn trace(&self, job: JobId) -> String {
        let about = job.to_string();
        let notes = self.notes.iter().filter(|(subject, _)| subject.starts_with(&about));
        notes.map(|(_, text)| text.as_str()).collect::<Vec<_>>().join("\n")
    }
}
