//! Choosing workers for the tasks that wait.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use events::kinds;
use model::{Name, Size};
use workload::{
    AdvicePolicy, Command, JobSpec, OpenStep, StepKey, StepSpec, TaskKey, Worker, WorkerId,
};

use crate::advice::{Choice, Prospect, Want, cost_ms};
use crate::dispatcher::{Action, Dispatcher, Moment};
use crate::limits::{LOOKS_A_STEP, MOST_LOOKS_AGAIN, MOST_ORDERS, MOST_SCANS};
use crate::seats::{Seated, fits, most_more};
use crate::view::{Order, Stage, View};
use crate::window::Looked;

/// For what part of a ticket's time advice on a step may come before the step is likely to open.
/// Declared run times are often too long, and advice that comes too early costs another call, while
/// advice that comes too late costs its whole time.
const ADVICE_LEAD: f64 = 0.5;

/// A step whose tasks wait for leave to run somewhere.
pub(crate) struct Need {
    key: StepKey,
    queue: Name,
    policy: AdvicePolicy,
    /// What the step's job asks for.
    job: Arc<JobSpec>,
    /// How many tasks wait, or will.
    tasks: u64,
}

impl Need {
    fn spec(&self) -> &StepSpec {
        &self.job.steps[self.key.step as usize]
    }

    fn want(&self) -> Want<'_> {
        let Need { key, queue, policy, tasks, .. } = self;
        Want { step: *key, queue, policy: *policy, tasks: *tasks, gang: self.spec().gang }
    }
}

impl Dispatcher {
    /// Gives out what can be given out, and asks for the advice that is missing. Gives what that took,
    /// in looks at a worker.
    pub(crate) fn plan(&mut self, m: Moment) -> u64 {
        let Looked { mut urgent, mut by_turns, passed_over } = self.look_at(m);
        let steps = (urgent.len() + by_turns.len()) as u64;
        self.looks = passed_over + steps * LOOKS_A_STEP;
        urgent.sort_by_cached_key(|e| self.urgency(m, e));
        by_turns.sort_by_cached_key(|e| self.urgency(m, e));
        self.scans = 0;
        self.without_caller = 0;
        self.kept_free.clear();
        self.rooms_made.clear();
        self.put_back.clear();
        self.desk.begin_plan();
        self.desk.look_again(m.now, urgent.iter().map(|e| &e.key), MOST_LOOKS_AGAIN);
        self.desk.look_again(m.now, by_turns.iter().map(|e| &e.key), by_turns.len());
        let mut orders = self.orders_under_way();
        self.plan_steps(m, urgent, &mut orders);
        // Tickets are kept at hand for those that come first when room does.
        let waiting = self.put_back.len();
        self.plan_steps(m, by_turns, &mut orders);
        self.put_back.truncate(waiting);
        self.ask_for_waiting(m);
        for entry in self.desk.due_ahead(m.now) {
            self.ask_ahead(m, entry);
        }
        self.looks
    }

    /// Chooses the open steps that a plan looks at.
    fn look_at(&mut self, m: Moment) -> Looked {
        let mut window = std::mem::take(&mut self.window);
        let is_due =
            |key: &StepKey| self.book.job(key.job).is_some_and(|j| m.wall >= j.spec.due(key.round));
        let looked = window.next(self.book.open(), is_due);
        self.window = window;
        looked
    }

    /// Places what it can of some steps, and adds the tasks to the starts under way.
    fn plan_steps(&mut self, m: Moment, steps: Vec<OpenStep>, orders: &mut usize) {
        for entry in steps {
            if *orders >= MOST_ORDERS {
                break;
            }
            *orders += self.plan_step(m, entry);
        }
    }

    /// Places what it can of a step; gives how many tasks that were.
    fn plan_step(&mut self, m: Moment, entry: OpenStep) -> usize {
        let key = entry.key;
        let Some(job) = self.book.job(key.job) else { return 0 };
        self.desk.forget_ahead(&key);
        let (queue, job) = (job.queue.clone(), job.spec.clone());
        let spec = &job.steps[key.step as usize];
        let Some(step) = self.book.step(&key) else { return 0 };
        let waiting: Vec<u32> = step.waiting().collect();
        let next_run = step.last_run() + 1;
        let advice = self.advice_of.get(&queue).copied();
        let mut seats = self.seats(m, &key, spec, advice.is_some());
        self.looks += seats.len() as u64;
        let placed = match spec.gang {
            true => self.seat_gang(&key, spec, &waiting, &mut seats),
            false => self.seat_each(&key, spec, &waiting, &mut seats),
        };
        let (found, left) = (placed.len(), waiting.len() - placed.len());
        if !placed.is_empty() {
            self.give_out(m, &key, spec, placed, next_run);
        }
        if left == 0 {
            self.desk.all_placed(&key);
            self.look_ahead(m, entry);
            return found;
        }
        // Before room is kept free: what the step keeps for itself is room for it.
        if let Some(policy) = advice {
            self.ask(m, Need { key, queue, policy, job: job.clone(), tasks: left as u64 });
        }
        self.make_room(m, &key, spec, left, advice.is_some());
        found
    }

    /// Gives a worker if tasks of a step may run there at all.
    pub(crate) fn suitable(
        &self,
        m: Moment,
        key: &StepKey,
        spec: &StepSpec,
        id: &WorkerId,
    ) -> Option<&Worker> {
        let worker = self.book.worker(id)?;
        let view = self.views.get(id)?;
        let job = self.book.job(key.job)?;
        self.is_suitable(m, &job.service, spec, worker, view).then_some(worker)
    }

