//! Workers that restart under the same name. The adapter tells their incarnations apart by the time at which each began.
//! A worker that announced no such time may begin to announce it.

use clock::Millis;
use dispatch::{CallError, WorkerAnnouncement};
use workload::WorkerId;

use super::{Fleet, Input, STEP};
use crate::common::NO_ANSWER;

impl Fleet {
    /// Makes a worker that announced no incarnation announce from now on when its incarnation began.
    pub fn announce_incarnation(&mut self, id: &WorkerId) {
        let Some(mut host) = self.hosts.remove(id) else { return };
        let incarnation = WorkerId::with_incarnation(id.name(), Some(self.harness.now.0));
        host.info.id = incarnation.clone();
        host.drop_renewal();
        let number = self.service.number(id);
        self.service.numbers.insert(incarnation.clone(), number);
        self.crashes.rename(id, &incarnation);
        self.hosts.insert(incarnation.clone(), host);
        self.incarnations.insert(id.clone(), incarnation.clone());
        // The renewal that names no incarnation ends with its connection.
        let (worker, sent_at) = (id.clone(), self.harness.now.since(STEP));
        self.handle(Input::Renewed { worker, sent_at, result: Err(NO_ANSWER()) });
        self.announce(&incarnation);
    }

    /// Returns the incarnation that a call for this id reaches.
    pub(super) fn incarnation_of(&self, id: &WorkerId) -> WorkerId {
        self.incarnations.get(id).unwrap_or(id).clone()
    }

    /// Answers a renewal that names no incarnation.
    pub(super) fn answer_with_incarnation(&mut self, id: &WorkerId) {
        let incarnation = self.incarnation_of(id);
        let is_there = self.hosts.get(&incarnation).is_some_and(|h| !h.fake.silent);
        let result = if is_there { Err(CallError::Named(incarnation)) } else { Err(NO_ANSWER()) };
        let (worker, sent_at) = (id.clone(), self.harness.now.since(STEP));
        self.handle(Input::Renewed { worker, sent_at, result });
    }

    /// Feeds a late announcement of an incarnation that is over.
    pub fn announce_late(&mut self, id: &WorkerId) {
        let Some(info) = self.hosts.get(id).map(|h| h.info.clone()) else { return };
        self.handle(Input::Announcement(WorkerAnnouncement {
            info,
            leaving: false,
            remaining: None,
            number: 1,
        }));
    }

    /// Returns the workers whose incarnations are over.
    pub fn replaced_workers(&self) -> Vec<WorkerId> {
        self.workers(|h| h.replaced)
    }

    /// Asserts that no task runs in two places.
    pub fn check_no_duplicate_runs(&self) {
        let mut seen = std::collections::BTreeMap::new();
        for (id, host) in self.hosts.iter().filter(|(_, h)| !h.crashed) {
            for task in host.fake.running.keys() {
                let other = seen.insert(*task, id);
                assert!(
                    other.is_none(),
                    "{task} runs on {id} and on {other:?}, {:?}",
                    self.harness.now
                );
            }
        }
    }

    /// Returns the age of an incarnation that says when it began.
    pub fn age(&self, id: &WorkerId) -> Millis {
        self.harness.now.since(Millis(id.incarnation().unwrap_or(0)))
    }
}
