//! The dispatcher's state, and the gate that holds back what is not committed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use clock::Millis;
use events::{Kind, kinds};
use model::Name;
use workload::{
    AdvicePolicy, Command, Job, JobId, Policy, PolicyReader, ReplicatedState, StepKey, TaskKey,
    WorkerId,
};

use crate::action::Action;
use crate::advice::AdviceScheduler;
use crate::answer_times::AnswerTimes;
use crate::call::Answer;
use crate::input::{Input, Moment, Token};
use crate::limits::{
    CLEANUP_INTERVAL, EXAMINATIONS_PER_MS, LEASE_EXPIRY_MARGIN, Limits, MAX_CLOCK_DRIFT_PERCENT,
};
use crate::long_running_waits::LongRunningWaits;
use crate::losses::RecentLosses;
use crate::plan_state::PlanState;
use crate::speed::StepSpeeds;
use crate::step_selection::StepSelector;
use crate::unconfigured_workers::UnconfiguredWorkers;
use crate::wait_logging::WaitLogger;
use crate::worker_view::{Order, Stage, WorkerView};

/// What waits for a batch to be committed.
#[derive(Clone, Debug)]
enum Gated {
    Reply { token: Token, answer: Answer },
    Start { worker: WorkerId, task: TaskKey, run: u32 },
    Stop { worker: WorkerId, task: TaskKey, run: u32 },
    Renew { worker: WorkerId },
}

/// What a dispatcher begins with.
pub struct Setup {
    /// The time limits.
    pub limits: Limits,
    /// The leader's term, which fences orders.
    pub term: u64,
    /// Reads configurations.
    pub reader: Arc<dyn PolicyReader>,
    /// Everything that is committed, up to and with the leader's first own entry.
    pub replicated: ReplicatedState,
}

/// The decisions of one leader in one term.
pub struct Dispatcher {
    pub(crate) limits: Limits,
    pub(crate) term: u64,
    pub(crate) reader: Arc<dyn PolicyReader>,
    pub(crate) policy: Option<Arc<Policy>>,
    /// The advice that queues need, also of those that a later configuration dropped.
    pub(crate) advice_policies: BTreeMap<Name, AdvicePolicy>,
    pub(crate) replicated: ReplicatedState,
    pub(crate) worker_views: BTreeMap<WorkerId, WorkerView>,
    /// The workers that no service is known for.
    pub(crate) unconfigured_workers: UnconfiguredWorkers,
    pub(crate) advice_scheduler: AdviceScheduler,
    /// The jobs whose runs are to be looked through for some that are not wanted any more.
    pub(crate) jobs_to_clean_up: BTreeSet<JobId>,
    /// Where runs of a task have failed or come on too slowly.
    pub(crate) avoided_workers: BTreeMap<TaskKey, BTreeSet<WorkerId>>,
    /// When jobs that go on were accepted, by the clock that never jumps.
    pub(crate) accepted: BTreeMap<JobId, Millis>,
    /// The workers that have crashed of late.
    pub(crate) recent_losses: RecentLosses,
    /// How fast the tasks of steps come on.
    pub(crate) step_speeds: BTreeMap<StepKey, StepSpeeds>,
    /// How long workers take to answer.
    pub(crate) answer_times: AnswerTimes,
    /// The availability zones that have just fallen silent.
    pub(crate) silent_zones: BTreeSet<Name>,
    batch: Vec<Command>,
    /// The number of the batch that is being gathered.
    batch_number: u64,
    /// The last batch known to be committed.
    committed: u64,
    gated: VecDeque<(u64, Gated)>,
    actions: Vec<Action>,
    forget_at: Millis,
    /// When a line may next tell of a call without a key.
    pub(crate) next_key_log_at: Millis,
    /// Which of the steps that have lacked a call for long are looked at next.
    pub(crate) aged_rotation: usize,
    /// When the last input came.
    moment: Moment,
    /// Whether something has happened since the last plan that may let a task start.
    pub(crate) plan_due: bool,
    /// When the next plan may be made at the earliest: the longer the last one took, the later.
    plan_at: Millis,
    /// What the plan under way, or the last one, has gone through and kept free.
    pub(crate) plan_state: PlanState,
    /// Which open steps plans look at.
    pub(crate) step_selector: StepSelector,
    /// Since when tasks that last wait, as the last plan began.
    pub(crate) long_running_waits: LongRunningWaits,
    /// Which of these waits are told of, and when they were.
    pub(crate) wait_logger: WaitLogger,
}

