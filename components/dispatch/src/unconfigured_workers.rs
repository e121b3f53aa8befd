//! Workers that belong to no service of the configuration. Nothing could run there, so they are not called; they are
//! remembered for a while, since a configuration that names their service may come after them.

use std::collections::BTreeMap;

use clock::Millis;
use events::kinds;
use model::Name;
use workload::{Job, WorkerId};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::SILENT_WORKER_RETENTION;
use crate::worker_messages::WorkerAnnouncement;

/// How many of them are remembered; another writer may name any number of workers.
const MOST_STRANGERS: usize = 4_096;

/// The workers that no service is known for, with when they last announced themselves.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnconfiguredWorkers {
    by_id: BTreeMap<WorkerId, (Millis, WorkerAnnouncement)>,
}

impl UnconfiguredWorkers {
    /// Takes in an announcement; tells whether it is the first one of its worker that is remembered.
    fn add(&mut self, now: Millis, news: WorkerAnnouncement) -> bool {
        let id = news.info.id.clone();
        if !self.by_id.contains_key(&id) && self.by_id.len() >= MOST_STRANGERS {
            return false;
        }
        self.by_id.insert(id, (now, news)).is_none()
    }

    pub(crate) fn remove(&mut self, id: &WorkerId) {
        self.by_id.remove(id);
    }

    pub(crate) fn forget_old(&mut self, now: Millis) {
        self.by_id.retain(|_, (at, _)| now.since(*at) < SILENT_WORKER_RETENTION);
    }
}

impl Dispatcher {
    /// Tells whether work may come for the workers of a service.
    pub(crate) fn is_configured(&self, service: &Name) -> bool {
        let named = self.policy.as_ref().is_some_and(|p| p.service(service).is_some());
        let needed = |j: &Job| j.service == *service && !j.state.is_final();
        named || self.replicated.jobs().values().any(needed)
    }

    /// Remembers a worker that no service is known for.
    pub(crate) fn record_unconfigured(&mut self, m: Moment, news: WorkerAnnouncement) {
        let (id, service) = (news.info.id.clone(), news.info.service.clone());
        if self.unconfigured_workers.add(m.now, news) {
            self.log_event(&kinds::WORKER_UNCONFIGURED, id, format!("service={service:?}"));
        }
    }

    /// Takes in those whose service a new configuration names.
    pub(crate) fn admit_configured(&mut self, m: Moment) {
        let unconfigured_workers = std::mem::take(&mut self.unconfigured_workers);
        for (_, news) in unconfigured_workers.by_id.into_values() {
            self.on_announcement(m, news);
        }
    }
}
