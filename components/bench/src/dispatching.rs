//! What a leader's decisions cost, by how many workers there are and how much waits: time passing, and the
//! end of one task with all that follows from it.

use std::sync::Arc;
use std::time::Instant;

use clock::Millis;
use dispatch::{
    Action, Call, Dispatcher, Input, Limits, Moment, Report, Setup, Verb, WorkerAnnouncement,
};
use model::Size;
use workload::{
    AdvicePolicy, Document, End, EndKind, JobId, JobSpec, Policy, PolicyReader, Queue,
    ReplicatedState, Service, StepSpec, TaskKey, WorkerId, WorkerInfo,
};

use crate::figure::figure;

/// Workers, as on the users' sites and at the size two years ahead.
const WORKERS: [usize; 3] = [350, 1_100, 3_200];
/// Tasks that wait without room.
const WAITING: [u32; 3] = [0, 1_000, 50_000];
/// How many tasks each worker runs.
const RUNS_EACH: u32 = 4;
/// How many tasks a job has.
const TASKS: u32 = 10;
/// How many instances call for advice.
const HELPERS: usize = 100;
/// How often each figure is taken.
const TIMES: usize = 200;

struct OneQueue;

impl PolicyReader for OneQueue {
    fn read(&self, _: &str) -> errors::Result<Policy> {
        let queue = Queue {
            name: "q".into(),
            host: "h".into(),
            path_prefix: "/q/".into(),
            service: "s".into(),
            priority: 0,
            max_attempts: 3,
            stretch: 1.5,
            target_latency: Millis(250),
            advice: Some(AdvicePolicy { base_ms: 33.0, per_worker_ms: 0.47, valid: Millis(2_500) }),
            public: false,
        };
        let service = Service { name: "s".into(), checks_capacity: false, max_connections: 64 };
        let (queues, services) = (vec![queue], vec![service]);
        Ok(Policy { queues, services, max_body: 0, organisations: None })
    }
}

/// A dispatcher whose log commits at once and whose workers answer at once.
struct Driven {
    dispatcher: Dispatcher,
    now: Millis,
    jobs: u64,
    /// What runs, in the order of starts.
    running: std::collections::VecDeque<(WorkerId, TaskKey, u32)>,
    /// The number of the last end of each worker.
    ends: std::collections::BTreeMap<WorkerId, u64>,
}

fn spec() -> Arc<JobSpec> {
    let size = Size::new(4_000, 4_000, 0);
    let step = StepSpec { count: TASKS, size, estimate: Millis(1_000), ..StepSpec::default() };
    Arc::new(JobSpec { spec: "text".into(), steps: vec![step], ..JobSpec::default() })
}

impl Driven {
    fn new(workers: usize, waiting: u32) -> Driven {
        let now = Millis(1_000);
        let mut replicated = ReplicatedState::default();
        let document = Document { version: 1, text: "any".into() };
        replicated.apply(&workload::Command::Configure(document));
        let setup =
            Setup { limits: Limits::default(), term: 1, reader: Arc::new(OneQueue), replicated };
        let moment = Moment { now, wall: now, leads_until: Millis(u64::MAX) };
        let dispatcher = Dispatcher::new(setup, moment);
        let (running, ends) = Default::default();
        let mut d = Driven { dispatcher, now, jobs: 0, running, ends };
        let helpers = (0..HELPERS).map(|n| format!("h{n}").as_str().into()).collect();
        d.feed(Input::AdviceCallers(helpers));
        for n in 0..workers {
            d.join(n);
        }
        let jobs = (workers as u32 * RUNS_EACH + waiting) / TASKS;
        for _ in 0..jobs {
            d.submit();
        }
        // Starts under way are bounded, so a full fleet takes several plans.
        for _ in 0..workers * 4 {
            if d.running.len() as u32 >= workers as u32 * RUNS_EACH {
                break;
            }
            d.pass();
        }
        d
    }

    fn feed(&mut self, input: Input) {
        let m = Moment { now: self.now, wall: self.now, leads_until: Millis(u64::MAX) };
        self.dispatcher.handle(m, input);
        self.settle();
    }

