//! The order in which waiting steps are served.
//!
//! Load pattern: for seconds, several times as much is submitted as the fleet can run. Served in the order of their
//! deadlines or of their arrival, all jobs wait until they are about to be late, and nearly all of them end late. So
//! jobs that can still be in time come before those that cannot, and late jobs run in the capacity that is left, the
//! least remaining work first. A job that has been late for long gets its turn all the same.
//! docs/design/service-order.md has the alternatives.

use std::collections::BTreeSet;

use clock::Millis;
use workload::{Job, OpenStep, StepKey};

use crate::advice::cost_ms;
use crate::advice_pacing::TYPICAL_NAMED_WORKERS;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    GANG_ASSEMBLY_TIME, LATE_TURN_AFTER, MAX_LATE_FACTOR, MAX_RANK_AGE, MAX_URGENT_SLACK,
};

/// How soon a step is to be served, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ServiceClass {
    /// Its queue has the highest priority. Callers wait for such jobs and they are small, so they come first, in the
    /// order of arrival, even if they are late.
    Quick,
    /// Its job is in time only if the step starts soon.
    Urgent,
    /// Its job has been late for [`LATE_TURN_AFTER`].
    Turn,
    /// Its job can be in time.
    InTime,
    /// Its job is late.
    Late,
    /// Its job is so late that its caller hardly waits for it any more.
    TooLate,
    /// Its round is not due yet.
    NotDue,
}

/// The position of a step in the service order, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) class: ServiceClass,
    /// Whether its organisation uses far more than its share, as of [`Dispatcher::share_class`].
    share: u8,
    /// The third criterion; its meaning depends on the class.
    by: u64,
    /// The job's position in the order of acceptance.
    order: u64,
}

/// What the rank of a step depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeliness {
    /// The priority of the job's queue; zero is the most urgent.
    pub(crate) priority: u8,
    /// Whether its organisation uses far more than its share.
    pub(crate) share: u8,
    /// The job's position in the order of acceptance.
    pub(crate) order: u64,
    /// The time of this moment.
    pub(crate) now: Millis,
    /// How long the job's round could have run for.
    pub(crate) age: Millis,
    /// How long it may take in all and be in time.
    pub(crate) allowed: Millis,
    /// The shortest time that the rest of it takes.
    pub(crate) remaining: Millis,
    /// How much longer than that of other steps the start of this one takes.
    pub(crate) lead: Millis,
    /// The rest of its work, in core-milliseconds.
    pub(crate) remaining_work: u64,
}

impl Timeliness {
    /// Returns the rank at this moment, and how long it holds unless the job makes progress.
    pub(crate) fn rank(&self) -> (Rank, Millis) {
        let Timeliness {
            priority,
            share,
            order,
            now,
            age,
            allowed,
            remaining,
            lead,
            remaining_work,
        } = *self;
        let rank = |class, by| Rank { class, share, by, order };
        if priority == 0 {
            return (rank(ServiceClass::Quick, 0), Millis(u64::MAX));
        }
        let slack = allowed.since(age + remaining);
        let latest_start = now + slack;
        if slack > Millis::ZERO {
            return match slack < MAX_URGENT_SLACK + lead {
                true => {
                    (rank(ServiceClass::Urgent, u64::from(priority) << 48 | latest_start.0), slack)
                }
                false => {
                    let holds = slack.since(MAX_URGENT_SLACK + lead);
                    (rank(ServiceClass::InTime, u64::from(priority)), holds)
                }
            };
        }
        let too_late_at = Millis(allowed.0.saturating_mul(MAX_LATE_FACTOR));
        let turn_at = allowed.since(remaining) + LATE_TURN_AFTER;
        if age >= turn_at {
            return (rank(ServiceClass::Turn, 0), Millis(u64::MAX));
        }
        let until_turn = turn_at.since(age);
        if age + remaining >= too_late_at {
            return (rank(ServiceClass::TooLate, remaining_work), until_turn);
        }
        let holds = until_turn.min(too_late_at.since(age + remaining));
        (rank(ServiceClass::Late, remaining_work), holds)
    }
}

/// A step with its rank.
#[derive(Clone, Copy, Debug)]
struct RankedStep {
    step: OpenStep,
    rank: Rank,
    /// When the rank is determined anew.
    valid_until: Millis,
}

