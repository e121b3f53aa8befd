//! Workers whose service is not configured. Nothing could run there, so they are not called. They
//! are remembered for a while, since a configuration that names their service may arrive after
//! them.

use std::collections::BTreeMap;

use clock::Millis;
use events::kinds;
use model::Name;
use workload::{Job, WorkerId};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::SILENT_WORKER_RETENTION;
use crate::worker_messages::WorkerAnnouncement;

/// The maximum number of remembered workers, since another writer may announce any number of them.
const MAX_UNCONFIGURED_WORKERS: usize = 4_096;

/// The workers whose service is not configured, with the time of their last announcement.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnconfiguredWorkers {
    by_id: BTreeMap<WorkerId, (Millis, WorkerAnnouncement)>,
}

impl UnconfiguredWorkers {
    /// Adds an announcement; returns whether it is the first one remembered of its worker.
    fn add(&mut self, now: Millis, announcement: WorkerAnnouncement) -> bool {
        let id = announcement.info.id.clone();
        if !self.by_id.contains_key(&id) && self.by_id.len() >= MAX_UNCONFIGURED_WORKERS {
            return false;
        }
        self.by_id.insert(id, (now, announcement)).is_none()
    }

    pub(crate) fn remove(&mut self, id: &WorkerId) {
        self.by_id.remove(id);
    }

    pub(crate) fn forget_old(&mut self, now: Millis) {
        self.by_id.retain(|_, (at, _)| now.since(*at) < SILENT_WORKER_RETENTION);
    }
}

impl Dispatcher {
    /// Returns whether there may be work for the workers of a service.
    pub(crate) fn is_configured(&self, service: &Name) -> bool {
        let named = self.policy.as_ref().is_some_and(|p| p.service(service).is_some());
        let needed = |j: &Job| j.service == *service && !j.state.is_final();
        named || self.replicated.jobs().values().any(needed)
    }

    /// Remembers a worker whose service is not configured.
    pub(crate) fn record_unconfigured(&mut self, m: Moment, announcement: WorkerAnnouncement) {
        let (id, service) = (announcement.info.id.clone(), announcement.info.service.clone());
        if self.unconfigured_workers.add(m.now, announcement) {
            self.log_event(&kinds::WORKER_UNCONFIGURED, id, format!("service={service:?}"));
        }
    }

    /// Admits the workers whose service a new configuration names.
    pub(crate) fn admit_configured(&mut self, m: Moment) {
        let unconfigured_workers = std::mem::take(&mut self.unconfigured_workers);
        for (_, announcement) in unconfigured_workers.by_id.into_values() {
            self.on_announcement(m, announcement);
        }
    }
}
