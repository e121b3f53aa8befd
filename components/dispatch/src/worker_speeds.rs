//! Learns how fast each machine is relative to the others of its service.
//!
//! Load pattern: a quarter of the machines runs at half the speed of the others, and nothing that a
//! worker announces tells which. The tasks of a step are alike, so the run times of a step whose
//! tasks ran on several machines show it. A quick job of three tasks that places one of them on
//! such a machine is late, while a batch job that has time loses nothing there. See
//! docs/design/worker-speeds.md.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::Name;
use workload::{Command, End, ReplicatedState, StepKey, StepSpec, USUAL_SPEED, Worker, WorkerId};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::worker_view::{Order, Stage};

/// The minimum number of comparisons for a machine's speed to be known.
const MIN_COMPARISONS: u32 = 5;
/// The minimum weight of a new comparison: the speed follows some tens of runs.
const MIN_WEIGHT: f64 = 0.04;
/// The maximum difference to the present estimate, as a natural logarithm, that one comparison can
/// show. One run in thirty takes seven times as long, and must hardly count.
const MAX_SURPRISE: f64 = 0.35;
/// The minimum deviation from the usual speed, as a natural logarithm, that counts. Speeds within
/// 10% of each other must make no difference to a placement, so the bound is twice that.
const MIN_DEVIATION: f64 = 0.2;
/// The deviation that counts after one comparison; it falls with the square root of their number.
/// The run times of a step's tasks differ by up to a third, a standard deviation of 0.2.
const SINGLE_DEVIATION: f64 = 1.0;
/// The minimum change of a machine's speed that replaces the one in use.
const MIN_CHANGE: f64 = 0.1;
/// The minimum number of other machines that a run is compared with.
const MIN_OTHER_MACHINES: usize = 2;
/// The shortest run that is measured; the time of messages dominates in a shorter one.
const MIN_MEASURED_RUN: Millis = Millis(100);
/// The maximum time from a start to its confirmation for the run to be measured. The time of a run
/// whose start waited includes that wait, or an unknown part of it.
const MAX_CONFIRMATION_TIME: Millis = Millis(100);
/// The interval at which estimates are related to the median of their service.
const UPDATE_INTERVAL: Millis = Millis(500);
/// The speed below which a machine counts as slow.
pub(crate) const SLOW_SPEED: f64 = 0.85;

/// The minimum interval between two records of speeds in the log.
const RECORD_INTERVAL: Millis = Millis(5_000);
/// How long the estimate of a machine is kept that no worker runs on: longer than a reboot takes.
const ABSENT_RETENTION: Millis = Millis(600_000);
/// The number of comparisons that a speed recorded by an earlier leader counts for.
const RECORDED_COMPARISONS: u32 = 25;

/// The estimate of one machine's speed.
#[derive(Clone, Debug)]
struct Estimate {
    service: Name,
    /// The natural logarithm of the speed.
    log_speed: f64,
    comparisons: u32,
}

impl Estimate {
    fn record(&mut self, log_ratio: f64) {
        self.comparisons = self.comparisons.saturating_add(1);
        let weight = (1.0 / f64::from(self.comparisons)).max(MIN_WEIGHT);
        let surprise = (log_ratio - self.log_speed).clamp(-MAX_SURPRISE, MAX_SURPRISE);
        self.log_speed += weight * surprise;
    }

    fn is_known(&self) -> bool {
        self.comparisons >= MIN_COMPARISONS
    }

    /// Returns the speed, or 1 if the deviation from it is within what so few comparisons show by
    /// chance.
    fn significant_speed(&self) -> f64 {
        let by_chance = SINGLE_DEVIATION / f64::from(self.comparisons).sqrt();
        let counts = self.log_speed.abs() > by_chance.max(MIN_DEVIATION);
        if counts { self.log_speed.exp() } else { 1.0 }
    }
}

/// The run times of one step's tasks until all of them are done.
#[derive(Clone, Debug, Default)]
struct StepRuns {
    /// How many tasks are done, with or without a measured run time.
    done: u32,
    /// The run time and the machine of each measured run.
    measured: Vec<(Name, Millis)>,
}