/// The open steps with their ranks. A rank is determined anew only when it may have changed: a backlog has thousands
/// of steps, and a plan is made every few milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceOrder {
    /// In the order of the replicated state's open steps.
    steps: Vec<RankedStep>,
    /// In the order of service, without those that are not due.
    ranked: Vec<(Rank, OpenStep)>,
}

impl ServiceOrder {
    /// Updates the order to the open steps; `rank_of` returns the rank of a step and how long it holds.
    pub(crate) fn update(
        &mut self,
        now: Millis,
        open: &BTreeSet<OpenStep>,
        rank_of: impl Fn(&OpenStep) -> (Rank, Millis),
    ) {
        let mut known = std::mem::take(&mut self.steps).into_iter().peekable();
        for step in open {
            while known.next_if(|k| k.step < *step).is_some() {}
            let unchanged = known.next_if(|k| k.step == *step).filter(|k| now < k.valid_until);
            self.steps.push(unchanged.unwrap_or_else(|| {
                let (rank, holds) = rank_of(step);
                RankedStep { step: *step, rank, valid_until: now + holds.min(MAX_RANK_AGE) }
            }));
        }
        let due = self.steps.iter().filter(|s| s.rank.class != ServiceClass::NotDue);
        self.ranked.clear();
        self.ranked.extend(due.map(|s| (s.rank, s.step)));
        self.ranked.sort_unstable();
    }

    /// Returns the steps that are due, in the order of service.
    pub(crate) fn ranked(&self) -> &[(Rank, OpenStep)] {
        &self.ranked
    }
}

impl Dispatcher {
    /// Updates the order of service to the open steps.
    pub(crate) fn update_service_order(&mut self, m: Moment) {
        let mut order = std::mem::take(&mut self.service_order);
        order.update(m.now, self.replicated.open(), |e| self.rank(m, e));
        self.service_order = order;
    }

    /// Returns the rank of an open step, and how long it holds unless its job makes progress.
    pub(crate) fn rank(&self, m: Moment, entry: &OpenStep) -> (Rank, Millis) {
        let order = entry.order;
        let share = self.share_class(entry.key.job);
        let by_arrival = |class, by| (Rank { class, share, by, order }, MAX_RANK_AGE);
        let Some(job) = self.replicated.job(entry.key.job) else {
            return by_arrival(ServiceClass::NotDue, 0);
        };
        let due = job.spec.due(entry.key.round);
        if m.wall < due {
            let rank = Rank { class: ServiceClass::NotDue, share, by: 0, order };
            return (rank, due.since(m.wall));
        }
        let in_time = || {
            let class =
                if entry.priority == 0 { ServiceClass::Quick } else { ServiceClass::InTime };
            by_arrival(class, u64::from(entry.priority))
        };
        if !self.limits.mechanisms.orders_by_slack || job.spec.is_long_running() {
            return in_time();
        }
        match self.timeliness(m, &entry.key, job) {
            Some(timeliness) => timeliness.rank(),
            // The queue is no longer configured, so nobody tells what is in time.
            None => in_time(),
        }
    }

    fn timeliness(&self, m: Moment, key: &StepKey, job: &Job) -> Option<Timeliness> {
        let allowed = self.allowed_time(job)?;
        let round = job.rounds.get(key.round as usize)?;
        let step = job.spec.steps.get(key.step as usize)?;
        let path = job.spec.critical_path(|i| !round.steps[i].is_done());
        let advice = self.advice_policies.get(&job.queue);
        let call = advice.map_or(0.0, |policy| cost_ms(policy, TYPICAL_NAMED_WORKERS));
        let lead = match step.gang {
            true => Millis(call as u64) + GANG_ASSEMBLY_TIME,
            false => Millis::ZERO,
        };
        let unfinished = job.spec.steps.iter().zip(&round.steps);
        let work = unfinished.map(|(spec, state)| {
            let tasks = (state.tasks.len() as u64).saturating_sub(u64::from(state.done));
            tasks.saturating_mul(spec.size.cpu_milli).saturating_mul(spec.estimate.0) / 1_000
        });
        Some(Timeliness {
            priority: job.priority,
            share: self.share_class(key.job),
            order: job.order,
            now: m.now,
            age: self.age(m, key, job),
            allowed,
            remaining: path,
            lead,
            remaining_work: work.fold(0, u64::saturating_add),
        })
    }
}
