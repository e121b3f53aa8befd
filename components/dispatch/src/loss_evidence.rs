//! Estimates how strongly the lost runs of a task indicate that the task crashes its workers.
//!
//! Workers are also lost for reasons that have nothing to do with their runs: a rack loses power,
//! or an operator restarts one worker after the other. A task that runs for long among restarts is
//! hit again and again, so neither the number of its lost runs nor the most conspicuous of them
//! says that it is at fault; all of them together do. Two explanations are compared with chance:
//!
//! - The task crashes its workers at any age. Then its runs end sooner than the pace of the
//!   restarts explains.
//! - The task crashes its workers at one age. Then its runs end close to that age, and none of them
//!   outlives it.
//!
//! The alternatives are discussed in docs/design/platform.md.

use std::collections::BTreeMap;

use clock::Millis;
use workload::{AGE_DISTANCES, LossRecord, MAX_CRASHES, MAX_LOSSES_PER_TASK, TaskKey, WorkerId};

use crate::limits::{
    EVIDENCE_PER_CRASH, EVIDENCE_PER_HIT, LOSS_HISTORY, LOSS_RETENTION, MAX_CHANCE_OF_RECURRENCE,
    MAX_EVIDENCE_PER_LOSS, MAX_RECURRENCE_AGE_DIVISOR, SAME_AGE_TOLERANCE,
};
use crate::loss_pace::LossPace;
use crate::losses::{LossDetection, LossTime};

/// A run that was lost with its worker.
#[derive(Clone, Debug)]
pub(crate) struct LostRun {
    pub(crate) run: u32,
    pub(crate) worker: WorkerId,
    /// When the worker was lost.
    pub(crate) at: LossTime,
    /// How long the run is known to have been exposed to losses.
    pub(crate) exposure: Millis,
    /// The age of the run at the loss, or `None` if it is unknown.
    pub(crate) age: Option<Millis>,
    /// The number of workers that the task ran on: more than one for a gang.
    pub(crate) workers: usize,
}

impl LostRun {
    /// Returns the record of the run, given the pace at which unrelated workers were lost around it.
    pub(crate) fn record(&self, pace: &LossPace) -> LossRecord {
        let resolution = self.at.detection.resolution();
        let of_age = match self.at.detection {
            // Neither its time nor the losses around it are known.
            LossDetection::BeforeTerm { .. } => MAX_EVIDENCE_PER_LOSS - EVIDENCE_PER_HIT,
            _ => {
                let chance = pace.chance_within(self.exposure.max(resolution).0 as f64);
                let evidence = evidence(chance * self.workers as f64);
                // Below the resolution, the chance does not depend on the age.
                let is_aged = self.exposure > resolution;
                if is_aged { evidence - EVIDENCE_PER_HIT } else { evidence }
            }
        };
        let same_age = AGE_DISTANCES.map(|distance| {
            let window = 2.0 * distance.max(resolution).0 as f64;
            in_hundredths(evidence(pace.chance_within(window)))
        });
        LossRecord { run: self.run, age: self.age, of_age: in_hundredths(of_age), same_age }
    }
}

/// Returns the evidence in a coincidence of some chance. It is the negative logarithm, so that the
/// evidence of independent losses adds up as their chances multiply.
fn evidence(chance: f64) -> f64 {
    (-chance.max(f64::MIN_POSITIVE).ln()).clamp(0.0, MAX_EVIDENCE_PER_LOSS)
}

fn in_hundredths(evidence: f64) -> i16 {
    (evidence * 100.0) as i16
}

/// Returns the evidence that a run was lost within some distance of the age of another.
fn evidence_of_distance(loss: &LossRecord, distance: Millis) -> f64 {
    let known = AGE_DISTANCES.iter().position(|d| *d >= distance);
    known.map_or(0.0, |i| f64::from(loss.same_age[i]) / 100.0)
}

fn distance(a: Millis, b: Millis) -> Millis {
    a.since(b).max(b.since(a))
}

/// Returns whether a run was lost at about a given age, and hardly by chance.
fn recurs_at(loss: &LossRecord, age: Millis) -> bool {
    let is_near = loss.age.is_some_and(|a| distance(a, age) <= SAME_AGE_TOLERANCE);
    is_near && evidence_of_distance(loss, SAME_AGE_TOLERANCE) >= -MAX_CHANCE_OF_RECURRENCE.ln()
}

/// The lost runs of one task, or of one gang.
#[derive(Clone, Debug)]
pub(crate) struct TaskLosses {
    /// The evidence in losses of which only the number is known.
    unknown: f64,
    /// The evidence in the ages of lost runs before the latest ones.
    of_earlier_ages: f64,
    /// The latest lost runs.
    latest: Vec<LossRecord>,
    /// Those of them that were lost in this leader's term.
    of_term: Vec<LostRun>,
    /// The number of losses that count against the task.
    counted: u16,
    /// The lost runs that do not count against it, oldest first.
    uncounted: Vec<u32>,
}

impl TaskLosses {
    /// Returns the losses that the log holds of a task, given the number of those that count.
    fn recorded(losses: &[LossRecord], crashes: u16) -> TaskLosses {
        let counted = usize::from(crashes).min(losses.len());
        TaskLosses {
            unknown: 0.0,
            of_earlier_ages: 0.0,
            latest: losses.to_vec(),
            of_term: Vec::new(),
            counted: counted as u16,
            uncounted: losses[counted..].iter().map(|l| l.run).collect(),
        }
    }

    /// Takes over the number of losses that count, some of which may not be known here.
    fn take_over(&mut self, crashes: u16) {
        let unknown = crashes.saturating_sub(self.counted);
        self.unknown += f64::from(unknown) * EVIDENCE_PER_CRASH;
        self.counted += unknown;
    }

