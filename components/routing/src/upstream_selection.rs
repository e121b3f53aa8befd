//! Which of the upstreams with room gets the next request.

use clock::Millis;
use rand::Rng;
use rand::rngs::StdRng;

use crate::upstream::Target;

/// How an upstream is picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// The one with the fewest of this instance's requests.
    LeastInFlight,
    /// The one where the wait is expected to be shortest: its latency times the requests there.
    ShortestWait,
    /// Of two at random, the one that last told the smaller load.
    TwoChoices,
}

/// A target that may be picked, with the share this instance has of it.
pub(crate) struct Candidate<'a> {
    pub(crate) place: usize,
    pub(crate) target: &'a Target,
    pub(crate) share: u32,
}

impl SelectionPolicy {
    /// Picks among `candidates` those with room.
    pub(crate) fn choose<'a>(
        self,
        now: Millis,
        rng: &mut StdRng,
        candidates: impl Iterator<Item = Candidate<'a>>,
    ) -> Option<usize> {
        let with_room = candidates.filter(|c| c.target.room(now, c.share) > 0);
        match self {
            SelectionPolicy::LeastInFlight => smallest(rng, with_room, |t| u64::from(t.in_flight)),
            SelectionPolicy::ShortestWait => smallest(rng, with_room, Target::cost),
            SelectionPolicy::TwoChoices => {
                let all: Vec<Candidate<'a>> = with_room.collect();
                two_choices(rng, &all)
            }
        }
    }
}

/// Gives the place with the smallest key, a random one among equals, so that instances that see
/// the same do not all pick the same.
fn smallest<'a>(
    rng: &mut StdRng,
    candidates: impl Iterator<Item = Candidate<'a>>,
    key: impl Fn(&Target) -> u64,
) -> Option<usize> {
    let mut best: Option<(u64, usize)> = None;
    let mut equals = 0;
    for c in candidates {
        let k = key(c.target);
        match best {
            Some((b, _)) if k > b => {}
            Some((b, _)) if k == b => {
                equals += 1;
                if rng.random_range(0..=equals) == 0 {
                    best = Some((k, c.place));
                }
            }
            _ => {
                best = Some((k, c.place));
                equals = 0;
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
    Some(if load(a) <= load(b) { a.place } else { b.place })
}
