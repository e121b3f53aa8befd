//! A stand-in for a worker of the users' platform, written from its published pages: it starts, stops
//! and lists runs under a lease, keeps out lower fences, and announces itself.
//!
//! When it crashes, another life follows, which holds and knows nothing of the one before. It bears a new id, or, where
//! the worker keeps its id, the same one: then it says when it was born, and its counts and its clock begin anew.
//! Connections end with the life that they were made to.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Wire, call, read_wire, write_wire};
use crate::proxy::Proxy;
use crate::run_log::{RunLog, RunRecord};

/// How long an announcement may take to be acknowledged.
const ACK_LIMIT: Duration = Duration::from_secs(1);
/// How long a worker is down after it has crashed.
const DOWN: Duration = Duration::from_millis(500);

struct Run {
    number: u64,
    ends_at: Instant,
    /// When it ends the worker's life, if it does.
    crashes_at: Option<Instant>,
    /// Whether it fails in the end, as its job's text may ask for.
    fails: bool,
    cpu: u64,
    record: usize,
}

/// One life of a worker.
struct Inside {
    /// How many lives there were before this one.
    life: u32,
    /// When it began, by the worker's steady clock.
    began: Instant,
    /// When it began, in milliseconds since 1970.
    born: u64,
    /// Until when the worker is down.
    down_until: Option<Instant>,
    /// Whether it has said that it leaves.
    leaving: bool,
    /// What the worker has, in thousandths of a core.
    cpu: u64,
    /// What its next life will have.
    next_cpu: u64,
    fence: u64,
    lease: u64,
    running: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or has ended.
    closed: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_number: u64,
    overcommits: usize,
    crashes: usize,
}

impl Inside {
    /// The first life of a worker.
    fn first(cpu: u64) -> Inside {
        Inside {
            life: 0,
            began: Instant::now(),
            born: wall_ms(),
            down_until: None,
            leaving: false,
            cpu,
            next_cpu: cpu,
            fence: 0,
            lease: 0,
            running: BTreeMap::new(),
            closed: BTreeMap::new(),
            finished: Vec::new(),
            last_number: 0,
            overcommits: 0,
            crashes: 0,
        }
    }

    /// The life after this one, which begins once the worker has been down for a while.
    fn next(&self, down: Duration) -> Inside {
        let began = Instant::now() + down;
        Inside {
            life: self.life + 1,
            began,
            // Two lives never begin in the same millisecond.
            born: (wall_ms() + down.as_millis() as u64).max(self.born + 1),
            down_until: Some(began),
            overcommits: self.overcommits,
            crashes: self.crashes + 1,
            ..Inside::first(self.next_cpu)
        }
    }

