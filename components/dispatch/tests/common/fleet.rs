//! A simulated fleet around the dispatcher: workers whose runs take time, instances that make one call for advice at a
//! time, a log whose commits take time, and callers that retry. Time advances in steps, and everything is deterministic
//! for a seed.

mod checks;
pub mod crash;
pub mod fail;
pub mod incarnations;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use clock::Millis;
use dispatch::{
    Action, AdviceRequest, Answer, Call, CallError, Input, Limits, StartOrder, Verb,
    WorkerAnnouncement,
};
use model::{InstanceId, Size};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use workload::{
    Command, Credential, Document, JobId, JobSpec, JobState, StepKey, StepSpec, TaskKey, WorkerId,
    WorkerInfo,
};

use self::crash::Crashes;
use self::fail::Failures;
use super::downtime_checker::DowntimeChecker;
use super::host::{Host, RenewalAnswer};
use super::wait_checker::WaitChecker;
use super::{Harness, NO_ANSWER};

/// The step by which time advances, which is also the latency to a worker.
pub const STEP: Millis = Millis(10);
/// How long before its end a worker announces that it leaves.
pub const NOTICE: Millis = Millis(2_000);
/// How often a worker announces itself; `node` takes four seconds for a little more than two such periods.
const ANNOUNCEMENT_INTERVAL: Millis = Millis(1_900);
/// How long the commit of a batch takes.
const COMMIT_TIME: Millis = Millis(10);
/// How long an order that was sent before its worker's zone was drained may take.
const MAX_ORDER_TIME: Millis = Millis(3 * STEP.0);
/// The token of operators' calls; those of callers are the numbers of their jobs.
const OPERATOR_TOKEN: u64 = u64::MAX;
/// How long a ticket is valid. This and the cost of calls for advice follow the queues' policy.
const TICKET_VALIDITY: Millis = Millis(2_000);
/// The cost of a call for advice on a quick job in microseconds: the base cost, and the cost for each worker.
const SHORT_CALL_COST: (u64, u64) = (20_000, 500);
/// The same for other jobs.
const LONG_CALL_COST: (u64, u64) = (400_000, 5_000);
/// How often callers submit a job before they give up.
const MAX_ATTEMPTS: usize = 4;
/// The factor by which a long run exceeds the usual run time of its task.
pub const LONG_RUN_FACTOR: u64 = 7;
/// How many of a hundred workers the advice service allows for a step by default.
const DEFAULT_ALLOWED_PERCENT: u64 = 70;

/// Returns a pseudorandom number that depends only on the seed and the parts.
fn draw(seed: u64, parts: &[u64]) -> u64 {
    parts.iter().fold(seed, |n, part| {
        let n = (n ^ part).wrapping_add(0x9e37_79b9_7f4a_7c15);
        let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        n ^ (n >> 31)
    })
}

/// The advice service, which decides which workers may run a step.
pub struct AdviceService {
    seed: u64,
    numbers: BTreeMap<WorkerId, u64>,
    /// How many of a hundred workers it allows for a step.
    allowed_percent: u64,
    /// The same for single jobs.
    allowed_of: BTreeMap<JobId, u64>,
}

impl AdviceService {
    /// Returns the number of a worker, by which the service decides.
    pub fn number(&self, worker: &WorkerId) -> u64 {
        self.numbers.get(worker).copied().unwrap_or(0)
    }

    pub fn allows(&self, step: &StepKey, number: u64) -> bool {
        let percent = self.allowed_of.get(&step.job).copied().unwrap_or(self.allowed_percent);
        draw(self.seed, &[step.job.0, u64::from(step.step), number]) % 100 < percent
    }
}

/// The kind of a job, by which waits and failures are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Quick,
    Batch,
    Gang,
    LongRunning,
    Wide,
}

/// A job as its caller knows it.
pub struct SubmittedJob {
    pub kind: Kind,
    path: String,
    credential: Credential,
    spec: Arc<JobSpec>,
    pub at: Millis,
    pub accepted: bool,
    pub first_start: Option<Millis>,
    /// When the job was refused, and after how long its caller was told to retry.
    pub refusals: Vec<(Millis, Millis)>,
}