impl Dispatcher {
    /// Takes over from whoever led before.
    pub fn new(setup: Setup, m: Moment) -> Dispatcher {
        let Setup { limits, term, reader, replicated } = setup;
        let mut d = Dispatcher {
            limits,
            term,
            reader,
            policy: None,
            advice_policies: BTreeMap::new(),
            replicated,
            worker_views: BTreeMap::new(),
            unconfigured_workers: UnconfiguredWorkers::default(),
            advice_scheduler: AdviceScheduler::for_term(term),
            jobs_to_clean_up: BTreeSet::new(),
            avoided_workers: BTreeMap::new(),
            accepted: BTreeMap::new(),
            recent_losses: RecentLosses::default(),
            step_speeds: BTreeMap::new(),
            answer_times: AnswerTimes::unknown(),
            silent_zones: BTreeSet::new(),
            batch: Vec::new(),
            batch_number: 1,
            committed: 0,
            gated: VecDeque::new(),
            actions: Vec::new(),
            forget_at: m.now,
            next_key_log_at: m.now,
            aged_rotation: 0,
            moment: m,
            plan_due: true,
            plan_at: m.now,
            plan_state: PlanState::default(),
            step_selector: StepSelector::default(),
            long_running_waits: LongRunningWaits::default(),
            wait_logger: WaitLogger::default(),
        };
        d.inherit(m);
        d
    }

