//! Weighs the loss of a worker against each of its runs, by the other workers lost around it.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use clock::Millis;
use events::kinds;
use model::Name;
use workload::{Command, CrashSuspects, JobId, LossRecord, TaskKey, WorkerId};

use crate::dispatcher::Dispatcher;
use crate::loss_evidence::{LostRun, TaskLosses};
use crate::loss_pace::LossPace;
use crate::losses::{Loss, LossDetection, LossTime};
use crate::worker_view::WorkerView;

/// The workers of a service as one of them is lost.
struct Fleet {
    service: Name,
    size: usize,
    /// The other silent workers, except those that a recurring fault explains.
    silent: Vec<(WorkerId, LossTime)>,
}

impl Dispatcher {
    /// Returns the runs that a crash of a worker counts against. A run that chance may have hit does
    /// not count; earlier ones of its task may count instead.
    pub(crate) fn suspects_of_crash(&mut self, worker: &WorkerId) -> CrashSuspects {
        let lapsed = self.replicated.crashes().lapsed_runs(worker).cloned();
        let crash_suspects = lapsed.unwrap_or_else(|| self.crash_suspects(worker));
        let Some(fleet) = self.fleet_around(worker) else { return crash_suspects };
        let lost_runs = self.lost_runs_on(worker, &crash_suspects);
        let mut paces = BTreeMap::new();
        let (mut counted, mut recorded) = (BTreeMap::new(), Vec::new());
        for (task, lost) in lost_runs {
            let pace = paces.entry(task.step.job);
            let pace = pace.or_insert_with(|| self.unrelated_pace(lost.at, task.step.job, &fleet));
            let pace = pace.clone();
            recorded.extend(self.weigh_loss(task, lost, &pace, &fleet).map(|loss| (task, loss)));
            counted.insert(task, self.count_losses(task, &pace));
        }
        if !recorded.is_empty() {
            self.propose(Command::LossesRecorded { losses: recorded });
        }
        self.with_runs(crash_suspects, &counted)
    }

    fn losses_of(&mut self, task: TaskKey) -> &mut TaskLosses {
        let crashes = self.replicated.crashes().crashes(&task);
        self.lost_runs.of(task, self.replicated.loss_records().of(&task), crashes)
    }

    /// Adds a lost run to those of its task, and weighs those again around which losses have become
    /// known since. Returns the records that are new or changed.
    fn weigh_loss(
        &mut self,
        task: TaskKey,
        lost: LostRun,
        pace: &LossPace,
        fleet: &Fleet,
    ) -> impl Iterator<Item = LossRecord> + use<> {
        let (age, run, now) = (lost.age, lost.run, self.now());
        let losses = self.losses_of(task);
        let explained = age.map(|age| losses.recurrences(age)).unwrap_or_default();
        let recent = losses.recent(now).to_vec();
        losses.add(lost, pace);
        self.recent_losses.explain(&explained);
        let job = task.step.job;
        let again = recent.iter().filter(|lost| lost.run != run);
        let again = again.map(|l| l.record(&self.unrelated_pace(l.at, job, fleet)));
        let again: Vec<LossRecord> = again.collect();
        let losses = self.losses_of(task);
        again.iter().for_each(|record| losses.replace(*record));
        let newest = losses.newest(run);
        again.into_iter().chain(newest)
    }

    /// Returns the lost runs of a task that count against it from now on.
    fn count_losses(&mut self, task: TaskKey, pace: &LossPace) -> Vec<u32> {
        let losses = self.losses_of(task);
        let counted = losses.take_counted();
        let (unrelated, lost) = pace.counts();
        let details = format!(
            "{} evidence={:.2} counted={} unrelated_workers={unrelated} unrelated_lost={lost}",
            losses.describe_latest(),
            losses.evidence(),
            counted.len(),
        );
        self.log_event(&kinds::LOSS_WEIGHED, task, details);
        counted
    }

    /// Returns the suspects with the runs of each task replaced by those that count against it.
    fn with_runs(
        &self,
        crash_suspects: CrashSuspects,
        counted: &BTreeMap<TaskKey, Vec<u32>>,
    ) -> CrashSuspects {
        let runs = |suspects: Vec<(TaskKey, u32)>| {
            let tasks: BTreeSet<_> =
                suspects.iter().map(|(task, _)| self.replicated.suspect_key(task)).collect();
            let counted = |task| counted.get(&task).into_iter().flatten().map(move |r| (task, *r));
            tasks.into_iter().flat_map(counted).collect()
        };
        CrashSuspects {
            primary: runs(crash_suspects.primary),
            secondary: runs(crash_suspects.secondary),
            ..crash_suspects
        }
    }

