//! Test support: one real `heathvaled` process with fakes of the platform and of the upstreams.
#![allow(dead_code)]

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use clock::{Clock, Millis, SystemClock};
use model::Size;
use tempfile::TempDir;
use testkit::{Recorder, WorkerConfig, WorkerCore, read_wire};
pub use testkit::{Wire, write_wire};
use upstream::{ListedWorker, PlatformList, SyncRequest, WorkerState, headers};

/// The maximum wait for any condition before a test fails.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// How a fake upstream handles a request. Returns whether the connection stays open.
pub type Behaviour = fn(&mut TcpStream, &Wire) -> bool;

/// Answers a request completely: its id, the length of the body, and a body that names the request.
pub fn whole_answer(stream: &mut TcpStream, req: &Wire) -> bool {
    let body = [b"ran:".as_slice(), &req.body].concat();
    let head = [
        (headers::REQUEST, req.header(headers::REQUEST).to_string()),
        (headers::BODY_LENGTH, body.len().to_string()),
    ];
    write_wire(stream, "HTTP/1.1 200 OK", &head, &body).is_ok()
}

/// A fake upstream that holds leases through a [`WorkerCore`] and answers requests with a given [`Behaviour`].
pub struct FakeUpstream {
    pub addr: SocketAddr,
    pub runs: Arc<AtomicU32>,
}

impl FakeUpstream {
    pub fn start(behaviour: Behaviour) -> FakeUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let runs = Arc::new(AtomicU32::new(0));
        let cfg = WorkerConfig {
            total: Size::new(16_000, 32_000, 0),
            boot: 1,
            fails_tasks: false,
            run_percent: 100,
            usage_lag: Millis(1_000),
        };
        let core = WorkerCore::new(cfg, Recorder::open("w", None).unwrap());
        let core = Arc::new((Mutex::new(core), SystemClock::default()));
        let counted = runs.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (core, counted) = (core.clone(), counted.clone());
                thread::spawn(move || serve(stream, &core, behaviour, &counted));
            }
        });
        FakeUpstream { addr, runs }
    }

    pub fn runs(&self) -> u32 {
        self.runs.load(Ordering::SeqCst)
    }
}

fn serve(
    mut stream: TcpStream,
    core: &(Mutex<WorkerCore>, SystemClock),
    behaviour: Behaviour,
    runs: &AtomicU32,
) {
    while let Some(req) = read_wire(&mut stream) {
        let keep_open = if req.first_line.starts_with("POST /sync") {
            let call: SyncRequest = serde_json::from_slice(&req.body).unwrap();
            let reply = core.0.lock().unwrap().sync(core.1.now(), &call);
            let body = serde_json::to_vec(&reply).unwrap();
            write_wire(&mut stream, "HTTP/1.1 200 OK", &[], &body).is_ok()
        } else {
            runs.fetch_add(1, Ordering::SeqCst);
            behaviour(&mut stream, &req)
        };
        if !keep_open {
            return;
        }
    }
}

/// A fake platform that serves its list of workers. The list can be changed while it is served.
pub struct FakePlatform {
    pub addr: SocketAddr,
    list: Arc<Mutex<PlatformList>>,
}

impl FakePlatform {
    pub fn start(upstreams: &[&FakeUpstream]) -> FakePlatform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let listed = |(i, u): (usize, &&FakeUpstream)| ListedWorker {
            name: format!("w{i}").as_str().into(),
            zone: "za".into(),
            rack: "r".into(),
            addr: u.addr,
            size: Size::new(16_000, 32_000, 0),
            state: WorkerState::Live,
        };
        let workers = upstreams.iter().enumerate().map(listed).collect();
        let list = Arc::new(Mutex::new(PlatformList { workers }));
        let served = list.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || {
                    while read_wire(&mut stream).is_some() {
                        let body = serde_json::to_vec(&*served.lock().unwrap()).unwrap();
                        if write_wire(&mut stream, "HTTP/1.1 200 OK", &[], &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        FakePlatform { addr, list }
    }

    pub fn change(&self, f: impl FnOnce(&mut PlatformList)) {
        f(&mut self.list.lock().unwrap());
    }
}

/// Locks the spawning of processes. A child process holds every open socket of its parent until it executes its program, so
/// a port that another thread chooses in the meantime would stay in use.
fn lock_spawning() -> MutexGuard<'static, ()> {
    static SPAWNING: Mutex<()> = Mutex::new(());
    SPAWNING.lock().unwrap_or_else(|e| e.into_inner())
}

/// Starts a process while no other thread chooses addresses.
pub fn spawn_process(command: &mut Command) -> Child {
    let _alone = lock_spawning();
    command.spawn().unwrap()
}

/// Runs a process to its end and returns its output.
pub fn run_process(command: &mut Command) -> Output {
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    spawn_process(command).wait_with_output().unwrap()
}

/// Returns three addresses for one instance, all on a loopback IP that no other test or process uses, so that nothing else
/// takes a port between its choice and its use.
fn unused_addresses() -> [SocketAddr; 3] {
    static INSTANCES: AtomicU32 = AtomicU32::new(2);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let number = INSTANCES.fetch_add(1, Ordering::SeqCst) as u8;
    let ip = [127, 16 + (high << 4 | middle) % 200, low, number];
    let _alone = lock_spawning();
    let held = [(); 3].map(|()| TcpListener::bind(SocketAddr::from((ip, 0))).unwrap());
    held.map(|l| l.local_addr().unwrap())
}

/// A cell of one instance: a running `heathvaled` process, its addresses and its folder.
pub struct Instance {
    pub child: Child,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    folder: TempDir,
    args: Vec<String>,
}

impl Instance {
    pub fn start(platform: &FakePlatform) -> Instance {
        let mut instance = Instance::start_with_peers(platform, "");
        instance.wait_ready();
        instance
    }

