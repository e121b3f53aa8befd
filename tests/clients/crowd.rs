//! A crowd of clients that send what a script says, stay connected, and connect again if their connection ends.

use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How often each client connects again after its connection has ended.
const MAX_RECONNECTS: u32 = 3;
/// The maximum wait for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The pause between two rounds over all clients.
const ROUND_PAUSE: Duration = Duration::from_millis(10);
/// The time from one byte to the next of a client that sends slowly.
const TRICKLE_INTERVAL: Duration = Duration::from_secs(1);
/// A crowd that has sent and received nothing for this long stands still.
const STILL_FOR: Duration = Duration::from_millis(700);
/// The maximum wait until a crowd stands still.
const MAX_SETTLING: Duration = Duration::from_secs(20);

/// What the clients of a crowd send.
#[derive(Clone)]
pub struct Script {
    /// The head of the request of the client with a number.
    pub head: Arc<dyn Fn(usize) -> String + Send + Sync>,
    /// What follows the head.
    pub body: Arc<[u8]>,
    /// How many of the last bytes are held back until the crowd is told to finish.
    pub held_back: usize,
    /// Whether the bytes that are held back are sent one by one meanwhile.
    pub trickles: bool,
    /// The maximum size of one write.
    pub piece: usize,
    /// Whether the clients read what they are sent.
    pub reads: bool,
}

impl Script {
    /// Returns a script of clients that send a whole request and stay connected.
    pub fn new(head: impl Fn(usize) -> String + Send + Sync + 'static, body: Vec<u8>) -> Script {
        Script {
            head: Arc::new(head),
            body: body.into(),
            held_back: 0,
            trickles: false,
            piece: usize::MAX,
            reads: true,
        }
    }
}

struct Client {
    number: usize,
    addr: SocketAddr,
    stream: Option<TcpStream>,
    head: Vec<u8>,
    sent: usize,
    connects: u32,
    next_trickle_at: Instant,
}

impl Client {
    /// Connects if the client has no connection and may open another one.
    fn connect(&mut self, script: &Script) -> bool {
        if self.stream.is_some() || self.connects > MAX_RECONNECTS {
            return false;
        }
        self.connects += 1;
        self.sent = 0;
        self.head = (script.head)(self.number).into_bytes();
        self.stream = TcpStream::connect_timeout(&self.addr, CONNECT_TIMEOUT).ok();
        if let Some(stream) = &self.stream {
            // A connection that has ended meanwhile is noticed by the next read or write.
            let _ = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
        }
        true
    }

    /// Returns the bytes that may be sent now.
    fn due<'a>(&'a mut self, script: &'a Script, finishes: bool) -> &'a [u8] {
        let length = self.head.len() + script.body.len();
        let mut end = if finishes { length } else { length - script.held_back };
        if script.trickles && !finishes && self.sent >= end && self.sent + 1 < length {
            if Instant::now() < self.next_trickle_at {
                return &[];
            }
            self.next_trickle_at = Instant::now() + TRICKLE_INTERVAL;
            end = self.sent + 1;
        }
        let (from, bytes) = match self.sent.checked_sub(self.head.len()) {
            Some(from) => (from, &script.body[..end.saturating_sub(self.head.len())]),
            None => (self.sent, &self.head[..end.min(self.head.len())]),
        };
        let rest = &bytes[from.min(bytes.len())..];
        &rest[..rest.len().min(script.piece)]
    }

    /// Sends what is due and reads what has arrived. Returns whether anything happened, apart from single bytes.
    fn turn(&mut self, script: &Script, finishes: bool, statuses: &Mutex<BTreeSet<u32>>) -> bool {
        if self.connect(script) {
            return true;
        }
        let Some(mut stream) = self.stream.take() else { return false };
        let (mut active, mut is_open) = (false, true);
        loop {
            let due = self.due(script, finishes);
            if due.is_empty() {
                break;
            }
            match stream.write(due) {
                Ok(0) => break,
                Ok(n) => {
                    self.sent += n;
                    active |= n > 1;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    is_open = false;
                    break;
                }
            }
            // Each piece arrives by itself.
            if script.piece < usize::MAX {
                active = true;
                break;
            }
        }
        let mut buf = [0; 4_096];
        while is_open && script.reads {
            match stream.read(&mut buf) {
                Ok(0) => is_open = false,
                Ok(n) => {
                    active = true;
                    let status = status(&buf[..n]).unwrap_or(0);
                    statuses.lock().expect("no thread panicked").insert(status);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => is_open = false,
            }
        }
        if is_open {
            self.stream = Some(stream);
        }
        active || !is_open
    }
}

/// Returns the status of the answer that begins with these bytes.
fn status(bytes: &[u8]) -> Option<u32> {
    std::str::from_utf8(bytes.get(9..12)?).ok()?.parse().ok()
}

struct Shared {
    stop: AtomicBool,
    finishes: AtomicBool,
    /// How many connections are open.
    open: AtomicU64,
    last_active: Mutex<Instant>,
    statuses: Mutex<BTreeSet<u32>>,
}

/// A running crowd. Its connections are closed when it is dropped.
pub struct Crowd {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts a crowd of `size` clients of each address.
    pub fn start(addrs: &[SocketAddr], size: usize, script: Script) -> Crowd {
        let client = |(number, addr): (usize, SocketAddr)| Client {
            number,
            addr,
            stream: None,
            head: Vec::new(),
            sent: 0,
            connects: 0,
            next_trickle_at: Instant::now(),
        };
        let addrs = (0..size).flat_map(|_| addrs.iter().copied());
        let mut clients: Vec<Client> = addrs.enumerate().map(client).collect();
        let shared = Arc::new(Shared {
            stop: AtomicBool::default(),
            finishes: AtomicBool::default(),
            open: AtomicU64::default(),
            last_active: Mutex::new(Instant::now()),
            statuses: Mutex::default(),
        });
        let of_thread = shared.clone();
        let run = move || {
            while !of_thread.stop.load(Ordering::Relaxed) {
                let finishes = of_thread.finishes.load(Ordering::Relaxed);
                let mut active = false;
                for client in &mut clients {
                    active |= client.turn(&script, finishes, &of_thread.statuses);
                }
                let open = clients.iter().filter(|c| c.stream.is_some()).count();
                of_thread.open.store(open as u64, Ordering::Relaxed);
                if active {
                    *of_thread.last_active.lock().expect("no thread panicked") = Instant::now();
                }
                thread::sleep(ROUND_PAUSE);
            }
        };
        Crowd { shared, thread: Some(thread::spawn(run)) }
    }

    /// Waits until the crowd has sent all that it can and stands still.
    pub fn settle(&self) {
        let began = Instant::now();
        let is_still = || {
            let last_active = *self.shared.last_active.lock().expect("no thread panicked");
            last_active.elapsed() > STILL_FOR
        };
        while !is_still() && began.elapsed() < MAX_SETTLING {
            thread::sleep(ROUND_PAUSE);
        }
    }

    /// Lets the clients send what they have held back.
    pub fn finish(&self) {
        self.shared.finishes.store(true, Ordering::Relaxed);
        *self.shared.last_active.lock().expect("no thread panicked") = Instant::now();
    }

    /// Returns how many connections are open.
    pub fn open(&self) -> u64 {
        self.shared.open.load(Ordering::Relaxed)
    }

    /// Returns the statuses of the answers that the clients have received; zero stands for an answer without one.
    pub fn statuses(&self) -> BTreeSet<u32> {
        self.shared.statuses.lock().expect("no thread panicked").clone()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed.
            let _ = thread.join();
        }
    }
}