    /// Adds a lost run, unless it is known already: a gang may lose several workers in one run.
    pub(crate) fn add(&mut self, lost: LostRun, pace: &LossPace) {
        if self.latest.last().is_some_and(|last| last.run >= lost.run) {
            return;
        }
        self.uncounted.push(lost.run);
        self.latest.push(lost.record(pace));
        self.of_term.push(lost);
        if self.latest.len() > MAX_LOSSES_PER_TASK {
            self.of_earlier_ages += f64::from(self.latest.remove(0).of_age) / 100.0;
        }
    }

    /// Returns the lost runs around which losses may have become known since they were weighed.
    pub(crate) fn recent(&mut self, now: Millis) -> &[LostRun] {
        let is_recent = |l: &LostRun| now.since(l.at.silent_since) + LOSS_RETENTION <= LOSS_HISTORY;
        self.of_term.retain(is_recent);
        &self.of_term
    }

    /// Replaces the record of a lost run by one made with more knowledge.
    pub(crate) fn replace(&mut self, record: LossRecord) {
        let known = self.latest.iter_mut().find(|known| known.run == record.run);
        known.into_iter().for_each(|known| *known = record);
    }

    /// Returns the record of the latest lost run if it is the given one.
    pub(crate) fn newest(&self, run: u32) -> Option<LossRecord> {
        self.latest.last().copied().filter(|loss| loss.run == run)
    }

    /// Returns the record of the latest lost run, for the log.
    pub(crate) fn describe_latest(&self) -> String {
        let Some(loss) = self.latest.last() else { return String::new() };
        let age = loss.age.map_or("unknown".to_owned(), |age| age.0.to_string());
        let lost = self.of_term.iter().find(|lost| lost.run == loss.run);
        let detection = lost.map_or("unknown", |lost| lost.at.detection.name());
        format!(
            "run={} detection={detection} age_ms={age} of_age={} same_age={}",
            loss.run, loss.of_age, loss.same_age[0],
        )
    }

    /// Returns the evidence that the task crashes its workers.
    pub(crate) fn evidence(&self) -> f64 {
        self.unknown + self.evidence_of_ages().max(self.evidence_of_one_age()).max(0.0)
    }

    /// Returns the evidence that the task crashes its workers at any age.
    fn evidence_of_ages(&self) -> f64 {
        let of_latest = self.latest.iter().map(|l| f64::from(l.of_age));
        self.of_earlier_ages + of_latest.sum::<f64>() / 100.0
    }

    /// Returns the evidence that the task crashes its workers at one age. That is no less than the
    /// age of the oldest lost run, so younger ones count by how close they come to it. Losses at
    /// unknown ages may be of any age.
    fn evidence_of_one_age(&self) -> f64 {
        let aged = || self.latest.iter().filter_map(|loss| Some((loss.age?, loss)));
        let Some((oldest, anchor)) = aged().max_by_key(|(age, loss)| (*age, loss.run)) else {
            return 0.0;
        };
        let tolerance = (oldest.0 / MAX_RECURRENCE_AGE_DIVISOR).max(AGE_DISTANCES[0].0);
        let is_near = |age: Millis| oldest.since(age).0 <= tolerance;
        let near = aged().filter(|(age, loss)| loss.run != anchor.run && is_near(*age));
        let of_near = near.map(|(age, loss)| evidence_of_distance(loss, oldest.since(age)));
        let unknown = self.latest.iter().filter(|loss| loss.age.is_none());
        let of_unknown = unknown.map(|loss| f64::from(loss.of_age) / 100.0);
        let of_anchor = f64::from(anchor.of_age) / 100.0;
        of_anchor.max(0.0) + of_near.sum::<f64>() + of_unknown.sum::<f64>()
    }

    /// Returns the runs that count against the task from now on, oldest first: as many as there is
    /// evidence for, and all of them once there is enough to give the task up.
    pub(crate) fn take_counted(&mut self) -> Vec<u32> {
        let total = (self.evidence() / EVIDENCE_PER_CRASH) as u16;
        let more = match total >= MAX_CRASHES {
            true => self.uncounted.len(),
            false => usize::from(total.saturating_sub(self.counted)).min(self.uncounted.len()),
        };
        self.counted += more as u16;
        self.uncounted.drain(..more).collect()
    }

    /// Returns the workers whose loss a fault of the task explains that crashes them at about this
    /// age of its run.
    pub(crate) fn recurrences(&self, age: Millis) -> Vec<WorkerId> {
        let recurring = self.latest.iter().filter(|loss| recurs_at(loss, age));
        let lost = recurring.flat_map(|loss| self.of_term.iter().filter(|l| l.run == loss.run));
        lost.map(|lost| lost.worker.clone()).collect()
    }
}

/// The lost runs of all tasks; those of a gang are recorded under its first task.
#[derive(Clone, Debug, Default)]
pub(crate) struct LostRuns(BTreeMap<TaskKey, TaskLosses>);

impl LostRuns {
    /// Returns the losses of a task, given what the log holds of them and how many count.
    pub(crate) fn of(
        &mut self,
        task: TaskKey,
        recorded: &[LossRecord],
        crashes: u16,
    ) -> &mut TaskLosses {
        let losses = self.0.entry(task);
        let losses = losses.or_insert_with(|| TaskLosses::recorded(recorded, crashes));
        losses.take_over(crashes);
        losses
    }

    /// Keeps the losses of some tasks only.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&TaskKey) -> bool) {
        self.0.retain(|task, _| is_kept(task));
    }
}

/// Returns whether one of the recorded runs was lost at about a given age, and hardly by chance.
pub(crate) fn any_recurs_at(recorded: &[LossRecord], age: Millis) -> bool {
    recorded.iter().any(|loss| recurs_at(loss, age))
}
