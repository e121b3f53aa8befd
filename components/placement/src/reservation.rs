//! The reservation of a gang that does not fit yet.

use std::collections::BTreeSet;

use clock::Millis;
use model::JobName;

use crate::worker::WorkerIndex;

/// The workers that are reserved for a gang.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobName,
    pub(crate) workers: BTreeSet<WorkerIndex>,
    pub(crate) starts_by: Millis,
    /// The time since which workers have been reserved for the gang.
    pub(crate) since: Millis,
    /// When the reservation was last computed.
    pub(crate) computed_at: Millis,
}
