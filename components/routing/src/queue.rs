//! The requests that wait in an instance, by class.

use std::collections::{BTreeMap, VecDeque};

use clock::Millis;
use model::{Class, Name};

use crate::request::RequestInfo;

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) info: RequestInfo,
    pub(crate) since: Millis,
}

/// Where a request stands in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spot {
    class: Class,
    place: usize,
}

/// First come, first served within each class; the more urgent class first.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    lines: BTreeMap<Class, VecDeque<Waiting>>,
}

impl WaitQueue {
    pub(crate) fn push(&mut self, now: Millis, info: RequestInfo) {
        self.lines.entry(info.class).or_default().push_back(Waiting { info, since: now });
    }

    /// Gives where the first request stands that may go.
    pub(crate) fn find(&self, may_go: impl Fn(&Waiting) -> bool) -> Option<Spot> {
        self.lines.iter().find_map(|(&class, line)| {
            let place = line.iter().position(&may_go)?;
            Some(Spot { class, place })
        })
    }

    pub(crate) fn get(&self, spot: Spot) -> Option<&Waiting> {
        self.lines.get(&spot.class)?.get(spot.place)
    }

    pub(crate) fn remove(&mut self, spot: Spot) -> Option<Waiting> {
        self.lines.get_mut(&spot.class)?.remove(spot.place)
    }

    /// Tells whether a newcomer may go to an upstream, and nobody who goes before it may.
    pub(crate) fn leaves_to(&self, newcomer: &RequestInfo, upstream: &Name) -> bool {
        let mut before = self.lines.range(..=newcomer.class).flat_map(|(_, line)| line);
        newcomer.may_go_to(upstream) && !before.any(|w| w.info.may_go_to(upstream))
    }

    /// Gives how many wait that go before a newcomer of `class`.
    pub(crate) fn ahead_of(&self, class: Class) -> usize {
        self.lines.range(..=class).map(|(_, line)| line.len()).sum()
    }

    pub(crate) fn len(&self) -> usize {
        self.lines.values().map(VecDeque::len).sum()
    }

    /// Takes out the newest request of the least urgent class below `class`.
    pub(crate) fn shed_below(&mut self, class: Class) -> Option<Waiting> {
        let mut lower = self.lines.iter_mut().rev().take_while(|(c, _)| **c > class);
        lower.find_map(|(_, line)| line.pop_back())
    }

    /// Takes out every request for which `gone` holds.
    pub(crate) fn take_out(&mut self, gone: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut out = Vec::new();
        for line in self.lines.values_mut() {
            let all = std::mem::take(line);
            let (leaving, staying): (Vec<Waiting>, Vec<Waiting>) =
                all.into_iter().partition(|w| gone(w));
            *line = staying.into();
            out.extend(leaving);
        }
        out
    }
}
