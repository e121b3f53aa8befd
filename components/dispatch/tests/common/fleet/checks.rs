//! What the fleet checks at each step.

use workload::JobId;

use super::Fleet;
use crate::common::away::Around;

impl Fleet {
    /// Looks for what must not be: a worker over its room, and work that stands beside room for it.
    pub(super) fn check(&mut self) {
        for (id, host) in &self.hosts {
            let (used, capacity) = (host.used(), host.info.capacity);
            assert!(used.fits(&capacity), "{id} is over its room: {used} of {capacity}");
        }
        if !self.has_leader || self.hosts.values().any(|h| h.failing) {
            self.note_trouble();
        }
        self.check_lasting();
        if !self.has_leader {
            self.watch.reset();
            return;
        }
        let (now, replicated) = (self.bench.now, self.bench.dispatcher.replicated());
        let standing = self.watch.look(now, replicated, &self.hosts, &self.service);
        if let Some(standing) = standing {
            let figures = self.bench.dispatcher.figures();
            let trace = self.trace(standing.task.step.job);
            panic!("seed {}, {now:?}: {standing:#?}\n{figures:#?}\n{trace}", self.seed);
        }
    }

    /// Checks that no task that lasts is away for long beside room.
    fn check_lasting(&mut self) {
        let around = Around {
            replicated: &self.bench.committed,
            hosts: &self.hosts,
            service: &self.service,
            trouble_at: self.trouble_at,
        };
        // A task that ends its workers may wait until that is understood.
        let jobs = self.lasting.iter().filter(|id| !self.watch.faulty.contains(id));
        if let Some(missing) = self.away.look(self.bench.now, jobs, &around) {
            let (now, figures) = (self.bench.now, self.bench.dispatcher.figures());
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
