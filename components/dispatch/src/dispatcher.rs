//! The state of the dispatcher, and the actions that are held until their commands are committed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use clock::Millis;
use events::{Kind, kinds};
use model::Name;
use workload::{
    AdvicePolicy, Command, Job, JobId, Policy, PolicyReader, ReplicatedState, StepKey, TaskKey,
    Worker, WorkerId,
};

use crate::action::Action;
use crate::admission::AdmissionState;
use crate::advice::AdviceScheduler;
use crate::advice_pacing::ReleaseRates;
use crate::answer_times::AnswerTimes;
use crate::call::Answer;
use crate::capacity_index::{CapacityIndex, changed_worker};
use crate::input::{Input, Moment, Token};
use crate::late_calls::LateCalls;
use crate::limits::{
    CLEANUP_INTERVAL, EXAMINATIONS_PER_MS, LEASE_EXPIRY_MARGIN, Limits, MAX_CLOCK_DRIFT_PERCENT,
    MAX_PLAN_PAUSE, PLAN_TIME_DIVISOR,
};
use crate::long_running_waits::LongRunningWaits;
use crate::loss_evidence::LostRuns;
use crate::losses::RecentLosses;
use crate::plan_state::PlanState;
use crate::refusals::Refusals;
use crate::service_order::ServiceOrder;
use crate::shares::Shares;
use crate::speed::StepSpeeds;
use crate::step_selection::StepSelector;
use crate::unconfigured_workers::UnconfiguredWorkers;
use crate::wait_logging::WaitLogger;
use crate::withdrawn_jobs::WithdrawalTimes;
use crate::worker_health::Peers;
use crate::worker_speeds::WorkerSpeeds;
use crate::worker_view::{Order, Stage, WorkerView};
use crate::worker_views::WorkerViews;
use crate::zone_orders::ZoneOrders;

/// An action that is held until a batch is committed.
#[derive(Clone, Debug)]
enum HeldAction {
    Reply { token: Token, answer: Answer },
    Start { worker: WorkerId, task: TaskKey, run: u32 },
    Stop { worker: WorkerId, task: TaskKey, run: u32 },
    Renew { worker: WorkerId },
}

/// The parameters of a new dispatcher.
pub struct Setup {
    /// The time limits and switches.
    pub limits: Limits,
    /// The leader's term, which is the fencing token of its orders.
    pub term: u64,
    /// The parser of configurations.
    pub reader: Arc<dyn PolicyReader>,
    /// The replicated state up to and including the leader's first own entry.
    pub replicated: ReplicatedState,
}

