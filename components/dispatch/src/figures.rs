//! Gauges of the leader's workload, for metrics and the log.

use std::collections::BTreeMap;

use clock::Millis;
use model::{Name, Size};
use workload::{Job, JobId, Organisation, StepKey, TaskKey, Worker};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::worker_view::{Order, Stage, WorkerView};

/// Gauges of the cell as seen by its leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// The number of jobs in the replicated state.
    pub jobs: u64,
    /// The number of steps with tasks that wait for a worker.
    pub open_steps: u64,
    /// The number of runs that may be alive.
    pub runs: u64,
    /// The number of starts and stops whose outcome is unknown.
    pub orders_unsettled: u64,
    /// The number of starts that wait for their command to be committed.
    pub starts_held: u64,
    /// The number of starts without an answer.
    pub starts_unanswered: u64,
    /// The number of known workers.
    pub workers: u64,
    /// The number of workers that answer.
    pub workers_in_contact: u64,
    /// The total capacity of the workers that answer.
    pub capacity: Size,
    /// The capacity in use on the workers that answer.
    pub used: Size,
    /// The number of steps for which the last plan looked for workers that a call for advice could
    /// name.
    pub scans: u32,
    /// How many workers it examined for that.
    pub workers_scanned: u64,
    /// How many workers the last plan looked at before its first step.
    pub workers_checked: u64,
    /// The number of instances that can call for advice.
    pub advice_callers: u64,
    /// The number of instances that wait for an answer to a call for advice.
    pub advice_callers_busy: u64,
    /// The number of steps that needed a call for advice in the last plan and found no free
    /// instance, without the steps known to wait for capacity.
    pub steps_without_caller: u64,
    /// Always zero: a plan examines all steps that it selects, and its cost delays the next one. The
    /// gauge is kept for those who read it.
    pub steps_not_examined: u64,
    /// The number of workers that are quarantined because runs fail there.
    pub quarantined_workers: u64,
    /// The number of workers that were quarantined and get one run at a time until one succeeds.
    pub probation_workers: u64,
    /// The number of workers that get no new work for a while because runs are slow there.
    pub slow_workers: u64,
    /// The number of long-running tasks that wait for a worker.
    pub long_running_waiting: u64,
    /// The longest wait among the long-running tasks that wait.
    pub long_running_max_wait: Millis,
    /// The number of submissions that were refused in this term, for the forecast wait or for want of memory.
    pub refused: u64,
    /// The number of these that were refused for want of memory.
    pub refused_for_memory: u64,
    /// An estimate of the memory that the jobs take in the replicated state, in bytes.
    pub job_memory: u64,
    /// The number of calls in this term that came too late to be carried out.
    pub late_calls: u64,
    /// The part of the capacity, in thousandths, that admission assumes to become completed work.
    pub efficiency_per_mille: u64,
    /// The number of machines that are known to be slower than the others of their service.
    pub slow_machines: u64,
}

/// Gauges of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceFigures {
    /// The number of workers that are quarantined because runs fail there.
    pub quarantined_workers: u64,
    /// The number of long-running tasks that wait for a worker.
    pub long_running_waiting: u64,
}

/// Gauges of one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OrganisationFigures {
    /// The limit on the capacity in use by the organisation; zero in a dimension means no limit.
    pub limit: Size,
    /// The capacity that the organisation's runs use or may use.
    pub used: Size,
    /// The number of its steps with tasks that wait for a worker.
    pub open_steps: u64,
    /// The number of its open steps of which the limit lets no task start.
    pub steps_at_limit: u64,
    /// What it has used recently, in thousandths of its share by weight.
    pub share_ratio_per_mille: u64,
    /// The number of its calls that were refused for the forecast wait of their jobs in this term.
    pub refused: u64,
}

/// Gauges of the work that waits in one queue, or of one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueFigures {
    /// The number of steps that are due and have tasks that wait for a worker.
    pub waiting_steps: u64,
    /// The longest wait among these steps: the time since the job was accepted, or since its round was
    /// due.
    pub oldest_wait: Millis,
    /// The capacity that the waiting tasks of these steps request.
    pub requested: Size,
    /// The number of unfinished jobs that have taken longer than their objective allows.
    pub late_jobs: u64,
}

/// Who waits: the work that waits, by queue and by organisation. Jobs that belong to no organisation
/// are counted under their queue only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// The gauges of each configured queue, and of each other queue with unfinished jobs.
    pub by_queue: BTreeMap<Name, QueueFigures>,
    /// The gauges of each configured organisation, and of each other one with unfinished jobs.
    pub by_organisation: BTreeMap<Name, QueueFigures>,
}

