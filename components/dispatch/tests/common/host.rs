//! A worker whose runs take time, come on and keep their progress.

use std::collections::BTreeMap;

use clock::Millis;
use dispatch::{CallError, Refusal, RenewOrder, Report, StartOrder, StopOrder};
use model::Size;
use workload::{EndKind, StepKey, StepSpec, TaskKey, WorkerInfo};

use super::worker::FakeWorker;

/// A run and how far it is.
struct Progress {
    spec: StepSpec,
    /// What the whole of its work takes.
    takes: Millis,
    /// How much of it an earlier run has done, in percent.
    from: u64,
    /// Since when it comes on; the members of a gang wait for each other.
    since: Option<Millis>,
}

impl Progress {
    fn percent(&self, now: Millis) -> u64 {
        let ran = self.since.map_or(Millis::ZERO, |at| now.since(at));
        (self.from + ran.0 * 100 / self.takes.0.max(1)).min(100)
    }
}

/// A renewal that waits at its worker.
struct Held {
    sent_at: Millis,
    answer_at: Millis,
    answer_timeout: Millis,
}

pub struct Host {
    pub info: WorkerInfo,
    pub fake: FakeWorker,
    /// Whether it has said that it leaves.
    pub leaving: bool,
    /// Whether its life is over, so that its connections break at once.
    pub crashed: bool,
    /// Whether another life answers at its address.
    pub replaced: bool,
    /// Whether it fails all it starts.
    pub failing: bool,
    runs: BTreeMap<TaskKey, Progress>,
    held: Option<Held>,
}

impl Host {
    pub fn new(info: WorkerInfo) -> Host {
        let (fake, runs) = (FakeWorker::default(), BTreeMap::new());
        let (leaving, crashed, replaced, failing) = (false, false, false, false);
        Host { info, fake, leaving, crashed, replaced, failing, runs, held: None }
    }

    pub fn used(&self) -> Size {
        self.runs.values().fold(Size::ZERO, |sum, p| sum.plus(&p.spec.required_capacity()))
    }

    pub fn free(&self) -> Size {
        self.info.capacity.minus(&self.used())
    }

    /// Tells whether it could take new work if it was told to, and come on with it.
    pub fn is_usable(&self) -> bool {
        !self.fake.silent && !self.leaving && !self.crashed && !self.failing
    }

    /// Ends its life; gives what ran.
    pub fn crash(&mut self) -> Vec<TaskKey> {
        let lost = self.fake.running.keys().copied().collect();
        self.fake.running.clear();
        self.fake.ends.clear();
        self.runs.clear();
        self.crashed = true;
        self.fake.silent = true;
        lost
    }