/// The dispatcher of one leader in one term.
pub struct Dispatcher {
    pub(crate) limits: Limits,
    pub(crate) term: u64,
    pub(crate) reader: Arc<dyn PolicyReader>,
    pub(crate) policy: Option<Arc<Policy>>,
    /// The advice policy of each queue, including queues that a later configuration dropped.
    pub(crate) advice_policies: BTreeMap<Name, AdvicePolicy>,
    pub(crate) replicated: ReplicatedState,
    pub(crate) worker_views: WorkerViews,
    /// The workers with starts that are held or unanswered, and some that had any.
    pub(crate) starting_workers: BTreeSet<WorkerId>,
    /// The workers that are deprioritised or on probation, and some that were.
    pub(crate) restricted_workers: BTreeSet<WorkerId>,
    /// How the workers of each service fare, as last determined.
    pub(crate) peers: BTreeMap<Name, Peers>,
    /// The workers whose service is not configured.
    pub(crate) unconfigured_workers: UnconfiguredWorkers,
    pub(crate) advice_scheduler: AdviceScheduler,
    /// The usable workers by their free capacity: the capacity as of the last proposed command, and
    /// which of them are usable as of the start of the last plan.
    pub(crate) capacity_index: CapacityIndex,
    /// The jobs to check for runs that are no longer wanted.
    pub(crate) jobs_to_clean_up: BTreeSet<JobId>,
    /// The workers on which a run of a task failed or made too little progress.
    pub(crate) avoided_workers: BTreeMap<TaskKey, BTreeSet<WorkerId>>,
    /// When each unfinished job was accepted, by the monotonic clock.
    pub(crate) accepted: BTreeMap<JobId, Millis>,
    /// The workers that have crashed recently.
    pub(crate) recent_losses: RecentLosses,
    /// The ages at which runs of each task were lost with their workers.
    pub(crate) lost_runs: LostRuns,
    /// The progress rates of the tasks of each step.
    pub(crate) step_speeds: BTreeMap<StepKey, StepSpeeds>,
    /// The speeds of the machines.
    pub(crate) worker_speeds: WorkerSpeeds,
    /// The estimate of how long workers take to answer.
    pub(crate) answer_times: AnswerTimes,
    /// The availability zones that have just fallen silent.
    pub(crate) silent_zones: BTreeSet<Name>,
    batch: Vec<Command>,
    /// The number of the batch that is being collected.
    batch_number: u64,
    /// The number of the last batch known to be committed.
    committed: u64,
    held: VecDeque<(u64, HeldAction)>,
    actions: Vec<Action>,
    clean_up_at: Millis,
    /// The earliest time for the next log line about a call without a key.
    pub(crate) next_key_log_at: Millis,
    /// The position among the steps that have long lacked a call for advice at which the next plan
    /// goes on.
    pub(crate) aged_position: usize,
    /// The time of the last input.
    last_input: Moment,
    /// Whether something since the last plan may let a task start.
    pub(crate) plan_due: bool,
    /// The earliest time for the next plan. It is later the longer the last plan took.
    plan_at: Millis,
    /// The working state of the current or last plan: its cost so far and the capacity it has
    /// reserved.
    pub(crate) plan_state: PlanState,
    /// The rate at which the ends of runs free capacity.
    pub(crate) release_rates: ReleaseRates,
    /// The open steps in the order of service, as of the start of the last plan.
    pub(crate) service_order: ServiceOrder,
    /// Selects the open steps that a plan examines.
    pub(crate) step_selector: StepSelector,
    /// How long long-running tasks have waited, as of the start of the last plan.
    pub(crate) long_running_waits: LongRunningWaits,
    /// Selects the waits to log, and when each was last logged.
    pub(crate) wait_logger: WaitLogger,
    /// What organisations have used recently, compared with their shares.
    pub(crate) shares: Shares,
    /// What the forecast of waits is made from.
    pub(crate) admission: AdmissionState,
    /// The jobs that were refused.
    pub(crate) refusals: Refusals,
    /// The calls that came too late.
    pub(crate) late_calls: LateCalls,
    /// When jobs were cancelled that had not been accepted.
    pub(crate) withdrawal_times: WithdrawalTimes,
    /// When orders about availability zones were carried out.
    pub(crate) zone_orders: ZoneOrders,
}

impl Dispatcher {
    /// Creates a dispatcher that takes over from the previous leader.
    pub fn new(setup: Setup, m: Moment) -> Dispatcher {
        let Setup { limits, term, reader, replicated } = setup;
        let worker_speeds = WorkerSpeeds::restore(&replicated);
        let withdrawal_times = WithdrawalTimes::new(m.now, replicated.withdrawals().is_full());
        let mut dispatcher = Dispatcher {
            limits,
            term,
            reader,
            policy: None,
            advice_policies: BTreeMap::new(),
            replicated,
            worker_views: WorkerViews::default(),
            starting_workers: BTreeSet::new(),
            restricted_workers: BTreeSet::new(),
            peers: BTreeMap::new(),
            unconfigured_workers: UnconfiguredWorkers::default(),
            advice_scheduler: AdviceScheduler::for_term(term),
            capacity_index: CapacityIndex::default(),
            jobs_to_clean_up: BTreeSet::new(),
            avoided_workers: BTreeMap::new(),
            accepted: BTreeMap::new(),
            recent_losses: RecentLosses::default(),
            lost_runs: LostRuns::default(),
            step_speeds: BTreeMap::new(),
            worker_speeds,
            answer_times: AnswerTimes::unknown(),
            silent_zones: BTreeSet::new(),
            batch: Vec::new(),
            batch_number: 1,
            committed: 0,
            held: VecDeque::new(),
            actions: Vec::new(),
            clean_up_at: m.now,
            next_key_log_at: m.now,
            aged_position: 0,
            last_input: m,
            plan_due: true,
            plan_at: m.now,
            plan_state: PlanState::default(),
            release_rates: ReleaseRates::default(),
            service_order: ServiceOrder::default(),
            step_selector: StepSelector::default(),
            long_running_waits: LongRunningWaits::default(),
            wait_logger: WaitLogger::default(),
            shares: Shares::default(),
            admission: AdmissionState::default(),
            refusals: Refusals::default(),
            late_calls: LateCalls::default(),
            withdrawal_times,
            zone_orders: ZoneOrders::new(m.now),
        };
        dispatcher.restore(m);
        dispatcher
    }

