//! Renews the leases of workers and processes their reports.

use std::collections::BTreeSet;

use clock::Millis;
use events::kinds;
use workload::{Command, End, EndKind, JobId, JobState, TaskKey, WorkerId};

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    IDLE_RENEWAL_WAIT, RENEWAL_RETRY_IN_CONTACT, RENEWAL_RETRY_NO_CONTACT, busy_renewal_wait,
};
use crate::loss_evidence::any_recurs_at;
use crate::worker_messages::{CallError, Refusal, RenewOrder, Report, RunStatus};
use crate::worker_view::Stage;
use crate::workers::IncarnationEnd;

/// What a worker's report tells of the runs that it does not list.
struct Evidence {
    /// When the report was requested.
    sent_at: Millis,
    /// The runs in progress, sorted: a worker may run thousands.
    running: Vec<(TaskKey, u32)>,
    lists_all_ends: bool,
}

impl Evidence {
    /// Returns whether every order for a run took effect before the report, if it ever does.
    fn follows_all_orders(&self, stage: Stage) -> bool {
        match stage {
            // This leader's fencing token keeps out whatever an earlier leader sent.
            Stage::Inherited => true,
            Stage::Confirmed { at } | Stage::Stopped { at } => at < self.sent_at,
            Stage::Held | Stage::Starting | Stage::Stopping => false,
        }
    }
}

impl Dispatcher {
    /// Sends the next renewal, unless one is in flight.
    pub(crate) fn send_renewal(&mut self, m: Moment, id: &WorkerId) {
        let Some(worker) = self.replicated.worker(id) else { return };
        let (address, seen, idle) =
            (worker.info.address.clone(), worker.last_end, worker.runs.is_empty());
        let (fence, span) = (self.term, self.limits.lease);
        let busy = busy_renewal_wait(self.worker_views.len());
        let Some(view) = self.worker_views.get_mut(id) else { return };
        // No lease is granted without contact, so that the lease can expire.
        let deadline = if view.in_contact { view.grant_lease(m.now, span) } else { None };
        let wait = match (view.in_contact, idle) {
            // The first answer shows the worker's clock and its runs, neither of which can wait.
            (false, _) => Millis::ZERO,
            (true, true) => IDLE_RENEWAL_WAIT,
            (true, false) => busy,
        };
        let answer_timeout = self.answer_times.limit();
        view.renewal_in_flight = true;
        view.answer_due = m.now + wait + answer_timeout;
        let order = RenewOrder { fence, seen, deadline, wait, answer_timeout };
        self.act(Action::Renew { worker: id.clone(), address, order, runs_nothing: idle });
    }

    /// Handles the result of a renewal.
    pub(crate) fn on_renewed(
        &mut self,
        m: Moment,
        id: &WorkerId,
        sent_at: Millis,
        result: Result<Report, CallError>,
    ) {
        if let Err(CallError::Named(incarnation)) = &result
            && !self.worker_views.contains_key(incarnation)
        {
            self.assign_incarnation(m, id, incarnation.clone());
            return;
        }
        let Some(view) = self.worker_views.get_mut(id) else { return };
        view.renewal_in_flight = false;
        let report = match result {
            Ok(report) => report,
            Err(CallError::Refused(Refusal::OtherLife)) => {
                self.worker_gone(id, IncarnationEnd::Replaced);
                return;
            }
            Err(e) => {
                let retry = if view.in_contact {
                    RENEWAL_RETRY_IN_CONTACT
                } else {
                    RENEWAL_RETRY_NO_CONTACT
                };
                view.record_silence(m.now, view.answer_due, |task, age| {
                    any_recurs_at(
                        self.replicated.loss_records().of(&self.replicated.suspect_key(task)),
                        age,
                    )
                });
                if view.in_contact {
                    view.in_contact = false;
                    self.log_event(
                        &kinds::WORKER_SILENT,
                        id,
                        format!("why={e:?} sent_ms_ago={}", m.now.since(sent_at).0),
                    );
                }
                if let Some(view) = self.worker_views.get_mut(id) {
                    view.renew_at = m.now + retry;
                }
                return;
            }
        };
        view.record_clock(m.now, report.clock);
        let regained = !view.in_contact;
        view.in_contact = true;
        view.statuses = report.running.iter().map(|r| (r.task, r.clone())).collect();
        if regained && self.replicated.crashes().has_lapsed_runs(id) {
            self.propose(Command::WorkerSurvived { worker: id.clone() });
        }
        if regained {
            self.plan_due = true;
            // If the clock and the last run end do not fit together, two incarnations share one id.
            let (runs, clock) = (report.running.len(), report.clock.0);
            let seen = self.replicated.worker(id).map_or(0, |w| w.last_end);
            let details = format!("runs={runs} clock_ms={clock} seen={seen}");
            self.log_event(&kinds::WORKER_REACHED, id, details);
        }
        let has_new_ends = self.propose_ends(m, id, report.ends);
        if let Some(view) = self.worker_views.get_mut(id) {
            view.progress.retain(|k, _| view.statuses.contains_key(k));
        }
        let mut running: Vec<_> = report.running.iter().map(|r| (r.task, r.run)).collect();
        running.sort_unstable();
        let lists_all_ends = report.lists_all_ends;
        self.settle_orders(m, id, Evidence { sent_at, running, lists_all_ends });
        self.credit_long_running_runs(m, id, &report.running);
        self.watch_speed(m, id, &report.running);
        self.stop_stray_runs(id, &report.running);
        match has_new_ends {
            true => {
                if let Some(view) = self.worker_views.get_mut(id) {
                    view.renewal_in_flight = true;
                }
                self.renew_when_committed(id.clone());
            }
            false => self.send_renewal(m, id),
        }
    }

