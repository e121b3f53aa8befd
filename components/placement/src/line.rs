//! The jobs of one class that one team has waiting, and how a round goes through them.
//!
//! Load pattern: hundreds of a team's jobs wait, and the oldest of them can start nowhere. A round that tried
//! the oldest ones only would never come to those behind, however much is free for them. So each round also
//! tries some of the rest, by turns.

use std::collections::BTreeMap;

use model::JobName;

/// How many stuck jobs a round passes over from the front of a line. It bounds the time that a round takes.
const OLDEST: usize = 64;
/// How many stuck jobs behind those a round passes over: with a round every 20 ms each of 800 such jobs has
/// its turn every second, for a quarter of a round's looks more.
const BY_TURNS: usize = 16;

/// The jobs by age.
#[derive(Clone, Debug, Default)]
pub(crate) struct Line {
    jobs: BTreeMap<u64, JobName>,
    /// The job that was last passed over by turns.
    last_turn: u64,
}

/// Where a round stands in a line.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Walk {
    /// The job behind which it goes on.
    behind: Option<u64>,
    passed: usize,
}

impl Line {
    pub(crate) fn insert(&mut self, order: u64, job: JobName) {
        self.jobs.insert(order, job);
    }

    pub(crate) fn remove(&mut self, order: u64) {
        self.jobs.remove(&order);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Tells whether a round passes over all jobs from the front, none of them by turns.
    pub(crate) fn fits_one_round(&self) -> bool {
        self.jobs.len() <= OLDEST
    }

    /// Gives the job that a round tries next.
    pub(crate) fn next(&self, walk: &Walk) -> Option<&JobName> {
        if walk.passed >= OLDEST + BY_TURNS {
            return None;
        }
        self.first_behind(walk.behind)
    }

    fn first_behind(&self, behind: Option<u64>) -> Option<&JobName> {
        let from = behind.map_or(0, |order| order + 1);
        self.jobs.range(from..).next().map(|(_, job)| job)
    }

    /// Notes that a round passes over the job at `order`.
    pub(crate) fn pass_over(&mut self, order: u64, walk: &mut Walk) {
        walk.passed += 1;
        walk.behind = Some(order);
        if walk.passed == OLDEST {
            walk.behind = Some(self.turns_go_on_behind(order));
        } else if walk.passed > OLDEST {
            self.last_turn = order;
        }
    }

    /// Gives the job behind which the turns go on. Behind the last one they begin anew.
    fn turns_go_on_behind(&self, oldest: u64) -> u64 {
        let goes_on = self.last_turn > oldest && self.first_behind(Some(self.last_turn)).is_some();
        if goes_on { self.last_turn } else { oldest }
    }
}
