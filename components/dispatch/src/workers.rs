//! Handles workers that join, leave, fall silent or are lost.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Millis;
use events::kinds;
use model::Size;
use workload::{Command, JobId, TaskKey, WorkerId};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::SILENT_WORKER_RETENTION;
use crate::silent_zones::{enough_workers_silent, silent_zones};
use crate::worker_messages::WorkerAnnouncement;
use crate::worker_view::WorkerView;

/// How the end of a worker's incarnation was detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IncarnationEnd {
    /// Another incarnation answers at its address.
    Replaced,
    /// It runs nothing and was out of contact for long.
    Forgotten,
}

impl IncarnationEnd {
    fn reason(self) -> &'static str {
        match self {
            IncarnationEnd::Replaced => "another life answered",
            IncarnationEnd::Forgotten => "silent for long and runs nothing",
        }
    }
}

impl Dispatcher {
    /// Handles a worker's announcement.
    pub(crate) fn on_announcement(&mut self, m: Moment, announcement: WorkerAnnouncement) {
        let id = announcement.info.id.clone();
        match id.incarnation() {
            Some(_) => self.apply_incarnation(m, &announcement.info),
            // It was forwarded by an instance that does not read incarnations yet. The worker
            // itself announces its incarnation.
            None if self.knows_incarnation(&id) => return,
            None => {}
        }
        if !self.worker_views.contains_key(&id) && !self.is_configured(&announcement.info.service) {
            self.record_unconfigured(m, announcement);
            return;
        }
        if !self.worker_views.contains_key(&id) {
            // An earlier incarnation on the same machine is not removed yet: announcements may be
            // old and arrive late. Its address shows the change when the new incarnation answers
            // there, or else its lease expires.
            self.propose(Command::WorkerJoined(announcement.info.clone()));
            self.worker_views.insert(id.clone(), WorkerView::new(m.now, m.now));
            let details =
                format!("address={} zone={}", announcement.info.address, announcement.info.zone);
            self.log_event(&kinds::WORKER_JOINED, &id, details);
        }
        let Some(view) = self.worker_views.get_mut(&id) else { return };
        if announcement.number < view.announcement_number {
            return;
        }
        view.announcement_number = announcement.number;
        view.last_contact = m.now;
        self.update_capacity(&id, announcement.info.capacity);
        let Some(view) = self.worker_views.get_mut(&id) else { return };
        if announcement.leaving && !view.leaving {
            view.leaving = true;
            let left = announcement.remaining.unwrap_or_default().0;
            self.log_event(&kinds::WORKER_LEAVES, &id, format!("remaining_ms={left}"));
            self.stop_long_runs(m, &id, announcement.remaining);
        }
    }

    /// Updates a worker's capacity, which may shrink and grow while it runs.
    fn update_capacity(&mut self, id: &WorkerId, capacity: Size) {
        let Some(had) = self.replicated.worker(id).map(|w| w.info.capacity) else { return };
        if had != capacity {
            self.propose(Command::Resized { worker: id.clone(), capacity });
            self.log_event(&kinds::WORKER_RESIZED, id, format!("had={had:?} has={capacity:?}"));
        }
    }

    /// Stops the runs that would not end in time on a leaving worker.
    fn stop_long_runs(&mut self, m: Moment, id: &WorkerId, remaining: Option<Millis>) {
        let Some(worker) = self.replicated.worker(id) else { return };
        let runs: Vec<(TaskKey, u32)> = worker.runs.iter().map(|(k, r)| (*k, *r)).collect();
        let stays = remaining.unwrap_or(self.limits.leaving_notice);
        for (task, run) in runs {
            let Some(spec) = self.replicated.step_spec(&task.step) else { continue };
            let since =
                self.worker_views.get(id).and_then(|v| v.orders.get(&task)).map(|o| o.since);
            let ran = m.now.since(since.unwrap_or(m.now));
            let too_long = spec.estimate.since(ran) > stays;
            if spec.long_running || (too_long && spec.checkpointing) {
                self.stop_when_committed(id.clone(), task, run);
            }
        }
    }

    /// Handles the message that a worker shuts down now.
    pub(crate) fn on_left(&mut self, m: Moment, id: &WorkerId) {
        self.unconfigured_workers.remove(id);
        // A message without an incarnation may come late from an earlier one, so it applies only to
        // one that has announced that it is leaving.
        let is_addressed = |incarnation, v: &WorkerView| {
            incarnation == id || (id.may_refer_to(incarnation) && v.leaving)
        };
        let addressed = self.worker_views.iter().filter(|(id, v)| is_addressed(*id, v));
        let addressed: Vec<WorkerId> = addressed.map(|(id, _)| id.clone()).collect();
        for id in addressed {
            let Some(view) = self.worker_views.get_mut(&id) else { continue };
            view.leaving = true;
            view.renew_at = view.renew_at.min(m.now);
        }
    }

