//! Measures the cost of leases and reports: calls, bytes and CPU time per worker, and memory per task.

use std::collections::BTreeMap;
use std::time::Instant;

use cell::{Job, JobState, Share};
use clock::Millis;
use model::{Epoch, JobKind, JobSpec, Name, Profile, Size};
use testkit::{Recorder, WorkerConfig, WorkerCore};
use upstream::{ListedWorker, SyncReply, SyncRequest, WorkerState};
use zone::{Action, Allocator, AllocatorConfig, Authority};

use crate::figure::{figure, resident_kilobytes};

/// The duration of a worker's lease.
const WORKER_LEASE: Millis = Millis(3_000);
/// The number of tasks that each worker runs.
const TASKS_PER_WORKER: u32 = 18;
/// The numbers of workers to measure. The target has 400 in each of its zones; the others show the slope. The largest
/// comes first, since its memory figure needs a process whose heap has not grown yet.
const WORKERS: [u32; 3] = [400, 200, 100];
/// The simulated time of one measurement, in seconds.
const MEASURED_SECONDS: u64 = 30;
/// The simulated time between two ticks of the allocator, in milliseconds.
const STEP_MS: u64 = 20;

/// An allocator with simulated workers and the cost of their calls so far.
struct Bench {
    allocator: Allocator,
    workers: BTreeMap<Name, WorkerCore>,
    calls: u64,
    bytes: u64,
    allocator_nanos: u64,
    codec_nanos: u64,
}

fn worker_size() -> Size {
    Size::new(32_000, 64_000, 0)
}

fn listed(i: u32) -> ListedWorker {
    ListedWorker {
        name: format!("worker-{i}").as_str().into(),
        zone: "zone-a".into(),
        rack: format!("rack-{}", i / 8).as_str().into(),
        addr: ([127, 0, 0, 1], 1).into(),
        size: worker_size(),
        state: WorkerState::Live,
    }
}

/// Returns a service job that is entirely in this zone.
fn job(number: u32, tasks: u32) -> Job {
    let spec = JobSpec::new(
        &format!("job-with-a-usual-name-{number}"),
        "team",
        JobKind::Service,
        tasks,
        Size::new(1_500, 3_000, 0),
    );
    Job {
        shares: vec![Share { zone: "zone-a".into(), first: 0, count: tasks }],
        spec,
        version: 10,
        created: Millis::ZERO,
        state: JobState::Active,
        done: Default::default(),
        failed: Default::default(),
        claimed: Default::default(),
    }
}

impl Bench {
    fn new(workers: u32) -> Bench {
        let cfg = AllocatorConfig {
            zone: "zone-a".into(),
            epoch: Epoch(1),
            worker_lease: WORKER_LEASE,
            profile: Profile::Packing,
            quotas: BTreeMap::new(),
        };
        let mut allocator = Allocator::new(Millis::ZERO, cfg);
        let list: Vec<ListedWorker> = (0..workers).map(listed).collect();
        allocator.set_workers(Millis::ZERO, &list);
        for number in 0..workers {
            allocator.apply_job(Millis::ZERO, &job(number, TASKS_PER_WORKER));
        }
        let core = |w: &ListedWorker| {
            let cfg = WorkerConfig {
                total: worker_size(),
                boot: 1,
                fails_tasks: false,
                run_percent: 100,
                usage_lag: Millis(1_000),
            };
            let recorder = Recorder::open(&w.name, None).ok()?;
            Some((w.name.clone(), WorkerCore::new(cfg, recorder)))
        };
        let workers = list.iter().filter_map(core).collect();
        Bench { allocator, workers, calls: 0, bytes: 0, allocator_nanos: 0, codec_nanos: 0 }
    }

    /// Ticks the allocator once and delivers the sync calls that it makes.
    fn step(&mut self, now: Millis) {
        let started_at = Instant::now();
        let actions = self.allocator.tick(now, Authority::Full);
        self.allocator_nanos += started_at.elapsed().as_nanos() as u64;
        for action in actions {
            if let Action::Sync { worker, req, .. } = action {
                self.call(now, &worker, &req);
            }
        }
    }

    /// Delivers one sync call and its reply, with the same encoding as on the wire.
    fn call(&mut self, now: Millis, name: &Name, req: &SyncRequest) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let reply = worker.sync(now, req);
        let started_at = Instant::now();
        let sent = serde_json::to_vec(req).unwrap_or_default();
        let answer = serde_json::to_vec(&reply).unwrap_or_default();
        let read = serde_json::from_slice::<SyncReply>(&answer);
        self.codec_nanos += started_at.elapsed().as_nanos() as u64;
        self.calls += 1;
        self.bytes += (sent.len() + answer.len()) as u64;
        let Ok(reply) = read else { return };
        let started_at = Instant::now();
        self.allocator.on_reply(now, name, req.seq, Ok(reply));
        self.allocator_nanos += started_at.elapsed().as_nanos() as u64;
    }

    /// Steps through a number of simulated seconds.
    fn run(&mut self, from: u64, seconds: u64) {
        for step in 0..seconds * 1_000 / STEP_MS {
            self.step(Millis(from + step * STEP_MS));
        }
    }

    /// Resets all counters.
    fn reset(&mut self) {
        (self.calls, self.bytes, self.allocator_nanos, self.codec_nanos) = (0, 0, 0, 0);
    }
}

/// Measures a zone in steady state, in which each worker runs its tasks, and prints the figures.
pub fn run() {
    for workers in WORKERS {
        let before = resident_kilobytes();
        let mut bench = Bench::new(workers);
        bench.run(100, 5);
        let (running, _, _) = bench.allocator.task_counts();
        let tasks = workers * TASKS_PER_WORKER;
        assert_eq!(running, tasks as usize, "every task is placed");
        let memory_growth = resident_kilobytes().saturating_sub(before);
        bench.reset();
        bench.run(10_000, MEASURED_SECONDS);
        let worker_seconds = f64::from(workers) * MEASURED_SECONDS as f64;
        let name = |what: &str| format!("{what}_{workers}_workers");
        let per = |n: u64| n as f64 / worker_seconds;
        figure(&name("lease_calls_per_worker"), per(bench.calls), "per_s");
        figure(&name("lease_bytes_per_worker"), per(bench.bytes), "bytes_per_s");
        let micros = |n: u64| per(n) / 1_000.0;
        figure(&name("lease_allocator_per_worker"), micros(bench.allocator_nanos), "us_per_s");
        figure(&name("lease_codec_per_worker"), micros(bench.codec_nanos), "us_per_s");
        let per_thousand = memory_growth as f64 / f64::from(tasks);
        figure(&name("memory_per_1000_tasks"), per_thousand, "MB");
    }
}
