//! A simulation of allocators and fake workers, with an unreliable network and drifting clocks.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cell::{Cell, Command, Proposal, Reply, Share};
use clock::Millis;
use model::{Epoch, JobKind, JobSpec, Name, Profile, Size, TaskId, ZoneId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use testkit::{Recorder, WorkerConfig, WorkerCore};
use upstream::{ListedWorker, RunningTask, SyncReply, SyncRequest, WorkerState};
use zone::{
    Action, Allocator, AllocatorConfig, AllocatorEvent, Authority, OwnCommitment, PeerCommitments,
    ZoneLease, takeover_delay,
};

pub const WORKER_SIZE: Size = Size { cpu_milli: 4_000, memory_mb: 8_000, accelerators: 0 };
pub const WORKER_LEASE: Millis = Millis(3_000);

pub struct FakeWorker {
    pub name: Name,
    pub core: Option<WorkerCore>,
    pub rate: u64,
    pub fails: bool,
    pub overcommits: u32,
    boots: u64,
}

/// An instance that holds the zone, or believes that it does.
pub struct Holder {
    pub alloc: Allocator,
    pub lease: ZoneLease,
    pub peer_commitments: PeerCommitments,
    pub rate: u64,
    pub frozen: bool,
    /// Whether it is partitioned from the cell.
    pub partitioned: bool,
    /// The number of log entries of the cell that it has applied.
    seen: usize,
    next_confirm_at: Millis,
}

enum Phase {
    Request(SyncRequest),
    Reply(SyncReply),
    /// The message is lost; the caller waits for its timeout.
    Lost,
}

struct Call {
    holder: usize,
    worker: usize,
    seq: u64,
    sent: u64,
    timeout: u64,
    phase: Phase,
}

pub struct World {
    pub rng: StdRng,
    pub now: u64,
    pub cell: Cell,
    pub log: Vec<Command>,
    pub index: u64,
    pub workers: Vec<FakeWorker>,
    pub holders: Vec<Option<Holder>>,
    pub current: usize,
    pub confirmed_at: u64,
    calls: Vec<Call>,
    pub partitioned: BTreeSet<(usize, usize)>,
    pub starts: BTreeMap<RunningTask, u32>,
    pub duplicate_events: usize,
    pub checks: u64,
    /// Whether the holder can reach the zone's other instance, which takes over from it.
    pub peer_reachable: bool,
    own_commitment: OwnCommitment,
    /// The number of ticks with only the authority that the peer's commitment gives.
    pub zone_only_ticks: u64,
    was_running: BTreeMap<RunningTask, usize>,
}

pub fn zone() -> ZoneId {
    ZoneId::from("za")
}

pub fn spec(name: &str, kind: JobKind, tasks: u32, cpu: u64) -> JobSpec {
    JobSpec {
        run_time: if kind == JobKind::Service { Millis::ZERO } else { Millis(2_000) },
        ..JobSpec::new(name, "team", kind, tasks, Size::new(cpu, 500, 0))
    }
}

impl World {
    pub fn new(seed: u64, workers: usize) -> World {
        let mut world = World {
            rng: StdRng::seed_from_u64(seed),
            now: 1_000,
            cell: Cell::default(),
            log: Vec::new(),
            index: 0,
            workers: Vec::new(),
            holders: Vec::new(),
            current: 0,
            confirmed_at: 0,
            calls: Vec::new(),
            partitioned: BTreeSet::new(),
            starts: BTreeMap::new(),
            duplicate_events: 0,
            checks: 0,
            peer_reachable: true,
            own_commitment: OwnCommitment::default(),
            zone_only_ticks: 0,
            was_running: BTreeMap::new(),
        };
        for i in 0..workers {
            let rate = world.rng.random_range(980..=1020);
            let name = Name::from(format!("w{i}").as_str());
            world.workers.push(FakeWorker {
                name,
                core: None,
                rate,
                fails: false,
                overcommits: 0,
                boots: 0,
            });
            world.boot(i);
        }
        world.grant();
        world
    }

    pub fn boot(&mut self, i: usize) {
        let w = &mut self.workers[i];
        if w.core.is_some() {
            return;
        }
        w.boots += 1;
        let cfg = WorkerConfig {
            total: WORKER_SIZE,
            boot: w.boots * 100 + i as u64,
            fails_tasks: w.fails,
            run_percent: 100,
            usage_lag: Millis(1_000),
        };
        w.core = Some(WorkerCore::new(cfg, Recorder::open("w", None).unwrap()));
    }

    pub fn kill_worker(&mut self, i: usize) {
        if let Some(core) = self.workers[i].core.take() {
            self.workers[i].overcommits += core.overcommits();
        }
    }

    fn list(&self) -> Vec<ListedWorker> {
        let listed = |w: &FakeWorker| ListedWorker {
            name: w.name.clone(),
            zone: zone(),
            rack: "r0".into(),
            addr: ([127, 0, 0, 1], 1).into(),
            size: WORKER_SIZE,
            state: WorkerState::Live,
        };
        self.workers.iter().map(listed).collect()
    }

    pub fn commit(&mut self, command: Command) -> Reply {
        self.index += 1;
        let proposal = Proposal { key: None, at: Millis(self.now), command: command.clone() };
        let reply = self.cell.apply(self.index, &proposal);
        if matches!(reply, Reply::Accepted { .. }) {
            self.log.push(command);
        }
        reply
    }

    pub fn create(&mut self, spec: JobSpec) {
        let shares = vec![Share { zone: zone(), first: 0, count: spec.tasks }];
        self.commit(Command::CreateJob { spec, shares });
    }

    /// Grants the zone to a new allocator, which knows the cell's state but no worker report.
    pub fn grant(&mut self) {
        let after = self.cell.zones.epoch(&zone());
        let holder = model::InstanceId::from(format!("i{}", self.holders.len()).as_str());
        self.commit(Command::GrantEpoch { zone: zone(), holder, after });
        let epoch = self.cell.zones.epoch(&zone());
        let rate = self.rng.random_range(980..=1020);
        let now = Millis(self.now * rate / 1000);
        let cfg = AllocatorConfig {
            zone: zone(),
            epoch,
            worker_lease: WORKER_LEASE,
            profile: Profile::Packing,
            quotas: BTreeMap::new(),
        };
        let mut alloc = Allocator::new(now, cfg);
        alloc.set_workers(now, &self.list());
        for job in self.cell.jobs.values() {
            alloc.apply_job(now, job);
        }
        self.current = self.holders.len();
        self.confirmed_at = self.now;
        self.holders.push(Some(Holder {
            alloc,
            lease: ZoneLease::default(),
            peer_commitments: PeerCommitments::default(),
            rate,
            frozen: false,
            partitioned: false,
            seen: self.log.len(),
            next_confirm_at: Millis::ZERO,
        }));
    }

    /// Grants the zone to a new holder if the current one's lease has certainly expired by the leader's clock.
    pub fn take_over_if_due(&mut self) {
        let idle = match &self.holders[self.current] {
            None => true,
            Some(h) => h.partitioned || h.frozen,
        };
        let granted = self.now - self.confirmed_at > takeover_delay().0;
        if idle && granted && self.own_commitment.is_over(Millis(self.now)) {
            self.grant();
        }
    }

    pub fn step(&mut self, millis: u64) {
        self.now += millis;
        for w in &mut self.workers {
            let now = Millis(self.now * w.rate / 1000);
            if let Some(core) = &mut w.core {
                core.tick(now);
            }
        }
        for i in 0..self.holders.len() {
            self.tick_holder(i);
        }
        self.check();
    }

    fn tick_holder(&mut self, i: usize) {
        let Some(mut h) = self.holders[i].take() else { return };
        if !h.frozen {
            let now = Millis(self.now * h.rate / 1000);
            if !h.partitioned {
                self.catch_up(&mut h, now);
                self.confirm(i, &mut h, now);
            }
            self.time_out(i, &mut h, now);
            let right = self.right(i, &mut h, now);
            let owns = h.partitioned || self.cell.zones.epoch(&zone()) == h.alloc.epoch();
            if owns {
                for action in h.alloc.tick(now, right) {
                    self.act(i, &mut h, action);
                }
            }
        }
        self.holders[i] = Some(h);
    }

    fn right(&mut self, i: usize, h: &mut Holder, now: Millis) -> Authority {
        let epoch = h.alloc.epoch();
        if h.lease.holds(now, epoch, self.applied(h)) {
            return Authority::Full;
        }
        let peer = model::InstanceId::from("mate");
        let newest = self.cell.zones.epoch(&zone());
        let asked = self.peer_reachable && i == self.current;
        if asked && self.own_commitment.give(Millis(self.now), epoch, newest) {
            h.peer_commitments.note(epoch, &peer, now);
        }
        match h.peer_commitments.hold(now, epoch, &BTreeSet::from([peer])) {
            true => {
                self.zone_only_ticks += 1;
                Authority::ZoneOnly
            }
            false => Authority::RenewOnly,
        }
    }

    fn applied(&self, h: &Holder) -> u64 {
        if h.seen == self.log.len() { self.index } else { 0 }
    }

    fn confirm(&mut self, i: usize, h: &mut Holder, now: Millis) {
        if i == self.current && now >= h.next_confirm_at {
            h.next_confirm_at = now + Millis(500);
            h.lease.confirm(h.alloc.epoch(), now, self.index);
            self.confirmed_at = self.now;
        }
    }

    fn catch_up(&mut self, h: &mut Holder, now: Millis) {
        while h.seen < self.log.len() {
            let command = self.log[h.seen].clone();
            h.seen += 1;
            match &command {
                Command::CreateJob { spec, .. } => {
                    if let Some(job) = self.cell.jobs.get(&spec.name) {
                        h.alloc.apply_job(now, job);
                    }
                }
                Command::CancelJob { name } => h.alloc.remove_job(now, name),
                Command::EndTasks { ended, .. } => h.alloc.on_tasks_ended(ended),
                Command::ClaimTasks { tasks, epoch, .. } if *epoch == h.alloc.epoch() => {
                    h.alloc.on_tasks_claimed(tasks);
                }
                _ => {}
            }
        }
    }

    fn time_out(&mut self, i: usize, h: &mut Holder, now: Millis) {
        let (late, rest): (Vec<Call>, Vec<Call>) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|c| c.holder == i && self.now - c.sent > c.timeout);
        self.calls = rest;
        for call in late {
            let lost = errors::Error::Refused("no answer in time".into());
            let name = self.workers[call.worker].name.clone();
            h.alloc.on_reply(now, &name, call.seq, Err(lost));
            // The request may still arrive, long after its caller has timed out.
            if matches!(call.phase, Phase::Request(_)) && self.rng.random_range(0..4) == 0 {
                self.calls.push(Call { timeout: 60_000, ..call });
            }
        }
    }

    fn act(&mut self, i: usize, h: &mut Holder, action: Action) {
        match action {
            Action::Sync { worker, req, timeout, .. } => {
                let place = self.workers.iter().position(|w| w.name == worker).unwrap();
                let seq = req.seq;
                self.calls.push(Call {
                    holder: i,
                    worker: place,
                    seq,
                    sent: self.now,
                    timeout: timeout.0,
                    phase: Phase::Request(req),
                });
            }
            Action::Propose(command) if !h.partitioned => {
                self.commit(command);
            }
            Action::Event(AllocatorEvent::DuplicateTask { .. }) => self.duplicate_events += 1,
            _ => {}
        }
    }

    /// Delivers one message in flight, chosen at random.
    pub fn deliver(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let place = self.rng.random_range(0..self.calls.len());
        let call = self.calls.swap_remove(place);
        if self.partitioned.contains(&(call.holder, call.worker)) {
            self.calls.push(Call { phase: Phase::Lost, ..call });
            return;
        }
        match call.phase {
            Phase::Lost => self.calls.push(call),
            Phase::Request(req) => {
                let w = &mut self.workers[call.worker];
                let now = Millis(self.now * w.rate / 1000);
                let Some(core) = &mut w.core else {
                    self.calls.push(Call { phase: Phase::Lost, ..call });
                    return;
                };
                let before: BTreeSet<RunningTask> = core.running().cloned().collect();
                let reply = core.sync(now, &req);
                let after: BTreeSet<RunningTask> = core.running().cloned().collect();
                for started in after.difference(&before) {
                    *self.starts.entry(started.clone()).or_default() += 1;
                }
                self.calls.push(Call { phase: Phase::Reply(reply), ..call });
            }
            Phase::Reply(reply) => {
                let name = self.workers[call.worker].name.clone();
                let Some(h) = self.holders[call.holder].as_mut() else { return };
                if h.frozen {
                    self.calls.push(Call { phase: Phase::Reply(reply), ..call });
                } else {
                    let now = Millis(self.now * h.rate / 1000);
                    h.alloc.on_reply(now, &name, call.seq, Ok(reply));
                }
            }
        }
        self.check();
    }

    /// Checks that no task runs on two workers and that no worker is overcommitted.
    pub fn check(&mut self) {
        self.checks += 1;
        let mut places: BTreeMap<&RunningTask, usize> = BTreeMap::new();
        for (i, w) in self.workers.iter().enumerate() {
            let Some(core) = &w.core else { continue };
            assert!(core.taken().fits(&WORKER_SIZE), "worker {i} is overcommitted");
            for task in core.running() {
                let other = places.insert(task, i);
                assert!(other.is_none(), "{task:?} runs on {i} and {other:?} at {}", self.now);
            }
        }
    }

    pub fn overcommits(&self) -> u32 {
        let live = self.workers.iter().filter_map(|w| w.core.as_ref());
        let past: u32 = self.workers.iter().map(|w| w.overcommits).sum();
        past + live.map(WorkerCore::overcommits).sum::<u32>()
    }

    /// Ends all faults and advances time until `done` holds; panics if it never does.
    pub fn settle(&mut self, what: &str, done: impl Fn(&World) -> bool) {
        self.partitioned.clear();
        self.peer_reachable = true;
        for i in 0..self.workers.len() {
            self.boot(i);
        }
        for h in self.holders.iter_mut().flatten() {
            h.frozen = false;
            h.partitioned = false;
        }
        for _ in 0..6_000 {
            self.step(20);
            let under_way = self.calls.len();
            (0..under_way * 2).for_each(|_| self.deliver());
            self.take_over_if_due();
            if done(self) {
                return;
            }
        }
        let job_lines: Vec<String> = self
            .cell
            .jobs
            .values()
            .map(|j| {
                format!("{} {:?} done {} failed {:?}", j.spec.name, j.state, j.done.len(), j.failed)
            })
            .collect();
        let counts = self.holders[self.current].as_ref().map(|h| h.alloc.task_counts());
        panic!("{what} did not occur: {job_lines:?} {counts:?}");
    }

    pub fn running_of(&self, job: &str) -> BTreeSet<TaskId> {
        let cores = self.workers.iter().filter_map(|w| w.core.as_ref());
        let running = cores.flat_map(|c| c.running().map(|r| r.task.clone()));
        running.filter(|t| t.job.as_str() == job).collect()
    }

    pub fn epoch(&self) -> Epoch {
        self.cell.zones.epoch(&zone())
    }
}

pub fn shared(spec: JobSpec) -> Arc<JobSpec> {
    Arc::new(spec)
}
