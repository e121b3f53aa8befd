//! A simulated worker of the users' platform, written from the platform's published documentation: it starts, stops
//! and lists runs under a lease, rejects calls with a lower fence, and announces itself.
//!
//! After a crash a new incarnation follows, which has no state of the previous one. It has a new id, or, if the worker
//! keeps its id, the same one: then it reports when it was born, and its sequence numbers and its clock start again.
//! Connections end with the incarnation that accepted them.

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

/// The timeout for the acknowledgement of an announcement.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a worker is down after a task has crashed it.
const CRASH_DOWNTIME: Duration = Duration::from_millis(500);
/// How many ended runs an answer lists at most.
const MAX_ENDS_LISTED: usize = 500;

/// A running task.
struct Run {
    number: u64,
    ends_at: Instant,
    /// When it crashes the worker, if it does.
    crashes_at: Option<Instant>,
    /// Whether it ends as failed, which the job's spec may request.
    fails: bool,
    cpu: u64,
    /// Its index in the log of runs.
    record: usize,
}

/// The state of one incarnation of a worker.
struct WorkerState {
    /// The number of earlier incarnations.
    incarnation: u32,
    /// When it started, by the monotonic clock.
    started_at: Instant,
    /// When it started, in milliseconds since the Unix epoch.
    born: u64,
    /// Until when the worker is down, if it follows a crash.
    down_until: Option<Instant>,
    /// Whether it announces that it is leaving.
    leaving: bool,
    /// The worker's CPU, in thousandths of a core.
    cpu: u64,
    /// The CPU of its next incarnation, in thousandths of a core.
    next_cpu: u64,
    /// The highest fence of any call; calls with a lower one are rejected.
    fence: u64,
    /// When the lease expires, by the worker's clock in milliseconds.
    lease: u64,
    running: BTreeMap<String, Run>,
    /// The highest run number of each task that has ended or was stopped.
    highest_closed: BTreeMap<String, u64>,
    /// The ended runs that are not acknowledged yet: number of the end, task, run and ending.
    finished: Vec<(u64, String, u64, &'static str)>,
    /// The number of the last end in this incarnation.
    last_number: u64,
    /// How often a start exceeded the CPU, in all incarnations.
    overcommits: usize,
    /// How often the worker has crashed or was restarted.
    crashes: usize,
}

impl WorkerState {
    /// Returns the first incarnation of a worker.
    fn first(cpu: u64) -> WorkerState {
        WorkerState {
            incarnation: 0,
            started_at: Instant::now(),
            born: wall_ms(),
            down_until: None,
            leaving: false,
            cpu,
            next_cpu: cpu,
            fence: 0,
            lease: 0,
            running: BTreeMap::new(),
            highest_closed: BTreeMap::new(),
            finished: Vec::new(),
            last_number: 0,
            overcommits: 0,
            crashes: 0,
        }
    }

    /// Returns the incarnation after this one, which starts after the worker was down for a time.
    fn next(&self, down: Duration) -> WorkerState {
        let started_at = Instant::now() + down;
        WorkerState {
            incarnation: self.incarnation + 1,
            started_at,
            // Each incarnation must have a later birth time than the one before, also within one millisecond.
            born: (wall_ms() + down.as_millis() as u64).max(self.born + 1),
            down_until: Some(started_at),
            overcommits: self.overcommits,
            crashes: self.crashes + 1,
            ..WorkerState::first(self.next_cpu)
        }
    }

