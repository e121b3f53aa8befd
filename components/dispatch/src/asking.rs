//! Requests for advice: which of the waiting steps get one of the available calls.
//!
//! Load pattern: a backlog of urgent steps waits for workers that are full, and each would have its
//! tickets renewed for as long as it waits, while the workers of a less urgent step are free. Calls
//! take half a second and an instance makes one at a time, so forty such steps use up a fleet of
//! thirteen instances. So calls go first to steps of which a task could start, and only then to
//! those that wait for capacity.

use std::sync::Arc;

use clock::Millis;
use events::kinds;
use model::Name;
use workload::{AdvicePolicy, JobSpec, OpenStep, StepKey, StepSpec, Worker};

use crate::action::Action;
use crate::advice::{Choice, Prospect, Urge, Want, cost_ms};
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::MOST_SCANS;
use crate::place::Turn;
use crate::seats::{fits, most_more};
use crate::standing::Reach;

/// The part of a ticket's validity by which advice on a step may arrive before the step is likely
/// to open. Declared run times are often too long. Advice that arrives too early costs another
/// call, and advice that arrives too late delays the step by the whole time of the call.
const ADVICE_LEAD: f64 = 0.5;

/// A step whose tasks wait for permission to run somewhere.
pub(crate) struct Need {
    pub(crate) key: StepKey,
    pub(crate) queue: Name,
    pub(crate) policy: AdvicePolicy,
    /// The specification of the step's job.
    pub(crate) job: Arc<JobSpec>,
    /// How many tasks wait, or will.
    pub(crate) tasks: u64,
    /// The workers that may be named.
    pub(crate) reach: Reach,
    /// How many of the reserved instances the call may use.
    pub(crate) urge: Urge,
}

impl Need {
    fn spec(&self) -> &StepSpec {
        &self.job.steps[self.key.step as usize]
    }

    fn want(&self) -> Want<'_> {
        let Need { key, queue, policy, tasks, urge, .. } = self;
        let (policy, tasks, urge, gang) = (*policy, *tasks, *urge, self.spec().gang);
        Want { step: *key, queue, policy, tasks, gang, urge }
    }
}

impl Dispatcher {
    /// Records when advice on the steps that depend on a fully placed one will be needed.
    pub(crate) fn look_ahead(&mut self, m: Moment, entry: OpenStep) {
        if !self.limits.mechanisms.asks_ahead {
            return;
        }
        let Some(job) = self.replicated.job(entry.key.job) else { return };
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

    pub(crate) fn ask_ahead(&mut self, m: Moment, entry: OpenStep) {
        let key = entry.key;
        let Some(job) = self.replicated.job(key.job) else { return };
        let (queue, spec) = (job.queue.clone(), job.spec.clone());
        let Some(policy) = self.advice_of.get(&queue).copied() else { return };
        let tasks = u64::from(spec.steps[key.step as usize].count);
        let (reach, urge) = (Reach::Good, Urge::Usual);
        let need = Need { key, queue, policy, job: spec, tasks, reach, urge };
        if !self.may_scan(m, &need) {
            return;
        }
        let choice = self.choose(m, &need);
        self.call(m, &need, choice);
        self.desk.forget_ahead(&key);
    }

    /// Returns whether this plan may still scan all workers for some to ask about.
    fn may_scan(&self, m: Moment, need: &Need) -> bool {
        let Need { key, policy, urge, .. } = need;
        self.plan_state.scans < MOST_SCANS && self.desk.may_ask(key, policy, *urge, m.now)
    }

    /// Requests advice on a step if its tasks could start on workers that are not known yet.
    /// Otherwise defers the step: steps that wait for capacity would use up all available calls,
    /// however many workers are free for the steps behind them.
    pub(crate) fn ask(&mut self, m: Moment, need: Need) {
        let Need { key, policy, urge, .. } = &need;
        let lacks_caller = self.desk.lacks_caller(key, policy, *urge, m.now);
        if lacks_caller {
            self.desk.note_lack(m.now, key);
        }
        if self.desk.waits_for_room(&need.key) {
            self.plan_state.put_back.push((need, None));
            return;
        }
        if !self.may_scan(m, &need) {
            let Need { key, policy, urge, .. } = &need;
            let lacks_look = self.desk.may_ask(key, policy, *urge, m.now);
            self.plan_state.without_caller += u64::from(lacks_caller);
            self.plan_state.without_look += u64::from(lacks_look);
            return;
        }
        let choice = self.choose(m, &need);
        self.desk.note_room(m.now, &need.want(), choice.has_room);
        // Capacity for an overdue task is reserved on workers that are known to allow it.
        let must_know = need.urge == Urge::Owed && self.desk.allowed(&need.key).next().is_none();
        match choice.has_room || must_know {
            true => self.call(m, &need, choice),
            false => self.plan_state.put_back.push((need, Some(choice))),
        }
    }

    /// Requests tickets for steps that wait for capacity, the most urgent first, with the calls
    /// that the steps that could start have left.
    pub(crate) fn ask_for_waiting(&mut self, m: Moment) {
        for (need, choice) in std::mem::take(&mut self.plan_state.put_back) {
            let choice = match choice {
                Some(choice) => choice,
                None if self.may_scan(m, &need) => self.choose(m, &need),
                None => continue,
            };
            self.call(m, &need, choice);
        }
    }

    /// Returns how many of the reserved instances a call on a step may use.
    pub(crate) fn urge(turn: Turn) -> Urge {
        match turn {
            Turn::Owed => Urge::Owed,
            Turn::Aged => Urge::Aged,
            Turn::Usual => Urge::Usual,
        }
    }

    fn choose(&mut self, m: Moment, need: &Need) -> Choice {
        self.plan_state.scans += 1;
        let prospects = self.prospects(m, need);
        self.desk.choose(m.now, &need.want(), prospects)
    }

    fn call(&mut self, m: Moment, need: &Need, choice: Choice) {
        let Some(ask) = self.desk.call(m.now, &need.want(), choice) else { return };
        let (by, named, tasks) = (&ask.helper, ask.workers.len(), need.tasks);
        self.note(&kinds::ADVICE_ASKED, need.key, format!("by={by} named={named} tasks={tasks}"));
        self.act(Action::Ask(ask));
    }

    /// Returns the workers that a call may name. Iterates over both maps in parallel: looking up
    /// each of 1,100 workers in them, 250 times a second, took most of a plan's time.
    fn prospects(&self, m: Moment, need: &Need) -> Vec<Prospect> {
        let (key, spec) = (&need.key, need.spec());
        let Some(job) = self.replicated.job(key.job) else { return Vec::new() };
        let barred = self.desk.barred(key);
        let mut views = self.views.iter().peekable();
        let mut found = Vec::new();
        for (id, worker) in self.replicated.workers() {
            while views.next_if(|(known, _)| *known < id).is_some() {}
            let Some((_, view)) = views.next_if(|(known, _)| *known == id) else { continue };
            let open = barred.is_none_or(|b| !b.contains(id));
            if open && self.is_suitable(m, need.reach, &job.service, spec, worker, view) {
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
