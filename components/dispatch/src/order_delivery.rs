//! Delivers orders to start and stop runs, and settles orders without an answer.
//!
//! A start is in the log before it is sent, so a later leader knows where each task may run. An
//! order without an answer stays open, and its task and capacity stay taken, until the worker
//! confirms the start, confirms a stop and no longer lists the run, or its lease has certainly
//! expired.

use clock::Millis;
use events::kinds;
use model::Name;
use workload::{Command, JobId, TaskKey, Worker, WorkerId};

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{MAX_START_ATTEMPTS, MIN_ANSWER_TIMEOUT, ORDER_RETRY_DELAY, WORKER_BACKOFF};
use crate::loss_evidence::any_recurs_at;
use crate::worker_messages::{CallError, Refusal, StartOrder, StopOrder};
use crate::worker_view::{Order, Stage};
use crate::workers::IncarnationEnd;

impl Dispatcher {
    /// Returns the number of starts that are held or unanswered, at workers in contact. Only workers
    /// with such starts are looked at, since every plan counts them.
    pub(crate) fn starts_in_flight(&mut self) -> usize {
        let views = &self.worker_views;
        self.starting_workers.retain(|id| views.get(id).is_some_and(|v| v.starts().count() > 0));
        self.plan_state.workers_checked += self.starting_workers.len() as u64;
        let starting = self.starting_workers.iter().filter_map(|id| views.get(id));
        let in_flight = starting.filter(|v| v.in_contact).map(|v| v.starts().count()).sum();
        debug_assert_eq!(
            in_flight,
            views.values().filter(|v| v.in_contact).map(|v| v.starts().count()).sum::<usize>()
        );
        in_flight
    }

    pub(crate) fn resend_orders(&mut self, m: Moment, id: &WorkerId) {
        let Some(view) = self.worker_views.get(id).filter(|v| v.in_contact) else { return };
        let may_take_work = !view.leaving && !self.replicated.is_drained(id);
        let due = |o: &Order| o.retry_at.is_some_and(|t| m.now >= t);
        let again: Vec<(TaskKey, u32, Stage, u32)> = view
            .orders
            .iter()
            .filter(|(_, o)| due(o))
            .map(|(k, o)| (*k, o.run, o.stage, o.attempts))
            .collect();
        for (task, run, stage, attempts) in again {
            let starting = stage == Stage::Starting;
            let may_start = may_take_work && !self.is_over_limit(task.step.job);
            if starting && !self.replicated.is_wanted(&task, run) {
                self.stop_unwanted_start(id, &task, run);
            } else if starting && attempts < MAX_START_ATTEMPTS && may_start {
                self.start_run(m, id, &task, run);
            } else {
                // A worker that is leaving or whose zone is drained must not be told to start
                // anything, not even by a retry. An organisation whose limit was lowered must not
                // start anything above it.
                self.send_stop(id, &task, run);
            }
        }
    }

    /// Stops an unanswered start that is no longer wanted, once the command that made it unwanted
    /// is committed. A leader that lost the cancellation would otherwise continue the run.
    fn stop_unwanted_start(&mut self, id: &WorkerId, task: &TaskKey, run: u32) {
        let orders = self.worker_views.get_mut(id).map(|v| &mut v.orders);
        if let Some(order) = orders.and_then(|o| o.get_mut(task)) {
            order.retry_at = None;
        }
        self.stop_when_committed(id.clone(), *task, run);
    }

    pub(crate) fn propose_not_started(
        &mut self,
        id: &WorkerId,
        runs: Vec<(TaskKey, u32)>,
        why: &str,
    ) {
        for (task, run) in &runs {
            self.jobs_to_clean_up.insert(task.step.job);
            self.log_event(
                &kinds::RUN_NOT_STARTED,
                task,
                format!("run={run} worker={id} why={why:?}"),
            );
        }
        self.propose(Command::NotStarted { worker: id.clone(), runs });
    }

    /// Sends a start whose command is committed, if it is still valid.
    pub(crate) fn send_start(&mut self, m: Moment, id: &WorkerId, task: &TaskKey, run: u32) {
        let wanted = self.replicated.is_wanted(task, run);
        let overcommitted = self.replicated.worker(id).is_some_and(Worker::is_overcommitted);
        let over_limit = self.is_over_limit(task.step.job);
        let drained = self.replicated.is_drained(id);
        let Some(view) = self.worker_views.get_mut(id) else { return };
        let usable = view.in_contact && !view.leaving && view.clock_reading.is_some();
        let Some(order) = view.orders.get(task).filter(|o| o.run == run) else { return };
        if order.stage != Stage::Held {
            return;
        }
        if !wanted || !usable || overcommitted || over_limit || drained {
            view.orders.remove(task);
            let why = match (wanted, overcommitted) {
                (false, _) => "not wanted any more",
                (true, true) => "the worker has shrunk",
                (true, false) if drained => "the zone is drained",
                (true, false) if over_limit => "the organisation's limit was lowered",
                (true, false) => "the worker is not usable",
            };
            self.propose_not_started(id, vec![(*task, run)], why);
            return;
        }
        self.start_run(m, id, task, run);
    }

