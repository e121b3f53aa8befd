//! Links that break with messages in flight do not crash the process.
//!
//! Guards against a use of freed memory in `nng`, which aborted instances without a line in their log while others were
//! restarted. A `Push0` socket keeps a list of the connections that are ready for the next message. A connection that
//! broke while a message was being passed to the kernel was put back on that list after it had been removed from it,
//! and was then freed; the next message was sent over freed memory. With freed memory overwritten, 2 of 5,140 starts of
//! entry instances beside others that were killed crashed, each in
//!
//!     #0 nni_list_remove   item: 0xa5a5a5a5a5a5a5a5, which is what freed memory was overwritten with
//!     #1 push0_sock_send
//!     #5 nng::socket::Socket::try_send
//!     #6 transport::links::Links::send
//!
//! Here 32 links break a hundred times each with messages in flight, in a process whose freed memory is overwritten, so
//! that any use of it crashes the process immediately and not only after the memory has been reused.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use model::InstanceId;
use transport::{Links, LinksConfig};

/// The environment variable that is set in the process whose links break.
const CHILD: &str = "HEATHVALE_BROKEN_LINKS_CHILD";
/// The setting that makes the C library overwrite freed memory and delay its reuse.
const OVERWRITE_FREED_MEMORY: (&str, &str) =
    ("GLIBC_TUNABLES", "glibc.malloc.perturb=165:glibc.malloc.tcache_count=0");
/// The number of links that break concurrently.
const LINKS: u64 = 32;
/// The number of times that each link breaks.
const BREAKS: u64 = 100;
/// The maximum number of bytes forwarded before a connection breaks; nng starts each connection with eight of its own.
const MAX_FORWARDED_BYTES: u64 = 20_000;

/// Returns the next number of a pseudorandom sequence.
fn next(n: &mut u64) -> u64 {
    *n = n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    *n >> 33
}

/// Accepts connections, forwards some bytes of each to `target` and breaks it, [`BREAKS`] times.
fn break_connections(listener: &TcpListener, target: SocketAddr, seed: u64) {
    let mut n = seed;
    for accepted in listener.incoming().flatten().take(BREAKS as usize) {
        let Ok(outgoing) = TcpStream::connect(target) else { continue };
        let answers = (outgoing.try_clone(), accepted.try_clone());
        if let (Ok(from), Ok(to)) = answers {
            thread::spawn(move || forward(from, to, u64::MAX));
        }
        forward(accepted, outgoing, next(&mut n) % MAX_FORWARDED_BYTES);
    }
}

/// Forwards at most `limit` bytes and closes both connections. Unread bytes make the close reset the connection.
fn forward(mut from: TcpStream, mut to: TcpStream, limit: u64) {
    let mut remaining = limit;
    let mut buf = [0; 4096];
    while remaining > 0 {
        let Ok(n) = from.read(&mut buf) else { break };
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            break;
        }
        remaining = remaining.saturating_sub(n as u64);
    }
    // Either end may be closed already.
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Opens links on a free address; retries because another process may take the address first.
fn open(id: &str, received: &Arc<AtomicU64>) -> (Links, SocketAddr) {
    for _ in 0..20 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let listen = listener.local_addr().expect("it is bound");
        drop(listener);
        let cfg = LinksConfig { id: InstanceId::from(id), listen, peers: BTreeMap::new() };
        let received = received.clone();
        let count = move |_| {
            received.fetch_add(1, Ordering::Relaxed);
        };
        if let Ok(links) = Links::open::<Vec<u8>>(&cfg, Box::new(count)) {
            return (links, listen);
        }
    }
    panic!("no address stays free");
}

fn send_over_links_that_break() {
    let received = Arc::new(AtomicU64::new(0));
    let (links, _) = open("a", &received);
    let (peer, target) = open("b", &received);
    let stop = AtomicBool::new(false);
    let ids: Vec<InstanceId> =
        (0..LINKS).map(|n| InstanceId::from(format!("b{n}").as_str())).collect();
    thread::scope(|s| {
        let mut breaking = Vec::new();
        for (seed, id) in (0..).zip(&ids) {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            links.connect(id, listener.local_addr().expect("it is bound")).expect("a socket");
            breaking.push(s.spawn(move || break_connections(&listener, target, seed)));
        }
        s.spawn(|| {
            while !stop.load(Ordering::Relaxed) {
                for id in &ids {
                    (0..20).for_each(|n| links.send(id, n, vec![7u8; 300]));
                }
                thread::sleep(Duration::from_micros(200));
            }
        });
        breaking.into_iter().for_each(|b| b.join().expect("a thread that breaks links panicked"));
        stop.store(true, Ordering::Relaxed);
    });
    assert!(
        received.load(Ordering::Relaxed) > BREAKS,
        "too few messages were received between the breaks"
    );
    drop(peer);
}

#[test]
fn links_that_break_with_messages_on_their_way_leave_the_process_alive() {
    if std::env::var_os(CHILD).is_some() {
        send_over_links_that_break();
        return;
    }
    let name = "links_that_break_with_messages_on_their_way_leave_the_process_alive";
    let child = Command::new(std::env::current_exe().expect("this program"))
        .args(["--exact", name, "--nocapture"])
        .env(CHILD, "1")
        .env(OVERWRITE_FREED_MEMORY.0, OVERWRITE_FREED_MEMORY.1)
        .output()
        .expect("a process");
    let child_output = [child.stdout, child.stderr].concat();
    let child_output = String::from_utf8_lossy(&child_output);
    assert!(child.status.success(), "the process ended with {}\n{child_output}", child.status);
}
