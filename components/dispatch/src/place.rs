//! Placement of waiting tasks on workers: one plan examines open steps in order of urgency and
//! starts what it can.

use std::collections::BTreeMap;

use clock::Millis;
use events::kinds;
use model::{Name, Size};
use workload::{Command, Job, OpenStep, StepKey, StepSpec, TaskKey, Worker, WorkerId};

use crate::advice::Urge;
use crate::asking::Need;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{LONG_WAIT, LOOKS_A_STEP, MOST_LOOKS_AGAIN, MOST_ORDERS, MOST_OWED, OWED_TURN};
use crate::seats::Seated;
use crate::standing::Reach;
use crate::view::{Order, Stage, View};
use crate::window::{Looked, Readiness};

/// Which of a step's tasks a plan places, and in which order relative to other steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// Overdue long-running tasks, before all other work.
    Owed,
    /// Tasks of steps that have long lacked a call for advice although half-empty workers may run
    /// them.
    Aged,
    /// All waiting tasks, by urgency.
    Usual,
}

impl Dispatcher {
    /// Starts the tasks that can start, and requests the advice that is missing. Returns the cost
    /// of the plan, in workers examined.
    pub(crate) fn plan(&mut self, m: Moment) -> u64 {
        self.waits.update(m, &self.replicated);
        self.wait_lines.choose(m.now, &self.waits);
        let Looked { mut urgent, mut by_turns, passed_over } = self.look_at(m);
        by_turns.extend(self.long_waiting(m, &urgent, &by_turns));
        let steps = (urgent.len() + by_turns.len()) as u64;
        let lacked_callers = self.plan_state.without_caller > 0;
        self.plan_state.begin(passed_over + steps * LOOKS_A_STEP);
        urgent.sort_by_cached_key(|e| self.urgency(m, e));
        by_turns.sort_by_cached_key(|e| self.urgency(m, e));
        self.find_young_suspects(m);
        self.find_spared(m);
        self.desk.begin_plan(m.now, lacked_callers);
        let owed = self.owed_steps(m);
        self.plan_state.looks += owed.len() as u64 * LOOKS_A_STEP;
        self.desk.look_again(m.now, Urge::Owed, owed.iter().map(|e| &e.key), owed.len());
        self.desk.look_again(m.now, Urge::Usual, urgent.iter().map(|e| &e.key), MOST_LOOKS_AGAIN);
        let rest = by_turns.iter().map(|e| &e.key);
        self.desk.look_again(m.now, Urge::Usual, rest, by_turns.len());
        let aged = self.aged_steps(m, urgent.iter().chain(&by_turns));
        self.favour_aged(m, &aged);
        let mut orders = self.orders_under_way();
        self.plan_steps(m, Turn::Owed, owed, &mut orders);
        let owed_put_back = self.plan_state.put_back.len();
        self.plan_steps(m, Turn::Aged, aged, &mut orders);
        self.plan_steps(m, Turn::Usual, urgent, &mut orders);
        // While some steps were not examined because the plan's budget of scans ran out, as after a
        // burst, those might start, so they come before steps that wait for capacity. Tickets are
        // kept valid only for the steps that get freed capacity first.
        let all_looked_at = self.plan_state.without_look == 0;
        let waiting = if all_looked_at { self.plan_state.put_back.len() } else { owed_put_back };
        self.plan_steps(m, Turn::Usual, by_turns, &mut orders);
        self.plan_state.put_back.truncate(waiting);
        self.ask_for_waiting(m);
        for entry in self.desk.due_ahead(m.now) {
            if self.is_at_limit(&entry.key) {
                continue;
            }
            self.ask_ahead(m, entry);
        }
        self.tell_other_waits(m);
        self.plan_state.looks
    }

    /// Selects the open steps that a plan examines.
    fn look_at(&mut self, m: Moment) -> Looked {
        let mut window = std::mem::take(&mut self.window);
        let readiness = |key: &StepKey| {
            let is_due = |j: &Job| m.wall >= j.spec.due(key.round);
            match self.replicated.job(key.job).is_some_and(is_due) {
                false => Readiness::NotDue,
                true if self.is_at_limit(key) => Readiness::AtLimit,
                true => Readiness::MayStart,
            }
        };
        let looked = window.next(self.replicated.open(), readiness);
        self.window = window;
        looked
    }

    /// Returns the first steps with long-waiting, long-running tasks that this plan would not
    /// examine otherwise. They are examined however many steps precede them.
    fn long_waiting(&self, m: Moment, urgent: &[OpenStep], by_turns: &[OpenStep]) -> Vec<OpenStep> {
        let waits = self.waits.steps().filter(|(_, since)| m.now.since(*since) >= LONG_WAIT);
        let mut waits: Vec<(Millis, StepKey)> = waits.map(|(key, at)| (at, *key)).collect();
        waits.sort_unstable();
        let entries = waits.into_iter().filter_map(|(_, key)| self.open_step(key));
        let is_new = |e: &OpenStep| !urgent.contains(e) && !by_turns.contains(e);
        entries.filter(is_new).filter(|e| !self.is_at_limit(&e.key)).take(MOST_OWED).collect()
    }

