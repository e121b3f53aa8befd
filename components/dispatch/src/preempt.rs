//! Making room for urgent work by stopping less urgent work that goes on later.

use std::collections::BTreeMap;

use clock::Millis;
use events::kinds;
use model::Size;
use workload::{OpenStep, StepSpec, TaskKey, WorkerId};

use crate::dispatcher::{Dispatcher, Moment};
use crate::limits::{MOST_PREEMPTIONS, NEARLY_DONE_PERCENT, SAVED_WORK};
use crate::seats::Seat;
use crate::view::{Stage, View};

/// The room on workers that is free or is coming free, less what waiting tasks have claimed of it in
/// the plan that is being made.
#[derive(Default)]
pub(crate) struct ComingRoom {
    by_worker: BTreeMap<WorkerId, Size>,
}

/// A run that could be stopped.
struct Victim {
    task: TaskKey,
    run: u32,
    room: Size,
    /// What work is lost by the stop, in thousandths of a core times milliseconds.
    waste: u64,
}

/// The runs to stop on one worker so that a task fits.
struct Choice {
    worker: WorkerId,
    victims: Vec<Victim>,
    waste: u64,
}

impl Dispatcher {
    /// Stops less urgent runs so that tasks of a step that found no room get some soon.
    pub(crate) fn make_room(
        &mut self,
        m: Moment,
        entry: &OpenStep,
        tasks: usize,
        coming: &mut ComingRoom,
    ) {
        let Some(spec) = self.book.step_spec(&entry.key).cloned() else { return };
        if spec.gang || !self.is_worth_stops(&spec) {
            return;
        }
        let Some(job) = self.book.job(entry.key.job) else { return };
        let by_advice = self.advice_of.contains_key(&job.queue);
        let seats = self.seats(m, &entry.key, &spec, by_advice);
        for _ in 0..tasks {
            if self.claim(&spec, &seats, coming) {
                continue;
            }
            let Some(choice) = self.choose_victims(m, entry.priority, &spec, &seats, coming) else {
                return;
            };
            self.stop_victims(&spec, choice, coming);
        }
    }

    /// A stop has to be short against what waits for it.
    fn is_worth_stops(&self, spec: &StepSpec) -> bool {
        spec.long_running || self.limits.stop_takes <= spec.estimate
    }

    /// Claims room that is coming free for one task; tells whether there was any.
    fn claim(&self, spec: &StepSpec, seats: &[Seat], coming: &mut ComingRoom) -> bool {
        for seat in seats {
            let room = self.coming_room(coming, &seat.worker);
            if spec.size.fits(room) {
                *room = room.minus(&spec.size);
                return true;
            }
        }
        false
    }

    fn coming_room<'a>(&self, coming: &'a mut ComingRoom, id: &WorkerId) -> &'a mut Size {
        coming.by_worker.entry(id.clone()).or_insert_with(|| self.free_soon(id))
    }

    /// Gives what a worker has free once the stops that are under way are done.
    fn free_soon(&self, id: &WorkerId) -> Size {
        let Some(worker) = self.book.worker(id) else { return Size::ZERO };
        let ending = worker.runs.keys().filter(|k| self.is_ending(id, k));
        let rooms = ending.filter_map(|k| self.book.step_spec(&k.step)).map(StepSpec::room);
        rooms.fold(worker.free(), |sum, room| sum.plus(&room))
    }

    fn is_ending(&self, id: &WorkerId, task: &TaskKey) -> bool {
        let order = self.views.get(id).and_then(|v| v.orders.get(task));
        let stage = order.map(|o| o.stage);
        order.is_some_and(|o| o.preempted)
            || matches!(stage, Some(Stage::Stopping | Stage::Stopped { .. }))
    }

    /// Finds the worker on which the least work is lost by making room for one task.
    fn choose_victims(
        &self,
        m: Moment,
        priority: u8,
        spec: &StepSpec,
        seats: &[Seat],
        coming: &mut ComingRoom,
    ) -> Option<Choice> {
        let mut best: Option<Choice> = None;
        for seat in seats {
            let room = *self.coming_room(coming, &seat.worker);
            let Some(choice) = self.victims_on(m, priority, spec, &seat.worker, room) else {
                continue;
            };
            if best.as_ref().is_none_or(|b| choice.waste < b.waste) {
                best = Some(choice);
            }
        }
        best
    }

    fn victims_on(
        &self,
        m: Moment,
        priority: u8,
        spec: &StepSpec,
        id: &WorkerId,
        mut room: Size,
    ) -> Option<Choice> {
        let view = self.views.get(id)?;
        let worker = self.book.worker(id)?;
        let runs = worker.runs.iter();
        let mut found: Vec<Victim> =
            runs.filter_map(|(k, run)| self.victim(m, priority, view, k, *run)).collect();
        found.sort_by_key(|v| v.waste);
        let mut victims = Vec::new();
        let mut found = found.into_iter();
        while !spec.size.fits(&room) {
            let victim = found.next()?;
            room = room.plus(&victim.room);
            victims.push(victim);
        }
        let waste = victims.iter().map(|v| v.waste).sum();
        Some(Choice { worker: id.clone(), victims, waste })
    }

    /// Gives a run as a victim if it is less urgent and may be stopped.
    fn victim(
        &self,
        m: Moment,
        priority: u8,
        view: &View,
        task: &TaskKey,
        run: u32,
    ) -> Option<Victim> {
        let job = self.book.job(task.step.job)?;
        let spec = self.book.step_spec(&task.step)?;
        let order = view.orders.get(task).filter(|o| o.run == run)?;
        let steady = matches!(order.stage, Stage::Confirmed { .. }) && !order.preempted;
        let movable = !spec.gang && !spec.long_running && !spec.filler;
        let percent = view.rows.get(task).map_or(0, |r| r.percent);
        let often = self.preemptions.get(task).is_some_and(|n| *n >= MOST_PREEMPTIONS);
        if job.priority <= priority || !steady || !movable || often {
            return None;
        }
        if percent >= NEARLY_DONE_PERCENT {
            return None;
        }
        let age = m.now.since(order.since);
        let lost = if spec.checkpointing { age.min(SAVED_WORK) } else { age };
        let waste = spec.size.cpu_milli * lost.0;
        Some(Victim { task: *task, run, room: spec.room(), waste })
    }

    fn stop_victims(&mut self, spec: &StepSpec, choice: Choice, coming: &mut ComingRoom) {
        let id = choice.worker;
        for victim in choice.victims {
            if let Some(order) =
                self.views.get_mut(&id).and_then(|v| v.orders.get_mut(&victim.task))
            {
                order.preempted = true;
            }
            *self.preemptions.entry(victim.task).or_default() += 1;
            let lost = Millis(victim.waste / 1_000);
            let details = format!("run={} worker={id} lost_core_ms={}", victim.run, lost.0);
            self.note(&kinds::RUN_PREEMPTED, victim.task, details);
            let room = self.coming_room(coming, &id);
            *room = room.plus(&victim.room);
            self.stop_when_committed(id.clone(), victim.task, victim.run);
        }
        let room = self.coming_room(coming, &id);
        *room = room.minus(&spec.size);
    }
}