impl Backlog {
    /// Updates the gauges of a job's queue and organisation.
    fn update(&mut self, job: &Job, owner: Option<&Name>, f: impl Fn(&mut QueueFigures)) {
        f(entry(&mut self.by_queue, &job.queue));
        if let Some(owner) = owner {
            f(entry(&mut self.by_organisation, owner));
        }
    }
}

fn entry<'a>(by_name: &'a mut BTreeMap<Name, QueueFigures>, name: &Name) -> &'a mut QueueFigures {
    by_name.entry(name.clone()).or_default()
}

impl Dispatcher {
    /// Returns the gauges of the work that waits. Passes once over the waiting steps and once over the
    /// unfinished jobs, so it is for reports and not for plans.
    pub fn backlog(&self, m: Moment) -> Backlog {
        let mut backlog = Backlog::default();
        if let Some(policy) = &self.policy {
            for queue in &policy.queues {
                entry(&mut backlog.by_queue, &queue.name);
            }
            for organisation in policy.organisations.iter().flat_map(|all| all.iter()) {
                entry(&mut backlog.by_organisation, &organisation.name);
            }
        }
        for open in self.replicated.open() {
            let key = &open.key;
            let Some(job) = self.replicated.job(key.job) else { continue };
            if m.wall < job.spec.due(key.round) {
                continue;
            }
            let wait = self.age(m, key, job);
            let requested = self.requested_by(key);
            let owner = self.replicated.ownership().owner(key.job);
            backlog.update(job, owner, |figures| {
                figures.waiting_steps += 1;
                figures.oldest_wait = figures.oldest_wait.max(wait);
                figures.requested = figures.requested.plus(&requested);
            });
        }
        for id in self.accepted.keys() {
            let Some(job) = self.replicated.job(*id) else { continue };
            if self.is_past_objective(m, *id, job) {
                let owner = self.replicated.ownership().owner(*id);
                backlog.update(job, owner, |figures| figures.late_jobs += 1);
            }
        }
        backlog
    }

    /// Returns the capacity that the waiting tasks of a step request.
    fn requested_by(&self, key: &StepKey) -> Size {
        let Some((spec, step)) = self.replicated.step_spec(key).zip(self.replicated.step(key))
        else {
            return Size::ZERO;
        };
        let waiting = (step.tasks.len() as u64)
            .saturating_sub(u64::from(step.done))
            .saturating_sub(u64::from(step.placed));
        spec.required_capacity().times(waiting)
    }

    /// Returns whether an unfinished round of an unfinished job has taken longer than the objective of
    /// its queue allows. A queue without a stretch and a target latency has no objective.
    fn is_past_objective(&self, m: Moment, id: JobId, job: &Job) -> bool {
        let Some(allowed) = self.allowed_time(job).filter(|t| *t > Millis::ZERO) else {
            return false;
        };
        let is_late = |round: u32| {
            let key = StepKey { job: id, round, step: 0 };
            self.age(m, &key, job) > allowed
        };
        let is_done = |round: &workload::Round| round.steps.iter().all(|s| s.is_done());
        let mut rounds = (0..).zip(&job.rounds);
        !job.state.is_final() && rounds.any(|(i, round)| is_late(i) && !is_done(round))
    }

    /// Returns the gauges of each configured organisation.
    pub fn organisation_figures(&self) -> BTreeMap<Name, OrganisationFigures> {
        let organisations = self.policy.iter().filter_map(|p| p.organisations.as_ref());
        let figures = |o: &Organisation| OrganisationFigures {
            limit: o.limit,
            used: self.replicated.ownership().used(&o.name),
            share_ratio_per_mille: self.share_ratio_per_mille(&o.name),
            refused: self.refusals.by_organisation.get(&o.name).copied().unwrap_or(0),
            ..OrganisationFigures::default()
        };
        let mut by_organisation: BTreeMap<Name, OrganisationFigures> = organisations
            .flat_map(|all| all.iter())
            .map(|o| (o.name.clone(), figures(o)))
            .collect();
        for entry in self.replicated.open() {
            let owner = self.replicated.ownership().owner(entry.key.job);
            let Some(figures) = owner.and_then(|name| by_organisation.get_mut(name)) else {
                continue;
            };
            figures.open_steps += 1;
            figures.steps_at_limit += u64::from(self.is_at_limit(&entry.key));
        }
        by_organisation
    }