    /// Returns a step with its position among the waiting steps.
    fn open_step(&self, key: StepKey) -> Option<OpenStep> {
        let job = self.replicated.job(key.job)?;
        Some(OpenStep { priority: job.priority, order: job.order, key })
    }

    /// Returns the steps with overdue long-running tasks, as many as a plan places first. If there
    /// are more, they rotate after a fixed time, so that steps that can start nowhere do not block
    /// the others.
    ///
    /// Load pattern: a backlog of smaller tasks, more and less urgent ones, takes all capacity as
    /// it is freed and all calls for advice. A long-running task needs little and waits once in a
    /// while, but never gets both at the same time.
    fn owed_steps(&self, m: Moment) -> Vec<OpenStep> {
        let owed = self.waits.owed_steps(m.now).filter(|(key, _)| !self.is_at_limit(key));
        let mut owed: Vec<(Millis, StepKey)> = owed.map(|(k, at)| (at, *k)).collect();
        owed.sort_unstable();
        if owed.len() > MOST_OWED {
            let turns = (m.now.0 / OWED_TURN.0) as usize;
            let first = turns * (MOST_OWED / 2) % owed.len();
            owed.rotate_left(first);
            owed.truncate(MOST_OWED);
        }
        owed.into_iter().filter_map(|(_, key)| self.open_step(key)).collect()
    }

    /// Places what it can of some steps, and adds the placed tasks to the starts in flight.
    fn plan_steps(&mut self, m: Moment, turn: Turn, steps: Vec<OpenStep>, orders: &mut usize) {
        for entry in steps {
            if *orders >= MOST_ORDERS {
                break;
            }
            *orders += self.plan_step(m, turn, entry);
        }
    }

    /// Places what it can of a step. Returns how many tasks were placed.
    fn plan_step(&mut self, m: Moment, turn: Turn, entry: OpenStep) -> usize {
        let key = entry.key;
        let Some(job) = self.replicated.job(key.job) else { return 0 };
        self.desk.forget_ahead(&key);
        let (queue, job) = (job.queue.clone(), job.spec.clone());
        let spec = &job.steps[key.step as usize];
        let Some(step) = self.replicated.step(&key) else { return 0 };
        // The members of a gang start to wait at the same time, so all of them are eligible or none
        // is.
        let is_meant = |index: &u32| {
            turn != Turn::Owed || self.waits.is_owed(m.now, &TaskKey { step: key, index: *index })
        };
        let next_run = step.last_run() + 1;
        let meant: Vec<u32> = step.waiting().filter(is_meant).collect();
        let meant = self.within_limit(&key, spec, meant);
        let allowed_count = meant.len();
        let waiting = self.may_start(m, &key, spec, meant);
        let held_back = allowed_count - waiting.len();
        if held_back > 0 {
            self.ask_for_signs_of_life(m, &key);
        }
        if waiting.is_empty() {
            self.tell_wait(m, &key, true);
            return 0;
        }
        let advice = self.advice_of.get(&queue).copied();
        let reach = self.reach(m, &key, spec, turn, advice.is_some());
        let mut seats = self.seats(m, reach, &key, spec, advice.is_some());
        self.plan_state.looks += seats.len() as u64;
        let placed = match spec.gang {
            true => self.seat_gang(&key, spec, &waiting, &mut seats),
            false => self.seat_each(&key, spec, &waiting, &mut seats),
        };
        let (found, left) = (placed.len(), waiting.len() - placed.len());
        if !placed.is_empty() {
            self.give_out(m, &key, spec, placed, next_run);
        }
        // The step may use the capacity that is reserved from here on, so its wait is logged before
        // that.
        self.tell_wait(m, &key, true);
        if left == 0 && held_back > 0 {
            // The suspects that are held back may start as soon as the others seem healthy, so
            // their tickets are requested ahead.
            if let Some(policy) = advice {
                let (tasks, urge) = (held_back as u64, Dispatcher::urge(turn));
                self.ask(m, Need { key, queue, policy, job, tasks, reach, urge });
            }
            return found;
        }
        if left == 0 && turn == Turn::Owed {
            return found;
        }
        if left == 0 {
            self.desk.all_placed(&key);
            self.look_ahead(m, entry);
            return found;
        }
        // This precedes the reservation, because capacity that the step reserves is free for the
        // step itself.
        if let Some(policy) = advice {
            let (job, tasks, urge) = (job.clone(), left as u64, Dispatcher::urge(turn));
            self.ask(m, Need { key, queue, policy, job, tasks, reach, urge });
        }
        self.make_room(m, reach, &key, spec, left, turn);
        found
    }

