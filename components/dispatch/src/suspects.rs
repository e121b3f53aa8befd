//! Tasks under which workers have crashed: what is held against them, and where they may run.
//!
//! Load pattern: one task ends each worker it starts on, within milliseconds, and its worker runs others that
//! are well. All of them are suspects then. What tells them apart are their next runs: suspects are spread over as
//! many workers as there are, and one that has met a second crash shares its worker with no other suspect while that
//! is young. docs/design/platform.md weighs this against other ways.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use events::kinds;
use model::Name;
use workload::{
    COUNTED_WEIGHT, Command, CrashSuspects, FULL_WEIGHT, JobId, MAX_CRASHES, StepKey, StepSpec,
    StepState, TaskKey, UncertainLoss, WorkerId,
};

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    MAX_RUNS_OUT_OF_CONTACT, MAX_YOUNG_RUN_AGE, MIN_SUSPECTS_FOR_FAULTY_STEP, SEEMS_HEALTHY_AGE,
    SIMULTANEOUS_SILENCE_DIVISOR, SIMULTANEOUS_SILENCE_WINDOW, SUSPECT_CLEARED_AFTER,
};
use crate::losses::{LostRun, OtherLoss};
use crate::worker_view::{Order, Stage, WorkerView};

/// What is held against a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Suspicion {
    /// Nothing.
    #[default]
    None,
    /// A worker has crashed under it: such tasks are spread over as many workers as there are.
    Suspect,
    /// One crash more and its job is given up: it shares its worker with no other suspect that is young.
    LastAttempt,
}

impl Suspicion {
    /// Gives what so many crashes amount to.
    fn of(crashes: u16) -> Suspicion {
        match crashes {
            0 => Suspicion::None,
            n if n + 1 < MAX_CRASHES => Suspicion::Suspect,
            _ => Suspicion::LastAttempt,
        }
    }
}

/// The suspects that run young on one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct YoungSuspects {
    pub(crate) count: u32,
    /// Whether one of them is on its last try.
    pub(crate) has_last_attempt: bool,
}

impl YoungSuspects {
    /// Notes one more.
    pub(crate) fn add(&mut self, suspicion: Suspicion) {
        self.count += u32::from(suspicion > Suspicion::None);
        self.has_last_attempt |= suspicion == Suspicion::LastAttempt;
    }

    /// Tells whether a task may run beside them: none that is on its last try shares a worker with another suspect.
    pub(crate) fn admits(&self, suspicion: Suspicion) -> bool {
        match suspicion {
            Suspicion::None => true,
            Suspicion::Suspect => !self.has_last_attempt,
            Suspicion::LastAttempt => self.count == 0,
        }
    }
}

/// Tells whether a run has not lived for long enough to show that it leaves its worker alive.
fn is_young(order: &Order, now: Millis) -> bool {
    let lives = matches!(order.stage, Stage::Confirmed { .. } | Stage::Stopping);
    !lives || now.since(order.since) < MAX_YOUNG_RUN_AGE
}

/// Tells whether a run may have begun on its worker and be there yet.
fn has_begun(order: &Order) -> bool {
    !matches!(order.stage, Stage::Held | Stage::Stopped { .. })
}

/// What is known of the runs of a step's tasks.
#[derive(Clone, Copy, Debug, Default)]
struct StepRecord {
    /// How many tasks have crashed a worker while young and have not shown since that they leave one alive.
    suspects: usize,
    /// How many are done, or have run for long enough.
    settled: usize,
    /// How many run of which nobody can tell yet.
    unsettled: usize,
    /// How many of those run on workers of which nothing is heard, so that others need not wait for them.
    unheard: usize,
    /// How many of those run on workers that have answered since the run was old enough to seem well.
    promising: usize,
}

impl StepRecord {
    /// Tells whether it seems to be the step's own fault that its tasks crashed their workers.
    fn seems_at_fault(&self) -> bool {
        self.suspects >= MIN_SUSPECTS_FOR_FAULTY_STEP && self.suspects > self.settled
    }

    /// Gives how many more of its tasks may be started then: one first, and more the more are well.
    fn may_start(&self) -> usize {
        let unheard = self.unheard.min(MAX_RUNS_OUT_OF_CONTACT);
        let unknown = self.unsettled.saturating_sub(unheard + self.promising);
        (self.settled + unheard + self.promising + 1).saturating_sub(unknown)
    }
}