    /// Returns the gauges of the cell.
    pub fn figures(&self) -> Figures {
        let settled = |o: &Order| matches!(o.stage, Stage::Confirmed { .. });
        let orders = self.worker_views.values().flat_map(|v| v.orders.values());
        let in_contact = self.worker_views.iter().filter(|(_, v)| v.in_contact);
        let in_contact: Vec<&Worker> =
            in_contact.filter_map(|(id, _)| self.replicated.worker(id)).collect();
        let waits: Vec<Millis> = self.long_running_waiting().map(|(_, since)| since).collect();
        let longest = waits.iter().min().map_or(Millis::ZERO, |since| self.now().since(*since));
        let sum = |a: Size, b: &Size| a.plus(b);
        Figures {
            jobs: self.replicated.jobs().len() as u64,
            open_steps: self.replicated.open().len() as u64,
            runs: self.replicated.workers().values().map(|w| w.runs.len() as u64).sum(),
            orders_unsettled: orders.clone().filter(|o| !settled(o)).count() as u64,
            starts_held: orders.clone().filter(|o| o.stage == Stage::Held).count() as u64,
            starts_unanswered: orders.filter(|o| o.stage == Stage::Starting).count() as u64,
            workers: self.worker_views.len() as u64,
            workers_in_contact: in_contact.len() as u64,
            capacity: in_contact.iter().map(|w| &w.info.capacity).fold(Size::ZERO, sum),
            used: in_contact.iter().map(|w| &w.used).fold(Size::ZERO, sum),
            scans: self.plan_state.scans,
            workers_scanned: self.plan_state.workers_scanned,
            workers_checked: self.plan_state.workers_checked,
            advice_callers: self.advice_scheduler.callers() as u64,
            advice_callers_busy: self.advice_scheduler.busy_callers() as u64,
            steps_without_caller: self.plan_state.without_caller,
            steps_not_examined: 0,
            quarantined_workers: self.quarantined_workers().count() as u64,
            probation_workers: self.probation_workers().count() as u64,
            slow_workers: self.slow_workers().count() as u64,
            long_running_waiting: waits.len() as u64,
            long_running_max_wait: longest,
            refused: self.refusals.total,
            refused_for_memory: self.refusals.for_memory,
            job_memory: self.replicated.job_memory(),
            late_calls: self.late_calls.total,
            efficiency_per_mille: self.admission.efficiency_per_mille(),
            slow_machines: self.worker_speeds.slow_machines(),
        }
    }

    /// Returns the gauges of each service that is configured or has workers.
    pub fn service_figures(&self) -> BTreeMap<Name, ServiceFigures> {
        let mut by_service: BTreeMap<Name, ServiceFigures> = BTreeMap::new();
        let configured = self.policy.iter().flat_map(|p| &p.services).map(|s| &s.name);
        let present = self.replicated.workers().values().map(|w| &w.info.service);
        for service in configured.chain(present) {
            by_service.entry(service.clone()).or_default();
        }
        for worker in self.quarantined_workers() {
            by_service.entry(worker.info.service.clone()).or_default().quarantined_workers += 1;
        }
        for (task, _) in self.long_running_waiting() {
            let Some(job) = self.replicated.job(task.step.job) else { continue };
            by_service.entry(job.service.clone()).or_default().long_running_waiting += 1;
        }
        by_service
    }

    fn probation_workers(&self) -> impl Iterator<Item = &WorkerView> {
        let now = self.now();
        let is_on_probation =
            move |v: &&WorkerView| v.health.is_on_probation(now) && !v.health.is_quarantined(now);
        self.worker_views.values().filter(is_on_probation)
    }

    fn slow_workers(&self) -> impl Iterator<Item = &WorkerView> {
        let now = self.now();
        self.worker_views.values().filter(move |v| v.health.is_slow(now))
    }

    fn quarantined_workers(&self) -> impl Iterator<Item = &Worker> {
        let now = self.now();
        let is_quarantined = move |v: &WorkerView| v.health.is_quarantined(now);
        let ids =
            self.worker_views.iter().filter(move |(_, v)| is_quarantined(v)).map(|(id, _)| id);
        ids.filter_map(|id| self.replicated.worker(id))
    }

    fn long_running_waiting(&self) -> impl Iterator<Item = (TaskKey, Millis)> {
        self.long_running_waits.tasks().filter(|(task, _)| self.still_waits(task))
    }

    /// Returns whether a task that waited at the start of the last plan still waits.
    pub(crate) fn still_waits(&self, task: &TaskKey) -> bool {
        let is_unfinished = self.replicated.job(task.step.job).is_some_and(|j| !j.state.is_final());
        is_unfinished && self.replicated.task(task).is_some_and(|t| t.at.is_none())
    }
}
