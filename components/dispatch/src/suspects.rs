//! Tasks under which workers have crashed: the evidence against them, and where they may run.
//!
//! Load pattern: one task crashes each worker it starts on, within milliseconds, while the worker
//! runs other, healthy tasks. All of them become suspects. Their next runs tell them apart:
//! suspects are spread over as many workers as possible, and one with a second crash shares its
//! worker with no other suspect while that one is young. The alternatives are discussed in
//! docs/design/platform.md.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use events::kinds;
use model::Name;
use workload::{
    Command, CrashSuspects, JobId, MAX_CRASHES, StepKey, StepSpec, StepState, TaskKey, WorkerId,
};

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{
    MAX_RUNS_OUT_OF_CONTACT, MAX_YOUNG_RUN_AGE, MIN_SUSPECTS_FOR_FAULTY_STEP, SEEMS_HEALTHY_AGE,
    SIMULTANEOUS_SILENCE_DIVISOR, SIMULTANEOUS_SILENCE_WINDOW, SUSPECT_CLEARED_AFTER,
};
use crate::worker_view::{Order, Stage, WorkerView};

/// The level of suspicion against a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Suspicion {
    /// No crash is counted against the task.
    #[default]
    None,
    /// A worker has crashed under the task. Such tasks are spread over as many workers as possible.
    Suspect,
    /// The job is given up after one more crash. The task shares its worker with no other young
    /// suspect.
    LastAttempt,
}

impl Suspicion {
    /// Returns the level for a number of crashes.
    fn of(crashes: u16) -> Suspicion {
        match crashes {
            0 => Suspicion::None,
            n if n + 1 < MAX_CRASHES => Suspicion::Suspect,
            _ => Suspicion::LastAttempt,
        }
    }
}

/// The young suspects on one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct YoungSuspects {
    pub(crate) count: u32,
    /// Whether one of them is on its last attempt.
    pub(crate) has_last_attempt: bool,
}

impl YoungSuspects {
    /// Adds a suspect.
    pub(crate) fn add(&mut self, suspicion: Suspicion) {
        self.count += u32::from(suspicion > Suspicion::None);
        self.has_last_attempt |= suspicion == Suspicion::LastAttempt;
    }

    /// Returns whether a task may run beside them. A task on its last attempt shares a worker with
    /// no other suspect.
    pub(crate) fn admits(&self, suspicion: Suspicion) -> bool {
        match suspicion {
            Suspicion::None => true,
            Suspicion::Suspect => !self.has_last_attempt,
            Suspicion::LastAttempt => self.count == 0,
        }
    }
}

/// Returns whether a run is too young to show that its worker survives it.
fn is_young(order: &Order, now: Millis) -> bool {
    let is_confirmed = matches!(order.stage, Stage::Confirmed { .. } | Stage::Stopping);
    !is_confirmed || now.since(order.since) < MAX_YOUNG_RUN_AGE
}

/// Returns whether a run may have started on its worker and may still be there.
fn has_begun(order: &Order) -> bool {
    !matches!(order.stage, Stage::Held | Stage::Stopped { .. })
}

/// Counts of a step's tasks by what their runs have shown.
#[derive(Clone, Copy, Debug, Default)]
struct StepOutcomes {
    /// Tasks that crashed a worker while young and have not since shown that a worker survives
    /// them.
    suspects: usize,
    /// Tasks that are done or have run long enough.
    settled: usize,
    /// Tasks whose runs are too young to judge.
    unsettled: usize,
    /// The unsettled tasks on workers out of contact, which others need not wait for.
    out_of_contact: usize,
    /// The unsettled tasks whose workers have answered since the run was old enough to seem
    /// healthy.
    seemingly_healthy: usize,
}

impl StepOutcomes {
    /// Returns whether the crashes seem to be caused by the step as a whole.
    fn seems_faulty(&self) -> bool {
        self.suspects >= MIN_SUSPECTS_FOR_FAULTY_STEP && self.suspects > self.settled
    }

    /// Returns how many more tasks of a faulty step may start: one at first, and more as more of
    /// them prove healthy.
    fn may_start(&self) -> usize {
        let out_of_contact = self.out_of_contact.min(MAX_RUNS_OUT_OF_CONTACT);
        let unknown = self.unsettled.saturating_sub(out_of_contact + self.seemingly_healthy);
        (self.settled + out_of_contact + self.seemingly_healthy + 1).saturating_sub(unknown)
    }
}

impl Dispatcher {
    /// Returns the level of suspicion against a task.
    pub(crate) fn suspicion(&self, task: &TaskKey) -> Suspicion {
        let ledger = self.replicated.crashes();
        if ledger.is_empty() && self.replicated.loss_records().no_losses() {
            return Suspicion::None;
        }
        let task = self.replicated.suspect_key(task);
        Suspicion::of(ledger.crashes(&task) + self.replicated.uncounted_losses(&task))
    }

