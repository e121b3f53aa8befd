//! What a gang that found no room holds until it does.

use std::collections::BTreeSet;

use clock::Millis;
use model::JobName;

use crate::worker::WorkerIndex;

/// The workers that a gang waits for.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobName,
    pub(crate) workers: BTreeSet<WorkerIndex>,
    pub(crate) starts_by: Millis,
    pub(crate) made_at: Millis,
}