    fn start_run(&mut self, m: Moment, id: &WorkerId, task: &TaskKey, run: u32) {
        if !self.resend_start(m, id, task, run) {
            return;
        }
        let order = self.worker_views.get_mut(id).and_then(|v| v.orders.get_mut(task));
        if let Some(order) = order {
            order.stage = Stage::Starting;
            order.attempts += 1;
            order.retry_at = None;
        }
    }

    /// Sends a start, whether or not it was confirmed before. Returns whether it could be sent.
    pub(crate) fn resend_start(
        &mut self,
        m: Moment,
        id: &WorkerId,
        task: &TaskKey,
        run: u32,
    ) -> bool {
        let Some((address, order)) = self.start_order(m, id, task, run) else { return false };
        self.act(Action::Start { worker: id.clone(), address, order });
        true
    }

    fn start_order(
        &mut self,
        m: Moment,
        id: &WorkerId,
        task: &TaskKey,
        run: u32,
    ) -> Option<(Name, StartOrder)> {
        let address = self.replicated.worker(id)?.info.address.clone();
        let spec = self.replicated.job(task.step.job)?.spec.spec.clone();
        let checkpoint = self.replicated.task(task)?.checkpoint.clone();
        let (fence, span) = (self.term, self.limits.lease);
        let answer_timeout = self.answer_times.limit();
        let view = self.worker_views.get_mut(id)?;
        let deadline = view.grant_lease(m.now, span)?;
        let order = view.orders.get_mut(task)?;
        order.sent_at = m.now;
        let (task, ticket) = (*task, order.ticket.clone());
        let order =
            StartOrder { task, run, spec, deadline, fence, checkpoint, ticket, answer_timeout };
        Some((address, order))
    }

    /// Handles the result of a start.
    pub(crate) fn on_started(
        &mut self,
        m: Moment,
        id: &WorkerId,
        task: &TaskKey,
        run: u32,
        result: Result<Millis, CallError>,
    ) {
        let Some(view) = self.worker_views.get_mut(id) else { return };
        if let Ok(clock) = result {
            view.record_clock(m.now, clock);
        }
        let Some(order) = view.orders.get_mut(task).filter(|o| o.run == run) else { return };
        if order.stage != Stage::Starting {
            return;
        }
        let first = order.attempts == 1;
        if self.limits.mechanisms.adapts_answer_timeouts {
            self.answer_times.record(m.now.since(order.sent_at));
        }
        match result {
            Ok(_) => order.stage = Stage::Confirmed { at: m.now },
            Err(CallError::NotSent(why)) if first => {
                // The run is better placed on another worker, as nothing can be sent to this one
                // now.
                view.orders.remove(task);
                view.health.back_off(m.now + WORKER_BACKOFF);
                self.propose_not_started(id, vec![(*task, run)], &format!("not sent: {why}"));
            }
            Err(e @ (CallError::Silent(_) | CallError::NotSent(_) | CallError::Named(_))) => {
                order.retry_at = Some(m.now + ORDER_RETRY_DELAY);
                let details = format!("run={run} worker={id} tries={} why={e:?}", order.attempts);
                // No order times out earlier than this, however quickly workers answer, so an
                // earlier failure is a broken connection.
                let due = order.sent_at + MIN_ANSWER_TIMEOUT;
                view.record_silence(m.now, due, |task, age| {
                    any_recurs_at(
                        self.replicated.loss_records().of(&self.replicated.suspect_key(task)),
                        age,
                    )
                });
                self.log_event(&kinds::ORDER_UNANSWERED, task, details);
            }
            Err(CallError::Refused(Refusal::OtherLife)) => {
                self.worker_gone(id, IncarnationEnd::Replaced);
            }
            // The run has ended or was stopped. The next report shows which.
            Err(CallError::Refused(Refusal::Outdated)) => {
                order.stage = Stage::Stopped { at: m.now };
            }
            Err(CallError::Refused(why)) if first => {
                view.orders.remove(task);
                self.on_start_refused(m, id, task, why);
                self.propose_not_started(id, vec![(*task, run)], &format!("refused: {why:?}"));
            }
            // An earlier attempt may still be carried out; a stop prevents that for good.
            Err(CallError::Refused(_)) => self.send_stop(id, task, run),
        }
    }