impl Dispatcher {
    /// Gives what is held against a task.
    pub(crate) fn suspicion(&self, task: &TaskKey) -> Suspicion {
        let ledger = self.replicated.crashes();
        if ledger.is_empty() && self.replicated.uncertain_losses().is_empty() {
            return Suspicion::None;
        }
        let task = self.replicated.suspect_key(task);
        Suspicion::of(ledger.crashes(&task) + self.replicated.uncertain_losses().losses(&task))
    }

    /// Finds out which workers run suspects that are young.
    pub(crate) fn find_young_suspects(&mut self, m: Moment) {
        let mut found: BTreeMap<WorkerId, YoungSuspects> = BTreeMap::new();
        for suspect in self.suspects() {
            for (worker, task) in self.placed_of(&suspect) {
                let order = self.worker_views.get(&worker).and_then(|v| v.orders.get(&task));
                if order.is_some_and(|o| is_young(o, m.now)) {
                    found.entry(worker).or_default().add(self.suspicion(&suspect));
                }
            }
        }
        self.plan_state.young_suspects = found;
    }

    /// Gives the tasks under which workers have crashed, whether or not that was counted against them.
    fn suspects(&self) -> BTreeSet<TaskKey> {
        let counted = self.replicated.crashes().suspects().map(|(task, _)| *task);
        counted.chain(self.replicated.uncertain_losses().tasks().copied()).collect()
    }

    /// Gives where a task of the ledger is placed; of a gang all of its members.
    fn placed_of(&self, suspect: &TaskKey) -> Vec<(WorkerId, TaskKey)> {
        let Some(step) = self.replicated.step(&suspect.step) else { return Vec::new() };
        let gang = self.replicated.step_spec(&suspect.step).is_some_and(|s| s.gang);
        let tasks = (0..).zip(&step.tasks).filter(|(i, _)| gang || *i == suspect.index);
        let placed = tasks.filter_map(|(index, t)| Some((t.at.clone()?, index)));
        placed.map(|(worker, index)| (worker, TaskKey { index, ..*suspect })).collect()
    }

    /// Notes that a plan has placed a task, so that the next ones keep away from it.
    pub(crate) fn record_placed(&mut self, worker: &WorkerId, task: &TaskKey) {
        let suspicion = self.suspicion(task);
        if suspicion > Suspicion::None {
            self.plan_state.young_suspects.entry(worker.clone()).or_default().add(suspicion);
        }
    }

    /// Tells whether a worker runs anything that is young.
    pub(crate) fn has_young_run(&self, now: Millis, worker: &WorkerId) -> bool {
        let orders = self.worker_views.get(worker).map(|v| v.orders.values());
        orders.is_some_and(|mut o| o.any(|o| is_young(o, now)))
    }

    /// Gives those of a step's waiting tasks that may be started now. Where the step seems to be at fault, its
    /// tasks go one after the other, those that are nearest to being understood first.
    pub(crate) fn may_start(
        &self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
        mut waiting: Vec<u32>,
    ) -> Vec<u32> {
        let ledger = self.replicated.crashes();
        if ledger.is_empty() {
            return waiting;
        }
        let task = |index: u32| self.replicated.suspect_key(&TaskKey { step: *key, index });
        waiting.retain(|i| !self.replicated.must_wait(&task(*i)));
        let Some(step) = self.replicated.step(key) else { return waiting };
        let record = self.step_record(m, key, step);
        if spec.gang || !record.seems_at_fault() {
            return waiting;
        }
        waiting.sort_by_key(|i| (Reverse(ledger.crashes(&task(*i))), *i));
        waiting.truncate(record.may_start());
        waiting
    }