    /// Restores the configuration, the workers and their runs from the replicated state.
    fn restore(&mut self, m: Moment) {
        let document = self.replicated.document().clone();
        if document.version > 0 {
            match self.reader.read(&document.text) {
                Ok(policy) => self.set_policy(policy),
                Err(e) => {
                    self.log_event(&kinds::CONFIG_FAULTY, document.version, format!("fault={e:?}"))
                }
            }
        }
        self.capacity_index = CapacityIndex::of(self.replicated.workers().values());
        // The previous leader may have granted its longest lease just now.
        let max_lease = self.limits.max_lease.plus_percent(MAX_CLOCK_DRIFT_PERCENT);
        let lapses_at = m.now + max_lease + LEASE_EXPIRY_MARGIN;
        let ordered_at = |task| {
            let at = self.replicated.loss_records().ordered_at(task)?;
            // Wall clocks step, and those of two leaders differ.
            (at <= m.wall).then(|| m.now.since(m.wall.since(at)))
        };
        for (id, worker) in self.replicated.workers() {
            let mut view = WorkerView::new(m.now, lapses_at);
            for (task, run) in &worker.runs {
                let order = Order {
                    run: *run,
                    stage: Stage::Inherited,
                    retry_at: None,
                    attempts: 0,
                    since: m.now,
                    ordered_at: ordered_at(task),
                    sent_at: m.now,
                    ticket: None,
                };
                view.orders.insert(*task, order);
            }
            self.worker_views.insert(id.clone(), view);
        }
        let accepted_at = |j: &Job| m.now.since(m.wall.since(j.accepted_at));
        let jobs = self.replicated.jobs().iter().filter(|(_, j)| !j.state.is_final());
        self.accepted = jobs.clone().map(|(id, j)| (*id, accepted_at(j))).collect();
        jobs.for_each(|(id, j)| self.long_running_waits.add_job(*id, &j.spec));
        self.long_running_waits.update(m, &self.replicated);
        let with_runs = self.replicated.jobs().iter().filter(|(_, j)| j.placed() > 0);
        self.jobs_to_clean_up.extend(with_runs.map(|(id, _)| *id));
        self.restore_shares(m);
        self.restore_backlog(m);
    }

    /// Handles an input.
    pub fn handle(&mut self, m: Moment, input: Input) {
        self.last_input = m;
        match input {
            Input::Tick => {
                self.plan_due = true;
                self.on_tick(m);
            }
            Input::Committed(batch) => self.on_committed(m, batch),
            Input::Call { token, call } => self.on_call(m, token, call, None),
            Input::RepeatedCall { token, call } => self.on_repeated_call(m, token, call, None),
            Input::TimedCall { token, call, repeated, times } => {
                self.on_timed_call(m, token, call, repeated, times);
            }
            Input::Announcement(announcement) => self.on_announcement(m, announcement),
            Input::Left(worker) => self.on_left(m, &worker),
            Input::Renewed { worker, sent_at, result } => {
                self.on_renewed(m, &worker, sent_at, result);
            }
            Input::WatchEnded { worker, sent_at, broke, result } => {
                self.on_watch_ended(m, &worker, sent_at, broke, result);
            }
            Input::WorkerClocks(clocks) => self.on_worker_clocks(m, clocks),
            Input::Started { worker, task, run, result } => {
                self.on_started(m, &worker, &task, run, result);
            }
            Input::Stopped { worker, task, run, result } => {
                self.on_stopped(m, &worker, &task, run, result);
            }
            Input::Advised { id, valid, allowed } => {
                self.plan_due |= self.advice_scheduler.answered(m.now, id, valid, allowed);
            }
            Input::AdviceCallers(callers) => self.advice_scheduler.set_callers(callers),
        }
    }