    fn on_start_refused(&mut self, m: Moment, id: &WorkerId, task: &TaskKey, why: Refusal) {
        let Some(view) = self.worker_views.get_mut(id) else { return };
        match why {
            Refusal::Ticket => self.advice_scheduler.drop_ticket(&task.step, id),
            Refusal::Room | Refusal::Unhealthy | Refusal::Malformed => {
                view.health.back_off(m.now + WORKER_BACKOFF);
            }
            Refusal::Fence => view.in_contact = false,
            Refusal::Late | Refusal::Outdated | Refusal::OtherLife => {}
        }
    }

    /// Sends a stop, whatever the outcome of the start. A start that was not sent yet is dropped
    /// instead.
    pub(crate) fn send_stop(&mut self, id: &WorkerId, task: &TaskKey, run: u32) {
        let Some(worker) = self.replicated.worker(id) else { return };
        let address = worker.info.address.clone();
        let Some(view) = self.worker_views.get_mut(id) else { return };
        let Some(order) = view.orders.get_mut(task).filter(|o| o.run == run) else { return };
        if order.stage == Stage::Held {
            view.orders.remove(task);
            self.propose_not_started(id, vec![(*task, run)], "not wanted any more");
            return;
        }
        order.stage = Stage::Stopping;
        order.retry_at = None;
        self.send_stop_order(id, address, *task, run);
    }

    /// Sends a stop for a run that the log knows, or for one that only the worker lists.
    pub(crate) fn send_stop_order(
        &mut self,
        id: &WorkerId,
        address: Name,
        task: TaskKey,
        run: u32,
    ) {
        let answer_timeout = self.answer_times.limit();
        let order = StopOrder { task, run, fence: self.term, answer_timeout };
        self.act(Action::Stop { worker: id.clone(), address, order });
    }

    /// Handles the result of a stop.
    pub(crate) fn on_stopped(
        &mut self,
        m: Moment,
        id: &WorkerId,
        task: &TaskKey,
        run: u32,
        result: Result<Millis, CallError>,
    ) {
        let Some(view) = self.worker_views.get_mut(id) else { return };
        let order = view.orders.get_mut(task).filter(|o| o.run == run);
        match (order, result) {
            (Some(order), Ok(_)) if order.stage == Stage::Stopping => {
                order.stage = Stage::Stopped { at: m.now };
                order.retry_at = None;
            }
            (_, Err(CallError::Refused(Refusal::OtherLife))) => {
                self.worker_gone(id, IncarnationEnd::Replaced);
            }
            // A stop is retried after any error until it is confirmed.
            (Some(order), Err(_)) if order.stage == Stage::Stopping => {
                order.retry_at = Some(m.now + ORDER_RETRY_DELAY);
            }
            _ => {}
        }
    }

    /// Stops the runs of ended jobs and of tasks that are done, and the remaining runs of gangs
    /// that have lost a member.
    pub(crate) fn stop_unwanted(&mut self) {
        for id in std::mem::take(&mut self.jobs_to_clean_up) {
            for (worker, task, run) in self.unwanted_runs(id) {
                let Some(view) = self.worker_views.get_mut(&worker) else { continue };
                let Some(order) = view.orders.get_mut(&task).filter(|o| o.run == run) else {
                    continue;
                };
                if !matches!(order.stage, Stage::Stopping | Stage::Stopped { .. }) {
                    self.stop_when_committed(worker, task, run);
                }
            }
        }
    }

    fn unwanted_runs(&self, id: JobId) -> Vec<(WorkerId, TaskKey, u32)> {
        let Some(job) = self.replicated.job(id) else { return Vec::new() };
        let mut found = Vec::new();
        for (round, r) in (0..).zip(&job.rounds) {
            for (step, s) in (0..).zip(&r.steps) {
                let gang = job.spec.steps[step as usize].gang;
                let partial = gang && !s.is_done() && (s.placed as usize) < s.tasks.len();
                for (index, task) in (0..).zip(&s.tasks) {
                    let Some(worker) = &task.at else { continue };
                    let key = TaskKey { step: workload::StepKey { job: id, round, step }, index };
                    // The members of a completed gang end by themselves.
                    let not_wanted = job.state.is_final() || (task.done && !gang) || partial;
                    if not_wanted && !(gang && task.done) {
                        found.push((worker.clone(), key, task.run));
                    }
                }
            }
        }
        found
    }
}