    fn step_record(&self, m: Moment, key: &StepKey, step: &StepState) -> StepRecord {
        let mut record = StepRecord::default();
        for (index, state) in (0..).zip(&step.tasks) {
            let task = TaskKey { step: *key, index };
            let suspect = self.replicated.crashes().crashes_while_young(&task) > 0;
            let lives = state.at.as_ref().is_some_and(|w| self.is_settled(m, w, &task));
            let settled = state.done || lives;
            record.suspects += usize::from(suspect && !settled);
            record.settled += usize::from(settled);
            record.unsettled += usize::from(state.at.is_some() && !settled);
            let unheard = state.at.as_ref().is_some_and(|w| self.is_unheard(w));
            record.unheard += usize::from(unheard && !settled);
            let promising = state.at.as_ref().is_some_and(|w| self.is_promising(w, &task));
            record.promising += usize::from(promising && !settled);
        }
        record
    }

    /// Tells whether a worker has answered, and is not silent, since a run was old enough to seem well.
    fn is_promising(&self, worker: &WorkerId, task: &TaskKey) -> bool {
        let Some(view) = self.worker_views.get(worker).filter(|v| v.silent_since.is_none()) else {
            return false;
        };
        let Some(answered_at) = view.clock_reading.map(|r| r.at) else { return false };
        let confirmed = |o: &&Order| matches!(o.stage, Stage::Confirmed { .. });
        let order = view.orders.get(task).filter(confirmed);
        order.is_some_and(|o| answered_at.since(o.since) >= SEEMS_HEALTHY_AGE)
    }

    /// Tells whether a worker is silent in a way that says nothing of its runs: calls to it run into their time limits,
    /// as those to a worker that is cut off do, and nothing is learnt until its lease is over. Calls to one that has
    /// crashed break at once, and whoever answers next at its address tells of the crash, so others wait for that.
    fn is_unheard(&self, worker: &WorkerId) -> bool {
        self.worker_views
            .get(worker)
            .is_some_and(|v| v.silent_since.is_some() && !v.connection_broke)
    }

    /// Tells whether a run has shown that it leaves its worker alive.
    fn is_settled(&self, m: Moment, worker: &WorkerId, task: &TaskKey) -> bool {
        let Some(view) = self.worker_views.get(worker) else { return false };
        let answers = view.in_contact && view.silent_since.is_none();
        answers && view.orders.get(task).is_some_and(|o| !is_young(o, m.now))
    }

    /// Clears suspects whose runs have lived for long enough.
    pub(crate) fn clear_suspects(&mut self, m: Moment) {
        if self.replicated.crashes().is_empty() && self.replicated.uncertain_losses().is_empty() {
            return;
        }
        let suspects = self.suspects().into_iter();
        let tasks: Vec<TaskKey> = suspects.filter(|t| self.has_lived_on(m, t)).collect();
        if !tasks.is_empty() {
            self.propose(Command::SuspectsCleared { tasks });
        }
    }

    fn has_lived_on(&self, m: Moment, suspect: &TaskKey) -> bool {
        let placed = self.placed_of(suspect);
        let lives = |(worker, task): &(WorkerId, TaskKey)| {
            let Some(view) = self.worker_views.get(worker).filter(|v| v.in_contact) else {
                return false;
            };
            let order = view.orders.get(task);
            order.is_some_and(|o| {
                matches!(o.stage, Stage::Confirmed { .. })
                    && m.now.since(o.since) >= SUSPECT_CLEARED_AFTER
            })
        };
        !placed.is_empty() && placed.iter().all(lives)
    }

    /// Gives the runs that a worker may have crashed under, if it has. It was alive when it last answered, so
    /// runs that were old by then are to blame only where no younger one is.
    pub(crate) fn crash_suspects(&self, worker: &WorkerId) -> CrashSuspects {
        let Some(view) = self.worker_views.get(worker) else { return CrashSuspects::default() };
        let alive_at = view.clock_reading.map_or(Millis::ZERO, |r| r.at);
        let begun = view.orders.iter().filter(|(_, o)| has_begun(o));
        let aged = begun.map(|(task, o)| ((*task, o.run), alive_at.since(o.since)));
        let aged = aged.filter(|(_, age)| *age < SUSPECT_CLEARED_AFTER);
        let (young, old): (Vec<_>, Vec<_>) = aged.partition(|(_, age)| *age < MAX_YOUNG_RUN_AGE);
        let runs = |aged: Vec<_>| aged.into_iter().map(|(run, _)| run).collect();
        match young.is_empty() {
            true => CrashSuspects { primary: runs(old), ..CrashSuspects::default() },
            false => CrashSuspects {
                primary: runs(young),
                primary_young: true,
                secondary: runs(old),
                silent_alone: false,
            },
        }
    }