/// A call for advice that is in progress.
struct PendingAdvice {
    due: Millis,
    request: AdviceRequest,
}

/// A dispatcher with its workers, its advice callers and the jobs of its callers.
pub struct Fleet {
    /// Whether calls for advice cost what they do in the deployment of docs/design/overload.md.
    overload: bool,
    /// How many calls for advice were made on each job.
    advice_calls: BTreeMap<JobId, u32>,
    pub harness: Harness,
    pub hosts: BTreeMap<WorkerId, Host>,
    pub rng: StdRng,
    pub jobs: BTreeMap<JobId, SubmittedJob>,
    pub wait_checker: WaitChecker,
    pub downtime_checker: DowntimeChecker,
    pub crashes: Crashes,
    pub failures: Failures,
    seed: u64,
    service: AdviceService,
    callers: Vec<String>,
    /// When each instance has finished its calls for advice.
    busy_until: BTreeMap<InstanceId, Millis>,
    pending_advice: Vec<PendingAdvice>,
    committing: VecDeque<(Millis, u64, Vec<Command>)>,
    /// Orders that are being sent to workers.
    orders: Vec<Action>,
    /// Orders that get no answer, and when they time out.
    unanswered: Vec<(Millis, Action)>,
    has_leader: bool,
    /// Whether the configuration's queues use advice.
    uses_advice: bool,
    /// Whether entry instances hold the renewals of idle workers.
    holds_renewals: bool,
    term: u64,
    /// The incarnations of workers that announced none before, by their earlier ids.
    incarnations: BTreeMap<WorkerId, WorkerId>,
    /// When the test last disturbed the fleet.
    disturbed_at: Millis,
    /// The jobs with long-running tasks.
    long_running_jobs: Vec<JobId>,
    /// When callers return whose jobs were refused.
    returns: Vec<(Millis, JobId)>,
    /// The decisions that the dispatcher logged: the subject, and the whole line.
    log_lines: Vec<(String, String)>,
    /// How many of a thousand runs take [`LONG_RUN_FACTOR`] times as long as others.
    pub long_runs_per_thousand: u64,
    /// The runs that take [`LONG_RUN_FACTOR`] times as long as others, whatever the chance.
    pub long_runs: BTreeSet<(TaskKey, u32)>,
    /// When speeds of machines were committed.
    pub speed_records: Vec<Millis>,
    limits: Limits,
}

impl Fleet {
    /// Returns a fleet without workers, with a number of instances that can call for advice.
    pub fn new(seed: u64, callers: usize) -> Fleet {
        Fleet::with_config(seed, callers, "advice, long")
    }

    /// Returns a fleet like [`Fleet::new`] with a configuration. Its workers need tickets if the configuration has
    /// queues with advice.
    pub fn with_config(seed: u64, callers: usize, config: &str) -> Fleet {
        let mut fleet = Fleet {
            overload: config.contains("overload"),
            advice_calls: BTreeMap::new(),
            harness: Harness::new(config),
            hosts: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            wait_checker: WaitChecker::default(),
            downtime_checker: DowntimeChecker::default(),
            crashes: Crashes::default(),
            failures: Failures::default(),
            seed,
            service: AdviceService {
                seed,
                numbers: BTreeMap::new(),
                allowed_percent: DEFAULT_ALLOWED_PERCENT,
                allowed_of: BTreeMap::new(),
            },
            callers: (0..callers).map(|i| format!("e{i:02}")).collect(),
            busy_until: BTreeMap::new(),
            pending_advice: Vec::new(),
            committing: VecDeque::new(),
            orders: Vec::new(),
            unanswered: Vec::new(),
            has_leader: true,
            uses_advice: config.contains("advice"),
            holds_renewals: false,
            term: 1,
            incarnations: BTreeMap::new(),
            disturbed_at: Millis::ZERO,
            long_running_jobs: Vec::new(),
            returns: Vec::new(),
            log_lines: Vec::new(),
            long_runs_per_thousand: 0,
            long_runs: BTreeSet::new(),
            speed_records: Vec::new(),
            limits: Limits::default(),
        };
        fleet.set_callers();
        fleet
    }

    /// Makes entry instances hold the renewals of idle workers from now on.
    pub fn hold_renewals(&mut self) {
        self.holds_renewals = true;
    }

