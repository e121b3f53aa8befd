//! Which availability zones have just fallen silent.
//!
//! Load pattern: a zone is cut off at full load. What was on its way there is out of reach for the whole
//! lease, and a renewal that waits tells of the cut only after its wait, up to two seconds later. Until
//! then every fifth start of 900 a second would follow into the cut, with the whole job behind it. Orders
//! tell within 120 to 400 ms; so an order without an answer makes its worker wait for a sign of life, and
//! several such workers of a zone keep new work out of the whole zone.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::Name;

use crate::worker_view::WorkerView;

/// How many workers of a zone must have fallen silent: two lost answers at once are an everyday event.
const FEWEST: usize = 3;
/// And what part of the zone's workers, as one in so many. Where one order in twenty gets no answer, fewer than
/// one worker in fifty is silent at a time.
const ONE_IN: usize = 10;
/// For how long the silence of a worker speaks of its zone. After that each worker of the zone has been
/// asked, and counts by itself; workers that are lost for good must not close a zone that is well.
const FRESH: Millis = Millis(2_000);

/// Gives the zones that have just fallen silent. Where most zones seem to, it is this instance that was
/// away, and none counts.
pub(crate) fn silent_zones<'a>(
    now: Millis,
    workers: impl Iterator<Item = (&'a Name, &'a WorkerView)>,
) -> BTreeSet<Name> {
    let mut zones: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
    for (zone, view) in workers.filter(|(_, v)| !v.leaving) {
        let (silent, all) = zones.entry(zone).or_default();
        let fresh = view.silent_since.is_some_and(|at| now.since(at) < FRESH);
        *silent += usize::from(fresh);
        *all += 1;
    }
    let fell_silent =
        |(silent, all): &(usize, usize)| *silent >= FEWEST && *silent * ONE_IN >= *all;
    let found: BTreeSet<Name> =
        zones.iter().filter(|(_, n)| fell_silent(n)).map(|(zone, _)| (*zone).clone()).collect();
    if found.len() * 2 > zones.len() { BTreeSet::new() } else { found }
}
