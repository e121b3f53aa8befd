//! Learns how fast each machine is relative to the others of its service.
//!
//! Load pattern: a quarter of the machines runs at half the speed of the others, and nothing that a
//! worker announces tells which. The tasks of a step are alike, so the run times of a step whose
//! tasks ran on several machines show it. A quick job of three tasks that places one of them on
//! such a machine is late, while a batch job that has time loses nothing there. See
//! docs/design/worker-speeds.md.

use std::collections::BTreeMap;

use clock::Millis;
use model::Name;
use workload::{End, StepKey, StepSpec, Worker, WorkerId};

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
/// 10% of each other make no difference to a placement.
const MIN_DEVIATION: f64 = 0.15;
/// The deviation that counts after one comparison; it falls with the square root of their number.
/// The run times of a step's tasks differ by up to a third, a standard deviation of 0.2.
const SINGLE_DEVIATION: f64 = 0.75;
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
        let counts = self.is_known() && self.log_speed.abs() > by_chance.max(MIN_DEVIATION);
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
}

impl WorkerSpeeds {
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
            let fresh = || Estimate { service: service.clone(), log_speed: 0.0, comparisons: 0 };
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
            let Some(usual) = usual.get(&estimate.service) else { continue };
            if estimate.is_known() {
                estimate.log_speed -= usual;
            }
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

/// Returns the run time of a run that has just ended, if it is known exactly enough.
fn measured_run_time(now: Millis, order: &Order) -> Option<Millis> {
    let Stage::Confirmed { at } = order.stage else { return None };
    let was_prompt = order.attempts == 1 && at.since(order.sent_at) <= MAX_CONFIRMATION_TIME;
    let took = now.since(at);
    (was_prompt && took >= MIN_MEASURED_RUN).then_some(took)
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
        let may_have_resumed = spec.checkpointing && end.run > 1;
        let took = order.filter(|_| !may_have_resumed).and_then(|o| measured_run_time(m.now, o));
        let run = took.map(|t| (worker.info.machine.clone(), t));
        let (step, count) = (end.task.step, spec.count);
        let service = worker.info.service.clone();
        self.worker_speeds.record_done(step, count, &service, run);
    }
}