    /// Records that the test has just disturbed the fleet or ended a disturbance.
    pub(super) fn note_disturbance(&mut self) {
        self.disturbed_at = self.harness.now;
    }

    fn set_callers(&mut self) {
        let names: Vec<&str> = self.callers.iter().map(String::as_str).collect();
        self.harness.set_advice_callers(&names);
    }

    /// Replaces the limits of the dispatcher, and of later leaders, and the configuration, before any worker joins.
    pub fn configure(&mut self, limits: Limits, text: &str) {
        self.limits = limits;
        let document = Document { version: 2, text: text.into() };
        self.harness.committed.apply(&Command::Configure(document));
        let committed = self.harness.committed.clone();
        self.harness = Harness::with_limits(limits, committed, self.term, self.harness.now);
        self.set_callers();
    }

    /// Makes the advice service allow every worker for every step.
    pub fn allow_all(&mut self) {
        self.allow(100);
    }

    /// Makes the advice service allow this percentage of the workers for a step.
    pub fn allow(&mut self, allowed_percent: u64) {
        self.service.allowed_percent = allowed_percent;
    }

    /// Returns the workers that the advice service allows for a step.
    pub fn allowed(&self, step: &StepKey) -> Vec<WorkerId> {
        let allows = |id: &&WorkerId| self.service.allows(step, self.service.number(id));
        self.hosts.keys().filter(allows).cloned().collect()
    }

    /// Lets workers with a label join, in rotation in three zones.
    pub fn join(&mut self, label: &str, count: usize, capacity: Size) {
        for i in 0..count {
            let name = format!("{label}{i:02}");
            let zone = format!("z{}", i % 3);
            let info = WorkerInfo {
                id: WorkerId::from(name.as_str()),
                machine: format!("m-{name}").as_str().into(),
                address: format!("{name}:1").as_str().into(),
                service: "s".into(),
                zone: zone.as_str().into(),
                capacity,
                labels: vec![label.into(), format!("{zone}-r{}", i % 6).as_str().into()],
            };
            self.admit(info);
        }
    }

    /// Lets a worker join.
    fn admit(&mut self, info: WorkerInfo) {
        let number = self.service.numbers.len() as u64;
        self.service.numbers.insert(info.id.clone(), number);
        let mut host = Host::new(info.clone());
        host.needs_ticket = self.uses_advice;
        self.hosts.insert(info.id.clone(), host);
        self.feed_announcement(info, 1);
    }

    fn feed_announcement(&mut self, info: WorkerInfo, number: u64) {
        let leaving = number > 1;
        let remaining = leaving.then_some(NOTICE);
        self.handle(Input::Announcement(WorkerAnnouncement { info, leaving, remaining, number }));
    }

    /// Makes a worker announce itself again, as it does every few seconds.
    pub fn announce(&mut self, id: &WorkerId) {
        let info = self.hosts.get(id).filter(|h| !h.crashed).map(|h| h.info.clone());
        info.into_iter().for_each(|info| self.feed_announcement(info, 1));
    }

    /// Makes all workers that can be reached announce themselves when that is due. A leader that has forgotten a worker
    /// learns of it again only by its announcement.
    fn announce_due(&mut self) {
        if self.harness.now.0 % ANNOUNCEMENT_INTERVAL.0 < STEP.0 {
            let reached = self.workers(|h| !h.fake.silent && !h.leaving && !h.crashed);
            reached.iter().for_each(|id| self.announce(id));
        }
    }

    /// Makes a worker announce that it leaves shortly.
    pub fn announce_leaving(&mut self, id: &WorkerId) {
        let Some(host) = self.hosts.get_mut(id) else { return };
        host.leaving = true;
        let info = host.info.clone();
        self.note_disturbance();
        self.feed_announcement(info, 2);
    }

    /// Ends a worker with all that it runs; nothing answers at its address any more.
    pub fn remove(&mut self, id: &WorkerId) {
        self.handle(Input::Left(id.clone()));
        if let Some(host) = self.hosts.get_mut(id) {
            host.fake.running.clear();
        }
        self.set_silent(id, true);
    }