    /// Returns the worker if tasks of a step may run there, whatever capacity it has free.
    pub(crate) fn suitable(
        &self,
        m: Moment,
        reach: Reach,
        key: &StepKey,
        spec: &StepSpec,
        id: &WorkerId,
    ) -> Option<&Worker> {
        let worker = self.replicated.worker(id)?;
        let view = self.views.get(id)?;
        let job = self.replicated.job(key.job)?;
        self.is_suitable(m, reach, &job.service, spec, worker, view).then_some(worker)
    }

    /// Returns whether tasks of a step may run on a worker, for a caller that has looked up the
    /// service, the worker and its view.
    pub(crate) fn is_suitable(
        &self,
        m: Moment,
        reach: Reach,
        service: &Name,
        spec: &StepSpec,
        worker: &Worker,
        view: &View,
    ) -> bool {
        let labelled = spec.constraint.as_ref().is_none_or(|l| worker.info.labels.contains(l));
        let sought = worker.info.service == *service && labelled;
        sought && self.reaches(m, reach, worker, view) && self.mixes(spec, worker)
    }

    /// Returns whether another worker than `not_on` has capacity for a task of a step and may run
    /// it.
    pub(crate) fn has_room_elsewhere(&self, m: Moment, key: &StepKey, not_on: &WorkerId) -> bool {
        let Some(job) = self.replicated.job(key.job) else { return false };
        let spec = &job.spec.steps[key.step as usize];
        let by_advice = self.advice_of.contains_key(&job.queue);
        let takes = |id: &WorkerId| {
            let allowed = !by_advice || self.desk.is_allowed(key, id);
            let worker = if allowed { self.suitable(m, Reach::Good, key, spec, id) } else { None };
            worker.is_some_and(|w| spec.size.fits(&self.room_for(spec, w)))
        };
        self.views.keys().any(|id| id != not_on && takes(id))
    }

    /// Returns whether a step may run beside the tasks that a worker runs. Fillers disturb tasks
    /// with a target latency, so the two are kept apart.
    pub(crate) fn mixes(&self, spec: &StepSpec, worker: &Worker) -> bool {
        let has_target = spec.target_latency > Millis::ZERO;
        if !spec.filler && !has_target {
            return true;
        }
        let others = worker.runs.keys().filter_map(|k| self.replicated.step_spec(&k.step));
        let mut others = others.filter(|o| match spec.filler {
            true => o.target_latency > Millis::ZERO,
            false => o.filler,
        });
        others.next().is_none()
    }

    /// Returns the capacity that the current plan reserves on a worker.
    pub(crate) fn kept_free_on(&self, id: &WorkerId) -> Size {
        self.plan_state.kept_free.get(id).copied().unwrap_or_default()
    }

    /// Returns the free capacity of a worker that counts for a step, less what is reserved for more
    /// urgent tasks. A filler takes no processor time from other tasks, but is placed only where
    /// some is left for it.
    pub(crate) fn room_for(&self, spec: &StepSpec, worker: &Worker) -> Size {
        let free = worker.free().minus(&self.kept_free_on(&worker.info.id));
        if !spec.filler {
            return free;
        }
        let fillers = worker.runs.keys().filter_map(|k| self.replicated.step_spec(&k.step));
        let taken: u64 = fillers.filter(|o| o.filler).map(|o| o.size.cpu_milli).sum();
        Size { cpu_milli: free.cpu_milli.saturating_sub(taken), ..free }
    }

    fn give_out(
        &mut self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
        placed: Vec<Seated>,
        next_run: u32,
    ) {
        let mut by_worker: BTreeMap<WorkerId, Vec<(TaskKey, u32)>> = BTreeMap::new();
        for Seated { index, worker, ticket } in placed {
            let task = TaskKey { step: *key, index };
            let own_next = self.replicated.task(&task).map_or(1, |t| t.run + 1);
            let run = if spec.gang { next_run } else { own_next };
            let order = Order {
                run,
                stage: Stage::Held,
                retry_at: None,
                tries: 0,
                since: m.now,
                sent_at: m.now,
                ticket,
            };
            if let Some(view) = self.views.get_mut(&worker) {
                view.orders.insert(task, order);
            }
            self.note_placed(&worker, &task);
            by_worker.entry(worker).or_default().push((task, run));
        }
        for (worker, runs) in by_worker {
            for (task, run) in &runs {
                self.note(&kinds::RUN_PLACED, task, format!("run={run} worker={worker}"));
            }
            self.propose(Command::Started { worker: worker.clone(), runs: runs.clone() });
            for (task, run) in runs {
                self.start_when_committed(worker.clone(), task, run);
            }
        }
    }
}
