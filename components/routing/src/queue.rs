//! The queue of requests that wait in an instance, by class.

use std::collections::{BTreeMap, VecDeque};

use clock::Millis;
use model::{Class, Name};

use crate::request::RequestInfo;

/// A request in the queue.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) info: RequestInfo,
    pub(crate) since: Millis,
}

/// The position of a request in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Position {
    class: Class,
    index: usize,
}

/// The queue: the more urgent class first, and first come, first served within each class.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    queues: BTreeMap<Class, VecDeque<WaitingRequest>>,
}

impl WaitQueue {
    pub(crate) fn push(&mut self, now: Millis, info: RequestInfo) {
        self.queues.entry(info.class).or_default().push_back(WaitingRequest { info, since: now });
    }

    /// Returns the position of the first request for which `may_go` holds.
    pub(crate) fn find(&self, may_go: impl Fn(&WaitingRequest) -> bool) -> Option<Position> {
        self.queues.iter().find_map(|(&class, queue)| {
            let index = queue.iter().position(&may_go)?;
            Some(Position { class, index })
        })
    }

    pub(crate) fn get(&self, position: Position) -> Option<&WaitingRequest> {
        self.queues.get(&position.class)?.get(position.index)
    }

    pub(crate) fn remove(&mut self, position: Position) -> Option<WaitingRequest> {
        self.queues.get_mut(&position.class)?.remove(position.index)
    }

    /// Returns whether a new request may go to an upstream and no waiting request that precedes it
    /// may.
    pub(crate) fn is_first_for(&self, newcomer: &RequestInfo, upstream: &Name) -> bool {
        let mut before = self.queues.range(..=newcomer.class).flat_map(|(_, queue)| queue);
        newcomer.may_go_to(upstream) && !before.any(|w| w.info.may_go_to(upstream))
    }

    /// Returns how many waiting requests precede a new one of `class`.
    pub(crate) fn ahead_of(&self, class: Class) -> usize {
        self.queues.range(..=class).map(|(_, queue)| queue.len()).sum()
    }

    pub(crate) fn len(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    /// Removes the newest request of the least urgent class below `class`.
    pub(crate) fn shed_below(&mut self, class: Class) -> Option<WaitingRequest> {
        let mut lower = self.queues.iter_mut().rev().take_while(|(c, _)| **c > class);
        lower.find_map(|(_, queue)| queue.pop_back())
    }

    /// Removes all requests for which `matches` holds.
    pub(crate) fn remove_matching(
        &mut self,
        matches: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let mut out = Vec::new();
        for queue in self.queues.values_mut() {
            let all = std::mem::take(queue);
            let (leaving, staying): (Vec<WaitingRequest>, Vec<WaitingRequest>) =
                all.into_iter().partition(|w| matches(w));
            *queue = staying.into();
            out.extend(leaving);
        }
        out
    }
}
