//! Admission of jobs by a forecast of their wait.
//!
//! Load pattern: callers submit several times what the fleet can run. Everything was accepted, and
//! up to 62% of a day's batch jobs waited until their result was worth nothing to their callers. A
//! job whose forecast end lies beyond the time at which it is worth anything is refused at once,
//! with the time after which it can be in time. What a job waits for follows the service order:
//! priority 0 first, then what can still be in time, then what is late. docs/design/admission.md
//! describes what the forecast counts and what happens when something fails.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{Name, Size};
use workload::{Command, Job, JobId, JobSpec, Policy, Queue, ReplicatedState};

use crate::backlog::{Backlog, JobWork, Level, Levels, Work};
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    ADMISSION_IDLE_REFRESH_INTERVAL, ADMISSION_MEASURE_TIME, ADMISSION_REFRESH_INTERVAL,
    BACKLOG_SETTLING_TIME, EFFICIENCY_HALF_LIFE, EFFICIENCY_RECOVERY_HALF_LIFE, FORECAST_MARGIN,
    FREED_CAPACITY_DIVISOR, MAX_REFUSAL_RETRY, MIN_EFFICIENCY, MIN_REFUSAL_RETRY, MIN_REFUSED_WAIT,
    REFUSAL_RETRY_SPREAD, SLACK_PARTS, WORTHLESS_FACTOR,
};

/// Whether a job is accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It is accepted.
    Accept,
    /// It is refused, and nothing of it is stored.
    Refuse {
        /// After how long its caller may retry.
        retry_after: Millis,
        /// Why.
        forecast: WaitForecast,
    },
}

/// When a job that is submitted now would start and end, and from what that follows.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitForecast {
    /// How long the job would wait for its first start.
    pub starts_in: Millis,
    /// How long the job would take from now to its end.
    pub ends_in: Millis,
    /// How long it may take to be in time.
    pub objective: Millis,
    /// After how long the backlog is worked off far enough for the job to be in time.
    pub in_time_after: Millis,
    /// The waiting work that comes before the job.
    pub ahead: Work,
    /// The part of it that belongs to the job's organisation; all of it without organisations.
    pub own_ahead: Work,
    /// The share of the capacity that the job's organisation has by its weight.
    pub share: f64,
    /// The capacity of the workers in contact, less what long-running tasks take.
    pub capacity: Size,
    /// The fraction of that capacity that was turned into completed work while work waited.
    pub efficiency: f64,
}

/// A job to be admitted, as far as the forecast needs it.
struct NewJob<'a> {
    service: &'a Name,
    organisation: Option<&'a Name>,
    priority: u8,
    /// The labels that its workers must have; `None` stands for any worker.
    labels: BTreeSet<Option<&'a Name>>,
    critical_path: Millis,
    objective: Millis,
    magnitude: u32,
}

/// What the configuration grants to the organisation of a job.
struct Standing {
    /// The share by weight among the organisations that have work.
    share: f64,
    /// The maximum capacity of its runs; zero in a dimension sets no limit.
    limit: Size,
}

/// The workers of one service, and how much of their capacity becomes completed work.
#[derive(Clone, Debug)]
struct Supply {
    /// Since when any worker has been in contact in this term.
    since: Millis,
    /// When the completed work was last measured.
    measured_at: Millis,
    /// The capacity of the workers in contact.
    capacity: Size,
    /// The capacity of those of them with a label, for the labels that work needs.
    by_label: BTreeMap<Name, Size>,
    /// Since when more waits than can start.
    backlog_since: Option<Millis>,
    /// The decaying average of the completed work, as a fraction of the capacity, while more waits
    /// than can start.
    efficiency: f64,
}

/// The state of the forecast. It is derived from the replicated state and from what this leader
/// has measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionState {
    pub(crate) backlog: Backlog,
    supplies: BTreeMap<Name, Supply>,
    /// The largest amount of each resource that a worker of a service has.
    largest: BTreeMap<Name, Size>,
    refresh_at: Millis,
}

impl Supply {
    fn new(now: Millis) -> Supply {
        Supply {
            since: now,
            measured_at: now,
            capacity: Size::ZERO,
            by_label: BTreeMap::new(),
            backlog_since: None,
            efficiency: 1.0,
        }
    }