    /// The same for one who has looked everything up.
    fn is_suitable(
        &self,
        m: Moment,
        service: &Name,
        spec: &StepSpec,
        worker: &Worker,
        view: &View,
    ) -> bool {
        let labelled = spec.constraint.as_ref().is_none_or(|l| worker.info.labels.contains(l));
        let reached = view.is_usable(m.now) && !self.silent_zones.contains(&worker.info.zone);
        reached && worker.info.service == *service && labelled && self.mixes(spec, worker)
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

    /// Gives what the plan under way keeps free on a worker.
    pub(crate) fn kept_free_on(&self, id: &WorkerId) -> Size {
        self.kept_free.get(id).copied().unwrap_or_default()
    }

    /// Gives the room that counts for a step, less what is kept free for more urgent tasks. A filler
    /// takes no processor time from others, but is placed only where some is left for it.
    pub(crate) fn room_for(&self, spec: &StepSpec, worker: &Worker) -> Size {
        let free = worker.free().minus(&self.kept_free_on(&worker.info.id));
        if !spec.filler {
            return free;
        }
        let fillers = worker.runs.keys().filter_map(|k| self.book.step_spec(&k.step));
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
            let own_next = self.book.task(&task).map_or(1, |t| t.run + 1);
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

    /// Notes when advice on the steps behind one that is fully placed will be needed.
    fn look_ahead(&mut self, m: Moment, entry: OpenStep) {
        if !self.limits.mechanisms.asks_ahead {
            return;
        }
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
        let tasks = u64::from(spec.steps[key.step as usize].count);
        let need = Need { key, queue, policy, job: spec, tasks };
        if !self.may_scan(m, &need) {
            return;
        }
        if let Some(choice) = self.choose(m, &need) {
            self.call(m, &need, choice);
        }
        self.desk.forget_ahead(&key);
    }

    /// Tells whether this plan may still look through all workers for some to ask about.
    fn may_scan(&self, m: Moment, need: &Need) -> bool {
        let Need { key, policy, .. } = need;
        self.scans < MOST_SCANS && self.desk.may_ask(key, policy, m.now)
    }

    /// Asks which workers may run a step, if tasks could start on some that are not known yet. Otherwise the
    /// step is put back: steps that wait for room would use up all calls there are, however many workers are
    /// free for the steps behind them.
    fn ask(&mut self, m: Moment, need: Need) {
        if self.desk.waits_for_room(&need.key) {
            self.put_back.push((need, None));
            return;
        }
        if !self.may_scan(m, &need) {
            let lacks_caller = self.desk.lacks_caller(&need.key, &need.policy, m.now);
            self.without_caller += u64::from(lacks_caller);
            return;
        }
        match self.choose(m, &need) {
            Some(choice) if choice.has_room => self.call(m, &need, choice),
            Some(choice) => self.put_back.push((need, Some(choice))),
            None => {}
        }
    }

    /// Has tickets at hand for steps that wait for room, the most urgent first, as far as the steps that
    /// could start have left instances free to make calls.
    fn ask_for_waiting(&mut self, m: Moment) {
        for (need, choice) in std::mem::take(&mut self.put_back) {
            let choice = match choice {
                Some(choice) => Some(choice),
                None if self.may_scan(m, &need) => self.choose(m, &need),
                None => None,
            };
            if let Some(choice) = choice {
                self.call(m, &need, choice);
            }
        }
    }

    fn choose(&mut self, m: Moment, need: &Need) -> Option<Choice> {
        self.scans += 1;
        let prospects = self.prospects(m, &need.key, need.spec());
        self.desk.choose(m.now, &need.want(), prospects)
    }

    fn call(&mut self, m: Moment, need: &Need, choice: Choice) {
        let Some(ask) = self.desk.call(m.now, &need.want(), choice) else { return };
        let (by, named, tasks) = (&ask.helper, ask.workers.len(), need.tasks);
        self.note(&kinds::ADVICE_ASKED, need.key, format!("by={by} named={named} tasks={tasks}"));
        self.act(Action::Ask(ask));
    }

    /// Gives the workers to choose from whom to ask about. Both maps are gone through side by side: looking
    /// each of 1,100 workers up in them, 250 times a second, took most of a plan's time.
    fn prospects(&self, m: Moment, key: &StepKey, spec: &StepSpec) -> Vec<Prospect> {
        let Some(job) = self.book.job(key.job) else { return Vec::new() };
        let barred = self.desk.barred(key);
        let mut views = self.views.iter().peekable();
        let mut found = Vec::new();
        for (id, worker) in self.book.workers() {
            while views.next_if(|(known, _)| *known < id).is_some() {}
            let Some((_, view)) = views.next_if(|(known, _)| *known == id) else { continue };
            let open = barred.is_none_or(|b| !b.contains(id));
            if open && self.is_suitable(m, &job.service, spec, worker, view) {
                found.push(self.prospect(key, spec, worker));
            }
        }
        found
    }

    fn prospect(&self, key: &StepKey, spec: &StepSpec, worker: &Worker) -> Prospect {
        let fits = fits(spec, &self.room_for(spec, worker)).min(most_more(key, spec, worker));
        Prospect { worker: worker.info.id.clone(), fits }
    }
}