    /// Decides on everything received so far. Returns the actions that may be carried out
    /// immediately and, if there are commands to append to the log, the number of their batch and
    /// the commands.
    pub fn decide(&mut self, m: Moment) -> (Option<(u64, Vec<Command>)>, Vec<Action>) {
        self.last_input = m;
        if m.now < m.leads_until {
            self.stop_unwanted();
            if self.plan_due && m.now >= self.plan_at {
                self.plan_due = false;
                let examined = self.plan(m);
                self.plan_at = m.now + Millis(examined / EXAMINATIONS_PER_MS);
            }
        }
        let batch = match self.batch.is_empty() {
            true => None,
            false => {
                let number = self.batch_number;
                self.batch_number += 1;
                Some((number, std::mem::take(&mut self.batch)))
            }
        };
        (batch, std::mem::take(&mut self.actions))
    }

    /// Records how long the last [`Dispatcher::decide`] took. The next plan comes so much later that
    /// plans take a bounded part of the leader's time, however little processor time it has: answers
    /// of workers and commits wait for it otherwise.
    pub fn record_decision_time(&mut self, m: Moment, took: Millis) {
        let pause = Millis(took.0 * (PLAN_TIME_DIVISOR - 1)).min(MAX_PLAN_PAUSE);
        self.plan_at = self.plan_at.max(m.now + pause);
    }

    /// Returns the replicated state, including commands that are not committed yet.
    pub fn replicated(&self) -> &ReplicatedState {
        &self.replicated
    }

    pub(crate) fn set_policy(&mut self, policy: Policy) {
        for queue in &policy.queues {
            if let Some(advice) = queue.advice {
                self.advice_policies.insert(queue.name.clone(), advice);
            }
        }
        self.policy = Some(Arc::new(policy));
    }

    /// Adds a command to the batch and applies it to the local state immediately.
    pub(crate) fn propose(&mut self, command: Command) {
        self.plan_due = true;
        self.long_running_waits.record_change(&command, &self.replicated);
        self.record_released(self.last_input.now, &command);
        let changed = self.backlog_changes(&command);
        self.replicated.apply(&command);
        self.update_backlog(self.last_input, changed);
        if let Some(id) = changed_worker(&command) {
            match self.replicated.worker(id) {
                Some(worker) => self.capacity_index.update(worker),
                None => self.capacity_index.remove(id),
            }
        }
        if let Command::DrainZone { zone, .. } = &command {
            let workers = self.replicated.workers().values();
            let in_zone = workers.filter(|w| w.info.zone == *zone);
            in_zone.for_each(|w| self.worker_views.mark_changed(w.info.id.clone()));
        }
        self.batch.push(command);
    }

    /// Records in the capacity index which workers have become usable since the last plan, and which
    /// no longer are.
    pub(crate) fn update_usable_workers(&mut self) {
        for id in self.worker_views.take_changed() {
            if let Some(worker) = self.replicated.worker(&id) {
                let is_usable = self.is_usable(worker);
                self.capacity_index.set_usable(worker, is_usable);
            }
        }
        self.capacity_index.admit_joined();
        debug_assert!(
            self.capacity_index.agrees_with(self.replicated.workers(), |w| self.is_usable(w))
        );
    }

    /// Returns whether a worker can take new work, whatever its health.
    fn is_usable(&self, worker: &Worker) -> bool {
        let view = self.worker_views.get(&worker.info.id);
        view.is_some_and(WorkerView::is_usable)
            && !self.replicated.drained_zones().contains(&worker.info.zone)
    }

