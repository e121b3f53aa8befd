//! Choosing workers for the tasks that wait.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use events::kinds;
use model::{Name, Size};
use workload::{AdvicePolicy, Command, OpenStep, StepKey, StepSpec, TaskKey, Worker, WorkerId};

use crate::advice::{Prospect, Want, cost_ms};
use crate::dispatcher::{Action, Dispatcher, Moment};
use crate::view::{Order, Stage};

/// The most open steps that are looked at in one go, the most urgent first. It bounds the time that
/// a decision takes when far more waits than can run.
const MOST_STEPS: usize = 200;
/// What a worker on which a task has failed is worse by than one that is filled to the brim.
const AVOID_PENALTY: f64 = 10.0;
/// What a worker is worse by for each run that has just failed there.
const FAIL_PENALTY: f64 = 3.0;
/// What a worker far from the task's data is worse by.
const FAR_PENALTY: f64 = 5.0;
/// For what part of a ticket's time advice on a step may come before the step is likely to open.
/// Declared run times are often too long, and advice that comes too early costs another call, while
/// advice that comes too late costs its whole time.
const ADVICE_LEAD: f64 = 0.5;

/// A worker that could take tasks of a step.
#[derive(Clone)]
struct Seat {
    worker: WorkerId,
    capacity: Size,
    free: Size,
    /// How many tasks of the step are there.
    here: u32,
    near: bool,
    rack: Option<Name>,
    ticket: Option<Name>,
    /// How many runs have failed there since the last one that was done.
    fails: u32,
}

impl Seat {
    fn fits(&self, room: &Size, spec: &StepSpec) -> bool {
        let crowded = spec.max_per_worker > 0 && self.here >= spec.max_per_worker;
        !crowded && room.fits(&self.free)
    }

    /// Gives how badly a task sits here: how full the worker would be. Tasks use more than they
    /// declare, so crowded ones hold each other up, and a lost worker takes less with it.
    fn cost(&self, room: &Size, spec: &StepSpec, avoided: bool) -> f64 {
        let left = self.free.minus(room);
        let part = |left: u64, of: u64| left as f64 / of.max(1) as f64;
        let mut cost = 2.0
            - part(left.cpu_milli, self.capacity.cpu_milli)
            - part(left.memory_mb, self.capacity.memory_mb);
        cost += FAIL_PENALTY * f64::from(self.fails);
        if avoided {
            cost += AVOID_PENALTY;
        }
        if spec.rack.is_some() && !self.near {
            cost += FAR_PENALTY;
        }
        cost
    }
}

impl Dispatcher {
    /// Gives out what can be given out, and asks for the advice that is missing. Gives how many steps
    /// were looked at.
    pub(crate) fn plan(&mut self, m: Moment) -> u64 {
        let open: Vec<OpenStep> = self.book.open().iter().take(MOST_STEPS).copied().collect();
        let looked_at = open.len() as u64;
        for entry in open {
            self.plan_step(m, entry);
        }
        for entry in self.desk.due_ahead(m.now) {
            self.ask_ahead(m, entry);
        }
        looked_at
    }

    fn plan_step(&mut self, m: Moment, entry: OpenStep) {
        let key = entry.key;
        let Some(job) = self.book.job(key.job) else { return };
        if m.wall < job.spec.due(key.round) {
            return;
        }
        self.desk.forget_ahead(&key);
        let (queue, spec) = (job.queue.clone(), job.spec.clone());
        let spec = &spec.steps[key.step as usize];
        let Some(step) = self.book.step(&key) else { return };
        let waiting: Vec<u32> = step.waiting().collect();
        let next_run = step.last_run() + 1;
        let advice = self.advice_of.get(&queue).copied();
        let mut seats = self.seats(m, &key, spec, advice.is_some());
        let placed = match spec.gang {
            true => self.seat_gang(&key, spec, &waiting, &mut seats),
            false => self.seat_each(&key, spec, &waiting, &mut seats),
        };
        let left = waiting.len() - placed.len();
        if !placed.is_empty() {
            self.give_out(m, &key, spec, placed, next_run);
        }
        match advice {
            Some(policy) if left > 0 => self.ask(m, &key, &queue, policy, spec, left as u64),
            _ if left == 0 => self.look_ahead(m, entry),
            _ => {}
        }
    }