    /// Gives the members of gangs that run here.
    pub fn members(&self) -> impl Iterator<Item = StepKey> + '_ {
        self.runs.iter().filter(|(_, p)| p.spec.gang).map(|(key, _)| key.step)
    }

    /// Gives the tasks that last and run here.
    pub fn long_running_tasks(&self) -> impl Iterator<Item = TaskKey> + '_ {
        self.runs.iter().filter(|(_, p)| p.spec.long_running).map(|(key, _)| *key)
    }

    /// Lets runs come on and end; `present` gives how many members of each gang run anywhere.
    pub fn advance_runs(&mut self, now: Millis, present: &BTreeMap<StepKey, u32>) {
        self.fake.lapse(now);
        self.drop_ended();
        let mut over = Vec::new();
        for (key, p) in &mut self.runs {
            let here = present.get(&key.step).copied().unwrap_or(0);
            let complete = !p.spec.gang || here == p.spec.count;
            match (p.since, complete) {
                (None, true) => p.since = Some(now),
                (Some(_), false) => over.push((*key, EndKind::Broken)),
                _ if !p.spec.long_running && p.percent(now) >= 100 => {
                    over.push((*key, EndKind::Done));
                }
                _ => {}
            }
        }
        for (key, kind) in over {
            self.end(now, key, kind);
        }
    }

    /// Ends a run, which keeps its progress if its step says so.
    pub fn end(&mut self, now: Millis, key: TaskKey, kind: EndKind) {
        let progress = self.saved(now, &key);
        let before = self.fake.ends.len();
        self.fake.end(key, kind);
        for end in &mut self.fake.ends[before..] {
            end.checkpoint = progress.as_str().into();
        }
        self.drop_ended();
    }

    fn saved(&self, now: Millis, key: &TaskKey) -> String {
        let kept = self.runs.get(key).filter(|p| p.spec.checkpointing);
        kept.map(|p| p.percent(now).to_string()).unwrap_or_default()
    }

    fn drop_ended(&mut self) {
        let running = &self.fake.running;
        self.runs.retain(|key, _| running.contains_key(key));
    }

    /// Carries out a start; tells whether a run began.
    pub fn start(
        &mut self,
        now: Millis,
        order: &StartOrder,
        spec: StepSpec,
        takes: Millis,
    ) -> Result<bool, Refusal> {
        self.is_this_life()?;
        let holds = |t: &str| t.parse().is_ok_and(|until| now <= Millis(until));
        if !order.ticket.as_deref().is_some_and(holds) {
            return Err(Refusal::Ticket);
        }
        if !self.fake.start(now, order)? {
            return Ok(false);
        }
        let since = (!spec.gang).then_some(now);
        let from = order.checkpoint.parse().unwrap_or(0);
        self.runs.insert(order.task, Progress { spec, takes, from, since });
        Ok(true)
    }

    pub fn stop(&mut self, now: Millis, order: &StopOrder) -> Result<(), Refusal> {
        self.is_this_life()?;
        let progress = self.saved(now, &order.task);
        let before = self.fake.ends.len();
        self.fake.stop(order)?;
        for end in &mut self.fake.ends[before..] {
            end.checkpoint = progress.as_str().into();
        }
        self.drop_ended();
        Ok(())
    }

    fn is_this_life(&self) -> Result<(), Refusal> {
        if self.replaced { Err(Refusal::OtherLife) } else { Ok(()) }
    }

    /// Takes a renewal, which is answered once a run has ended or its wait is over.
    pub fn renew(
        &mut self,
        now: Millis,
        sent_at: Millis,
        order: &RenewOrder,
    ) -> Result<(), Refusal> {
        self.is_this_life()?;
        if !self.fake.silent {
            self.fake.renew(order)?;
        }
        let (answer_at, answer_timeout) = (now + order.wait, order.answer_timeout);
        self.held = Some(Held { sent_at, answer_at, answer_timeout });
        Ok(())
    }

    /// Gives the answer to the renewal that waits, and when that was sent.
    pub fn answer(&mut self, now: Millis) -> Option<(Millis, Result<Report, CallError>)> {
        let held = self.held.as_ref()?;
        let sent_at = held.sent_at;
        if self.replaced {
            // What the life before was asked is no question to this one.
            return Some(self.answered(sent_at, Err(CallError::Refused(Refusal::OtherLife))));
        }
        if self.fake.silent {
            let given_up = self.crashed || now >= held.answer_at + held.answer_timeout;
            return given_up.then(|| self.answered(sent_at, Err(super::NO_ANSWER())));
        }
        if self.fake.ends.is_empty() && now < held.answer_at {
            return None;
        }
        let mut report = self.fake.report(now);
        for row in &mut report.running {
            let percent = self.runs.get(&row.task).map_or(0, |p| p.percent(now));
            row.percent = percent as u32;
            row.checkpoint = self.saved(now, &row.task).as_str().into();
        }
        Some(self.answered(sent_at, Ok(report)))
    }

    fn answered(
        &mut self,
        sent_at: Millis,
        result: Result<Report, CallError>,
    ) -> (Millis, Result<Report, CallError>) {
        self.held = None;
        (sent_at, result)
    }

    /// Forgets the renewal of a leader that is gone.
    pub fn drop_renewal(&mut self) {
        self.held = None;
    }
}