    /// Returns the time of the last input by the monotonic clock.
    pub(crate) fn now(&self) -> Millis {
        self.last_input.now
    }

    /// Returns the time of the last input by the wall clock.
    pub(crate) fn wall(&self) -> Millis {
        self.last_input.wall
    }

    pub(crate) fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn log_event(
        &mut self,
        kind: &'static Kind,
        subject: impl std::fmt::Display,
        details: String,
    ) {
        self.actions.push(Action::LogEvent { kind, subject: subject.to_string(), details });
    }

    pub(crate) fn reply_now(&mut self, token: Token, answer: Answer) {
        self.actions.push(Action::Reply { token, answer });
    }

    /// Answers a call once everything the answer may depend on is committed.
    pub(crate) fn reply(&mut self, token: Token, answer: Answer) {
        self.hold_until_committed(HeldAction::Reply { token, answer });
    }

    pub(crate) fn start_when_committed(&mut self, worker: WorkerId, task: TaskKey, run: u32) {
        self.hold_until_committed(HeldAction::Start { worker, task, run });
    }

    pub(crate) fn stop_when_committed(&mut self, worker: WorkerId, task: TaskKey, run: u32) {
        self.hold_until_committed(HeldAction::Stop { worker, task, run });
    }

    pub(crate) fn renew_when_committed(&mut self, worker: WorkerId) {
        self.hold_until_committed(HeldAction::Renew { worker });
    }

    fn hold_until_committed(&mut self, action: HeldAction) {
        let last = match self.batch.is_empty() {
            true => self.batch_number - 1,
            false => self.batch_number,
        };
        self.held.push_back((last, action));
        // Actions that depend on no uncommitted command are released immediately.
        if last <= self.committed {
            self.release_held(self.last_input);
        }
    }

    fn on_committed(&mut self, m: Moment, batch: u64) {
        self.committed = self.committed.max(batch);
        self.release_held(m);
    }

    fn release_held(&mut self, m: Moment) {
        while self.held.front().is_some_and(|(n, _)| *n <= self.committed) {
            let Some((_, action)) = self.held.pop_front() else { return };
            match action {
                HeldAction::Reply { token, answer } => self.reply_now(token, answer),
                HeldAction::Start { worker, task, run } => self.send_start(m, &worker, &task, run),
                HeldAction::Stop { worker, task, run } => self.send_stop(&worker, &task, run),
                HeldAction::Renew { worker } => self.send_renewal(m, &worker),
            }
        }
    }

    fn on_tick(&mut self, m: Moment) {
        self.advice_scheduler.expire(m.now);
        self.maintain_workers(m);
        self.clear_suspects(m);
        self.update_shares(m);
        self.refresh_forecasts(m);
        self.update_speeds(m);
        if m.now >= self.clean_up_at {
            self.clean_up_at = m.now + CLEANUP_INTERVAL;
            self.clean_up(m);
        }
    }

    /// Drops state that is no longer needed.
    fn clean_up(&mut self, m: Moment) {
        self.unconfigured_workers.forget_old(m.now);
        self.log_partial_gangs();
        let before = m.wall.since(self.limits.job_retention);
        let old = |t: Option<Millis>| t.is_some_and(|t| t < before);
        if self.replicated.jobs().values().any(|j| old(j.ended_at)) {
            self.propose(Command::Forget { before });
        }
        let replicated = &self.replicated;
        let is_unfinished = |id: &JobId| replicated.job(*id).is_some_and(|j| !j.state.is_final());
        self.advice_scheduler.retain(|k| is_unfinished(&k.job));
        self.accepted.retain(|id, _| is_unfinished(id));
        self.avoided_workers.retain(|k, _| is_unfinished(&k.step.job));
        self.lost_runs.retain(|k| is_unfinished(&k.step.job));
        self.step_speeds.retain(|k, _| is_unfinished(&k.job));
        self.clean_up_speeds(m);
        self.forget_withdrawn(m);
        self.zone_orders.forget_old(m.now);
    }
}
