//! The candidate workers for tasks of a step, and the best of them for each task.

use std::collections::{BTreeMap, BTreeSet};

use model::{Name, Size};
use workload::{StepKey, StepSpec, TaskKey, Worker, WorkerId};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::suspects::{Suspicion, YoungSuspects};
use crate::worker_health::WorkerTier;
use crate::worker_speeds::{SLOW_SPEED, SpeedPreference};

/// The cost of a worker on which a run of the task has failed: more than that of a completely
/// filled one.
const AVOIDED_WORKER_PENALTY: f64 = 10.0;
/// The cost of a worker per job whose runs have recently failed there.
const FAILED_JOB_PENALTY: f64 = 3.0;
/// The cost of a worker per young suspect that runs there, that is, a task under which another
/// worker has crashed. It equals the difference between an empty worker and a full one, so that
/// suspects spread over all workers.
const SUSPECT_PENALTY: f64 = 2.0;
/// The cost of a worker for a task on its last attempt if anything young runs there, which would be
/// suspected with it. It exceeds every other preference.
const YOUNG_NEIGHBOUR_PENALTY: f64 = 20.0;
/// The cost of a worker that is far from the task's data.
const REMOTE_DATA_PENALTY: f64 = 5.0;
/// The cost of a worker in another availability zone than the rest of the job: half of the
/// difference between an empty worker and a full one.
const OTHER_ZONE_PENALTY: f64 = 1.0;
/// The cost of a worker for a task that takes accelerators if all accelerators of the worker are
/// still free afterwards, in proportion for some of them. The rest of the cost cannot outweigh it,
/// so such tasks share workers, and other workers stay whole for tasks that take all accelerators
/// of one. Spread evenly, tasks with one accelerator made 14% of the jobs that need whole workers
/// late at 80% load.
const FREE_ACCELERATORS_PENALTY: f64 = 4.0;

/// Returns how many tasks of a step fit into some free capacity.
pub(crate) fn fits(spec: &StepSpec, free: &Size) -> u64 {
    let per_resource = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    per_resource(free.cpu_milli, spec.size.cpu_milli)
        .min(per_resource(free.memory_mb, spec.size.memory_mb))
        .min(per_resource(free.accelerators, spec.size.accelerators))
}

/// Returns how many tasks of a step a worker runs.
fn running_tasks(key: &StepKey, worker: &Worker) -> u32 {
    worker.runs.keys().filter(|k| k.step == *key).count() as u32
}

/// Returns how many more tasks of a step a worker may run, whatever capacity it has free.
pub(crate) fn max_additional_tasks(key: &StepKey, spec: &StepSpec, worker: &Worker) -> u64 {
    match spec.max_per_worker {
        0 => u64::MAX,
        limit => u64::from(limit.saturating_sub(running_tasks(key, worker))),
    }
}

/// A task assigned to a worker.
pub(crate) struct Assignment {
    /// The index of the task in its step.
    pub(crate) index: u32,
    pub(crate) worker: WorkerId,
    pub(crate) ticket: Option<Name>,
}

/// A worker that could take tasks of a step.
#[derive(Clone)]
pub(crate) struct Candidate {
    worker: WorkerId,
    capacity: Size,
    free: Size,
    zone: Name,
    /// The number of tasks of the step that run there.
    step_tasks: u32,
    /// Whether it is on the rack of the task's data.
    near_data: bool,
    rack: Option<Name>,
    ticket: Option<Name>,
    /// The number of jobs with failed runs that count against it.
    failed_jobs: u32,
    /// The young suspects that run there.
    suspects: YoungSuspects,
    /// Whether anything young runs there. It is determined only where there are suspects.
    has_young_run: bool,
    /// Whether it is on probation and takes only one task, as a try.
    on_probation: bool,
    /// Whether it may take a task whose job ends if it fails once more.
    allows_last_attempt: bool,
    /// Whether it was assigned a task in this plan.
    assigned: bool,
    /// Its speed relative to the others of its service.
    speed: f64,
}

/// The preferences by which candidates of a step are compared, besides their free capacity.
struct Preferences<'a> {
    /// The preferred availability zones; empty for any.
    preferred_zones: &'a BTreeSet<Name>,
    packs_accelerators: bool,
    /// How strongly the task is suspected.
    suspicion: Suspicion,
    speed: SpeedPreference,
}

impl Candidate {
    fn fits(&self, required: &Size, spec: &StepSpec) -> bool {
        let at_step_limit = spec.max_per_worker > 0 && self.step_tasks >= spec.max_per_worker;
        let probation_used = self.on_probation && self.assigned;
        !at_step_limit && !probation_used && required.fits(&self.free)
    }