    pub fn set_silent(&mut self, id: &WorkerId, silent: bool) {
        self.note_disturbance();
        // An incarnation that is over never answers again.
        if let Some(host) = self.hosts.get_mut(id).filter(|h| !h.crashed) {
            host.fake.silent = silent;
        }
    }

    pub fn workers(&self, wanted: impl Fn(&Host) -> bool) -> Vec<WorkerId> {
        self.hosts.iter().filter(|(_, h)| wanted(h)).map(|(id, _)| id.clone()).collect()
    }

    fn handle(&mut self, input: Input) {
        let m = self.harness.moment();
        self.harness.dispatcher.handle(m, input);
    }

    /// Submits a job to a queue; without a leader the caller retries once there is one.
    pub fn submit_job(&mut self, kind: Kind, queue: &str, steps: Vec<StepSpec>) -> JobId {
        self.submit_job_as(Credential::None, kind, queue, steps)
    }

    /// Submits a job on behalf of the holder of a credential.
    pub fn submit_job_as(
        &mut self,
        credential: Credential,
        kind: Kind,
        queue: &str,
        steps: Vec<StepSpec>,
    ) -> JobId {
        let id = JobId(self.jobs.len() as u64 + 1);
        if steps.iter().any(|s| s.long_running) {
            self.long_running_jobs.push(id);
        }
        let (path, spec) = (format!("/{queue}/{id}"), super::spec(steps));
        let at = self.harness.now;
        if self.overload {
            let percent = match queue {
                "q" => 70,
                "mid" => 30,
                _ => 45,
            };
            self.service.allowed_of.insert(id, percent);
        }
        let (accepted, first_start, refusals) = (false, None, Vec::new());
        let job =
            SubmittedJob { kind, path, credential, spec, at, accepted, first_start, refusals };
        self.jobs.insert(id, job);
        self.send(id);
        id
    }

    fn send(&mut self, id: JobId) {
        let job = &self.jobs[&id];
        let verb = Verb::Submit(job.spec.clone());
        self.call(id, job.path.clone(), verb);
    }

    /// Makes a call, whose token is the number of its job.
    fn call(&mut self, id: JobId, path: String, verb: Verb) {
        if self.has_leader {
            let to = ("h".into(), path.as_str().into());
            let call = Call::from_caller(to, 100, verb, self.jobs[&id].credential);
            self.handle(Input::Call { token: id.0, call });
        }
    }

    /// Ends the leader with everything that was not committed.
    pub fn lose_leader(&mut self) {
        self.has_leader = false;
        self.committing.clear();
        self.orders.clear();
        self.unanswered.clear();
        self.pending_advice.clear();
        self.hosts.values_mut().for_each(Host::drop_renewal);
    }

    /// Lets another instance lead with the committed state; callers whose jobs were not accepted submit them again.
    pub fn take_over(&mut self) {
        self.term += 1;
        let committed = self.harness.committed.clone();
        self.harness = Harness::with_limits(self.limits, committed, self.term, self.harness.now);
        self.has_leader = true;
        self.set_callers();
        let open = self.jobs.iter().filter(|(_, j)| !j.accepted).map(|(id, _)| *id);
        for id in open.collect::<Vec<_>>() {
            self.send(id);
        }
    }

    /// Sends an operator's order to drain an availability zone, or to end that.
    pub fn drain_zone(&mut self, zone: &str, drained: bool) {
        self.note_disturbance();
        if self.has_leader {
            let call = Call::DrainZone { zone: zone.into(), drained };
            self.handle(Input::Call { token: OPERATOR_TOKEN, call });
        }
    }

    /// Updates since when the zones of the workers are drained.
    fn update_drained(&mut self) {
        for host in self.hosts.values_mut() {
            match self.harness.committed.drained_zones().contains(&host.info.zone) {
                true => host.drained_since = host.drained_since.or(Some(self.harness.now)),
                false => host.drained_since = None,
            }
        }
    }

    /// Advances time by one step.
    pub fn step(&mut self) {
        self.harness.now += STEP;
        self.update_drained();
        let present = self.present();
        let now = self.harness.now;
        self.hosts.values_mut().for_each(|h| h.advance_runs(now, &present));
        self.crash_due_workers();
        self.fail_due_runs();
        if self.has_leader {
            self.restart_due_workers();
            self.announce_due();
            self.commit();
            self.answer_advice_requests();
            self.carry_out_orders();
            self.fail_unanswered_orders();
            self.answer_renewals();
            self.return_callers();
            self.harness.feed(Input::Tick);
            self.collect();
        }
        self.check();
    }