    /// Handles the result of a renewal that another instance held. `broke` tells whether it failed
    /// because the connection broke.
    pub(crate) fn on_watch_ended(
        &mut self,
        m: Moment,
        id: &WorkerId,
        sent_at: Millis,
        broke: bool,
        result: Result<Report, CallError>,
    ) {
        if let Some(view) = self.worker_views.get_mut(id) {
            // The renewal was repeated since it was first sent.
            view.answer_due = if broke { m.now + Millis(1) } else { m.now };
        }
        self.on_renewed(m, id, sent_at, result);
    }

    /// Handles the clocks of workers at which other instances hold renewals.
    pub(crate) fn on_worker_clocks(&mut self, m: Moment, clocks: Vec<(WorkerId, Millis)>) {
        for (id, clock) in clocks {
            if let Some(view) = self.worker_views.get_mut(&id) {
                view.refresh_clock(m.now, clock);
            }
        }
    }

    /// Proposes the run ends that are new; returns whether there were any.
    fn propose_ends(&mut self, m: Moment, id: &WorkerId, ends: Vec<End>) -> bool {
        let seen = self.replicated.worker(id).map_or(0, |w| w.last_end);
        let ends: Vec<End> = ends.into_iter().filter(|e| e.number > seen).collect();
        if ends.is_empty() {
            return false;
        }
        for end in &ends {
            self.apply_end(m, id, end);
        }
        let jobs: BTreeSet<JobId> = ends.iter().map(|e| e.task.step.job).collect();
        let open = |id: &JobId| self.replicated.job(*id).is_some_and(|j| !j.state.is_final());
        let jobs: Vec<JobId> = jobs.into_iter().filter(open).collect();
        self.propose(Command::Ended { worker: id.clone(), ends, at: m.wall });
        self.log_ended_jobs(jobs);
        true
    }

    pub(crate) fn log_ended_jobs(&mut self, jobs: Vec<JobId>) {
        for id in jobs {
            let Some(job) = self.replicated.job(id).filter(|j| j.state.is_final()) else {
                continue;
            };
            let took = self.wall().since(job.accepted_at).0;
            let gave_up = job.state == JobState::Failed && self.replicated.crashes().gave_up(id);
            let why = if gave_up { " why=\"its workers crashed\"" } else { "" };
            let details = format!("state={:?} queue={} took_ms={took}{why}", job.state, job.queue);
            self.log_event(&kinds::JOB_OVER, id, details);
        }
    }

    fn apply_end(&mut self, m: Moment, id: &WorkerId, end: &End) {
        self.jobs_to_clean_up.insert(end.task.step.job);
        let details = format!("run={} worker={id} how={:?} end={}", end.run, end.kind, end.number);
        self.log_event(&kinds::RUN_ENDED, end.task, details);
        let Some(view) = self.worker_views.get_mut(id) else { return };
        let mut began = m.now;
        let order = match view.orders.get(&end.task) {
            Some(order) if order.run == end.run => view.orders.remove(&end.task),
            _ => None,
        };
        if let Some(order) = &order {
            began = order.since;
        }
        let progress = view.progress.remove(&end.task);
        match end.kind {
            EndKind::Done => {
                let took = progress.map(|p| p.age(m.now));
                self.record_run_done(m, id, began);
                self.record_run_time(m, id, end, order.as_ref());
                if let Some(took) = took {
                    let speed = self.replicated.worker(id).map_or(1.0, |w| self.speed(w));
                    let step_speeds = self.step_speeds.entry(end.task.step).or_default();
                    step_speeds.record_done(id, took, speed);
                }
            }
            EndKind::Failed => {
                self.avoided_workers.entry(end.task).or_default().insert(id.clone());
                self.record_run_failed(m, id, &end.task, began);
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
    }

    /// Compares the open orders with the worker's report, whose ends are applied already. A run that
    /// is neither running nor ended there is settled only if the report proves it:
    /// docs/design/platform.md, "Orders, leases, and an order without an answer".
    fn settle_orders(&mut self, m: Moment, id: &WorkerId, evidence: Evidence) {
        let Some(view) = self.worker_views.get_mut(id) else { return };
        let mut absent = Vec::new();
        for (task, order) in &mut view.orders {
            let listed = evidence.running.binary_search(&(*task, order.run)).is_ok();
            if !listed && evidence.follows_all_orders(order.stage) {
                absent.push((*task, order.run));
            }
            if listed && matches!(order.stage, Stage::Inherited | Stage::Starting) {
                order.retry_at = None;
                order.stage = Stage::Confirmed { at: m.now };
            }
        }
        if absent.is_empty() {
            return;
        }
        if !evidence.lists_all_ends {
            // They may have ended; the next report tells.
            let details = format!("running={} absent={}", evidence.running.len(), absent.len());
            self.log_event(&kinds::REPORT_INCOMPLETE, id, details);
            return;
        }
        for (task, _) in &absent {
            view.orders.remove(task);
        }
        self.propose_not_started(id, absent, "not listed");
    }

    /// Stops runs that the worker lists and the log does not know.
    fn stop_stray_runs(&mut self, id: &WorkerId, running: &[RunStatus]) {
        let Some(worker) = self.replicated.worker(id) else { return };
        let strays: Vec<(TaskKey, u32)> = running
            .iter()
            .filter(|r| worker.runs.get(&r.task) != Some(&r.run))
            .map(|r| (r.task, r.run))
            .collect();
        let address = worker.info.address.clone();
        for (task, run) in strays {
            self.log_event(&kinds::RUN_STRAY, task, format!("run={run} worker={id}"));
            self.send_stop_order(id, address.clone(), task, run);
        }
    }
}
