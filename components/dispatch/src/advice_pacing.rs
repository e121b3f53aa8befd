//! Paces calls for advice by the capacity that will be free while their tickets are valid.
//!
//! Load pattern: a thousand steps wait for full workers. Each would have its tickets renewed every two seconds, and all
//! instances that can make calls would make them for steps that cannot start, while those that come first wait for
//! one. So a step gets a call only if the steps before it leave it some of the capacity that is free or is freed in time.

use std::collections::BTreeMap;
use std::f64::consts::LN_2;

use clock::Millis;
use model::{Dimension, Name, Size};
use workload::{AdvicePolicy, Command, StepKey, StepSpec};

use crate::advice::{cost_ms, is_short};
use crate::capacity_reservations::WorkerSelector;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;

/// The half-life of the measured rate at which capacity is freed: about as long as a batch task runs.
const RELEASE_HALF_LIFE: Millis = Millis(1_500);
/// How long after its call a step should have found its capacity. Tickets are valid for about two seconds, of which a
/// commit and the next plans take a part.
const PLACEMENT_TIME: Millis = Millis(600);
/// The factor by which calls are made for more work than the expected capacity: not all of what is free fits the steps
/// that come first.
const OVERBOOKING: f64 = 1.0;
/// The divisor of the total capacity below which free capacity is scarce: with a quarter free, most steps find room at
/// once.
const SCARCE_DIVISOR: u64 = 4;
/// How many steps share what a worker frees while their tickets for it are valid.
const COMPETING_STEPS: f64 = 2.0;
/// The number of workers that a typical call names, for the time that it takes.
pub(crate) const TYPICAL_NAMED_WORKERS: usize = 30;

/// The capacity that ended runs freed, decaying with its age.
#[derive(Clone, Copy, Debug, Default)]
struct Released {
    cpu_milli: f64,
    memory_mb: f64,
    accelerators: f64,
    at: Millis,
}

impl Released {
    fn decay(&mut self, now: Millis) {
        let factor = 0.5_f64.powf(now.since(self.at).0 as f64 / RELEASE_HALF_LIFE.0 as f64);
        self.cpu_milli *= factor;
        self.memory_mb *= factor;
        self.accelerators *= factor;
        self.at = now;
    }
}

/// The rate at which the ends of runs free capacity, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReleaseRates {
    by_service: BTreeMap<Name, Released>,
}

impl ReleaseRates {
    /// Records that a run on a worker of a service has ended.
    fn record(&mut self, now: Millis, service: &Name, size: &Size) {
        let released = self.by_service.entry(service.clone()).or_default();
        released.decay(now);
        released.cpu_milli += size.cpu_milli as f64;
        released.memory_mb += size.memory_mb as f64;
        released.accelerators += size.accelerators as f64;
    }

    /// Returns how much is expected to be freed on all workers of a service in a span.
    pub(crate) fn expected(&self, now: Millis, service: &Name, span: f64) -> Size {
        let Some(mut released) = self.by_service.get(service).copied() else { return Size::ZERO };
        released.decay(now);
        let in_span = |sum: f64| (sum * LN_2 / RELEASE_HALF_LIFE.0 as f64 * span) as u64;
        Size::new(
            in_span(released.cpu_milli),
            in_span(released.memory_mb),
            in_span(released.accelerators),
        )
    }
}

/// The capacity of the workers that are eligible for the same steps, and what the current plan expects steps to take.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PacedCapacity {
    free: Size,
    total: Size,
    workers: u64,
    /// What is needed by the steps seen so far that hold tickets or are being asked about.
    claimed: Size,
}

impl PacedCapacity {
    /// Returns whether little is free in some dimension.
    fn is_scarce(&self) -> bool {
        let is_low = |d: &Dimension| {
            let total = self.total.get(*d);
            total > 0 && self.free.get(*d) * SCARCE_DIVISOR < total
        };
        Dimension::ALL.iter().any(is_low)
    }
}

impl Dispatcher {
    /// Records the capacity that a command frees.
    pub(crate) fn record_released(&mut self, now: Millis, command: &Command) {
        let Command::Ended { worker, ends, .. } = command else { return };
        let Some(worker) = self.replicated.worker(worker) else { return };
        let is_new = |e: &&workload::End| {
            e.number > worker.last_end && worker.runs.get(&e.task) == Some(&e.run)
        };
        for end in ends.iter().filter(is_new) {
            if let Some(spec) = self.replicated.step_spec(&end.task.step) {
                let size = spec.required_capacity();
                self.release_rates.record(now, &worker.info.service, &size);
            }
        }
    }

    /// Returns whether capacity is expected for a step of those that the plan has not claimed it for, and claims what
    /// the step's tasks need.
    pub(crate) fn claim_capacity(
        &mut self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
        policy: &AdvicePolicy,
        tasks: u64,
    ) -> bool {
        let Some(selector) = self.worker_selector(key, spec) else { return false };
        let mut paced = self.paced_capacity(&selector);
        let span = cost_ms(policy, TYPICAL_NAMED_WORKERS) + PLACEMENT_TIME.0 as f64;
        let freed = self.release_rates.expected(m.now, selector.service(), span);
        let is_left = |d: &Dimension| {
            let needed = spec.required_capacity().get(*d) > 0;
            let expected = paced.free.get(*d) + freed.get(*d).min(paced.total.get(*d));
            let claimed = paced.claimed.get(*d);
            // The first step gets its call even if nothing is known to be freed.
            !needed || claimed == 0 || (claimed as f64) < expected as f64 * OVERBOOKING
        };
        let admitted = Dimension::ALL.iter().all(is_left);
        if admitted {
            paced.claimed = paced.claimed.plus(&spec.required_capacity().times(tasks));
        }
        self.plan_state.paced.insert(selector, paced);
        admitted
    }

    /// Returns how many tasks of a step each worker is expected to have room for while a ticket is valid, if the step
    /// takes its part of what is freed; `None` if capacity is not scarce.
    pub(crate) fn expected_fits(
        &mut self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
        policy: &AdvicePolicy,
    ) -> Option<f64> {
        let selector = self.worker_selector(key, spec)?;
        let paced = self.paced_capacity(&selector);
        // A short call names many workers anyway.
        if is_short(policy) || !paced.is_scarce() {
            return None;
        }
        let span = policy.valid.since(PLACEMENT_TIME).0 as f64;
        let freed = self.release_rates.expected(m.now, selector.service(), span);
        let required = spec.required_capacity();
        let fits = |d: &Dimension| match required.get(*d) {
            0 => f64::INFINITY,
            size => freed.get(*d) as f64 / size as f64 / paced.workers.max(1) as f64,
        };
        let fits = Dimension::ALL.iter().map(fits).fold(f64::INFINITY, f64::min);
        // The capacity of a large task is freed by several runs, and other steps reserve what the next ones free.
        let max = if spec.gang { 1.0 } else { f64::INFINITY };
        Some(fits / COMPETING_STEPS).filter(|f| f.is_finite()).map(|f| f.min(max))
    }

    fn paced_capacity(&mut self, selector: &WorkerSelector) -> PacedCapacity {
        if let Some(paced) = self.plan_state.paced.get(selector) {
            return *paced;
        }
        let group = self.capacity_index.group(selector.service(), selector.label());
        let paced = group.map_or_else(PacedCapacity::default, |g| PacedCapacity {
            free: g.total_free(),
            total: g.total_capacity(),
            workers: g.len() as u64,
            claimed: Size::ZERO,
        });
        self.plan_state.paced.insert(selector.clone(), paced);
        paced
    }
}