    /// Updates the efficiency by the work that was completed since the last measurement.
    fn measure(&mut self, now: Millis, completed: Work, has_backlog: bool) {
        let span = now.since(self.measured_at).0 as f64;
        self.measured_at = now;
        if span == 0.0 || self.capacity.cpu_milli == 0 {
            return;
        }
        let fraction = |work: u128, capacity: u64| match capacity {
            0 => 0.0,
            _ => work as f64 / (capacity as f64 * span),
        };
        // The scarcest resource limits what can be completed, so that it counts.
        let measured = fraction(completed.cpu_milli_ms, self.capacity.cpu_milli)
            .max(fraction(completed.memory_mb_ms, self.capacity.memory_mb));
        self.backlog_since = has_backlog.then_some(self.backlog_since.unwrap_or(now));
        if self.backlog_since.is_some_and(|since| now.since(since) < BACKLOG_SETTLING_TIME) {
            return;
        }
        // An idle fleet completes little because little is asked of it.
        let (target, half_life) = match has_backlog {
            true => (measured, EFFICIENCY_HALF_LIFE),
            false => (1.0, EFFICIENCY_RECOVERY_HALF_LIFE),
        };
        let kept = 0.5_f64.powf(span / half_life.0 as f64);
        self.efficiency = target + (self.efficiency - target) * kept;
    }

    /// Returns the efficiency that forecasts assume.
    fn assumed_efficiency(&self) -> f64 {
        self.efficiency.clamp(MIN_EFFICIENCY, 1.0)
    }

    fn is_measured(&self, now: Millis) -> bool {
        now.since(self.since) >= ADMISSION_MEASURE_TIME && self.capacity.cpu_milli > 0
    }
}

impl AdmissionState {
    /// Returns the lowest efficiency that forecasts assume for any service, in thousandths.
    pub(crate) fn efficiency_per_mille(&self) -> u64 {
        let efficiencies = self.supplies.values().map(Supply::assumed_efficiency);
        (efficiencies.fold(1.0, f64::min) * 1_000.0) as u64
    }
}

/// Both amounts of a [`Work`] or [`Size`] as numbers to calculate with.
type Amounts = [f64; 2];

fn work_amounts(work: Work) -> Amounts {
    [work.cpu_milli_ms as f64, work.memory_mb_ms as f64]
}

fn size_amounts(size: &Size) -> Amounts {
    [size.cpu_milli as f64, size.memory_mb as f64]
}

/// Returns the time for an amount of work at a rate; none for no work, and infinite at a rate of 0.
fn time_for(work: f64, rate: f64) -> f64 {
    match work > 0.0 {
        true => work / rate.max(0.0),
        false => 0.0,
    }
}

/// Returns after how long all work has started that any worker may run, where other work is bound
/// to some of the workers: `bound` has that work and the rate of its workers.
///
/// Work that is bound to few workers does not hold up other work beyond the capacity of these
/// workers. The result is the minimum over which of the groups are left to their own work.
fn time_to_start(unbound: f64, bound: &mut [(f64, f64)], rate: f64) -> f64 {
    let order = |(work, rate): &(f64, f64)| time_for(*work, *rate);
    bound.sort_by(|a, b| order(b).total_cmp(&order(a)));
    let mut work = unbound + bound.iter().map(|(work, _)| work).sum::<f64>();
    let mut rate = rate;
    let mut shortest = time_for(work, rate);
    for (bound_work, bound_rate) in bound {
        work -= *bound_work;
        rate -= *bound_rate;
        if rate <= 0.0 {
            break;
        }
        shortest = shortest.min(time_for(work, rate));
    }
    shortest
}

/// A forecast in the making: what is known of the service.
struct Forecaster<'a> {
    backlog: &'a Backlog,
    supply: &'a Supply,
    job: &'a NewJob<'a>,
    standing: Option<&'a Standing>,
    /// The capacity that is freed for other than long-running tasks.
    capacity: Size,
    now: Millis,
}

