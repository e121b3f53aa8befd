//! Shares of organisations by weight: what each has used recently, compared with what it is entitled
//! to.
//!
//! Load pattern: one organisation submits 4 to 7.5 times its usual load to a full fleet. In the order
//! of acceptance its steps precede those of the others, which then wait for as long as its backlog
//! lasts. The share of an organisation is its weight relative to the weights of those with work, so
//! that idle shares are lent; its usage is a decaying average, so that a single gang does not count
//! as a burst, and its debt is bounded, so that capacity that was idle is not paid for later.

use std::collections::BTreeMap;

use clock::Millis;
use events::kinds;
use model::{Name, Size};
use workload::{Command, JobId};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    ABOVE_SHARE_RATIO, MAX_TAKEN_FROM_OTHERS, MAX_USAGE_DEBT, MIN_PRESENT_EXCESS,
    PRESENT_ABOVE_SHARE_RATIO, SHARE_CAPACITY_INTERVAL, SHARE_LOG_INTERVAL, USAGE_HALF_LIFE,
    USAGE_RECORD_INTERVAL,
};

/// The highest ratio that figures and log lines show. That of an organisation of weight 0 is infinite.
const MAX_RATIO_SHOWN: f64 = 1_000.0;

/// An amount of processor time, in thousandths of a core, and of memory, in megabytes.
type Amounts = [f64; 2];

fn amounts(size: &Size) -> Amounts {
    [size.cpu_milli as f64, size.memory_mb as f64]
}

/// An organisation as it is now.
#[derive(Clone, Debug)]
struct Demand {
    name: Name,
    weight: f64,
    used: Size,
    /// Whether it has work waiting or running.
    is_active: bool,
}

/// What an organisation has used recently, compared with its share.
#[derive(Clone, Debug, Default)]
struct Standing {
    /// The decaying average of what its runs use.
    average: Amounts,
    /// Its part of the fleet, between 0 and 1.
    share: f64,
    /// The ratio of the average to the share, in the dimension where it is higher.
    ratio: f64,
    /// The same ratio of what its runs use at present.
    present_ratio: f64,
    is_above: bool,
    /// Whether the last log line said that it is above its share.
    logged_above: bool,
    logged_at: Option<Millis>,
}

/// The recent usage and the shares of all configured organisations.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    standings: BTreeMap<Name, Standing>,
    updated_at: Option<Millis>,
    recorded_at: Option<Millis>,
    /// The capacity of the workers in contact, and when it was added up.
    capacity: Size,
    capacity_at: Option<Millis>,
}

impl Shares {
    /// Updates the averages and ratios. `capacity` is that of the fleet; `demands` is ordered by name.
    fn update(&mut self, now: Millis, capacity: &Size, demands: &[Demand]) {
        let elapsed = self.updated_at.map_or(Millis::ZERO, |at| now.since(at));
        self.updated_at = Some(now);
        let kept = decay(elapsed);
        let active_weight: f64 = demands.iter().filter(|d| d.is_active).map(|d| d.weight).sum();
        let is_configured = |name: &Name| demands.binary_search_by(|d| d.name.cmp(name)).is_ok();
        self.standings.retain(|name, _| is_configured(name));
        for demand in demands {
            let share = share_of(demand, active_weight);
            let entitled = amounts(capacity).map(|c| c * share);
            let used = amounts(&demand.used);
            // Usage before an organisation was known is assumed to be what it uses now.
            let unknown = || Standing { average: used, ..Standing::default() };
            let standing = self.standings.entry(demand.name.clone()).or_insert_with(unknown);
            for (d, average) in standing.average.iter_mut().enumerate() {
                *average = used[d] + (*average - used[d]) * kept;
                *average = average.min(used[d].max(MAX_USAGE_DEBT * entitled[d]));
            }
            standing.share = share;
            standing.ratio = ratio(&standing.average, &entitled);
            standing.present_ratio = ratio(&used, &entitled);
            standing.is_above = standing.exceeds_share();
        }
    }
}

/// Returns the part of an average that remains after a time.
fn decay(elapsed: Millis) -> f64 {
    0.5_f64.powf(elapsed.0 as f64 / USAGE_HALF_LIFE.0 as f64)
}

