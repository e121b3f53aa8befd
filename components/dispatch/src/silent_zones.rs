//! Detects availability zones that have just fallen silent.
//!
//! Load pattern: a zone is cut off at full load. Everything sent there is out of reach for the
//! whole lease, and a held renewal shows the cut only when its wait is over, up to two seconds
//! later. Until then one in five of 900 starts a second would go to the zone, and each delays its
//! whole job. Orders show the cut within 120 to 400 ms. An order without an answer therefore keeps
//! its worker from new work until the next contact, and several such workers keep new work out of
//! the whole zone.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::Name;

use crate::worker_view::WorkerView;

/// The number of workers of a zone that must have fallen silent. Two lost answers at the same time
/// are common.
const MIN_SILENT_WORKERS: usize = 3;
/// The fraction of the zone's workers that must have fallen silent, as one in this many. Where one
/// order in twenty gets no answer, fewer than one worker in fifty is silent at a time.
const SILENT_WORKERS_DIVISOR: usize = 10;
/// How long the silence of a worker counts against its zone. After that each worker of the zone has
/// been called and counts by itself. Workers that are lost for good must not close a healthy zone.
const MAX_SILENCE_AGE: Millis = Millis(2_000);

/// Returns whether a worker has just fallen silent and is not leaving.
fn has_just_fallen_silent(now: Millis, view: &WorkerView) -> bool {
    !view.leaving && view.silent_since.is_some_and(|at| now.since(at) < MAX_SILENCE_AGE)
}

/// Returns whether enough workers have just fallen silent for any zone to count as silent. In a
/// large fleet one or two are silent at most times, and their zones need not be looked up.
pub(crate) fn enough_workers_silent<'a>(
    now: Millis,
    views: impl Iterator<Item = &'a WorkerView>,
) -> bool {
    let silent = views.filter(|v| has_just_fallen_silent(now, v));
    silent.take(MIN_SILENT_WORKERS).count() == MIN_SILENT_WORKERS
}

/// Returns the zones that have just fallen silent. If most zones seem silent, this instance itself
/// was stalled, and none is returned.
pub(crate) fn silent_zones<'a>(
    now: Millis,
    workers: impl Iterator<Item = (&'a Name, &'a WorkerView)>,
) -> BTreeSet<Name> {
    let mut zones: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
    for (zone, view) in workers.filter(|(_, v)| !v.leaving) {
        let (silent, all) = zones.entry(zone).or_default();
        *silent += usize::from(has_just_fallen_silent(now, view));
        *all += 1;
    }
    let fell_silent = |(silent, all): &(usize, usize)| {
        *silent >= MIN_SILENT_WORKERS && *silent * SILENT_WORKERS_DIVISOR >= *all
    };
    let found: BTreeSet<Name> =
        zones.iter().filter(|(_, n)| fell_silent(n)).map(|(zone, _)| (*zone).clone()).collect();
    if found.len() * 2 > zones.len() { BTreeSet::new() } else { found }
}