impl Forecaster<'_> {
    fn rate(&self, size: &Size) -> Amounts {
        size_amounts(size).map(|amount| amount * self.supply.assumed_efficiency())
    }

    /// Returns the waiting work of those levels that come before the job.
    fn waiting(&self, levels: Option<&Levels>, halves: &impl Fn(&Level) -> u8) -> Work {
        levels.map(|l| l.waiting(halves)).unwrap_or_default()
    }

    fn own_waiting(&self, halves: &impl Fn(&Level) -> u8) -> Work {
        let NewJob { service, organisation, .. } = self.job;
        self.waiting(self.backlog.of_owner(service, *organisation), halves)
    }

    /// Returns after how many milliseconds the work of those levels has started that comes before
    /// the job, and how much that is.
    fn wait(&self, halves: &impl Fn(&Level) -> u8) -> (f64, Work) {
        let service = self.job.service;
        let of_label = |label: &Name| {
            let work = self.waiting(self.backlog.of_pool(service, Some(label)), halves);
            (work, self.supply.by_label.get(label).copied().unwrap_or_default())
        };
        let unbound = self.waiting(self.backlog.of_pool(service, None), halves);
        let bound: Vec<(Work, Size)> = self.supply.by_label.keys().map(of_label).collect();
        let total = bound.iter().map(|(work, _)| *work).fold(unbound, Work::plus);
        let (unbound, all) = (work_amounts(unbound), self.rate(&self.capacity));
        let mut wait: f64 = 0.0;
        for i in 0..all.len() {
            let amounts =
                |(work, size): &(Work, Size)| (work_amounts(*work)[i], self.rate(size)[i]);
            let mut bound: Vec<(f64, f64)> = bound.iter().map(amounts).collect();
            wait = wait.max(time_to_start(unbound[i], &mut bound, all[i]));
        }
        for (work, size) in self.job.labels.iter().flatten().map(|label| of_label(label)) {
            if size.cpu_milli > 0 {
                wait = wait.max(longest_time(work, self.rate(&size)));
            }
        }
        (self.within_share(wait, halves), total)
    }

    /// Returns the wait if it is shorter within the share of the job's organisation than among all
    /// work, and no shorter than its limit makes it.
    fn within_share(&self, wait: f64, halves: &impl Fn(&Level) -> u8) -> f64 {
        let Some(standing) = self.standing else { return wait };
        let own = self.own_waiting(halves);
        let share = self.rate(&self.capacity).map(|rate| rate * standing.share);
        let limited = |(work, limit): (f64, u64)| match limit {
            0 => 0.0,
            _ => time_for(work, limit as f64),
        };
        let limits = [standing.limit.cpu_milli, standing.limit.memory_mb];
        let at_limit = work_amounts(own).into_iter().zip(limits).map(limited);
        wait.min(longest_time(own, share)).max(at_limit.fold(0.0, f64::max))
    }

    fn forecast(&self) -> WaitForecast {
        let NewJob { priority, magnitude, objective, critical_path, .. } = *self.job;
        let slack = objective.since(critical_path);
        // What can still be in time after some time, and so comes before the job from then on.
        let in_time_after = |time: Millis| {
            move |level: &Level| {
                let stays = !level.is_late && level.late_from > self.now + time;
                u8::from(stays && level.priority <= priority) * 2
            }
        };
        let (all_in_time, mut ahead) = self.wait(&in_time_after(Millis::ZERO));
        let mut own_ahead = self.own_waiting(&in_time_after(Millis::ZERO));
        // Work that becomes late before it is served falls back behind the job. So the job starts
        // at the latest when all that can be in time after some time has started from then on.
        let (mut starts_in, mut earliest) = (all_in_time, all_in_time / FORECAST_MARGIN);
        for part in 1..SLACK_PARTS {
            let time = Millis(slack.0 / SLACK_PARTS * part);
            let (wait, _) = self.wait(&in_time_after(time));
            starts_in = starts_in.min(time.0 as f64 + wait);
            earliest = earliest.min(time.0 as f64 + wait / FORECAST_MARGIN);
        }
        if earliest > slack.0 as f64 {
            // The job would be late before its first start, and from then on come after all that
            // is in time, among the late jobs by the work that they have left.
            let late = |level: &Level| match (level.is_late, level.priority) {
                (false, 0) | (true, 0) if priority > 0 => 2,
                (_, of) if priority == 0 && of > 0 => 0,
                (false, _) => 2,
                (true, _) if level.magnitude == magnitude => 1,
                (true, _) => u8::from(level.magnitude < magnitude) * 2,
            };
            let (starts_late, all_ahead) = self.wait(&late);
            starts_in = starts_in.max(starts_late);
            (ahead, own_ahead) = (all_ahead, self.own_waiting(&late));
        }
        // An infinite wait saturates.
        let starts_in = Millis(starts_in as u64);
        WaitForecast {
            starts_in,
            ends_in: starts_in + critical_path,
            objective,
            in_time_after: Millis(all_in_time as u64).since(slack),
            ahead,
            own_ahead,
            share: self.standing.map_or(1.0, |s| s.share),
            capacity: self.capacity,
            efficiency: self.supply.assumed_efficiency(),
        }
    }
}