/// Returns the part of the fleet that an organisation is entitled to. One without work gets the share
/// that it would have with some.
fn share_of(demand: &Demand, active_weight: f64) -> f64 {
    let others = if demand.is_active { 0.0 } else { demand.weight };
    match active_weight + others {
        total if total > 0.0 => demand.weight / total,
        _ => 1.0,
    }
}

/// Returns the ratio of usage to what an organisation is entitled to, in the dimension where it is
/// higher.
fn ratio(average: &Amounts, entitled: &Amounts) -> f64 {
    let in_dimension = |(used, entitled): (&f64, &f64)| match *used > 0.0 {
        true => used / entitled,
        false => 0.0,
    };
    average.iter().zip(entitled).map(in_dimension).fold(0.0, f64::max)
}

/// Returns a ratio in thousandths, at most [`MAX_RATIO_SHOWN`].
fn per_mille(ratio: f64) -> u64 {
    (ratio.min(MAX_RATIO_SHOWN) * 1_000.0).round() as u64
}

impl Standing {
    /// Returns whether the organisation is far above its share. It remains so until it is halfway
    /// back, so that it does not alternate with every run that starts or ends.
    fn exceeds_share(&self) -> bool {
        let share = self.share;
        if share >= 1.0 {
            return false;
        }
        let ratio_by_others = 1.0 + (1.0 / share - 1.0) * MAX_TAKEN_FROM_OTHERS;
        let limit = |threshold: f64| {
            let threshold = threshold.min(ratio_by_others);
            if self.is_above { (1.0 + threshold) / 2.0 } else { threshold }
        };
        let excess = (self.present_ratio - 1.0) * share;
        let has_excess = excess > MIN_PRESENT_EXCESS.min(MAX_TAKEN_FROM_OTHERS * (1.0 - share));
        self.ratio > limit(ABOVE_SHARE_RATIO)
            || (has_excess && self.present_ratio > limit(PRESENT_ABOVE_SHARE_RATIO))
    }
}

impl Dispatcher {
    /// Returns the ratio of the usage of a job's organisation to its share: below 1 it is owed
    /// capacity, above 1 it uses more than its share. It is 1 for a job without an organisation.
    ///
    /// The ratio is infinite for an organisation of weight 0 that uses anything.
    #[allow(dead_code, reason = "the interface for the service order and the admission")]
    pub(crate) fn share_ratio(&self, job: JobId) -> f64 {
        self.standing(job).map_or(1.0, |s| s.ratio)
    }

    /// Returns the position of a job among others of the same class and priority: 0 if its
    /// organisation is within its share, 1 if it is far above.
    pub(crate) fn share_class(&self, job: JobId) -> u8 {
        self.standing(job).map_or(0, |s| u8::from(s.is_above))
    }

    /// Returns the recent usage of an organisation in thousandths of its share.
    pub(crate) fn share_ratio_per_mille(&self, organisation: &Name) -> u64 {
        self.shares.standings.get(organisation).map_or(0, |s| per_mille(s.ratio))
    }

    fn standing(&self, job: JobId) -> Option<&Standing> {
        if !self.limits.mechanisms.shares_by_weight {
            return None;
        }
        self.shares.standings.get(self.replicated.ownership().owner(job)?)
    }

    /// Continues from the recent usage that an earlier leader recorded, decayed by the time since.
    pub(crate) fn restore_shares(&mut self, m: Moment) {
        let ownership = self.replicated.ownership();
        let Some(recorded) = ownership.recorded_usage() else { return };
        let kept = decay(m.wall.since(recorded.at));
        for demand in self.demands() {
            let (used, recorded) = (
                amounts(&demand.used),
                amounts(&recorded.usage.get(&demand.name).copied().unwrap_or_default()),
            );
            let average = [0, 1].map(|d| used[d] + (recorded[d] - used[d]) * kept);
            let standing = Standing { average, ..Standing::default() };
            self.shares.standings.insert(demand.name, standing);
        }
        self.shares.recorded_at = Some(m.now);
        self.refresh_shares(m.now);
    }