    /// Takes up the configuration, the workers and their runs as the log tells of them.
    fn inherit(&mut self, m: Moment) {
        let document = self.replicated.document().clone();
        if document.version > 0 {
            match self.reader.read(&document.text) {
                Ok(policy) => self.set_policy(policy),
                Err(e) => {
                    self.log_event(&kinds::CONFIG_FAULTY, document.version, format!("fault={e:?}"))
                }
            }
        }
        // A leader before this one may have granted its longest lease up to now.
        let longest = self.limits.max_lease.plus_percent(MAX_CLOCK_DRIFT_PERCENT);
        let lapses_at = m.now + longest + LEASE_EXPIRY_MARGIN;
        for (id, worker) in self.replicated.workers() {
            let mut view = WorkerView::new(m.now, lapses_at);
            for (task, run) in &worker.runs {
                let order = Order {
                    run: *run,
                    stage: Stage::Inherited,
                    retry_at: None,
                    attempts: 0,
                    since: m.now,
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
        let going_on = self.replicated.jobs().iter().filter(|(_, j)| j.placed() > 0);
        self.jobs_to_clean_up.extend(going_on.map(|(id, _)| *id));
    }

    /// Takes in something that happened.
    pub fn handle(&mut self, m: Moment, input: Input) {
        self.moment = m;
        match input {
            Input::Tick => {
                self.plan_due = true;
                self.on_tick(m);
            }
            Input::Committed(batch) => self.on_committed(m, batch),
            Input::Call { token, call } => self.on_call(m, token, call),
            Input::Announcement(news) => self.on_announcement(m, news),
            Input::Left(worker) => self.on_left(m, &worker),
            Input::Renewed { worker, sent_at, result } => {
                self.on_renewed(m, &worker, sent_at, result);
            }
            Input::Started { worker, task, run, result } => {
                self.on_started(m, &worker, &task, run, result);
            }
            Input::Stopped { worker, task, run, result } => {
                self.on_stopped(m, &worker, &task, run, result);
            }
            Input::Advised { id, valid, allowed } => {
                self.plan_due |= self.advice_scheduler.answered(m.now, id, valid, allowed);
            }
            Input::AdviceCallers(helpers) => self.advice_scheduler.set_callers(helpers),
        }
    }

    /// Decides what follows from all inputs so far. Gives the number of a batch of commands to put
    /// into the log, with the commands, if there are any, and what may be done at once.
    pub fn decide(&mut self, m: Moment) -> (Option<(u64, Vec<Command>)>, Vec<Action>) {
        self.moment = m;
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

    /// Gives the book, ahead of the log by what is not committed.
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

    /// Adds a command to the batch and takes it for granted from here on.
    pub(crate) fn propose(&mut self, command: Command) {
        self.plan_due = true;
        self.long_running_waits.record_change(&command, &self.replicated);
        self.replicated.apply(&command);
        self.batch.push(command);
    }

    /// Gives when the last input came, by the clock that never jumps.
    pub(crate) fn now(&self) -> Millis {
        self.moment.now
    }

    /// Gives when the last input came, by the wall clock.
    pub(crate) fn wall(&self) -> Millis {
        self.moment.wall
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

    /// Answers once everything that the answer may rest on is committed.
    pub(crate) fn reply(&mut self, token: Token, answer: Answer) {
        self.hold_back(Gated::Reply { token, answer });
    }

    pub(crate) fn start_when_committed(&mut self, worker: WorkerId, task: TaskKey, run: u32) {
        self.hold_back(Gated::Start { worker, task, run });
    }

    pub(crate) fn stop_when_committed(&mut self, worker: WorkerId, task: TaskKey, run: u32) {
        self.hold_back(Gated::Stop { worker, task, run });
    }

    pub(crate) fn renew_when_committed(&mut self, worker: WorkerId) {
        self.hold_back(Gated::Renew { worker });
    }

    fn hold_back(&mut self, gated: Gated) {
        let last = match self.batch.is_empty() {
            true => self.batch_number - 1,
            false => self.batch_number,
        };
        self.gated.push_back((last, gated));
        // What rests on nothing that is under way leaves with the next actions.
        if last <= self.committed {
            self.gated_out(self.moment);
        }
    }

    fn on_committed(&mut self, m: Moment, batch: u64) {
        self.committed = self.committed.max(batch);
        self.gated_out(m);
    }

    fn gated_out(&mut self, m: Moment) {
        while self.gated.front().is_some_and(|(n, _)| *n <= self.committed) {
            let Some((_, gated)) = self.gated.pop_front() else { return };
            match gated {
                Gated::Reply { token, answer } => self.reply_now(token, answer),
                Gated::Start { worker, task, run } => self.send_start(m, &worker, &task, run),
                Gated::Stop { worker, task, run } => self.send_stop(&worker, &task, run),
                Gated::Renew { worker } => self.send_renewal(m, &worker),
            }
        }
    }

    fn on_tick(&mut self, m: Moment) {
        self.advice_scheduler.expire(m.now);
        self.maintain_workers(m);
        self.clear_suspects(m);
        if m.now >= self.forget_at {
            self.forget_at = m.now + CLEANUP_INTERVAL;
            self.forget(m);
        }
    }

    /// Drops what nobody asks for any more.
    fn forget(&mut self, m: Moment) {
        self.unconfigured_workers.forget_old(m.now);
        self.log_partial_gangs();
        let before = m.wall.since(self.limits.job_retention);
        let old = |t: Option<Millis>| t.is_some_and(|t| t < before);
        if self.replicated.jobs().values().any(|j| old(j.ended_at)) {
            self.propose(Command::Forget { before });
        }
        let replicated = &self.replicated;
        let goes_on = |id: &JobId| replicated.job(*id).is_some_and(|j| !j.state.is_final());
        self.advice_scheduler.retain(|k| goes_on(&k.job));
        self.accepted.retain(|id, _| goes_on(id));
        self.avoided_workers.retain(|k, _| goes_on(&k.step.job));
        self.step_speeds.retain(|k, _| goes_on(&k.job));
    }
}