    /// Gives the worker's clock, which begins anew with each life.
    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// What a worker has, and how its runs go.
#[derive(Clone, Debug)]
pub struct PlatformWorkerConfig {
    /// Its id.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Thousandths of a core.
    pub cpu: u64,
    /// How long every run takes.
    pub work: Duration,
    /// Whether each of its lives bears the same id, and says when it was born.
    pub keeps_id: bool,
}

struct Shared {
    cfg: PlatformWorkerConfig,
    addr: SocketAddr,
    proxy: Proxy,
    inside: Mutex<Inside>,
    changed: Condvar,
    /// The connections to the life under way.
    streams: Mutex<Vec<TcpStream>>,
    log: RunLog,
    stop: AtomicBool,
}

/// A running stand-in. It ends with the last of its clones.
#[derive(Clone)]
pub struct PlatformWorker(Arc<Handle>);

/// Ends the stand-in's threads once nobody has it any more.
struct Handle(Arc<Shared>);

impl PlatformWorker {
    /// Starts a worker that announces itself to the control addresses.
    ///
    /// # Errors
    /// If no port can be had.
    pub fn start(
        cfg: PlatformWorkerConfig,
        controls: Vec<SocketAddr>,
        log: RunLog,
    ) -> std::io::Result<PlatformWorker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            addr,
            proxy: Proxy::start(addr)?,
            inside: Mutex::new(Inside::first(cfg.cpu)),
            changed: Condvar::new(),
            streams: Mutex::default(),
            cfg,
            log,
            stop: AtomicBool::new(false),
        });
        let (serving, beating, living) = (shared.clone(), shared.clone(), shared.clone());
        thread::spawn(move || accept(&listener, &serving));
        thread::spawn(move || announce(&beating, &controls));
        thread::spawn(move || live(&living));
        Ok(PlatformWorker(Arc::new(Handle(shared))))
    }

    /// Gives the proxy that stands between the worker and everybody who calls it.
    pub fn proxy(&self) -> &Proxy {
        &self.0.0.proxy
    }

    /// Ends the life under way with all that runs; the next one begins after a while.
    pub fn restart(&self, down: Duration) {
        self.0.0.crash(&mut self.0.0.lock(), down);
    }

    /// Has the life under way say that it leaves.
    pub fn leave(&self) {
        self.0.0.lock().leaving = true;
    }

    /// Has the worker's next life begin with more or less than this one, in thousandths of a core.
    pub fn resize(&self, cpu: u64) {
        self.0.0.lock().next_cpu = cpu;
    }

    /// Gives how often the worker has crashed.
    pub fn crashes(&self) -> usize {
        self.0.0.lock().crashes
    }

    /// Gives how often more ran than the worker has.
    pub fn overcommits(&self) -> usize {
        self.0.0.lock().overcommits
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::SeqCst);
        // The listener's thread looks up once somebody connects.
        let _ = TcpStream::connect(self.0.addr);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Gives the id that a life bears.
    fn id_of(&self, life: u32) -> String {
        match (life, self.cfg.keeps_id) {
            (0, _) | (_, true) => self.cfg.id.clone(),
            _ => format!("{}-{life}", self.cfg.id),
        }
    }

    /// Gives the name of a life in the log of runs, which no other life bears.
    fn recorded_as(&self, life: u32) -> String {
        format!("{}#{life}", self.cfg.id)
    }

    /// Ends the life under way with all that runs and with its connections; another one follows, which knows nothing
    /// of it.
    fn crash(&self, inside: &mut Inside, down: Duration) {
        let now = Instant::now();
        let mut log = self.log.lock();
        for run in inside.running.values() {
            log.runs[run.record].to = Some((now, "gone"));
        }
        log.lapses.push((self.recorded_as(inside.life), now));
        drop(log);
        *inside = inside.next(down);
        for stream in self.streams.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
            // It may have ended by itself.
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    fn end(&self, inside: &mut Inside, task: &str, how: &'static str) {
        let Some(run) = inside.running.remove(task) else { return };
        self.log.lock().runs[run.record].to = Some((Instant::now(), how));
        inside.last_number += 1;
        inside.finished.push((inside.last_number, task.to_string(), run.number, how));
        inside.closed.insert(task.to_string(), run.number);
        self.changed.notify_all();
    }

    fn start_run(&self, inside: &mut Inside, body: &Value) -> (u16, Value) {
        let clock = inside.clock();
        let (task, run) = (text(body, "task"), number(body, "run"));
        let refuse = |why: &str| (409, json!({"clock_ms": clock, "reason": why}));
        if number(body, "fence") < inside.fence {
            return refuse("fence");
        }
        inside.fence = number(body, "fence");
        if inside.running.get(&task).is_some_and(|r| r.number == run) {
            return (200, json!({"clock_ms": clock}));
        }
        if inside.closed.get(&task).is_some_and(|closed| run <= *closed) {
            return refuse("old");
        }
        if number(body, "deadline_ms") <= clock {
            return refuse("late");
        }
        inside.lease = inside.lease.max(number(body, "deadline_ms"));
        let record = RunRecord {
            task: task.clone(),
            run,
            worker: self.recorded_as(inside.life),
            from: Instant::now(),
            to: None,
        };
        let mut log = self.log.lock();
        log.runs.push(record);
        let spec = serde_json::from_str::<Value>(&text(body, "spec")).unwrap_or_default();
        let (cpu, crashes_at) = (number(&spec, "cpu"), crashes_at(&spec, &task));
        let run = Run {
            number: run,
            ends_at: Instant::now() + self.cfg.work,
            cpu,
            crashes_at,
            fails: spec["fails"] == true,
            record: log.runs.len() - 1,
        };
        drop(log);
        inside.running.insert(task, run);
        if inside.running.values().map(|r| r.cpu).sum::<u64>() > inside.cpu {
            inside.overcommits += 1;
        }
        (200, json!({"clock_ms": clock}))
    }

    fn stop_run(&self, inside: &mut Inside, body: &Value) -> (u16, Value) {
        let clock = inside.clock();
        let (task, run) = (text(body, "task"), number(body, "run"));
        if number(body, "fence") < inside.fence {
            return (409, json!({"clock_ms": clock, "reason": "fence"}));
        }
        inside.fence = number(body, "fence");
        if inside.running.get(&task).is_some_and(|r| r.number <= run) {
            self.end(inside, &task, "stopped");
        }
        let closed = inside.closed.entry(task).or_default();
        *closed = run.max(*closed);
        (200, json!({"clock_ms": clock}))
    }

    /// Answers a renewal, unless the worker crashes while it waits.
    fn hold(&self, mut inside: MutexGuard<'_, Inside>, body: &Value) -> Option<(u16, Value)> {
        if number(body, "fence") < inside.fence {
            return Some((409, json!({"clock_ms": inside.clock(), "reason": "fence"})));
        }
        inside.fence = number(body, "fence");
        inside.lease = inside.lease.max(number(body, "deadline_ms"));
        let seen = number(body, "last_seen");
        inside.finished.retain(|(n, ..)| *n > seen);
        let until = Instant::now() + Duration::from_millis(number(body, "wait_ms"));
        let life = inside.life;
        while inside.finished.is_empty() && inside.life == life && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            let woken = self.changed.wait_timeout(inside, left);
            inside = woken.map_or_else(|e| e.into_inner().0, |(guard, _)| guard);
        }
        if inside.life != life {
            return None;
        }
        let running: Vec<Value> =
            inside.running.iter().map(|(t, r)| json!([t, r.number, "", 0])).collect();
        let finished: Vec<Value> =
            inside.finished.iter().map(|(n, t, r, how)| json!([n, t, r, how, ""])).collect();
        let mut lists =
            json!({"clock_ms": inside.clock(), "running": running, "finished": finished});
        if self.cfg.keeps_id {
            lists["born"] = json!(inside.born);
        }
        Some((200, lists))
    }

    /// Gives the answer to a call on a connection to a life; none once that is over.
    fn answer(&self, req: &Wire, life: u32) -> Option<(u16, Value)> {
        let mut inside = self.lock();
        if inside.life != life || inside.is_down() {
            return None;
        }
        if req.header("x-expect-instance") != self.id_of(life) {
            return Some((421, json!({})));
        }
        let body = serde_json::from_slice(&req.body).unwrap_or_default();
        Some(match req.first_line.split(' ').nth(1).unwrap_or_default() {
            "/run-start" => self.start_run(&mut inside, &body),
            "/run-stop" => self.stop_run(&mut inside, &body),
            "/hold" => return self.hold(inside, &body),
            _ => (404, json!({})),
        })
    }

    /// Waits until a life is under way; gives which.
    fn await_life(&self) -> u32 {
        loop {
            let inside = self.lock();
            if !inside.is_down() {
                return inside.life;
            }
            drop(inside);
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Tells when a run ends its worker's life: its job's text may name a task at fault, by the end of its name, and how
/// long after its start that is.
fn crashes_at(spec: &Value, task: &str) -> Option<Instant> {
    let fault = spec.get("crash")?;
    let at_fault = task.ends_with(fault["task"].as_str()?);
    at_fault.then(|| Instant::now() + Duration::from_millis(number(fault, "after_ms")))
}

fn text(body: &Value, name: &str) -> String {
    body[name].as_str().unwrap_or_default().to_string()
}

fn number(body: &Value, name: &str) -> u64 {
    body[name].as_u64().unwrap_or(0)
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming().flatten() {
        if shared.stopped() {
            return;
        }
        let shared = shared.clone();
        thread::spawn(move || serve(stream, &shared));
    }
}

/// Serves a connection. One that is opened while the worker is down reaches the next life, as the system goes on trying
/// to open it.
fn serve(mut stream: TcpStream, shared: &Shared) {
    let life = shared.await_life();
    if let Ok(kept) = stream.try_clone() {
        shared.streams.lock().unwrap_or_else(|e| e.into_inner()).push(kept);
    }
    while let Some(req) = read_wire(&mut stream) {
        if shared.stopped() {
            return;
        }
        let Some((status, body)) = shared.answer(&req, life) else { break };
        let line = format!("HTTP/1.1 {status} -");
        let head = [("content-type", "application/json".to_string())];
        if write_wire(&mut stream, &line, &head, body.to_string().as_bytes()).is_err() {
            break;
        }
    }
    // It may have ended already.
    let _ = stream.shutdown(Shutdown::Both);
}

/// Ends what is done, and everything once the lease is over.
fn live(shared: &Shared) {
    let mut leased = false;
    while !shared.stopped() {
        let mut inside = shared.lock();
        let now = Instant::now();
        let lapsed = inside.clock() >= inside.lease;
        if leased && lapsed {
            shared.log.lock().lapses.push((shared.recorded_as(inside.life), now));
        }
        leased = !lapsed;
        if inside.running.values().any(|r| r.crashes_at.is_some_and(|at| now >= at)) {
            shared.crash(&mut inside, DOWN);
        }
        let how = |r: &Run| match (lapsed, r.fails) {
            (true, _) => "lapsed",
            (false, true) => "failed",
            (false, false) => "done",
        };
        let over: Vec<(String, &'static str)> = inside
            .running
            .iter()
            .filter(|(_, r)| lapsed || now >= r.ends_at)
            .map(|(t, r)| (t.clone(), how(r)))
            .collect();
        for (task, how) in over {
            shared.end(&mut inside, &task, how);
        }
        drop(inside);
        thread::sleep(Duration::from_millis(5));
    }
}

fn announce(shared: &Shared, controls: &[SocketAddr]) {
    let (mut seq, mut announced) = (0_u64, 0);
    while !shared.stopped() {
        let inside = shared.lock();
        if inside.is_down() {
            drop(inside);
            thread::sleep(Duration::from_millis(20));
            continue;
        }
        if shared.cfg.keeps_id && inside.life != announced {
            seq = 0;
        }
        seq += 1;
        announced = inside.life;
        let id = shared.id_of(inside.life);
        let mut body = json!({
            "service": shared.cfg.service, "address": shared.proxy.addr().to_string(), "zone": "z",
            "version": "v1", "slots": 8, "cold_left_ms": 0, "seq": seq,
            "state": if inside.leaving { "draining" } else { "ready" },
            "capacity": {"cpu": inside.cpu, "mem_mb": 100_000, "gpu": 0},
            "labels": ["a", "r1"], "clock_ms": inside.clock(),
        });
        if shared.cfg.keeps_id {
            body["born"] = json!(inside.born);
        }
        drop(inside);
        let line = format!("POST /Instances.Heartbeat/{id} HTTP/1.1");
        let head = [("content-type", "application/json".to_string()), ("host", "c".to_string())];
        for control in controls {
            let answer = call(*control, &line, &head, body.to_string().as_bytes(), ACK_LIMIT);
            if answer.is_some_and(|a| a.status() == 200) {
                break;
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
}