    /// Updates which workers run young suspects.
    pub(crate) fn find_young_suspects(&mut self, m: Moment) {
        let mut found: BTreeMap<WorkerId, YoungSuspects> = BTreeMap::new();
        for suspect in self.suspects() {
            for (worker, task) in self.placements(&suspect) {
                let order = self.worker_views.get(&worker).and_then(|v| v.orders.get(&task));
                if order.is_some_and(|o| is_young(o, m.now)) {
                    found.entry(worker).or_default().add(self.suspicion(&suspect));
                }
            }
        }
        self.plan_state.young_suspects = found;
    }

    /// Returns the tasks under which workers have crashed, whether or not the crashes count against
    /// them.
    fn suspects(&self) -> BTreeSet<TaskKey> {
        let counted = self.replicated.crashes().suspects().map(|(task, _)| *task);
        counted.chain(self.replicated.loss_records().tasks().copied()).collect()
    }

    /// Returns the placements of a suspect: of all members for a gang.
    pub(crate) fn placements(&self, suspect: &TaskKey) -> Vec<(WorkerId, TaskKey)> {
        let Some(step) = self.replicated.step(&suspect.step) else { return Vec::new() };
        let gang = self.replicated.step_spec(&suspect.step).is_some_and(|s| s.gang);
        let tasks = (0..).zip(&step.tasks).filter(|(i, _)| gang || *i == suspect.index);
        let placed = tasks.filter_map(|(index, t)| Some((t.at.clone()?, index)));
        placed.map(|(worker, index)| (worker, TaskKey { index, ..*suspect })).collect()
    }

    /// Records the placement of a suspect so that later placements of the same plan keep away from
    /// it.
    pub(crate) fn record_placed(&mut self, worker: &WorkerId, task: &TaskKey) {
        let suspicion = self.suspicion(task);
        if suspicion > Suspicion::None {
            self.plan_state.young_suspects.entry(worker.clone()).or_default().add(suspicion);
        }
    }

    /// Returns whether a worker has a young run.
    pub(crate) fn has_young_run(&self, now: Millis, worker: &WorkerId) -> bool {
        let orders = self.worker_views.get(worker).map(|v| v.orders.values());
        orders.is_some_and(|mut o| o.any(|o| is_young(o, now)))
    }