    /// Gives the runs that a worker has crashed under, but for those that chance may have hit: these are in doubt.
    fn blame_for_crash(&mut self, worker: &WorkerId) -> CrashSuspects {
        let lapsed = self.replicated.crashes().lapsed_runs(worker).cloned();
        let crash_suspects = lapsed.unwrap_or_else(|| self.crash_suspects(worker));
        let doubtful = self.doubtful_losses(worker, &crash_suspects);
        if doubtful.is_empty() {
            return crash_suspects;
        }
        let counted = doubtful.iter().filter(|l| self.replicated.uncertain_losses().counts(l));
        let counted: BTreeSet<(TaskKey, u32)> = counted.map(|l| (l.task, l.run)).collect();
        let excused = doubtful.iter().map(|l| (l.task, l.run));
        let excused: BTreeSet<_> = excused.filter(|run| !counted.contains(run)).collect();
        for loss in &doubtful {
            let details = format!(
                "run={} worker={worker} weight_permille={} counted={}",
                loss.run,
                loss.weight,
                counted.contains(&(loss.task, loss.run)),
            );
            self.log_event(&kinds::LOSS_IN_DOUBT, loss.task, details);
        }
        self.propose(Command::LossesUncertain { losses: doubtful });
        self.without(crash_suspects, &excused)
    }

    /// Gives the runs of a blame that chance may have hit.
    fn doubtful_losses(
        &self,
        worker: &WorkerId,
        crash_suspects: &CrashSuspects,
    ) -> Vec<UncertainLoss> {
        let weigh = |(task, run): &(TaskKey, u32)| UncertainLoss {
            task: self.replicated.suspect_key(task),
            run: *run,
            weight: self.weight_of_loss(worker, task),
        };
        let mut losses: Vec<UncertainLoss> = crash_suspects.runs().map(weigh).collect();
        losses.retain(|l| l.weight < COUNTED_WEIGHT);
        // A gang may have several members there.
        losses.dedup_by_key(|l| (l.task, l.run));
        losses
    }

    /// Leaves runs out of a blame, by suspect and number.
    fn without(
        &self,
        crash_suspects: CrashSuspects,
        excused: &BTreeSet<(TaskKey, u32)>,
    ) -> CrashSuspects {
        let is_left = |(task, run): &(TaskKey, u32)| {
            !excused.contains(&(self.replicated.suspect_key(task), *run))
        };
        let left = |runs: Vec<(TaskKey, u32)>| runs.into_iter().filter(is_left).collect();
        CrashSuspects {
            primary: left(crash_suspects.primary),
            secondary: left(crash_suspects.secondary),
            ..crash_suspects
        }
    }

    /// Gives how much the loss of a worker speaks against one of its runs, up to [`FULL_WEIGHT`].
    fn weight_of_loss(&self, worker: &WorkerId, task: &TaskKey) -> u16 {
        let Some(info) = self.replicated.worker(worker).map(|w| &w.info) else {
            return FULL_WEIGHT;
        };
        let Some(view) = self.worker_views.get(worker) else { return FULL_WEIGHT };
        let began = view.orders.get(task).map_or(self.now(), |o| o.since);
        let gang = self.replicated.step_spec(&task.step).filter(|s| s.gang);
        let run = LostRun {
            job: task.step.job,
            service: info.service.clone(),
            began,
            at: view.loss_time(self.now()),
            workers: gang.map_or(1, |s| s.count as usize),
        };
        let lost = self.recent_losses.beside(&run);
        let others: Vec<OtherLoss> = lost.chain(self.silent_beside(worker, &run)).collect();
        run.weight(&others, self.workers_without(run.job, &run.service))
    }

    /// Gives the other workers of a run's service that are silent, which may be lost.
    fn silent_beside(&self, worker: &WorkerId, run: &LostRun) -> impl Iterator<Item = OtherLoss> {
        let silent = self.worker_views.iter().filter(|(_, v)| v.silent_since.is_some());
        let others = silent.filter(move |(id, _)| *id != worker);
        let others = others.filter_map(|(id, v)| Some((self.replicated.worker(id)?, v)));
        let of_service = others.filter(|(w, _)| w.info.service == run.service);
        of_service.map(|(w, v)| OtherLoss {
            at: v.loss_time(self.now()),
            is_related: w.runs_any_of(run.job),
        })
    }