/// The speeds of all machines.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerSpeeds {
    estimates: BTreeMap<Name, Estimate>,
    /// The speeds in use, of the machines whose speed differs from the usual one.
    speeds: BTreeMap<Name, f64>,
    steps: BTreeMap<StepKey, StepRuns>,
    /// Whether any estimate has changed since the speeds in use were determined.
    changed: bool,
    update_at: Millis,
    record_at: Millis,
    /// Since when no worker runs on a machine.
    absent_since: BTreeMap<Name, Millis>,
    /// The run times of the tasks of each queue and image.
    run_times: RunTimes,
}

impl WorkerSpeeds {
    /// Returns the speeds that an earlier leader has recorded. The other machines had the usual
    /// speed.
    pub(crate) fn restore(replicated: &ReplicatedState) -> WorkerSpeeds {
        let recorded = replicated.machine_speeds();
        let mut restored = WorkerSpeeds::default();
        if recorded.is_empty() {
            return restored;
        }
        let to_speed = |s: u32| f64::from(s) / f64::from(USUAL_SPEED);
        restored.speeds =
            recorded.iter().map(|(machine, s)| (machine.clone(), to_speed(*s))).collect();
        for worker in replicated.workers().values() {
            let (machine, service) = (&worker.info.machine, worker.info.service.clone());
            let comparisons =
                if recorded.contains_key(machine) { RECORDED_COMPARISONS } else { MIN_COMPARISONS };
            let log_speed = restored.of(machine).ln();
            let estimate = Estimate { service, log_speed, comparisons };
            restored.estimates.insert(machine.clone(), estimate);
        }
        restored
    }

    /// Returns the number of machines that are known to be slow.
    pub(crate) fn slow_machines(&self) -> u64 {
        self.speeds.values().filter(|s| **s < SLOW_SPEED).count() as u64
    }

    /// Returns the highest speed of any machine.
    pub(crate) fn fastest(&self) -> f64 {
        self.speeds.values().copied().fold(1.0, f64::max)
    }

    /// Returns whether a machine's speed was compared often enough to be known.
    pub(crate) fn is_known(&self, machine: &Name) -> bool {
        self.estimates.get(machine).is_some_and(Estimate::is_known)
    }

    /// Returns the run times of the tasks of each queue and image.
    pub(crate) fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    /// Returns the machines whose speed in use differs from the recorded one, if a record is due.
    fn changes_to_record(
        &mut self,
        now: Millis,
        recorded: &BTreeMap<Name, u32>,
    ) -> Vec<(Name, u32)> {
        if now < self.record_at {
            return Vec::new();
        }
        let in_thousandths = |s: f64| ((s * f64::from(USUAL_SPEED)).round() as u32).max(1);
        let mut changes: Vec<(Name, u32)> = Vec::new();
        for (machine, speed) in &self.speeds {
            let speed = in_thousandths(*speed);
            if recorded.get(machine) != Some(&speed) {
                changes.push((machine.clone(), speed));
            }
        }
        let usual_again = recorded.keys().filter(|m| !self.speeds.contains_key(*m));
        changes.extend(usual_again.map(|m| (m.clone(), USUAL_SPEED)));
        if !changes.is_empty() {
            self.record_at = now + RECORD_INTERVAL;
        }
        changes
    }

    /// Drops what is known of machines that no worker has run on for long.
    fn forget_absent(&mut self, now: Millis, present: &BTreeSet<&Name>) {
        self.absent_since.retain(|m, _| !present.contains(m));
        for machine in self.estimates.keys().chain(self.speeds.keys()) {
            if !present.contains(machine) && !self.absent_since.contains_key(machine) {
                self.absent_since.insert(machine.clone(), now);
            }
        }
        let is_due = |since: &Millis| now.since(*since) >= ABSENT_RETENTION;
        let due = self.absent_since.iter().filter(|(_, since)| is_due(since));
        for machine in due.map(|(m, _)| m.clone()).collect::<Vec<_>>() {
            self.estimates.remove(&machine);
            self.speeds.remove(&machine);
            self.absent_since.remove(&machine);
        }
    }

    /// Returns whether no machine is known to be slower or faster than the others.
    pub(crate) fn is_uniform(&self) -> bool {
        self.speeds.is_empty()
    }

