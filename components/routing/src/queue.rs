//! The requests that wait in an instance, by class.

use std::collections::{BTreeMap, VecDeque};

use clock::Millis;
use model::Class;

use crate::request::RequestInfo;

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) info: RequestInfo,
    pub(crate) since: Millis,
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

    /// Gives the request that is next.
    pub(crate) fn first(&self) -> Option<&Waiting> {
        self.lines.values().find_map(|line| line.front())
    }

    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        self.lines.values_mut().find_map(|line| line.pop_front())
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
