//! Workers that start again under the name that they had: the adapter makes a life of each, by its birth. Those that say
//! no births may begin to.

use clock::Millis;
use dispatch::{CallError, WorkerAnnouncement};
use workload::WorkerId;

use super::{Fleet, Input, STEP};
use crate::common::NO_ANSWER;

impl Fleet {
    /// Has a worker that said no births say from now on when its life began.
    pub fn announce_incarnation(&mut self, id: &WorkerId) {
        let Some(mut host) = self.hosts.remove(id) else { return };
        let life = WorkerId::with_incarnation(id.name(), Some(self.harness.now.0));
        host.info.id = life.clone();
        host.drop_renewal();
        let number = self.service.number(id);
        self.service.numbers.insert(life.clone(), number);
        self.crashes.rename(id, &life);
        self.hosts.insert(life.clone(), host);
        self.named.insert(id.clone(), life.clone());
        // The renewal that names no birth ends with its connection.
        let (worker, sent_at) = (id.clone(), self.harness.now.since(STEP));
        self.handle(Input::Renewed { worker, sent_at, result: Err(NO_ANSWER()) });
        self.announce(&life);
    }

    /// Gives the life that a call for this id reaches.
    pub(super) fn incarnation_of(&self, id: &WorkerId) -> WorkerId {
        self.named.get(id).unwrap_or(id).clone()
    }

    /// Answers a renewal that names no birth.
    pub(super) fn answer_with_incarnation(&mut self, id: &WorkerId) {
        let life = self.incarnation_of(id);
        let is_there = self.hosts.get(&life).is_some_and(|h| !h.fake.silent);
        let result = if is_there { Err(CallError::Named(life)) } else { Err(NO_ANSWER()) };
        let (worker, sent_at) = (id.clone(), self.harness.now.since(STEP));
        self.handle(Input::Renewed { worker, sent_at, result });
    }

    /// Lets an announcement of a life that is over come late.
    pub fn announce_late(&mut self, id: &WorkerId) {
        let Some(info) = self.hosts.get(id).map(|h| h.info.clone()) else { return };
        self.handle(Input::Announcement(WorkerAnnouncement {
            info,
            leaving: false,
            remaining: None,
            number: 1,
        }));
    }

    /// Gives the workers whose lives are over.
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

    /// How long ago a life began that bears a birth.
    pub fn age(&self, id: &WorkerId) -> Millis {
        self.harness.now.since(Millis(id.incarnation().unwrap_or(0)))
    }
}