    /// Returns the speed of a machine relative to the others of its service; 1 if it is unknown.
    pub(crate) fn of(&self, machine: &Name) -> f64 {
        self.speeds.get(machine).copied().unwrap_or(1.0)
    }

    /// Records that a task of a step is done, with the machine and the run time if it was measured.
    /// The runs are compared once all are done: the first to end are those on fast machines.
    fn record_done(
        &mut self,
        step: StepKey,
        tasks: u32,
        service: &Name,
        run: Option<(Name, Millis)>,
    ) {
        let runs = self.steps.entry(step).or_default();
        runs.done += 1;
        runs.measured.extend(run);
        if runs.done >= tasks
            && let Some(runs) = self.steps.remove(&step)
        {
            self.compare(service, &runs.measured);
        }
    }

    /// Compares the runs of a step on each machine with those on the others.
    fn compare(&mut self, service: &Name, runs: &[(Name, Millis)]) {
        let mut by_machine: BTreeMap<&Name, (f64, f64)> = BTreeMap::new();
        for (machine, took) in runs {
            let (sum, count) = by_machine.entry(machine).or_default();
            *sum -= (took.0 as f64).ln();
            *count += 1.0;
        }
        if by_machine.len() <= MIN_OTHER_MACHINES {
            return;
        }
        let known = |machine: &Name| {
            self.estimates.get(machine).filter(|e| e.is_known()).map_or(0.0, |e| e.log_speed)
        };
        // What the rate of each would be on a machine of the usual speed.
        let mut rates: Vec<(f64, f64, &Name)> = by_machine
            .into_iter()
            .map(|(machine, (sum, count))| (sum / count - known(machine), sum / count, machine))
            .collect();
        rates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let others = rates.len() - 1;
        let mut ratios = Vec::with_capacity(rates.len());
        for (i, (_, rate, machine)) in rates.iter().enumerate() {
            let other = |n: usize| rates[if n < i { n } else { n + 1 }].0;
            let median = (other((others - 1) / 2) + other(others / 2)) / 2.0;
            ratios.push((Name::clone(machine), rate - median));
        }
        for (machine, log_ratio) in ratios {
            // A machine that was away when this leader's term began has a recorded speed.
            let log_speed = self.of(&machine).ln();
            let fresh = || Estimate { service: service.clone(), log_speed, comparisons: 0 };
            self.estimates.entry(machine).or_insert_with(fresh).record(log_ratio);
        }
        self.changed = true;
    }

    /// Determines the speeds in use where that is due: those relative to the median of each
    /// service.
    pub(crate) fn update(&mut self, now: Millis) {
        if !self.changed || now < self.update_at {
            return;
        }
        self.changed = false;
        self.update_at = now + UPDATE_INTERVAL;
        let mut by_service: BTreeMap<&Name, Vec<f64>> = BTreeMap::new();
        for estimate in self.estimates.values().filter(|e| e.is_known()) {
            by_service.entry(&estimate.service).or_default().push(estimate.log_speed);
        }
        let median = |(service, mut speeds): (&Name, Vec<f64>)| {
            speeds.sort_by(f64::total_cmp);
            (service.clone(), speeds[speeds.len() / 2])
        };
        let usual: BTreeMap<Name, f64> = by_service.into_iter().map(median).collect();
        for (machine, estimate) in &mut self.estimates {
            let Some(usual) = usual.get(&estimate.service).filter(|_| estimate.is_known()) else {
                continue;
            };
            estimate.log_speed -= usual;
            let speed = estimate.significant_speed();
            let in_use = self.speeds.get(machine).copied().unwrap_or(1.0);
            if (speed / in_use - 1.0).abs() <= MIN_CHANGE {
                continue;
            }
            match speed == 1.0 {
                true => self.speeds.remove(machine),
                false => self.speeds.insert(machine.clone(), speed),
            };
        }
    }

    /// Drops the runs of steps that are no longer needed.
    pub(crate) fn retain_steps(&mut self, is_needed: impl Fn(&StepKey) -> bool) {
        self.steps.retain(|key, _| is_needed(key));
    }
}

