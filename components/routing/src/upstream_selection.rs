//! Selects the upstream for the next request among those with free slots.

use clock::Millis;
use rand::Rng;
use rand::rngs::StdRng;

use crate::upstream::Target;

/// The policy by which an upstream is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// The upstream with the fewest requests of this instance in flight.
    LeastInFlight,
    /// The upstream with the shortest expected wait: its latency times the requests in flight
    /// there.
    ShortestWait,
    /// Of two random upstreams, the one that last reported the lower load.
    TwoChoices,
}

/// An upstream that may be selected, with this instance's share of it.
pub(crate) struct Candidate<'a> {
    pub(crate) index: usize,
    pub(crate) target: &'a Target,
    pub(crate) share: u32,
}

impl SelectionPolicy {
    /// Selects an upstream among the `candidates` with free slots.
    pub(crate) fn choose<'a>(
        self,
        now: Millis,
        rng: &mut StdRng,
        candidates: impl Iterator<Item = Candidate<'a>>,
    ) -> Option<usize> {
        let available = candidates.filter(|c| c.target.free_slots(now, c.share) > 0);
        match self {
            SelectionPolicy::LeastInFlight => smallest(rng, available, |t| u64::from(t.in_flight)),
            SelectionPolicy::ShortestWait => smallest(rng, available, Target::cost),
            SelectionPolicy::TwoChoices => {
                let all: Vec<Candidate<'a>> = available.collect();
                two_choices(rng, &all)
            }
        }
    }
}

/// Returns the index with the smallest key. Ties are broken at random, so that instances that see
/// the same state do not all select the same upstream.
fn smallest<'a>(
    rng: &mut StdRng,
    candidates: impl Iterator<Item = Candidate<'a>>,
    key: impl Fn(&Target) -> u64,
) -> Option<usize> {
    let mut best: Option<(u64, usize)> = None;
    let mut ties = 0;
    for c in candidates {
        let k = key(c.target);
        match best {
            Some((b, _)) if k > b => {}
            Some((b, _)) if k == b => {
                ties += 1;
                if rng.random_range(0..=ties) == 0 {
                    best = Some((k, c.index));
                }
            }
            _ => {
                best = Some((k, c.index));
                ties = 0;
            }
        }
    }
    best.map(|b| b.1)
}

fn two_choices(rng: &mut StdRng, all: &[Candidate<'_>]) -> Option<usize> {
    if all.is_empty() {
        return None;
    }
    let a = &all[rng.random_range(0..all.len())];
    let b = &all[rng.random_range(0..all.len())];
    let load = |c: &Candidate<'_>| c.target.reported_load.max(c.target.in_flight);
    Some(if load(a) <= load(b) { a.index } else { b.index })
}