    /// Returns the cost of placing a task here, which grows with how full the worker would be.
    /// Tasks use more than they declare, so crowded ones slow each other down, and a lost worker
    /// takes fewer with it.
    fn cost(
        &self,
        required: &Size,
        spec: &StepSpec,
        preferences: &Preferences<'_>,
        avoided: bool,
    ) -> f64 {
        let remaining = self.free.minus(required);
        let fraction = |remaining: u64, of: u64| remaining as f64 / of.max(1) as f64;
        let mut cost = 2.0
            - fraction(remaining.cpu_milli, self.capacity.cpu_milli)
            - fraction(remaining.memory_mb, self.capacity.memory_mb);
        if spec.size.accelerators > 0 && preferences.packs_accelerators {
            let free = fraction(remaining.accelerators, self.capacity.accelerators);
            cost += FREE_ACCELERATORS_PENALTY * free;
        }
        cost += FAILED_JOB_PENALTY * f64::from(self.failed_jobs);
        cost += SUSPECT_PENALTY * f64::from(self.suspects.count);
        if preferences.suspicion == Suspicion::LastAttempt && self.has_young_run {
            cost += YOUNG_NEIGHBOUR_PENALTY;
        }
        if avoided {
            cost += AVOIDED_WORKER_PENALTY;
        }
        if !preferences.preferred_zones.is_empty()
            && !preferences.preferred_zones.contains(&self.zone)
        {
            cost += OTHER_ZONE_PENALTY;
        }
        if spec.rack.is_some() && !self.near_data {
            cost += REMOTE_DATA_PENALTY;
        }
        cost + preferences.speed.cost(self.speed)
    }
}

impl Dispatcher {
    /// Returns the candidate workers that may take tasks of a step now.
    pub(crate) fn candidates(
        &self,
        m: Moment,
        worker_tier: WorkerTier,
        key: &StepKey,
        spec: &StepSpec,
        needs_ticket: bool,
    ) -> Vec<Candidate> {
        let any_suspects = !self.replicated.crashes().is_empty();
        let candidate = |id: &WorkerId, ticket: Option<Name>| {
            // With a backlog most workers are full, and this check is the cheapest.
            let worker =
                self.replicated.worker(id).filter(|w| spec.required_capacity().fits(&w.free()))?;
            self.suitable_worker(m, worker_tier, key, spec, id)?;
            let near_data = spec.rack.as_ref().is_some_and(|r| worker.info.labels.contains(r));
            let on_probation =
                self.worker_views.get(id).is_some_and(|v| v.health.is_on_probation(m.now));
            Some(Candidate {
                worker: id.clone(),
                capacity: worker.info.capacity,
                free: self.free_capacity_for(spec, worker),
                step_tasks: running_tasks(key, worker),
                near_data,
                zone: worker.info.zone.clone(),
                rack: worker.info.labels.last().cloned(),
                ticket,
                failed_jobs: self
                    .worker_views
                    .get(id)
                    .map_or(0, |v| v.health.failure_weight(m.now)),
                suspects: self.plan_state.young_suspects.get(id).copied().unwrap_or_default(),
                has_young_run: any_suspects && self.has_young_run(m.now, id),
                on_probation: on_probation && worker_tier != WorkerTier::All,
                // A failed try must not end a job, unless the job has nothing else to wait for.
                allows_last_attempt: !on_probation || worker_tier != WorkerTier::Preferred,
                assigned: false,
                speed: self.speed(worker),
            })
        };
        match needs_ticket {
            true => {
                let tickets = self.advice_scheduler.tickets(key, m.now);
                tickets.filter_map(|(id, text)| candidate(id, Some(text.clone()))).collect()
            }
            false => {
                let Some(job) = self.replicated.job(key.job) else { return Vec::new() };
                self.capacity_index
                    .with_free(&job.service, spec.constraint.as_ref(), &spec.size)
                    .filter_map(|id| candidate(id, None))
                    .collect()
            }
        }
    }

    /// Assigns waiting tasks to their best candidates, in order, until one finds none.
    pub(crate) fn assign_each(
        &self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
        waiting: &[u32],
        candidates: &mut [Candidate],
    ) -> Vec<Assignment> {
        let mut placed = Vec::new();
        // With a backlog most steps find every worker full, and need no preferred zone.
        if candidates.is_empty() {
            return placed;
        }
        let preferred_zones = self.preferred_zones(key, spec, waiting.len(), candidates);
        let speed = self.speed_preference(m, key, spec);
        for index in waiting {
            let task = TaskKey { step: *key, index: *index };
            let Some(candidate) =
                self.assign_best(&task, spec, candidates, &preferred_zones, speed)
            else {
                break;
            };
            let (worker, ticket) = (candidate.worker.clone(), candidate.ticket.clone());
            placed.push(Assignment { index: *index, worker, ticket });
        }
        placed
    }

