//! What a control instance holds for the term in which it leads.

use std::collections::{BTreeMap, VecDeque};

use clock::Millis;
use dispatch::Dispatcher;
use model::InstanceId;

/// Where the answer to a call at the leader goes.
pub(crate) enum Asker {
    Peer { id: InstanceId, token: u64 },
    Own(u64),
}

/// A term in which this instance leads. It is dropped as a whole when the term ends, so that nothing
/// of it reaches a later one.
pub(crate) struct LeaderTerm {
    pub(crate) term: u64,
    pub(crate) dispatcher: Dispatcher,
    askers: BTreeMap<u64, Asker>,
    last_token: u64,
    /// When the batches under way were proposed.
    proposed_at: VecDeque<(u64, Millis)>,
}

impl LeaderTerm {
    pub(crate) fn new(term: u64, dispatcher: Dispatcher) -> LeaderTerm {
        LeaderTerm {
            term,
            dispatcher,
            askers: BTreeMap::new(),
            last_token: 0,
            proposed_at: VecDeque::new(),
        }
    }

    /// Remembers who asks, and gives the dispatcher's token for the call: tokens of different askers
    /// may be the same.
    pub(crate) fn add_asker(&mut self, asker: Asker) -> u64 {
        self.last_token += 1;
        self.askers.insert(self.last_token, asker);
        self.last_token
    }

    /// Takes out who waits for the answer to a call.
    pub(crate) fn take_asker(&mut self, token: u64) -> Option<Asker> {
        self.askers.remove(&token)
    }

    pub(crate) fn note_proposed(&mut self, now: Millis, batch: u64) {
        self.proposed_at.push_back((batch, now));
    }

    /// Takes out the oldest batch under way if it is committed together with `batch`, and gives when
    /// it was proposed.
    pub(crate) fn pop_committed(&mut self, batch: u64) -> Option<Millis> {
        let (oldest, at) = *self.proposed_at.front()?;
        if oldest > batch {
            return None;
        }
        self.proposed_at.pop_front();
        Some(at)
    }
}
