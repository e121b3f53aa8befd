//! The recent announcements of workers at this instance, kept to be sent to a new leader.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use dispatch::WorkerAnnouncement;
use workload::WorkerId;

/// How long an announcement is kept for new leaders: a little more than two announcement periods of a
/// worker. Older ones may come from incarnations that ended long ago.
const MAX_ANNOUNCEMENT_AGE: Millis = Millis(4_000);

/// The last announcement of each worker and when it arrived.
#[derive(Debug, Default)]
pub(crate) struct RecentAnnouncements {
    by_worker: BTreeMap<WorkerId, (Millis, WorkerAnnouncement)>,
    /// The workers whose last announcement has not been sent to the leader.
    unsent: BTreeSet<WorkerId>,
}

impl RecentAnnouncements {
    /// Records an announcement, unless a newer one of the same worker is known.
    pub(crate) fn add(&mut self, now: Millis, announcement: WorkerAnnouncement) {
        let known = self.by_worker.get(&announcement.info.id);
        if known.is_some_and(|(_, known)| known.number > announcement.number) {
            return;
        }
        self.unsent.insert(announcement.info.id.clone());
        self.by_worker.insert(announcement.info.id.clone(), (now, announcement));
    }

    /// Returns the announcements that were added since the last call, to be sent to the leader in
    /// one message.
    pub(crate) fn take_unsent(&mut self) -> Vec<WorkerAnnouncement> {
        let unsent = std::mem::take(&mut self.unsent);
        let added = unsent.iter().filter_map(|id| self.by_worker.get(id));
        added.map(|(_, announcement)| announcement.clone()).collect()
    }

    /// Removes the announcement of a worker that has left. If `worker` names no incarnation, the announcements of
    /// all its incarnations that are leaving are removed.
    pub(crate) fn remove(&mut self, worker: &WorkerId) {
        let is_meant = |id: &WorkerId, announcement: &WorkerAnnouncement| {
            id == worker || (worker.may_refer_to(id) && announcement.leaving)
        };
        self.by_worker.retain(|id, (_, announcement)| !is_meant(id, announcement));
    }

    /// Returns the announcements that are recent enough for a new leader.
    pub(crate) fn recent(&self, now: Millis) -> Vec<WorkerAnnouncement> {
        let fresh = self.by_worker.values().filter(|(at, _)| is_recent(now, *at));
        fresh.map(|(_, announcement)| announcement.clone()).collect()
    }

    pub(crate) fn remove_old(&mut self, now: Millis) {
        self.by_worker.retain(|_, (at, _)| is_recent(now, *at));
    }
}

fn is_recent(now: Millis, at: Millis) -> bool {
    now.since(at) < MAX_ANNOUNCEMENT_AGE
}