    /// Ends an incarnation of a worker with all its runs.
    pub(crate) fn worker_gone(&mut self, id: &WorkerId, end: IncarnationEnd) {
        let why = end.reason();
        self.log_lost_runs(id, why);
        let Some(view) = self.worker_views.get(id) else { return };
        let (leaving, saved) = (view.leaving, saved_checkpoints(view));
        match (leaving, end) {
            (true, _) => self.worker_left(id, saved),
            (false, IncarnationEnd::Replaced) => self.worker_crashed(id, saved),
            (false, IncarnationEnd::Forgotten) => self.worker_lost(id),
        }
        self.worker_views.remove(id);
        self.log_event(&kinds::WORKER_GONE, id, format!("why={why:?}"));
    }

    /// Ends the incarnation of a worker that had announced that it would leave: nothing that ran
    /// there is suspect.
    fn worker_left(&mut self, id: &WorkerId, saved: Vec<(TaskKey, Arc<str>)>) {
        self.clean_up_runs_of(id);
        self.propose(Command::WorkerGone { worker: id.clone(), saved });
    }

    /// Logs the runs that end with a worker's incarnation or lease. The worker can no longer report
    /// them, so this is the only record of which task was there, how old its run was, and what ran
    /// beside it.
    fn log_lost_runs(&mut self, id: &WorkerId, why: &str) {
        let (Some(worker), Some(view)) = (self.replicated.worker(id), self.worker_views.get(id))
        else {
            return;
        };
        let now = self.now();
        let lost = worker.runs.iter().map(|(task, run)| {
            let order = view.orders.get(task);
            let age = order.map_or(Millis::ZERO, |o| now.since(o.since));
            let stage = order.map_or("none", |o| o.stage.name());
            let details = format!(
                "run={run} worker={id} why={why:?} age_ms={} stage={stage} beside={}",
                age.0,
                worker.runs.len() - 1,
            );
            (*task, details)
        });
        for (task, details) in lost.collect::<Vec<_>>() {
            self.log_event(&kinds::RUN_LOST, task, details);
        }
    }

    pub(crate) fn clean_up_runs_of(&mut self, id: &WorkerId) {
        let Some(worker) = self.replicated.worker(id) else { return };
        let jobs: Vec<JobId> = worker.runs.keys().map(|k| k.step.job).collect();
        self.jobs_to_clean_up.extend(jobs);
    }

    /// Renews the leases that are due, resends unanswered orders, and gives up expired leases.
    pub(crate) fn maintain_workers(&mut self, m: Moment) {
        self.update_silent_zones(m);
        let due = self.worker_views.iter().filter(|(_, v)| v.needs_service(m.now));
        let ids: Vec<WorkerId> = due.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.service_worker(m, &id);
        }
    }

    /// Updates which zones have just fallen silent.
    fn update_silent_zones(&mut self, m: Moment) {
        let on = self.limits.mechanisms.avoids_silent_zones;
        self.silent_zones = match on && enough_workers_silent(m.now, self.worker_views.values()) {
            true => {
                let zone = |id: &WorkerId| self.replicated.worker(id).map(|w| &w.info.zone);
                let workers = self.worker_views.iter().filter_map(|(id, v)| Some((zone(id)?, v)));
                silent_zones(m.now, workers)
            }
            false => BTreeSet::new(),
        };
    }

    fn service_worker(&mut self, m: Moment, id: &WorkerId) {
        let runs = self.replicated.worker(id).is_some_and(|w| !w.runs.is_empty());
        let Some(view) = self.worker_views.get(id) else { return };
        if runs && view.has_lapsed(m.now) {
            self.expire_lease(id);
        }
        let Some(view) = self.worker_views.get(id) else { return };
        if !runs && !view.in_contact && m.now.since(view.last_contact) >= SILENT_WORKER_RETENTION {
            self.worker_gone(id, IncarnationEnd::Forgotten);
            return;
        }
        if !view.renewal_in_flight && m.now >= view.renew_at {
            self.send_renewal(m, id);
        }
        self.resend_orders(m, id);
    }

    fn expire_lease(&mut self, id: &WorkerId) {
        self.log_lost_runs(id, "lapsed");
        let crash_suspects = self.suspects_of_silence(id);
        let Some(view) = self.worker_views.get_mut(id) else { return };
        let suspected = (!view.leaving && !crash_suspects.is_empty())
            .then(|| Command::CrashSuspected { worker: id.clone(), crash_suspects });
        let command = Command::Lapsed { worker: id.clone(), saved: saved_checkpoints(view) };
        view.expire_runs();
        self.clean_up_runs_of(id);
        suspected.into_iter().for_each(|c| self.propose(c));
        self.propose(command);
        self.log_event(&kinds::WORKER_LAPSED, id, format!("term={}", self.term));
    }
}

/// Returns the latest known checkpoints of a worker's runs.
fn saved_checkpoints(view: &WorkerView) -> Vec<(TaskKey, Arc<str>)> {
    let with_checkpoint = view.statuses.iter().filter(|(_, r)| !r.checkpoint.is_empty());
    with_checkpoint.map(|(k, r)| (*k, r.checkpoint.clone())).collect()
}