    /// Commits what was proposed and answers what was ordered, until nothing more follows.
    fn settle(&mut self) {
        let m = Moment { now: self.now, wall: self.now, leads_until: Millis(u64::MAX) };
        loop {
            let (batch, actions) = self.dispatcher.decide(m);
            if batch.is_none() && actions.is_empty() {
                return;
            }
            if let Some((number, _)) = batch {
                self.dispatcher.handle(m, Input::Committed(number));
            }
            for action in actions {
                match action {
                    Action::Start { worker, order, .. } => {
                        let (task, run) = (order.task, order.run);
                        self.running.push_back((worker.clone(), task, run));
                        let result = Ok(self.now);
                        self.dispatcher.handle(m, Input::Started { worker, task, run, result });
                    }
                    Action::RequestAdvice(ask) => {
                        let ticket = |w: WorkerId| (w, "ticket".into());
                        let allowed = Some(ask.workers.into_iter().map(ticket).collect());
                        let valid = Some(Millis(2_500));
                        self.dispatcher.handle(m, Input::Advised { id: ask.id, valid, allowed });
                    }
                    _ => {}
                }
            }
        }
    }

    fn join(&mut self, n: usize) {
        let id = WorkerId::from(format!("w{n}").as_str());
        let info = WorkerInfo {
            id: id.clone(),
            machine: format!("m{n}").as_str().into(),
            address: format!("w{n}:1").as_str().into(),
            service: "s".into(),
            zone: format!("z{}", n % 5).as_str().into(),
            capacity: Size::new(16_000, 32_000, 0),
            labels: vec!["a".into(), format!("r{}", n / 8).as_str().into()],
        };
        self.feed(Input::Announcement(WorkerAnnouncement {
            info,
            leaving: false,
            remaining: None,
            number: 1,
        }));
        self.report(id, Vec::new());
    }

    fn report(&mut self, worker: WorkerId, ends: Vec<End>) {
        let runs = self.running.iter().filter(|(w, ..)| *w == worker);
        let row = |(_, task, run): &(WorkerId, TaskKey, u32)| dispatch::RunStatus {
            task: *task,
            run: *run,
            checkpoint: Arc::from(""),
            percent: 10,
            usage: None,
        };
        let running = runs.map(row).collect();
        let report = Report { clock: self.now, running, ends };
        let sent_at = self.now;
        self.feed(Input::Renewed { worker, sent_at, result: Ok(report) });
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let path = format!("/q/{}", JobId(self.jobs));
        let verb = Verb::Submit(spec());
        let call = Call::Job { host: "h".into(), path: path.as_str().into(), size: 1, verb };
        self.feed(Input::Call { token: self.jobs, call });
    }

    fn pass(&mut self) {
        self.now += Millis(2);
        self.feed(Input::Tick);
    }

    /// Ends the task that has run for longest.
    fn end_one(&mut self) {
        let Some((worker, task, run)) = self.running.pop_front() else { return };
        let number = self.ends.entry(worker.clone()).or_default();
        *number += 1;
        let end =
            End { number: *number, task, run, kind: EndKind::Done, checkpoint: Arc::from("") };
        self.now += Millis(1);
        self.report(worker, vec![end]);
    }
}

/// Gives the mean time of one go in microseconds.
fn mean_us(mut one: impl FnMut()) -> f64 {
    let began = Instant::now();
    (0..TIMES).for_each(|_| one());
    began.elapsed().as_secs_f64() * 1e6 / TIMES as f64
}

/// Prints the figures.
pub fn run() {
    for workers in WORKERS {
        for waiting in WAITING {
            let mut d = Driven::new(workers, waiting);
            let tick = mean_us(|| d.feed(Input::Tick));
            let end = mean_us(|| d.end_one());
            figure(&format!("dispatch_tick_{workers}_workers_{waiting}_waiting"), tick, "us");
            figure(&format!("dispatch_end_{workers}_workers_{waiting}_waiting"), end, "us");
        }
    }
}