/// The minimum number of runs of a queue and image from which the time of another one is known.
const MIN_RUNS_FOR_RUN_TIME: u32 = 20;
/// The minimum weight of a new run in the run times of its queue and image.
const MIN_RUN_TIME_WEIGHT: f64 = 0.05;
/// The maximum difference of a run to the usual run time, as a natural logarithm, that counts. A
/// run that takes seven times as long is no usual one.
const MAX_RUN_TIME_SURPRISE: f64 = 0.7;
/// How many mean deviations above the usual run time nearly all runs end.
const LONG_RUN_DEVIATIONS: f64 = 2.5;
/// The maximum number of images for which run times are kept.
const MAX_RUN_TIMES: usize = 4_096;

/// The run times of tasks on a machine of the usual speed, relative to their estimates, as natural
/// logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct RunTime {
    mean: f64,
    deviation: f64,
    runs: u32,
}

/// The run times of the tasks of each queue and image.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    by_image: BTreeMap<(Name, Name), RunTime>,
}

impl RunTimes {
    /// Records a run time relative to its estimate on a machine of the usual speed.
    fn record(&mut self, queue: &Name, image: &Name, relative: f64) {
        if self.by_image.len() >= MAX_RUN_TIMES {
            self.by_image.clear();
        }
        let run_time = self.by_image.entry((queue.clone(), image.clone())).or_default();
        run_time.runs = run_time.runs.saturating_add(1);
        let weight = (1.0 / f64::from(run_time.runs)).max(MIN_RUN_TIME_WEIGHT);
        let difference =
            (relative.ln() - run_time.mean).clamp(-MAX_RUN_TIME_SURPRISE, MAX_RUN_TIME_SURPRISE);
        run_time.mean += weight * difference;
        run_time.deviation += weight * (difference.abs() - run_time.deviation);
    }

    /// Returns the time in milliseconds within which nearly all runs of a step end on a machine of
    /// the usual speed, if enough runs of its queue and image have ended.
    pub(crate) fn longest_usual(&self, queue: &Name, spec: &StepSpec) -> Option<f64> {
        let run_time = self.by_image.get(&(queue.clone(), spec.image.clone()))?;
        let relative = (run_time.mean + LONG_RUN_DEVIATIONS * run_time.deviation).exp();
        let is_known = run_time.runs >= MIN_RUNS_FOR_RUN_TIME;
        (is_known && spec.estimate > Millis::ZERO).then_some(spec.estimate.0 as f64 * relative)
    }
}

/// Returns when a run began, if its start was confirmed promptly.
pub(crate) fn start_time(order: &Order) -> Option<Millis> {
    let Stage::Confirmed { at } = order.stage else { return None };
    let was_prompt = order.attempts == 1 && at.since(order.sent_at) <= MAX_CONFIRMATION_TIME;
    was_prompt.then_some(at)
}

/// Returns the run time of a run that has just ended, if it is known exactly enough.
fn measured_run_time(now: Millis, order: &Order) -> Option<Millis> {
    let took = now.since(start_time(order)?);
    (took >= MIN_MEASURED_RUN).then_some(took)
}

/// Which machines suit a step, where their speeds differ.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SpeedPreference {
    /// None.
    Any,
    /// Fast ones.
    Fast,
    /// Slow ones, so that fast ones stay free, as far as the step has time for it.
    Slow {
        /// How much longer than estimated the tasks may run, as a fraction of the estimate.
        tolerance: f64,
    },
}

/// The cost of a worker at half speed for a step that needs a fast one. It exceeds the difference
/// between an empty worker and a full one and the preference for an availability zone: a job is
/// late for certain if one of its tasks is.
const SLOW_WORKER_PENALTY: f64 = 5.0;
/// The cost of a worker of usual speed compared with one of no speed at all for a step that has
/// time: a slow worker is preferred unless it is much fuller.
const NEEDLESS_SPEED_PENALTY: f64 = 2.0;
/// The part of a job's slack that may be spent on a slow worker. Declared run times are off by
/// half, and the job's later steps need time too.
const MAX_SLACK_FRACTION: f64 = 0.5;