    /// Returns the worker's clock in milliseconds, which restarts with each incarnation.
    fn clock(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// The capacity of a worker and the behaviour of its runs.
#[derive(Clone, Debug)]
pub struct PlatformWorkerConfig {
    /// Its id.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its CPU, in thousandths of a core.
    pub cpu: u64,
    /// The duration of each run.
    pub work: Duration,
    /// Whether all its incarnations have the same id and report when they were born.
    pub keeps_id: bool,
}

struct Shared {
    cfg: PlatformWorkerConfig,
    addr: SocketAddr,
    proxy: Proxy,
    state: Mutex<WorkerState>,
    changed: Condvar,
    /// The connections to the current incarnation.
    connections: Mutex<Vec<TcpStream>>,
    log: RunLog,
    stop: AtomicBool,
}

/// A running simulated worker. It stops when the last clone is dropped.
#[derive(Clone)]
pub struct PlatformWorker(Arc<Handle>);

/// Stops the threads of the simulated worker when it is dropped.
struct Handle(Arc<Shared>);

impl PlatformWorker {
    /// Starts a worker that announces itself to the control addresses.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
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
            state: Mutex::new(WorkerState::first(cfg.cpu)),
            changed: Condvar::new(),
            connections: Mutex::default(),
            cfg,
            log,
            stop: AtomicBool::new(false),
        });
        let (serving, announcing, lifecycle) = (shared.clone(), shared.clone(), shared.clone());
        thread::spawn(move || accept(&listener, &serving));
        thread::spawn(move || announce(&announcing, &controls));
        thread::spawn(move || run_lifecycle(&lifecycle));
        Ok(PlatformWorker(Arc::new(Handle(shared))))
    }

    /// Returns the proxy through which all calls to the worker pass.
    pub fn proxy(&self) -> &Proxy {
        &self.0.0.proxy
    }

    /// Crashes the worker with all its runs; the next incarnation starts after `down`.
    pub fn restart(&self, down: Duration) {
        self.0.0.crash(&mut self.0.0.lock(), down);
    }

    /// Lets the current incarnation announce that it is leaving.
    pub fn leave(&self) {
        self.0.0.lock().leaving = true;
    }

    /// Sets the CPU of the worker's next incarnation, in thousandths of a core.
    pub fn resize(&self, cpu: u64) {
        self.0.0.lock().next_cpu = cpu;
    }

    /// Returns how often the worker has crashed or was restarted.
    pub fn crashes(&self) -> usize {
        self.0.0.lock().crashes
    }

    /// Returns how often a start exceeded the worker's CPU.
    pub fn overcommits(&self) -> usize {
        self.0.0.lock().overcommits
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::SeqCst);
        // The listener's thread blocks in `accept`; a connection wakes it up.
        let _ = TcpStream::connect(self.0.addr);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Returns the id of an incarnation.
    fn incarnation_id(&self, incarnation: u32) -> String {
        match (incarnation, self.cfg.keeps_id) {
            (0, _) | (_, true) => self.cfg.id.clone(),
            _ => format!("{}-{incarnation}", self.cfg.id),
        }
    }

    /// Returns the name of an incarnation in the log of runs, which is unique to it.
    fn log_name(&self, incarnation: u32) -> String {
        format!("{}#{incarnation}", self.cfg.id)
    }