    pub fn advance(&mut self, span: Millis) {
        let until = self.harness.now + span;
        while self.harness.now < until {
            self.step();
        }
    }

    /// Returns how many members of each gang run.
    fn present(&self) -> BTreeMap<StepKey, u32> {
        let mut present = BTreeMap::new();
        for step in self.hosts.values().flat_map(Host::members) {
            *present.entry(step).or_default() += 1;
        }
        present
    }

    fn commit(&mut self) {
        let now = self.harness.now;
        while self.committing.front().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, number, commands)) = self.committing.pop_front() else { return };
            commands.iter().for_each(|c| self.harness.committed.apply(c));
            if commands.iter().any(|c| matches!(c, Command::SpeedsLearned { .. })) {
                self.speed_records.push(now);
            }
            self.handle(Input::Committed(number));
        }
    }

    fn answer_advice_requests(&mut self) {
        let now = self.harness.now;
        let (due, rest): (Vec<PendingAdvice>, _) =
            std::mem::take(&mut self.pending_advice).into_iter().partition(|a| a.due <= now);
        self.pending_advice = rest;
        let ticket: model::Name = (now + TICKET_VALIDITY).0.to_string().as_str().into();
        for PendingAdvice { request, .. } in due {
            let allows = |w: &&WorkerId| self.service.allows(&request.step, self.service.number(w));
            let allowed = request.workers.iter().filter(allows);
            let allowed = Some(allowed.map(|w| (w.clone(), ticket.clone())).collect());
            self.handle(Input::Advised { id: request.id, valid: Some(TICKET_VALIDITY), allowed });
        }
    }

    fn carry_out_orders(&mut self) {
        for action in std::mem::take(&mut self.orders) {
            match &action {
                Action::Renew { worker, .. } if self.incarnations.contains_key(worker) => {
                    self.answer_with_incarnation(worker);
                }
                Action::Renew { worker, order, runs_nothing, .. } => {
                    let now = self.harness.now;
                    let held = *runs_nothing && self.holds_renewals;
                    let Some(host) = self.hosts.get_mut(worker) else { continue };
                    if let Err(why) = host.renew(now, now.since(STEP), order, held) {
                        self.renewed(worker, now.since(STEP), Err(CallError::Refused(why)));
                    }
                }
                Action::Start { worker, order, .. } if self.is_silent(worker) => {
                    self.unanswered.push((self.harness.now + order.answer_timeout, action));
                }
                Action::Stop { worker, order, .. } if self.is_silent(worker) => {
                    self.unanswered.push((self.harness.now + order.answer_timeout, action));
                }
                Action::Start { worker, order, .. } => {
                    let result = self.start(&self.incarnation_of(worker), order);
                    self.answer_order(&action, result);
                }
                Action::Stop { worker, order, .. } => {
                    let (now, incarnation) = (self.harness.now, self.incarnation_of(worker));
                    let Some(host) = self.hosts.get_mut(&incarnation) else { continue };
                    let result = host.stop(now, order).map_err(CallError::Refused);
                    self.answer_order(&action, result);
                }
                _ => {}
            }
        }
    }

    fn is_silent(&self, id: &WorkerId) -> bool {
        self.hosts.get(&self.incarnation_of(id)).is_none_or(|h| h.fake.silent)
    }

    fn start(&mut self, worker: &WorkerId, order: &StartOrder) -> Result<(), CallError> {
        let now = self.harness.now;
        let TaskKey { step, index } = order.task;
        let Some(job) = self.jobs.get_mut(&step.job) else { return Ok(()) };
        let spec = job.spec.steps[step.step as usize].clone();
        // Declared run times are off by up to a third.
        let which = if spec.gang { 0 } else { u64::from(index) + 1 };
        let percent = 70 + draw(self.seed, &[step.job.0, u64::from(step.step), which]) % 61;
        let mut takes = Millis(spec.estimate.0 * percent / 100);
        let chance =
            draw(self.seed, &[step.job.0, u64::from(step.step), which, u64::from(order.run)]);
        if chance % 1_000 < self.long_runs_per_thousand
            || self.long_runs.contains(&(order.task, order.run))
        {
            takes = Millis(takes.0 * LONG_RUN_FACTOR);
        }
        let Some(host) = self.hosts.get_mut(worker) else { return Ok(()) };
        let began = host.start(now, order, spec, takes).map_err(CallError::Refused)?;
        let drained_for = host.drained_since.map_or(Millis::ZERO, |at| now.since(at));
        assert!(drained_for <= MAX_ORDER_TIME, "{} starts on {worker}, drained", order.task);
        if began {
            job.first_start.get_or_insert(now);
            self.crashes.note_start(now, worker, &order.task, order.run);
            self.record_run(worker, &order.task, order.run);
        }
        match began && self.crashes.crashes_at_start(&order.task) {
            true => Err(NO_ANSWER()),
            false => Ok(()),
        }
    }

    fn answer_order(&mut self, action: &Action, result: Result<(), CallError>) {
        let result = result.map(|()| self.harness.now);
        match action.clone() {
            Action::Start { worker, order, .. } => {
                let (task, run) = (order.task, order.run);
                self.handle(Input::Started { worker, task, run, result });
            }
            Action::Stop { worker, order, .. } => {
                let (task, run) = (order.task, order.run);
                self.handle(Input::Stopped { worker, task, run, result });
            }
            _ => {}
        }
    }

    fn fail_unanswered_orders(&mut self) {
        let now = self.harness.now;
        let (due, rest): (Vec<(Millis, Action)>, _) =
            std::mem::take(&mut self.unanswered).into_iter().partition(|(due, _)| *due <= now);
        self.unanswered = rest;
        for (_, action) in due {
            self.answer_order(&action, Err(NO_ANSWER()));
        }
    }

    fn answer_renewals(&mut self) {
        let now = self.harness.now;
        let answers =
            self.hosts.iter_mut().filter_map(|(id, h)| Some((id.clone(), h.answer(now)?)));
        for (worker, RenewalAnswer { sent_at, result, held_broke }) in answers.collect::<Vec<_>>() {
            match held_broke {
                Some(broke) => self.handle(Input::WatchEnded { worker, sent_at, broke, result }),
                None => self.renewed(&worker, sent_at, result),
            }
        }
    }

    fn renewed(
        &mut self,
        worker: &WorkerId,
        sent_at: Millis,
        result: Result<dispatch::Report, CallError>,
    ) {
        self.handle(Input::Renewed { worker: worker.clone(), sent_at, result });
    }

    /// Collects the dispatcher's batches and actions.
    fn collect(&mut self) {
        let due = self.harness.now + COMMIT_TIME;
        let batches = self.harness.pending.drain(..);
        self.committing.extend(batches.map(|(number, commands)| (due, number, commands)));
        for action in std::mem::take(&mut self.harness.actions) {
            match action {
                Action::RequestAdvice(request) => self.start_advice_call(request),
                Action::Reply { token, answer: Answer::Accepted } => {
                    if let Some(job) = self.jobs.get_mut(&JobId(token)) {
                        job.accepted = true;
                    }
                }
                Action::Reply { token, answer: Answer::NotDone { retry_after } } => {
                    self.note_refusal(JobId(token), retry_after);
                }
                Action::LogEvent { kind, subject, details } => {
                    let text = format!("{:?} {} {subject} {details}", self.harness.now, kind.name);
                    self.log_lines.push((subject, text));
                }
                Action::Reply { .. } => {}
                order => self.orders.push(order),
            }
        }
    }

    /// Notes that a job was refused; its caller returns when it was told to, unless it gives up.
    fn note_refusal(&mut self, id: JobId, retry_after: Millis) {
        let now = self.harness.now;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.refusals.push((now, retry_after));
        if job.refusals.len() < MAX_ATTEMPTS {
            self.returns.push((now + retry_after, id));
        }
    }

    /// Lets the callers return for whom that is due.
    fn return_callers(&mut self) {
        let now = self.harness.now;
        let (due, rest): (Vec<(Millis, JobId)>, _) =
            std::mem::take(&mut self.returns).into_iter().partition(|(due, _)| *due <= now);
        self.returns = rest;
        due.into_iter().for_each(|(_, id)| self.send(id));
    }

    /// Starts a call for advice; an instance makes its calls one after the other.
    fn start_advice_call(&mut self, request: AdviceRequest) {
        let is_quick = self.jobs.get(&request.step.job).is_some_and(|j| j.path.starts_with("/q/"));
        let path = self.jobs.get(&request.step.job).map_or("", |j| &j.path);
        let (base, each) = match (is_quick, self.overload) {
            (true, false) => SHORT_CALL_COST,
            (false, false) => LONG_CALL_COST,
            (true, true) => (11_700, 169),
            (false, true) if path.starts_with("/mid") => (572_000, 8_060),
            (false, true) => (104_000, 1_430),
        };
        *self.advice_calls.entry(request.step.job).or_default() += 1;
        let takes = Millis((base + each * request.workers.len() as u64) / 1_000);
        let free_at = self.busy_until.entry(request.caller.clone()).or_default();
        let due = self.harness.now.max(*free_at) + takes;
        *free_at = due;
        self.pending_advice.push(PendingAdvice { due, request });
    }

    /// Cancels the long-running jobs and asserts that all others complete.
    pub fn finish_all_jobs(&mut self, within: Millis) {
        let long_running_jobs = self.jobs.iter().filter(|(_, j)| j.kind == Kind::LongRunning);
        for (id, path) in long_running_jobs.map(|(id, j)| (*id, j.path.clone())).collect::<Vec<_>>()
        {
            self.call(id, path, Verb::Cancel);
        }
        let until = self.harness.now + within;
        while self.harness.now < until && !self.all_jobs_final() {
            self.step();
        }
        for (id, job) in &self.jobs {
            let state = self.harness.committed.job(*id).map(|j| j.state);
            let wanted = match job.kind {
                Kind::LongRunning => JobState::Cancelled,
                _ => JobState::Completed,
            };
            assert_eq!(state, Some(wanted), "seed {}: {id}, {:?}", self.seed, job.kind);
        }
    }

    fn all_jobs_final(&self) -> bool {
        let is_final = |id| self.harness.committed.job(id).is_some_and(|j| j.state.is_final());
        self.jobs.keys().all(|id| is_final(*id))
    }

    /// Returns the waits from submission to first start of the jobs of a kind, in ascending order.
    pub fn waits(&self, kind: Kind) -> Vec<Millis> {
        let of_kind = self.jobs.values().filter(|j| j.kind == kind);
        let mut waits: Vec<Millis> =
            of_kind.filter_map(|j| Some(j.first_start?.since(j.at))).collect();
        waits.sort_unstable();
        waits
    }

    /// Returns how many calls for advice were made on a job.
    pub fn advice_calls(&self, job: JobId) -> u32 {
        self.advice_calls.get(&job).copied().unwrap_or(0)
    }

    /// Returns the log lines of a kind of event, with their subjects.
    pub fn events(&self, kind: &str) -> Vec<&(String, String)> {
        let kind = format!(" {kind} ");
        self.log_lines.iter().filter(|(_, text)| text.contains(&kind)).collect()
    }

    /// Returns by how many milliseconds each run that was stopped for being slow ended sooner than it would have, for
    /// the tasks that are done.
    pub fn gains_of_moved_runs(&self) -> Vec<i64> {
        let moved = self.events("run_straggles").into_iter().filter_map(|(subject, _)| {
            let stopped = |h: &Host| {
                h.stopped.iter().filter(|(k, _)| k.to_string() == *subject).map(|s| s.1).min()
            };
            let would_end = self.hosts.values().filter_map(stopped).min()?;
            let done =
                |h: &Host| h.done.iter().find(|(k, _)| k.to_string() == *subject).map(|d| d.1);
            let ended = self.hosts.values().find_map(done)?;
            Some(would_end.0 as i64 - ended.0 as i64)
        });
        moved.collect()
    }

    /// Returns a random number below `end`.
    pub fn random_below(&mut self, end: u64) -> u64 {
        self.rng.random_range(0..end)
    }
}