/// Returns the longer of the times for the processor and the memory work.
fn longest_time(work: Work, rate: Amounts) -> f64 {
    let work = work_amounts(work);
    work.into_iter().zip(rate).map(|(work, rate)| time_for(work, rate)).fold(0.0, f64::max)
}

/// Decides on a job by its forecast.
fn decide(forecast: WaitForecast, id: JobId) -> Admission {
    let critical_path = forecast.ends_in.since(forecast.starts_in);
    let allowed_wait = Millis(forecast.objective.0.saturating_mul(WORTHLESS_FACTOR));
    let allowed_wait = allowed_wait.since(critical_path).max(MIN_REFUSED_WAIT);
    if forecast.starts_in.0 as f64 / FORECAST_MARGIN <= allowed_wait.0 as f64 {
        return Admission::Accept;
    }
    let latest = MAX_REFUSAL_RETRY.since(REFUSAL_RETRY_SPREAD);
    let spread = Millis(mix(id.0) % REFUSAL_RETRY_SPREAD.0);
    let retry_after = forecast.in_time_after.max(MIN_REFUSAL_RETRY).min(latest) + spread;
    Admission::Refuse { retry_after, forecast }
}

/// Mixes the bits of a number, so that ids in sequence are spread as well as random ones.
fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// Returns how long a job of a queue may take and be in time.
fn objective(queue: &Queue, spec: &JobSpec) -> Millis {
    let critical_path = spec.critical_path(|_| true);
    Millis((critical_path.0 as f64 * queue.stretch) as u64) + queue.target_latency
}

/// Returns the standing of an organisation, or of the jobs without one, at a service.
fn standing(
    policy: &Policy,
    backlog: &Backlog,
    service: &Name,
    organisation: Option<&Name>,
) -> Option<Standing> {
    let organisations = policy.organisations.as_ref()?;
    let weights: Vec<f64> = organisations.iter().map(|o| o.weight).collect();
    // Jobs without an organisation, or of one that is no longer configured, count like an average
    // organisation.
    let average = weights.iter().sum::<f64>() / weights.len().max(1) as f64;
    let configured = |name: Option<&Name>| name.and_then(|name| organisations.get(name));
    let weight = |name: Option<&Name>| configured(name).map_or(average, |o| o.weight);
    let others = backlog.owners(service).filter(|owner| *owner != organisation);
    let (own, others) = (weight(organisation), others.map(weight).sum::<f64>());
    let share = if own > 0.0 { own / (own + others) } else { 0.0 };
    let limit = configured(organisation).map_or(Size::ZERO, |o| o.limit);
    Some(Standing { share, limit })
}

/// Returns the jobs that a command may change. Must be called before the command is applied.
fn changed_jobs(command: &Command, replicated: &ReplicatedState) -> BTreeSet<JobId> {
    match command {
        Command::Submit { id, .. } | Command::Cancel { id, .. } => BTreeSet::from([*id]),
        Command::Started { runs, .. } | Command::NotStarted { runs, .. } => {
            runs.iter().map(|(task, _)| task.step.job).collect()
        }
        Command::Ended { ends, .. } => ends.iter().map(|end| end.task.step.job).collect(),
        // A crash may also end jobs whose runs had lapsed there before.
        Command::WorkerGone { worker, .. }
        | Command::Lapsed { worker, .. }
        | Command::WorkerCrashed { worker, .. }
        | Command::WorkerLost { worker, .. } => replicated.jobs_on(worker),
        Command::Configure(_)
        | Command::WorkerJoined(_)
        | Command::Forget { .. }
        | Command::CrashSuspected { .. }
        | Command::WorkerSurvived { .. }
        | Command::Resized { .. }
        | Command::SuspectsCleared { .. }
        | Command::AssignOwner { .. }
        | Command::LossesUncertain { .. }
        | Command::DrainZone { .. }
        | Command::UsageRecorded { .. }
        | Command::LossesRecorded { .. }
        | Command::OrderTime { .. }
        | Command::Withdraw { .. }
        | Command::ForgetWithdrawn { .. }
        | Command::SpeedsLearned { .. } => BTreeSet::new(),
    }
}