    /// Starts an instance of a cell whose other instances are not running, without waiting until it is ready.
    pub fn start_with_peers(platform: &FakePlatform, others: &str) -> Instance {
        let folder = tempfile::tempdir().unwrap();
        let [peers, callers, operators] = unused_addresses();
        let args: Vec<String> = [
            ("--name", "a".to_string()),
            ("--peers", format!("a=za@{peers}/{callers}+disk{others}")),
            ("--operators", operators.to_string()),
            ("--platform", platform.addr.to_string()),
            ("--data-folder", folder.path().join("data").display().to_string()),
            ("--drain-notice-ms", "10".to_string()),
            ("--log-level", "info".to_string()),
        ]
        .into_iter()
        .flat_map(|(k, v)| [k.to_string(), v])
        .collect();
        let child = spawn(&args, &folder);
        Instance { child, callers, operators, peers, folder, args }
    }

    pub fn wait_ready(&mut self) {
        let deadline = Instant::now() + MAX_WAIT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                panic!(
                    "the instance exited before it was ready: {status} {}",
                    self.stderr_output()
                );
            }
            let health = self.get("/health").map(|w| w.status());
            if health == Some(200) {
                return;
            }
            let in_time = Instant::now() < deadline;
            assert!(
                in_time,
                "timed out: the instance is ready, {health:?}\n{}",
                self.stderr_output()
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the standard error output of the process.
    fn stderr_output(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("stderr")).unwrap_or_default()
    }

    pub fn kill_and_restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = spawn(&self.args, &self.folder);
        self.wait_ready();
    }

    /// Starts the process again after it was killed, without waiting until the balancer may send callers.
    pub fn restart_without_waiting(&mut self) {
        self.child = spawn(&self.args, &self.folder);
    }

    pub fn get(&self, path: &str) -> Option<Wire> {
        let mut stream = TcpStream::connect(self.callers).ok()?;
        write_wire(&mut stream, &format!("GET {path} HTTP/1.1"), &host(), b"").ok()?;
        read_wire(&mut stream)
    }

    /// Sends a request as a caller and returns the answer.
    pub fn call(&self, id: &str, extra: &[(&str, &str)]) -> Wire {
        let mut stream = TcpStream::connect(self.callers).unwrap();
        let mut head = host();
        head.push((headers::REQUEST, id.to_string()));
        head.extend(extra.iter().map(|(k, v)| (*k, v.to_string())));
        write_wire(&mut stream, "POST /run HTTP/1.1", &head, id.as_bytes()).unwrap();
        read_wire(&mut stream).expect("every request gets an answer")
    }

    /// Runs the command line client against this instance and returns its exit code and output.
    pub fn operate(&self, args: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_heathvale"));
        command.args(args).env("HEATHVALE_INSTANCES", self.operators.to_string());
        let output = run_process(&mut command);
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).to_string())
    }

    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

fn host() -> Vec<(&'static str, String)> {
    vec![("host", "h".to_string())]
}

fn spawn(args: &[String], folder: &TempDir) -> Child {
    let stderr_output = std::fs::File::create(folder.path().join("stderr")).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathvaled"));
    spawn_process(command.args(args).stderr(stderr_output))
}

/// Returns the lines that an instance logs from its start to its planned stop.
pub fn run_and_read_log(platform: &FakePlatform, format: &str) -> Vec<String> {
    let mut instance = Instance::start(platform);
    instance.child.kill().unwrap();
    instance.child.wait().unwrap();
    let path = instance.folder.path().join("log");
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathvaled"));
    command.args(&instance.args).args(["--log-level", "info", "--log-format", format]);
    instance.child = spawn_process(command.stderr(std::fs::File::create(&path).unwrap()));
    instance.wait_ready();
    let stop = run_process(Command::new("kill").arg(instance.child.id().to_string())).status;
    assert!(stop.success());
    assert!(instance.child.wait().unwrap().success(), "a planned stop ends with code 0");
    std::fs::read_to_string(&path).unwrap().lines().map(str::to_string).collect()
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < MAX_WAIT, "timed out: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Starts a cell of one instance and waits until the instance knows all upstreams.
pub fn cell(behaviours: &[Behaviour]) -> (Instance, FakePlatform, Vec<FakeUpstream>) {
    let upstreams: Vec<FakeUpstream> = behaviours.iter().map(|b| FakeUpstream::start(*b)).collect();
    let platform = FakePlatform::start(&upstreams.iter().collect::<Vec<_>>());
    let instance = Instance::start(&platform);
    let wanted = behaviours.len();
    wait_until("the upstreams are known", || {
        let (_, text) = instance.operate(&["status", "--upstreams"]);
        text.matches(" live, open ").count() == wanted
    });
    (instance, platform, upstreams)
}
