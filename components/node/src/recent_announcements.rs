//! What workers have announced at this instance lately, for a leader that has not heard it.

use std::collections::BTreeMap;

use clock::Millis;
use dispatch::WorkerAnnouncement;
use workload::WorkerId;

/// How long an announcement is told to new leaders: a little more than two of a worker's periods.
/// Older news may be of lives that are long over.
const NEWS_FRESH: Millis = Millis(4_000);

/// The last announcement of each worker, and when it came.
#[derive(Debug, Default)]
pub(crate) struct RecentAnnouncements {
    by_worker: BTreeMap<WorkerId, (Millis, WorkerAnnouncement)>,
}

impl RecentAnnouncements {
    /// Takes in an announcement, unless a newer one came before it.
    pub(crate) fn add(&mut self, now: Millis, news: WorkerAnnouncement) {
        let known = self.by_worker.get(&news.info.id);
        if known.is_some_and(|(_, known)| known.number > news.number) {
            return;
        }
        self.by_worker.insert(news.info.id.clone(), (now, news));
    }

    /// Drops what a worker that has left announced; where it does not say which life it was, that of lives that leave.
    pub(crate) fn remove(&mut self, worker: &WorkerId) {
        let is_meant = |id: &WorkerId, news: &WorkerAnnouncement| {
            id == worker || (worker.may_refer_to(id) && news.leaving)
        };
        self.by_worker.retain(|id, (_, news)| !is_meant(id, news));
    }

    /// Gives what may still be told.
    pub(crate) fn fresh(&self, now: Millis) -> Vec<WorkerAnnouncement> {
        let fresh = self.by_worker.values().filter(|(at, _)| is_fresh(now, *at));
        fresh.map(|(_, news)| news.clone()).collect()
    }

    pub(crate) fn forget_old(&mut self, now: Millis) {
        self.by_worker.retain(|_, (at, _)| is_fresh(now, *at));
    }
}

fn is_fresh(now: Millis, at: Millis) -> bool {
    now.since(at) < NEWS_FRESH
}