impl Dispatcher {
    /// Decides whether a job that is submitted now is accepted. The cost does not depend on how
    /// many steps wait.
    pub fn admit(
        &self,
        m: Moment,
        queue: &Queue,
        organisation: Option<&Name>,
        spec: &JobSpec,
        id: JobId,
    ) -> Admission {
        match self.forecast_wait(m, queue, organisation, spec) {
            Some(forecast) => decide(forecast, id),
            None => Admission::Accept,
        }
    }

    /// Returns when a job that is submitted now would start and end; `None` if it has no end or no
    /// objective, or if this leader has not measured for long enough.
    pub fn forecast_wait(
        &self,
        m: Moment,
        queue: &Queue,
        organisation: Option<&Name>,
        spec: &JobSpec,
    ) -> Option<WaitForecast> {
        // A schedule and tasks that run until they are cancelled have no end to forecast.
        let has_end = spec.rounds == 0 && !spec.is_long_running();
        let has_objective = queue.target_latency > Millis::ZERO;
        if !self.limits.mechanisms.forecasts_waits || !has_end || !has_objective {
            return None;
        }
        let policy = self.policy.as_ref()?;
        let supply = self.admission.supplies.get(&queue.service)?;
        if !supply.is_measured(m.now) {
            return None;
        }
        let work = |s: &workload::StepSpec| Work::of(&s.required_capacity(), s.count, s.estimate);
        let work = spec.steps.iter().map(work).fold(Work::default(), Work::plus);
        let job = NewJob {
            service: &queue.service,
            organisation,
            priority: queue.priority,
            labels: spec.steps.iter().map(|s| s.constraint.as_ref()).collect(),
            critical_path: spec.critical_path(|_| true),
            objective: objective(queue, spec),
            magnitude: work.magnitude(),
        };
        let backlog = &self.admission.backlog;
        let held = backlog.held(&queue.service);
        let floor = Size::new(
            supply.capacity.cpu_milli / FREED_CAPACITY_DIVISOR,
            supply.capacity.memory_mb / FREED_CAPACITY_DIVISOR,
            0,
        );
        let free = supply.capacity.minus(&held);
        let capacity =
            Size::new(free.cpu_milli.max(floor.cpu_milli), free.memory_mb.max(floor.memory_mb), 0);
        let standing = standing(policy, backlog, &queue.service, organisation);
        let standing = standing.as_ref();
        let forecaster = Forecaster { backlog, supply, job: &job, standing, capacity, now: m.now };
        Some(forecaster.forecast())
    }

    /// Builds the sums of the work that is left from the replicated state.
    pub(crate) fn restore_backlog(&mut self, m: Moment) {
        if !self.limits.mechanisms.forecasts_waits {
            return;
        }
        let jobs = self.replicated.jobs().iter().filter(|(_, j)| !j.state.is_final());
        let jobs: BTreeSet<JobId> = jobs.map(|(id, _)| *id).collect();
        self.update_backlog(m, jobs);
    }

    /// Returns the jobs whose work left a command may change. Must be called before the command is
    /// applied.
    pub(crate) fn backlog_changes(&self, command: &Command) -> BTreeSet<JobId> {
        match self.limits.mechanisms.forecasts_waits {
            true => changed_jobs(command, &self.replicated),
            false => BTreeSet::new(),
        }
    }

    /// Updates the sums of the work that is left by jobs that have changed.
    pub(crate) fn update_backlog(&mut self, m: Moment, changed: BTreeSet<JobId>) {
        for id in changed {
            let Some(job) = self.replicated.job(id) else { continue };
            let is_final = job.state.is_final();
            if is_final && !self.admission.backlog.contains(id) {
                continue;
            }
            let organisation = self.replicated.ownership().owner(id).cloned();
            let late_from = self.late_from(m, id, job);
            let late_from = (late_from, self.objective_of(job));
            let largest = self.admission.largest.get(&job.service);
            let work = JobWork::of(job, organisation, late_from, m.wall, largest);
            self.admission.backlog.set(m.now, id, work, is_final);
        }
    }

    /// Returns how long a job may take and be in time; zero if its queue is not configured.
    fn objective_of(&self, job: &Job) -> Millis {
        let queue = self.policy.as_ref().and_then(|policy| policy.queue(&job.queue));
        queue.map_or(Millis::ZERO, |queue| objective(queue, &job.spec))
    }