    /// Returns the preferred availability zones for the tasks of a step: those where its job
    /// already runs, or the one with the most free capacity. A job is late if one of its tasks is,
    /// so the fewer zones it spans, the fewer jobs the loss of a zone affects. Long-running tasks
    /// count individually and may go anywhere.
    fn preferred_zones(
        &self,
        key: &StepKey,
        spec: &StepSpec,
        tasks: usize,
        candidates: &[Candidate],
    ) -> BTreeSet<Name> {
        if spec.long_running || !self.limits.mechanisms.colocates_jobs {
            return BTreeSet::new();
        }
        let current_zones = self.job_zones(key);
        if !current_zones.is_empty() {
            return current_zones;
        }
        let mut tasks_by_zone: BTreeMap<&Name, u64> = BTreeMap::new();
        for candidate in candidates {
            *tasks_by_zone.entry(&candidate.zone).or_default() +=
                fits(spec, &candidate.free).min(tasks as u64);
        }
        let best = tasks_by_zone.into_iter().max_by_key(|(_, fits)| *fits);
        best.map(|(zone, _)| zone.clone()).into_iter().collect()
    }

    /// Returns the zones of the workers that a job runs on.
    fn job_zones(&self, key: &StepKey) -> BTreeSet<Name> {
        let Some(job) = self.replicated.job(key.job) else { return BTreeSet::new() };
        let tasks = job.rounds.iter().flat_map(|r| &r.steps).flat_map(|s| &s.tasks);
        let workers =
            tasks.filter_map(|t| t.at.as_ref()).filter_map(|id| self.replicated.worker(id));
        workers.map(|w| w.info.zone.clone()).collect()
    }

    /// Returns whether a task's job ends if one more of its runs fails.
    fn is_last_attempt(&self, task: &TaskKey, spec: &StepSpec) -> bool {
        let Some(job) = self.replicated.job(task.step.job) else { return false };
        let failed =
            self.replicated.task(&self.replicated.suspect_key(task)).map_or(0, |t| t.failed);
        !spec.long_running && failed + 1 >= job.max_attempts
    }

    /// Assigns the best candidate to a task, and counts the task against its capacity.
    fn assign_best<'a>(
        &self,
        task: &TaskKey,
        spec: &StepSpec,
        candidates: &'a mut [Candidate],
        preferred_zones: &BTreeSet<Name>,
        speed: SpeedPreference,
    ) -> Option<&'a Candidate> {
        // A filler also needs its declared processor time where it is placed.
        let required = spec.size;
        let avoided_workers = self.avoided_workers.get(task);
        let avoided = |c: &Candidate| avoided_workers.is_some_and(|a| a.contains(&c.worker));
        let packs_accelerators = self.limits.mechanisms.packs_accelerators;
        let suspicion = self.suspicion(task);
        let last_attempt = self.is_last_attempt(task, spec);
        let preferences = Preferences { preferred_zones, packs_accelerators, suspicion, speed };
        let is_risky = |c: &Candidate| last_attempt && !c.allows_last_attempt;
        let is_usable =
            |c: &Candidate| c.fits(&required, spec) && c.suspects.admits(suspicion) && !is_risky(c);
        let fitting = candidates.iter_mut().filter(|c| is_usable(c));
        let best = fitting.min_by(|a, b| {
            let cost = |c: &Candidate| c.cost(&required, spec, &preferences, avoided(c));
            cost(a).total_cmp(&cost(b))
        })?;
        best.free = best.free.minus(&required);
        best.step_tasks += 1;
        best.assigned = true;
        // The members of a gang are suspected together, so they may share a worker.
        if !spec.gang {
            best.suspects.add(suspicion);
            best.has_young_run = true;
        }
        Some(best)
    }

    /// Assigns all tasks of a gang or none, on one rack where that is required and possible. A gang
    /// ends with its slowest member, so workers of similar speed are preferred: fast ones, or else
    /// slow ones, which leaves the fast ones to others.
    pub(crate) fn assign_gang(
        &self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
        waiting: &[u32],
        candidates: &mut [Candidate],
    ) -> Vec<Assignment> {
        let is_slow = |c: &Candidate| c.speed < SLOW_SPEED;
        let slow = candidates.iter().filter(|c| is_slow(c)).count();
        let mut sets: Vec<Vec<Candidate>> = Vec::new();
        if slow > 0 && slow < candidates.len() {
            let (slow, fast) = candidates.iter().cloned().partition(is_slow);
            sets = vec![fast, slow];
        }
        if spec.same_rack {
            let racks: BTreeSet<Name> = candidates.iter().filter_map(|c| c.rack.clone()).collect();
            for set in sets.iter().map(Vec::as_slice).chain([&*candidates]) {
                for rack in &racks {
                    let on_rack = |c: &&Candidate| c.rack.as_ref() == Some(rack);
                    let mut rack_candidates: Vec<Candidate> =
                        set.iter().filter(on_rack).cloned().collect();
                    let placed = self.assign_each(m, key, spec, waiting, &mut rack_candidates);
                    if placed.len() == waiting.len() {
                        return placed;
                    }
                }
            }
        }
        for set in sets.iter_mut().map(Vec::as_mut_slice).chain([candidates]) {
            let placed = self.assign_each(m, key, spec, waiting, set);
            if placed.len() == waiting.len() {
                return placed;
            }
        }
        Vec::new()
    }
}