    /// Ends the current incarnation with all its runs and connections; the next one starts after `down` without
    /// any of its state.
    fn crash(&self, state: &mut WorkerState, down: Duration) {
        let now = Instant::now();
        let mut log = self.log.lock();
        for run in state.running.values() {
            log.runs[run.record].to = Some((now, "gone"));
        }
        log.lapses.push((self.log_name(state.incarnation), now));
        drop(log);
        *state = state.next(down);
        for stream in self.connections.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
            // The connection may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Ends a run and queues its end for the next renewal.
    fn end(&self, state: &mut WorkerState, task: &str, ending: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        self.log.lock().runs[run.record].to = Some((Instant::now(), ending));
        state.last_number += 1;
        state.finished.push((state.last_number, task.to_string(), run.number, ending));
        state.highest_closed.insert(task.to_string(), run.number);
        self.changed.notify_all();
    }

    /// Handles a call to start a run.
    fn start_run(&self, state: &mut WorkerState, body: &Value) -> (u16, Value) {
        let clock = state.clock();
        let (task, run) = (text(body, "task"), number(body, "run"));
        let refuse = |why: &str| (409, json!({"clock_ms": clock, "reason": why}));
        if number(body, "fence") < state.fence {
            return refuse("fence");
        }
        state.fence = number(body, "fence");
        if state.running.get(&task).is_some_and(|r| r.number == run) {
            return (200, json!({"clock_ms": clock}));
        }
        if state.highest_closed.get(&task).is_some_and(|highest_closed| run <= *highest_closed) {
            return refuse("old");
        }
        if number(body, "deadline_ms") <= clock {
            return refuse("late");
        }
        state.lease = state.lease.max(number(body, "deadline_ms"));
        let record = RunRecord {
            task: task.clone(),
            run,
            worker: self.log_name(state.incarnation),
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
        state.running.insert(task, run);
        if state.running.values().map(|r| r.cpu).sum::<u64>() > state.cpu {
            state.overcommits += 1;
        }
        (200, json!({"clock_ms": clock}))
    }

    /// Handles a call to stop a run.
    fn stop_run(&self, state: &mut WorkerState, body: &Value) -> (u16, Value) {
        let clock = state.clock();
        let (task, run) = (text(body, "task"), number(body, "run"));
        if number(body, "fence") < state.fence {
            return (409, json!({"clock_ms": clock, "reason": "fence"}));
        }
        state.fence = number(body, "fence");
        if state.running.get(&task).is_some_and(|r| r.number <= run) {
            self.end(state, &task, "stopped");
        }
        let highest_closed = state.highest_closed.entry(task).or_default();
        *highest_closed = run.max(*highest_closed);
        (200, json!({"clock_ms": clock}))
    }

    /// Handles a renewal of the lease, which waits for an ended run. Returns `None` if the worker crashes meanwhile.
    fn renew_lease(
        &self,
        mut state: MutexGuard<'_, WorkerState>,
        body: &Value,
    ) -> Option<(u16, Value)> {
        if number(body, "fence") < state.fence {
            return Some((409, json!({"clock_ms": state.clock(), "reason": "fence"})));
        }
        state.fence = number(body, "fence");
        state.lease = state.lease.max(number(body, "deadline_ms"));
        let seen = number(body, "last_seen");
        state.finished.retain(|(n, ..)| *n > seen);
        let until = Instant::now() + Duration::from_millis(number(body, "wait_ms"));
        let incarnation = state.incarnation;
        while state.finished.is_empty()
            && state.incarnation == incarnation
            && Instant::now() < until
        {
            let left = until.saturating_duration_since(Instant::now());
            let waited = self.changed.wait_timeout(state, left);
            state = waited.map_or_else(|e| e.into_inner().0, |(guard, _)| guard);
        }
        if state.incarnation != incarnation {
            return None;
        }
        let running: Vec<Value> =
            state.running.iter().map(|(t, r)| json!([t, r.number, "", 0])).collect();
        let ends = state.finished.iter().take(MAX_ENDS_LISTED);
        let finished: Vec<Value> =
            ends.map(|(n, t, r, ending)| json!([n, t, r, ending, ""])).collect();
        let mut lists =
            json!({"clock_ms": state.clock(), "running": running, "finished": finished});
        if self.cfg.keeps_id {
            lists["born"] = json!(state.born);
        }
        Some((200, lists))
    }

    /// Returns the answer to a call on a connection to an incarnation, or `None` if that incarnation has ended.
    fn answer(&self, req: &Wire, incarnation: u32) -> Option<(u16, Value)> {
        let mut state = self.lock();
        if state.incarnation != incarnation || state.is_down() {
            return None;
        }
        if req.header("x-expect-instance") != self.incarnation_id(incarnation) {
            return Some((421, json!({})));
        }
        let body = serde_json::from_slice(&req.body).unwrap_or_default();
        Some(match req.first_line.split(' ').nth(1).unwrap_or_default() {
            "/run-start" => self.start_run(&mut state, &body),
            "/run-stop" => self.stop_run(&mut state, &body),
            "/hold" => return self.renew_lease(state, &body),
            _ => (404, json!({})),
        })
    }

    /// Waits until the worker is up and returns the number of its incarnation.
    fn await_incarnation(&self) -> u32 {
        loop {
            let state = self.lock();
            if !state.is_down() {
                return state.incarnation;
            }
            drop(state);
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Returns when a run crashes its worker. The job's spec may name a faulty task by the end of the task's name, and the
/// time from its start to the crash.
fn crashes_at(spec: &Value, task: &str) -> Option<Instant> {
    let fault = spec.get("crash")?;
    let is_faulty = task.ends_with(fault["task"].as_str()?);
    is_faulty.then(|| Instant::now() + Duration::from_millis(number(fault, "after_ms")))
}

fn text(body: &Value, name: &str) -> String {
    body[name].as_str().unwrap_or_default().to_string()
}

fn number(body: &Value, name: &str) -> u64 {
    body[name].as_u64().unwrap_or(0)
}

/// Accepts connections until the worker is stopped.
fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming().flatten() {
        if shared.is_stopped() {
            return;
        }
        let shared = shared.clone();
        thread::spawn(move || serve(stream, &shared));
    }
}

/// Serves a connection. One that is opened while the worker is down reaches the next incarnation, since the operating
/// system of a client keeps trying to open it.
fn serve(mut stream: TcpStream, shared: &Shared) {
    let incarnation = shared.await_incarnation();
    if let Ok(connection) = stream.try_clone() {
        shared.connections.lock().unwrap_or_else(|e| e.into_inner()).push(connection);
    }
    while let Some(req) = read_wire(&mut stream) {
        if shared.is_stopped() {
            return;
        }
        let Some((status, body)) = shared.answer(&req, incarnation) else { break };
        let line = format!("HTTP/1.1 {status} -");
        let head = [("content-type", "application/json".to_string())];
        if write_wire(&mut stream, &line, &head, body.to_string().as_bytes()).is_err() {
            break;
        }
    }
    // The connection may be closed already.
    let _ = stream.shutdown(Shutdown::Both);
}

/// Ends runs that are done, and all runs when the lease expires, and crashes the worker when a run asks for it.
fn run_lifecycle(shared: &Shared) {
    let mut was_leased = false;
    while !shared.is_stopped() {
        let mut state = shared.lock();
        let now = Instant::now();
        let lapsed = state.clock() >= state.lease;
        if was_leased && lapsed {
            shared.log.lock().lapses.push((shared.log_name(state.incarnation), now));
        }
        was_leased = !lapsed;
        if state.running.values().any(|r| r.crashes_at.is_some_and(|at| now >= at)) {
            shared.crash(&mut state, CRASH_DOWNTIME);
        }
        let ending = |r: &Run| match (lapsed, r.fails) {
            (true, _) => "lapsed",
            (false, true) => "failed",
            (false, false) => "done",
        };
        let ended: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter(|(_, r)| lapsed || now >= r.ends_at)
            .map(|(t, r)| (t.clone(), ending(r)))
            .collect();
        for (task, ending) in ended {
            shared.end(&mut state, &task, ending);
        }
        drop(state);
        thread::sleep(Duration::from_millis(5));
    }
}

/// Announces the worker every 300 ms to the first control address that acknowledges.
fn announce(shared: &Shared, controls: &[SocketAddr]) {
    let (mut seq, mut announced) = (0_u64, 0);
    while !shared.is_stopped() {
        let state = shared.lock();
        if state.is_down() {
            drop(state);
            thread::sleep(Duration::from_millis(20));
            continue;
        }
        if shared.cfg.keeps_id && state.incarnation != announced {
            seq = 0;
        }
        seq += 1;
        announced = state.incarnation;
        let id = shared.incarnation_id(state.incarnation);
        let mut body = json!({
            "service": shared.cfg.service, "address": shared.proxy.addr().to_string(), "zone": "z",
            "version": "v1", "slots": 8, "cold_left_ms": 0, "seq": seq,
            "state": if state.leaving { "draining" } else { "ready" },
            "capacity": {"cpu": state.cpu, "mem_mb": 100_000, "gpu": 0},
            "labels": ["a", "r1"], "clock_ms": state.clock(),
        });
        if shared.cfg.keeps_id {
            body["born"] = json!(state.born);
        }
        drop(state);
        let line = format!("POST /Instances.Heartbeat/{id} HTTP/1.1");
        let head = [("content-type", "application/json".to_string()), ("host", "c".to_string())];
        for control in controls {
            let answer = call(*control, &line, &head, body.to_string().as_bytes(), ACK_TIMEOUT);
            if answer.is_some_and(|a| a.status() == 200) {
                break;
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
}