impl SpeedPreference {
    /// Returns the cost of a worker of a speed; 0 for the usual one unless slow ones are preferred.
    pub(crate) fn cost(self, speed: f64) -> f64 {
        let delay = 1.0 / speed - 1.0;
        match self {
            SpeedPreference::Any => 0.0,
            SpeedPreference::Fast => SLOW_WORKER_PENALTY * delay,
            SpeedPreference::Slow { tolerance } if delay > tolerance => SLOW_WORKER_PENALTY * delay,
            SpeedPreference::Slow { .. } => NEEDLESS_SPEED_PENALTY * (speed - 1.0),
        }
    }
}

impl Dispatcher {
    /// Returns the speed of a worker's machine relative to the others of its service; 1 if it is
    /// unknown.
    pub(crate) fn speed(&self, worker: &Worker) -> f64 {
        if self.worker_speeds.is_uniform() || !self.limits.mechanisms.prefers_suitable_speeds {
            return 1.0;
        }
        self.worker_speeds.of(&worker.info.machine)
    }

    /// Returns which machines suit a step.
    pub(crate) fn speed_preference(
        &self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
    ) -> SpeedPreference {
        let is_uniform = self.worker_speeds.is_uniform();
        if is_uniform || spec.long_running || !self.limits.mechanisms.prefers_suitable_speeds {
            return SpeedPreference::Any;
        }
        let is_quick = self.replicated.job(key.job).is_some_and(|j| j.priority == 0);
        if is_quick || spec.gang {
            return SpeedPreference::Fast;
        }
        let slack = self.slack(m, key).0 as f64 * MAX_SLACK_FRACTION;
        SpeedPreference::Slow { tolerance: slack / spec.estimate.0.max(1) as f64 }
    }

    /// Returns whether a worker is too slow for a step that needs fast ones, so that a call for
    /// advice names it after those.
    pub(crate) fn is_too_slow(&self, key: &StepKey, spec: &StepSpec, worker: &Worker) -> bool {
        self.speed(worker) < SLOW_SPEED
            && (spec.gang || self.replicated.job(key.job).is_some_and(|j| j.priority == 0))
    }

    /// Updates the speeds in use, and records them in the log where that is due.
    pub(crate) fn update_speeds(&mut self, m: Moment) {
        if !self.limits.mechanisms.prefers_suitable_speeds {
            return;
        }
        self.worker_speeds.update(m.now);
        let recorded = self.replicated.machine_speeds();
        let speeds = self.worker_speeds.changes_to_record(m.now, recorded);
        if !speeds.is_empty() {
            self.propose(Command::SpeedsLearned { speeds });
        }
    }

    /// Drops what is known of steps that are finished and of machines that are gone.
    pub(crate) fn clean_up_speeds(&mut self, m: Moment) {
        let replicated = &self.replicated;
        let is_unfinished =
            |key: &StepKey| replicated.job(key.job).is_some_and(|j| !j.state.is_final());
        self.worker_speeds.retain_steps(is_unfinished);
        let present = replicated.workers().values().map(|w| &w.info.machine).collect();
        self.worker_speeds.forget_absent(m.now, &present);
    }

    /// Records the run time of a run that has completed its work, before the end is applied.
    pub(crate) fn record_run_time(
        &mut self,
        m: Moment,
        id: &WorkerId,
        end: &End,
        order: Option<&Order>,
    ) {
        if !self.limits.mechanisms.prefers_suitable_speeds {
            return;
        }
        let Some(spec) = self.replicated.step_spec(&end.task.step) else { return };
        // The members of a gang end together.
        if spec.gang || spec.long_running || spec.filler {
            return;
        }
        let Some(worker) = self.replicated.worker(id) else { return };
        let Some(job) = self.replicated.job(end.task.step.job) else { return };
        let may_have_resumed = spec.checkpointing && end.run > 1;
        let took = order.filter(|_| !may_have_resumed).and_then(|o| measured_run_time(m.now, o));
        let run = took.map(|t| (worker.info.machine.clone(), t));
        if let Some(took) = took.filter(|_| spec.estimate > Millis::ZERO) {
            let relative = took.0 as f64 * self.speed(worker) / spec.estimate.0 as f64;
            self.worker_speeds.run_times.record(&job.queue, &spec.image, relative);
        }
        let (step, count) = (end.task.step, spec.count);
        self.worker_speeds.record_done(step, count, &worker.info.service, run);
    }
}