    /// Gives how many workers of a service run nothing of a job.
    fn workers_without(&self, job: JobId, service: &Name) -> usize {
        let of_service = self.replicated.workers().values().filter(|w| w.info.service == *service);
        of_service.filter(|w| !w.runs_any_of(job)).count()
    }

    /// Gives how many workers fell silent about when one did, that one counted.
    fn silent_together(&self, worker: &WorkerId) -> usize {
        let since = |view: &WorkerView| view.silent_since;
        let Some(at) = self.worker_views.get(worker).and_then(since) else { return 0 };
        let with_it = |view: &WorkerView| {
            since(view).is_some_and(|s| s.since(at) + at.since(s) < SIMULTANEOUS_SILENCE_WINDOW)
        };
        self.worker_views.values().filter(|v| with_it(v)).count()
    }

    /// Gives the runs that a worker may have crashed under whose lease is over, until its fate is known.
    pub(crate) fn suspects_of_silence(&self, worker: &WorkerId) -> CrashSuspects {
        CrashSuspects {
            silent_alone: self.fell_silent_alone(worker),
            ..self.crash_suspects(worker)
        }
    }

    /// Tells whether a worker fell silent by itself. One that did so with others is more likely cut off, or lost for a
    /// reason that is no task's.
    fn fell_silent_alone(&self, worker: &WorkerId) -> bool {
        match self.silent_together(worker) {
            0 => false,
            together => {
                together < 2 || together * SIMULTANEOUS_SILENCE_DIVISOR < self.worker_views.len()
            }
        }
    }

    /// Ends the life of a worker that had not said it would leave: whatever had begun there is suspect.
    pub(crate) fn worker_crashed(&mut self, id: &WorkerId, saved: Vec<(TaskKey, Arc<str>)>) {
        let (crash_suspects, at) = (self.blame_for_crash(id), self.wall());
        self.note_loss(id);
        // Runs that have lapsed are judged with the crash, so they are not to be counted by themselves.
        let settled = self.replicated.crashes().has_lapsed_runs(id);
        let settled = settled.then(|| Command::WorkerSurvived { worker: id.clone() });
        let crashed = Command::WorkerCrashed { worker: id.clone(), saved, crash_suspects, at };
        self.end_life(id, settled.into_iter().chain([crashed]));
    }

    /// Notes when a worker was lost.
    fn note_loss(&mut self, id: &WorkerId) {
        let (Some(view), Some(worker)) = (self.worker_views.get(id), self.replicated.worker(id))
        else {
            return;
        };
        let (service, jobs) = (worker.info.service.clone(), self.replicated.jobs_on(id));
        self.recent_losses.record(view.loss_time(self.now()), service, jobs);
    }

    /// The same for a worker that runs nothing and was not heard of for so long that it counts as lost.
    pub(crate) fn worker_lost(&mut self, id: &WorkerId) {
        let lost = Command::WorkerLost { worker: id.clone(), at: self.wall() };
        self.end_life(id, [lost]);
    }

    fn end_life(&mut self, id: &WorkerId, commands: impl IntoIterator<Item = Command>) {
        let jobs = self.replicated.jobs_on(id);
        if jobs.is_empty() {
            self.propose(Command::WorkerGone { worker: id.clone(), saved: Vec::new() });
            return;
        }
        self.tell_crash(id);
        let open = |id: &JobId| self.replicated.job(*id).is_some_and(|j| !j.state.is_final());
        let open: Vec<JobId> = jobs.iter().filter(|id| open(id)).copied().collect();
        commands.into_iter().for_each(|c| self.propose(c));
        self.jobs_to_clean_up.extend(jobs);
        self.log_ended_jobs(open);
    }

    fn tell_crash(&mut self, id: &WorkerId) {
        let Some(worker) = self.replicated.worker(id) else { return };
        let service: Name = worker.info.service.clone();
        let details = format!("service={service} address={}", worker.info.address);
        self.log_event(&kinds::WORKER_CRASHED, id, details);
        self.act(Action::CountCrash { service });
    }
}