    /// Updates the shares, and records and logs them as necessary. The cost grows with the number of
    /// organisations only, except for the capacity.
    pub(crate) fn update_shares(&mut self, m: Moment) {
        self.refresh_shares(m.now);
        if !self.shares.standings.is_empty() && !self.replicated.open().is_empty() {
            self.log_share_changes(m.now);
            self.record_usage(m);
        }
    }

    fn refresh_shares(&mut self, now: Millis) {
        let demands = self.demands();
        if demands.is_empty() || !self.limits.mechanisms.shares_by_weight {
            self.shares = Shares::default();
            return;
        }
        // Runs on workers out of contact count as used, so that what is used may exceed the capacity
        // in contact, as for a new leader before its workers answer.
        let used = demands.iter().fold(Size::ZERO, |sum, d| sum.plus(&d.used));
        let in_contact = self.capacity_in_contact(now);
        let capacity = Size {
            cpu_milli: in_contact.cpu_milli.max(used.cpu_milli),
            memory_mb: in_contact.memory_mb.max(used.memory_mb),
            accelerators: 0,
        };
        self.shares.update(now, &capacity, &demands);
    }

    /// Returns the configured organisations as they are now, ordered by name.
    fn demands(&self) -> Vec<Demand> {
        let ownership = self.replicated.ownership();
        let organisations = self.policy.iter().filter_map(|p| p.organisations.as_ref());
        let demand = |o: &workload::Organisation| {
            let used = ownership.used(&o.name);
            let is_active = used != Size::ZERO || ownership.open_steps(&o.name) > 0;
            Demand { name: o.name.clone(), weight: o.weight, used, is_active }
        };
        organisations.flat_map(|all| all.iter()).map(demand).collect()
    }

    /// Returns the capacity of the workers in contact, as of a short time ago.
    fn capacity_in_contact(&mut self, now: Millis) -> Size {
        let is_recent = |at: Millis| now.since(at) < SHARE_CAPACITY_INTERVAL;
        if self.shares.capacity != Size::ZERO && self.shares.capacity_at.is_some_and(is_recent) {
            return self.shares.capacity;
        }
        let in_contact = self.worker_views.iter().filter(|(_, v)| v.in_contact);
        let workers = in_contact.filter_map(|(id, _)| self.replicated.worker(id));
        let capacity = workers.fold(Size::ZERO, |sum, w| sum.plus(&w.info.capacity));
        self.shares.capacity = capacity;
        self.shares.capacity_at = Some(now);
        capacity
    }

    fn log_share_changes(&mut self, now: Millis) {
        let mut lines = Vec::new();
        for (name, standing) in &mut self.shares.standings {
            let logged_recently =
                standing.logged_at.is_some_and(|at| now.since(at) < SHARE_LOG_INTERVAL);
            if standing.is_above == standing.logged_above || logged_recently {
                continue;
            }
            standing.logged_above = standing.is_above;
            standing.logged_at = Some(now);
            let above = if standing.is_above { "yes" } else { "no" };
            let (average, present) = (per_mille(standing.ratio), per_mille(standing.present_ratio));
            let share = per_mille(standing.share);
            let open_steps = self.replicated.ownership().open_steps(name);
            let details = format!(
                "above={above} average_per_mille={average} present_per_mille={present} \
                 share_per_mille={share} open_steps={open_steps}"
            );
            lines.push((name.clone(), details));
        }
        for (name, details) in lines {
            self.log_event(&kinds::ORGANISATION_ABOVE_SHARE, name, details);
        }
    }

    /// Records the recent usage for a new leader.
    fn record_usage(&mut self, m: Moment) {
        if self.shares.recorded_at.is_some_and(|at| m.now.since(at) < USAGE_RECORD_INTERVAL) {
            return;
        }
        let size = |a: &Amounts| Size::new(a[0].round() as u64, a[1].round() as u64, 0);
        let standings = self.shares.standings.iter();
        let usage = standings.map(|(name, s)| (name.clone(), size(&s.average)));
        let usage: Vec<(Name, Size)> = usage.filter(|(_, used)| *used != Size::ZERO).collect();
        let is_recorded = self.replicated.ownership().recorded_usage().is_some();
        if !usage.is_empty() || is_recorded {
            self.shares.recorded_at = Some(m.now);
            self.propose(Command::UsageRecorded { at: m.wall, usage });
        }
    }
}