    /// Gives the workers that may take tasks of a step now.
    fn seats(&self, m: Moment, key: &StepKey, spec: &StepSpec, by_ticket: bool) -> Vec<Seat> {
        let seat = |id: &WorkerId, ticket: Option<Name>| {
            let worker = self.suitable(m, key, spec, id)?;
            let near = spec.rack.as_ref().is_some_and(|r| worker.info.labels.contains(r));
            Some(Seat {
                worker: id.clone(),
                capacity: worker.info.capacity,
                free: self.room_for(spec, worker),
                here: worker.runs.keys().filter(|k| k.step == *key).count() as u32,
                near,
                rack: worker.info.labels.last().cloned(),
                ticket,
                fails: self.views.get(id).map_or(0, |v| v.record.recent_fails()),
            })
        };
        match by_ticket {
            true => {
                let tickets = self.desk.tickets(key, m.now);
                tickets.filter_map(|(id, text)| seat(id, Some(text.clone()))).collect()
            }
            false => self.views.keys().filter_map(|id| seat(id, None)).collect(),
        }
    }

    /// Gives a worker if tasks of a step may run there at all.
    fn suitable(
        &self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
        id: &WorkerId,
    ) -> Option<&Worker> {
        let worker = self.book.worker(id)?;
        let view = self.views.get(id)?;
        let job = self.book.job(key.job)?;
        let labelled = spec.constraint.as_ref().is_none_or(|l| worker.info.labels.contains(l));
        let fits_in = self.mixes(spec, worker);
        let ok = view.is_usable(m.now) && worker.info.service == job.service && labelled && fits_in;
        ok.then_some(worker)
    }

    /// Tells whether some other worker has room for a task of a step, and may run it.
    pub(crate) fn has_room_elsewhere(&self, m: Moment, key: &StepKey, not_on: &WorkerId) -> bool {
        let Some(job) = self.book.job(key.job) else { return false };
        let spec = &job.spec.steps[key.step as usize];
        let by_advice = self.advice_of.contains_key(&job.queue);
        let takes = |id: &WorkerId| {
            let allowed = !by_advice || self.desk.is_allowed(key, id);
            let worker = if allowed { self.suitable(m, key, spec, id) } else { None };
            worker.is_some_and(|w| spec.size.fits(&self.room_for(spec, w)))
        };
        self.views.keys().any(|id| id != not_on && takes(id))
    }

    /// Tells whether a step may run beside what a worker runs: fillers disturb tasks that keep a
    /// target latency, so the two are kept apart.
    fn mixes(&self, spec: &StepSpec, worker: &Worker) -> bool {
        let has_target = spec.target_latency > Millis::ZERO;
        if !spec.filler && !has_target {
            return true;
        }
        let others = worker.runs.keys().filter_map(|k| self.book.step_spec(&k.step));
        let mut others = others.filter(|o| match spec.filler {
            true => o.target_latency > Millis::ZERO,
            false => o.filler,
        });
        others.next().is_none()
    }

    /// Gives the room that counts for a step. A filler takes no processor time from others, but is
    /// placed only where some is left for it.
    fn room_for(&self, spec: &StepSpec, worker: &Worker) -> Size {
        let free = worker.free();
        if !spec.filler {
            return free;
        }
        let fillers = worker.runs.keys().filter_map(|k| self.book.step_spec(&k.step));
        let taken: u64 = fillers.filter(|o| o.filler).map(|o| o.size.cpu_milli).sum();
        Size { cpu_milli: free.cpu_milli.saturating_sub(taken), ..free }
    }

    fn seat_each(
        &self,
        key: &StepKey,
        spec: &StepSpec,
        waiting: &[u32],
        seats: &mut [Seat],
    ) -> Vec<(u32, WorkerId, Option<Name>)> {
        let mut placed = Vec::new();
        for index in waiting {
            let task = TaskKey { step: *key, index: *index };
            let Some(seat) = self.best_seat(&task, spec, seats) else { break };
            placed.push((*index, seat.worker.clone(), seat.ticket.clone()));
        }
        placed
    }