    /// Returns the lost runs of a worker by suspect task. Of several members of a gang there, the
    /// first is returned.
    fn lost_runs_on(
        &self,
        id: &WorkerId,
        crash_suspects: &CrashSuspects,
    ) -> BTreeMap<TaskKey, LostRun> {
        let Some(view) = self.worker_views.get(id) else { return BTreeMap::new() };
        let at = view.loss_time(self.now());
        let broke = at.detection == LossDetection::ConnectionBroken;
        let mut lost = BTreeMap::new();
        for (task, run) in crash_suspects.runs() {
            let suspect = self.replicated.suspect_key(task);
            let workers = self.placements(&suspect).into_iter().map(|(worker, _)| worker);
            // Lapsed runs of a gang are recorded under its first task, which may run elsewhere.
            let is_gang = self.replicated.step_spec(&task.step).is_some_and(|s| s.gang);
            let exposure = match is_gang {
                true => view.exposure_of_gang(&task.step),
                false => view.exposure(task),
            };
            let ordered_at = exposure.and_then(|e| e.ordered_at).filter(|_| broke);
            let lost_run = LostRun {
                run: *run,
                worker: id.clone(),
                at,
                exposure: at.silent_since.since(exposure.map_or(Millis::ZERO, |e| e.since)),
                age: ordered_at.map(|ordered_at| at.silent_since.since(ordered_at)),
                workers: workers.collect::<HashSet<_>>().len().max(1),
            };
            lost.entry(suspect).or_insert(lost_run);
        }
        lost
    }

    /// Returns the workers of the service of a lost worker. A worker that has restarted is known under
    /// two ids until its earlier incarnation is removed, so addresses are counted.
    fn fleet_around(&self, lost: &WorkerId) -> Option<Fleet> {
        let service = self.replicated.worker(lost)?.info.service.clone();
        let workers = self.replicated.workers().values();
        let addresses = workers.filter(|w| w.info.service == service).map(|w| &w.info.address);
        let size = addresses.collect::<HashSet<_>>().len();
        let now = self.now();
        let is_silent = |(id, v): &(&WorkerId, &WorkerView)| {
            *id != lost
                && v.silent_since.is_some()
                && !v.fault_recurs
                && self.replicated.worker(id).is_some_and(|w| w.info.service == service)
        };
        let silent = self.worker_views.iter().filter(is_silent);
        let silent = silent.map(|(id, v)| (id.clone(), v.loss_time(now))).collect();
        Some(Fleet { service, size, silent })
    }

    /// Returns the pace at which workers were lost that ran nothing of a job, detected in the same
    /// way as a loss of one that did. Workers that are silent now may be lost.
    fn unrelated_pace(&self, at: LossTime, job: JobId, fleet: &Fleet) -> LossPace {
        let lost = self.recent_losses.of_service(&fleet.service).filter(|l| l.is_unrelated_to(job));
        let is_unrelated = |id| self.replicated.worker(id).is_some_and(|w| !w.runs_any_of(job));
        let silent = fleet.silent.iter().filter(|(id, _)| is_unrelated(id));
        let times = lost.map(|l| l.at).chain(silent.map(|(_, at)| *at));
        let times = times.filter(|other| other.detection == at.detection);
        let times = times.map(|other| other.silent_since).collect();
        let workers = fleet.size.saturating_sub(self.workers_of(job));
        LossPace::around(at, times, workers, self.max_width(job), self.now())
    }

    /// Returns the greatest number of workers that one run of a job takes.
    fn max_width(&self, job: JobId) -> usize {
        let steps = self.replicated.job(job).into_iter().flat_map(|j| &j.spec.steps);
        steps.filter(|s| s.gang).map(|s| s.count as usize).max().unwrap_or(1)
    }

    /// Returns the number of workers that run anything of a job.
    fn workers_of(&self, job: JobId) -> usize {
        let rounds = self.replicated.job(job).into_iter().flat_map(|j| &j.rounds);
        let tasks = rounds.flat_map(|r| &r.steps).flat_map(|s| &s.tasks);
        tasks.filter_map(|t| t.at.as_ref()).collect::<HashSet<_>>().len()
    }

    /// Records the loss of a worker.
    pub(crate) fn record_loss(&mut self, id: &WorkerId) {
        let (Some(view), Some(worker)) = (self.worker_views.get(id), self.replicated.worker(id))
        else {
            return;
        };
        let loss = Loss {
            worker: id.clone(),
            at: view.loss_time(self.now()),
            service: worker.info.service.clone(),
            jobs: self.replicated.jobs_on(id),
            fault_recurs: view.fault_recurs,
        };
        self.recent_losses.record(loss);
    }
}