    /// Returns from when on a job can no longer be in time, as [`Dispatcher::slack`] has it.
    fn late_from(&self, m: Moment, id: JobId, job: &Job) -> Millis {
        let Some(policy) = &self.policy else { return m.now };
        let Some(queue) = policy.queue(&job.queue) else { return m.now };
        let Some(round) = job.rounds.first().filter(|_| job.spec.rounds == 0) else {
            return Millis::MAX;
        };
        let accepted_at = self.accepted.get(&id).copied().unwrap_or(m.now);
        let remaining = job.spec.critical_path(|i| !round.steps[i].is_done());
        (accepted_at + objective(queue, &job.spec)).since(remaining)
    }

    /// Updates, a few times a second, what changes without a command: which jobs are late, the
    /// capacity in contact, and the measured rate of completed work.
    pub(crate) fn refresh_forecasts(&mut self, m: Moment) {
        if !self.limits.mechanisms.forecasts_waits || m.now < self.admission.refresh_at {
            return;
        }
        let is_idle = !self.admission.backlog.has_work() && !self.admission.supplies.is_empty();
        let interval = match is_idle {
            true => ADMISSION_IDLE_REFRESH_INTERVAL,
            false => ADMISSION_REFRESH_INTERVAL,
        };
        self.admission.refresh_at = m.now + interval;
        self.admission.backlog.expire(m.now);
        self.update_backlog(m, self.admission.backlog.recurring().into_iter().collect());
        self.refresh_supplies(m);
    }

    /// Recomputes the work left of all jobs, after the configuration has changed.
    pub(crate) fn recompute_backlog(&mut self, m: Moment) {
        self.update_backlog(m, self.admission.backlog.jobs().into_iter().collect());
    }

    fn refresh_supplies(&mut self, m: Moment) {
        let labels = self.admission.backlog.labels();
        let mut capacities: BTreeMap<Name, (Size, BTreeMap<Name, Size>)> = BTreeMap::new();
        let mut largest: BTreeMap<Name, Size> = BTreeMap::new();
        for (id, worker) in self.replicated.workers() {
            let info = &worker.info;
            match largest.get_mut(&info.service) {
                Some(size) => *size = elementwise_max(size, &info.capacity),
                None => drop(largest.insert(info.service.clone(), info.capacity)),
            }
            let is_usable = self.worker_views.get(id).is_some_and(|v| v.is_usable());
            if !is_usable || self.replicated.is_drained(id) {
                continue;
            }
            if !capacities.contains_key(&info.service) {
                capacities.insert(info.service.clone(), Default::default());
            }
            let Some((total, by_label)) = capacities.get_mut(&info.service) else { continue };
            *total = total.plus(&info.capacity);
            let Some(needed) = labels.get(&info.service).filter(|l| !l.is_empty()) else {
                continue;
            };
            for label in info.labels.iter().filter(|l| needed.contains(*l)) {
                let sum = by_label.entry(label.clone()).or_default();
                *sum = sum.plus(&info.capacity);
            }
        }
        if largest != self.admission.largest {
            self.admission.largest = largest;
            self.recompute_backlog(m);
        }
        let mut completed = self.admission.backlog.take_completed();
        let AdmissionState { backlog, supplies, .. } = &mut self.admission;
        for service in capacities.keys() {
            supplies.entry(service.clone()).or_insert_with(|| Supply::new(m.now));
        }
        for (service, supply) in supplies {
            (supply.capacity, supply.by_label) = capacities.remove(service).unwrap_or_default();
            let has_backlog = has_backlog(backlog, service, supply);
            let completed = completed.remove(service).unwrap_or_default();
            supply.measure(m.now, completed, has_backlog);
        }
    }
}

/// Returns whether so much work waits at a service that all its workers are busy.
fn has_backlog(backlog: &Backlog, service: &Name, supply: &Supply) -> bool {
    let waiting = |label: Option<&Name>| {
        backlog.of_pool(service, label).map(|l| l.total().waiting).unwrap_or_default()
    };
    let span = MIN_REFUSED_WAIT.0 as f64;
    let capacity = size_amounts(&supply.capacity).map(|c| c * span);
    let mut work = work_amounts(waiting(None));
    for (label, size) in &supply.by_label {
        // What is bound to some workers cannot keep the others busy.
        let most = size_amounts(size).map(|c| c * span);
        let bound = work_amounts(waiting(Some(label)));
        (0..work.len()).for_each(|i| work[i] += bound[i].min(most[i]));
    }
    (0..work.len()).any(|i| capacity[i] > 0.0 && work[i] >= capacity[i])
}

fn elementwise_max(a: &Size, b: &Size) -> Size {
    Size {
        cpu_milli: a.cpu_milli.max(b.cpu_milli),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
