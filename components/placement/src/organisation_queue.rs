//! The jobs of one class that one organisation has waiting, and how a round goes through them.
//!
//! Load pattern: hundreds of an organisation's jobs wait, and the oldest of them can start nowhere. A round that tried
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
    lap: Lap,
}

/// How far the turns have come in trying every job once. Without it the planner could not tell when nothing is
/// left to try, and would plan for good beside a long line that is stuck.
#[derive(Clone, Copy, Debug, Default)]
struct Lap {
    /// The planner's number for it; another one has begun once that is higher.
    number: u64,
    /// The job behind which it began.
    from: u64,
    has_begun_anew: bool,
    is_over: bool,
}

impl Lap {
    /// Notes that the turns have come to the job at `order`.
    fn come_to(&mut self, order: u64) {
        self.is_over |= self.has_begun_anew && order >= self.from;
    }
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

    /// Tells whether the lap tried every job, after a round that went as far as it may.
    pub(crate) fn is_tried(&self) -> bool {
        self.jobs.len() <= OLDEST || self.lap.is_over
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

    /// Notes that a round of a lap passes over the job at `order`.
    pub(crate) fn pass_over(&mut self, order: u64, walk: &mut Walk, lap: u64) {
        walk.passed += 1;
        walk.behind = Some(order);
        if walk.passed == OLDEST {
            walk.behind = Some(self.go_on_behind(order, lap));
        } else if walk.passed > OLDEST {
            self.last_turn = order;
            self.lap.come_to(order);
        }
    }

    /// Gives the job behind which the turns go on. Behind the last one they begin anew.
    fn go_on_behind(&mut self, oldest: u64, lap: u64) -> u64 {
        let goes_on = self.last_turn > oldest && self.first_behind(Some(self.last_turn)).is_some();
        let behind = if goes_on { self.last_turn } else { oldest };
        if self.lap.number != lap {
            self.lap = Lap { number: lap, from: behind, ..Lap::default() };
        } else if !goes_on {
            self.lap.has_begun_anew = true;
        }
        self.lap.come_to(behind);
        behind
    }
}