    /// Takes the best seat for a task.
    fn best_seat<'a>(
        &self,
        task: &TaskKey,
        spec: &StepSpec,
        seats: &'a mut [Seat],
    ) -> Option<&'a Seat> {
        // A filler, too, looks for processor time where it is placed.
        let room = spec.size;
        let avoid = self.avoid.get(task);
        let avoided = |s: &Seat| avoid.is_some_and(|a| a.contains(&s.worker));
        let fitting = seats.iter_mut().filter(|s| s.fits(&room, spec));
        let best = fitting.min_by(|a, b| {
            let (a, b) = (a.cost(&room, spec, avoided(a)), b.cost(&room, spec, avoided(b)));
            a.total_cmp(&b)
        })?;
        best.free = best.free.minus(&room);
        best.here += 1;
        Some(best)
    }

    /// Seats a whole gang or nobody, on one rack where that matters and can be had.
    fn seat_gang(
        &self,
        key: &StepKey,
        spec: &StepSpec,
        waiting: &[u32],
        seats: &mut [Seat],
    ) -> Vec<(u32, WorkerId, Option<Name>)> {
        if spec.same_rack {
            let racks: BTreeSet<Name> = seats.iter().filter_map(|s| s.rack.clone()).collect();
            for rack in racks {
                let on_rack = |s: &&Seat| s.rack.as_ref() == Some(&rack);
                let mut some: Vec<Seat> = seats.iter().filter(on_rack).cloned().collect();
                let placed = self.seat_each(key, spec, waiting, &mut some);
                if placed.len() == waiting.len() {
                    return placed;
                }
            }
        }
        let placed = self.seat_each(key, spec, waiting, seats);
        if placed.len() == waiting.len() { placed } else { Vec::new() }
    }

    fn give_out(
        &mut self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
        placed: Vec<(u32, WorkerId, Option<Name>)>,
        next_run: u32,
    ) {
        let mut by_worker: BTreeMap<WorkerId, Vec<(TaskKey, u32)>> = BTreeMap::new();
        for (index, worker, ticket) in placed {
            let task = TaskKey { step: *key, index };
            let own_next = self.book.task(&task).map_or(1, |t| t.run + 1);
            let run = if spec.gang { next_run } else { own_next };
            let order =
                Order { run, stage: Stage::Held, retry_at: None, tries: 0, since: m.now, ticket };
            if let Some(view) = self.views.get_mut(&worker) {
                view.orders.insert(task, order);
            }
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
        self.placed_at.insert(*key, m.now);
    }

    /// Notes when advice on the steps behind one that is fully placed will be needed.
    fn look_ahead(&mut self, m: Moment, entry: OpenStep) {
        let Some(job) = self.book.job(entry.key.job) else { return };
        let Some(policy) = self.advice_of.get(&job.queue).copied() else { return };
        let spec = job.spec.clone();
        let round = &job.rounds[entry.key.round as usize];
        let under_way = |d: &u32| round.steps[*d as usize].waiting().next().is_none();
        let mut ahead = Vec::new();
        for (step, s) in (0..).zip(&spec.steps) {
            if !s.depends_on.contains(&entry.key.step) || !s.depends_on.iter().all(under_way) {
                continue;
            }
            let estimate = spec.steps[entry.key.step as usize].estimate;
            let cost = cost_ms(&policy, s.count.min(30) as usize);
            let lead = policy.valid.0 as f64 * ADVICE_LEAD;
            let at = (m.now + estimate).since(Millis((cost + lead) as u64));
            ahead.push((at, OpenStep { key: StepKey { step, ..entry.key }, ..entry }));
        }
        for (at, entry) in ahead {
            self.desk.plan_ahead(at, entry);
        }
    }

    fn ask_ahead(&mut self, m: Moment, entry: OpenStep) {
        let key = entry.key;
        let Some(job) = self.book.job(key.job) else { return };
        let (queue, spec) = (job.queue.clone(), job.spec.clone());
        let Some(policy) = self.advice_of.get(&queue).copied() else { return };
        if !self.desk.may_ask(&key, &policy, m.now) {
            return;
        }
        let spec = &spec.steps[key.step as usize];
        self.ask(m, &key, &queue, policy, spec, u64::from(spec.count));
        self.desk.forget_ahead(&key);
    }

    /// Asks which workers may run a step, if some with room are not known yet.
    fn ask(
        &mut self,
        m: Moment,
        key: &StepKey,
        queue: &Name,
        policy: AdvicePolicy,
        spec: &StepSpec,
        tasks: u64,
    ) {
        if !self.desk.may_ask(key, &policy, m.now) {
            return;
        }
        let prospects: Vec<Prospect> = self
            .views
            .keys()
            .filter(|id| !self.desk.is_barred(key, id))
            .filter_map(|id| self.prospect(m, key, spec, id))
            .collect();
        let want = Want { step: *key, queue, policy, tasks };
        if let Some(ask) = self.desk.ask(m.now, &want, prospects) {
            let (by, named) = (&ask.helper, ask.workers.len());
            self.note(&kinds::ADVICE_ASKED, key, format!("by={by} named={named} tasks={tasks}"));
            self.act(Action::Ask(ask));
        }
    }

    fn prospect(
        &self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
        id: &WorkerId,
    ) -> Option<Prospect> {
        let worker = self.suitable(m, key, spec, id)?;
        let free = self.room_for(spec, worker);
        let per = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        let mut fits = per(free.cpu_milli, spec.size.cpu_milli)
            .min(per(free.memory_mb, spec.size.memory_mb))
            .min(per(free.accelerators, spec.size.accelerators));
        if spec.max_per_worker > 0 {
            let here = worker.runs.keys().filter(|k| k.step == *key).count() as u64;
            fits = fits.min(u64::from(spec.max_per_worker).saturating_sub(here));
        }
        Some(Prospect { worker: id.clone(), fits })
    }
}