    /// Returns the waiting tasks of a step that may start now. The tasks of a step that seems
    /// faulty start one after the other, those with the most crashes first, as they are settled
    /// soonest.
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
        let outcomes = self.step_outcomes(m, key, step);
        if spec.gang || !outcomes.seems_faulty() {
            return waiting;
        }
        waiting.sort_by_key(|i| (Reverse(ledger.crashes(&task(*i))), *i));
        waiting.truncate(outcomes.may_start());
        waiting
    }

    fn step_outcomes(&self, m: Moment, key: &StepKey, step: &StepState) -> StepOutcomes {
        let mut outcomes = StepOutcomes::default();
        for (index, state) in (0..).zip(&step.tasks) {
            let task = TaskKey { step: *key, index };
            let suspect = self.replicated.crashes().crashes_while_young(&task) > 0;
            let survives = state.at.as_ref().is_some_and(|w| self.is_settled(m, w, &task));
            let settled = state.done || survives;
            outcomes.suspects += usize::from(suspect && !settled);
            outcomes.settled += usize::from(settled);
            outcomes.unsettled += usize::from(state.at.is_some() && !settled);
            let out_of_contact = state.at.as_ref().is_some_and(|w| self.is_out_of_contact(w));
            outcomes.out_of_contact += usize::from(out_of_contact && !settled);
            let seemingly_healthy = state.at.as_ref().is_some_and(|w| self.seems_healthy(w, &task));
            outcomes.seemingly_healthy += usize::from(seemingly_healthy && !settled);
        }
        outcomes
    }

    /// Returns whether a worker has answered since a run was old enough to seem healthy, and is not
    /// silent.
    fn seems_healthy(&self, worker: &WorkerId, task: &TaskKey) -> bool {
        let Some(view) = self.worker_views.get(worker).filter(|v| v.silent_since.is_none()) else {
            return false;
        };
        let Some(answered_at) = view.clock_reading.map(|r| r.at) else { return false };
        let confirmed = |o: &&Order| matches!(o.stage, Stage::Confirmed { .. });
        let order = view.orders.get(task).filter(confirmed);
        order.is_some_and(|o| answered_at.since(o.since) >= SEEMS_HEALTHY_AGE)
    }

    /// Returns whether a worker is silent in a way that says nothing about its runs. Calls to a
    /// worker that is cut off time out, and its fate is unknown until its lease expires. Calls to a
    /// crashed worker fail immediately, and whoever answers next at its address shows the crash, so
    /// others wait for that.
    fn is_out_of_contact(&self, worker: &WorkerId) -> bool {
        self.worker_views
            .get(worker)
            .is_some_and(|v| v.silent_since.is_some() && !v.connection_broke)
    }

    /// Returns whether a run has shown that its worker survives it.
    fn is_settled(&self, m: Moment, worker: &WorkerId, task: &TaskKey) -> bool {
        let Some(view) = self.worker_views.get(worker) else { return false };
        let answers = view.in_contact && view.silent_since.is_none();
        answers && view.orders.get(task).is_some_and(|o| !is_young(o, m.now))
    }

    /// Clears suspects whose runs have lasted long enough.
    pub(crate) fn clear_suspects(&mut self, m: Moment) {
        if self.replicated.crashes().is_empty() && self.replicated.loss_records().no_losses() {
            return;
        }
        let suspects = self.suspects().into_iter();
        let tasks: Vec<TaskKey> = suspects.filter(|t| self.has_outlived_suspicion(m, t)).collect();
        if !tasks.is_empty() {
            self.lost_runs.retain(|t| !tasks.contains(t));
            self.propose(Command::SuspectsCleared { tasks });
        }
    }

    fn has_outlived_suspicion(&self, m: Moment, suspect: &TaskKey) -> bool {
        let placed = self.placements(suspect);
        let survives = |(worker, task): &(WorkerId, TaskKey)| {
            let Some(view) = self.worker_views.get(worker).filter(|v| v.in_contact) else {
                return false;
            };
            let order = view.orders.get(task);
            order.is_some_and(|o| {
                matches!(o.stage, Stage::Confirmed { .. })
                    && m.now.since(o.since) >= SUSPECT_CLEARED_AFTER
            })
        };
        !placed.is_empty() && placed.iter().all(survives)
    }

    /// Returns the runs under which a worker may have crashed. The worker was alive when it last
    /// answered, so older runs are suspect only where there is no young one.
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

    /// Returns the number of workers that fell silent at about the same time as one, including that
    /// one.
    fn silent_together(&self, worker: &WorkerId) -> usize {
        let since = |view: &WorkerView| view.silent_since;
        let Some(at) = self.worker_views.get(worker).and_then(since) else { return 0 };
        let fell_silent_with_it = |view: &WorkerView| {
            since(view).is_some_and(|s| s.since(at) + at.since(s) < SIMULTANEOUS_SILENCE_WINDOW)
        };
        self.worker_views.values().filter(|v| fell_silent_with_it(v)).count()
    }

    /// Returns the runs under which a worker with an expired lease may have crashed, until its fate
    /// is known.
    pub(crate) fn suspects_of_silence(&self, worker: &WorkerId) -> CrashSuspects {
        CrashSuspects {
            silent_alone: self.fell_silent_alone(worker),
            ..self.crash_suspects(worker)
        }
    }

    /// Returns whether a worker fell silent by itself. One that fell silent with others is more
    /// likely cut off, or lost for a reason unrelated to its tasks.
    fn fell_silent_alone(&self, worker: &WorkerId) -> bool {
        match self.silent_together(worker) {
            0 => false,
            together => {
                together < 2 || together * SIMULTANEOUS_SILENCE_DIVISOR < self.worker_views.len()
            }
        }
    }

    /// Ends the incarnation of a worker that had not announced that it would leave. Everything that
    /// had started there is suspect.
    pub(crate) fn worker_crashed(&mut self, id: &WorkerId, saved: Vec<(TaskKey, Arc<str>)>) {
        let (crash_suspects, at) = (self.suspects_of_crash(id), self.wall());
        self.record_loss(id);
        // Lapsed runs are judged together with the crash, so they must not be counted by themselves
        // as well.
        let settled = self.replicated.crashes().has_lapsed_runs(id);
        let settled = settled.then(|| Command::WorkerSurvived { worker: id.clone() });
        let crashed = Command::WorkerCrashed { worker: id.clone(), saved, crash_suspects, at };
        self.end_incarnation(id, settled.into_iter().chain([crashed]));
    }

    /// Ends the incarnation of a worker that runs nothing and was out of contact for so long that
    /// it counts as lost.
    pub(crate) fn worker_lost(&mut self, id: &WorkerId) {
        let lost = Command::WorkerLost { worker: id.clone(), at: self.wall() };
        self.end_incarnation(id, [lost]);
    }

    fn end_incarnation(&mut self, id: &WorkerId, commands: impl IntoIterator<Item = Command>) {
        let jobs = self.replicated.jobs_on(id);
        if jobs.is_empty() {
            self.propose(Command::WorkerGone { worker: id.clone(), saved: Vec::new() });
            return;
        }
        self.log_crash(id);
        let open = |id: &JobId| self.replicated.job(*id).is_some_and(|j| !j.state.is_final());
        let open: Vec<JobId> = jobs.iter().filter(|id| open(id)).copied().collect();
        commands.into_iter().for_each(|c| self.propose(c));
        self.jobs_to_clean_up.extend(jobs);
        self.log_ended_jobs(open);
    }

    fn log_crash(&mut self, id: &WorkerId) {
        let Some(worker) = self.replicated.worker(id) else { return };
        let service: Name = worker.info.service.clone();
        let details = format!("service={service} address={}", worker.info.address);
        self.log_event(&kinds::WORKER_CRASHED, id, details);
        self.act(Action::CountCrash { service });
    }
}
