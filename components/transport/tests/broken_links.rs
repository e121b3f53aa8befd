//! Links that break off while messages are on their way leave the process alive.
//!
//! An instance ended by itself as others came and went, by an abort of the C library or a bad address, with nothing
//! of our own in its log. A link sends over a socket that keeps a list of the connections that are ready for the next
//! message. A connection that broke while a message was being handed to the kernel was put back on that list after it
//! had been taken off it, and freed. The next message was then sent over freed memory. With freed memory overwritten,
//! 2 of 5,140 starts of entry instances beside others that are killed ended so, each in
//!
//!     #0 nni_list_remove   item: 0xa5a5a5a5a5a5a5a5, which is what freed memory was overwritten with
//!     #1 push0_sock_send
//!     #5 nng::socket::Socket::try_send
//!     #6 transport::links::Links::send
//!
//! Here 32 links break a hundred times each with messages on their way, in a process whose freed memory is overwritten, so
//! that whatever uses it ends the process at once and not only when the memory has found another use.

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

/// Set in the process whose links break.
const CHILD: &str = "HEATHVALE_BROKEN_LINKS_CHILD";
/// Has the C library overwrite freed memory, and use it for something else late.
const FREED_IS_OVERWRITTEN: (&str, &str) =
    ("GLIBC_TUNABLES", "glibc.malloc.perturb=165:glibc.malloc.tcache_count=0");
/// How many links break beside each other, and how often each does.
const LINKS: u64 = 32;
const BREAKS: u64 = 100;
/// How many bytes pass before a connection breaks, at most; an nng connection begins with eight of its own.
const MOST_BYTES: u64 = 20_000;

/// Gives a number that follows from another one.
fn next(n: &mut u64) -> u64 {
    *n = n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    *n >> 33
}

/// Takes connections, hands on some bytes of each to `target` and breaks it, so often.
fn break_off(listener: &TcpListener, target: SocketAddr, seed: u64) {
    let mut n = seed;
    for near in listener.incoming().flatten().take(BREAKS as usize) {
        let Ok(far) = TcpStream::connect(target) else { continue };
        let answers = (far.try_clone(), near.try_clone());
        if let (Ok(from), Ok(to)) = answers {
            thread::spawn(move || hand_on(from, to, u64::MAX));
        }
        hand_on(near, far, next(&mut n) % MOST_BYTES);
    }
}

/// Hands on so many bytes at most. What was not read yet resets the connection as it is closed.
fn hand_on(mut from: TcpStream, mut to: TcpStream, most: u64) {
    let mut left = most;
    let mut buf = [0; 4096];
    while left > 0 {
        let Ok(n) = from.read(&mut buf) else { break };
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            break;
        }
        left = left.saturating_sub(n as u64);
    }
    // Either end may be gone already.
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Opens links on a free address; another process may be faster to take it, so it tries a few.
fn open(id: &str, heard: &Arc<AtomicU64>) -> (Links, SocketAddr) {
    for _ in 0..20 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let listen = listener.local_addr().expect("it is bound");
        drop(listener);
        let cfg = LinksConfig { id: InstanceId::from(id), listen, peers: BTreeMap::new() };
        let heard = heard.clone();
        let count = move |_| {
            heard.fetch_add(1, Ordering::Relaxed);
        };
        if let Ok(links) = Links::open::<Vec<u8>>(&cfg, Box::new(count)) {
            return (links, listen);
        }
    }
    panic!("no address stays free");
}

fn send_over_links_that_break() {
    let heard = Arc::new(AtomicU64::new(0));
    let (links, _) = open("a", &heard);
    let (peer, target) = open("b", &heard);
    let stop = AtomicBool::new(false);
    let ids: Vec<InstanceId> =
        (0..LINKS).map(|n| InstanceId::from(format!("b{n}").as_str())).collect();
    thread::scope(|s| {
        let mut breaking = Vec::new();
        for (seed, id) in (0..).zip(&ids) {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            links.connect(id, listener.local_addr().expect("it is bound")).expect("a socket");
            breaking.push(s.spawn(move || break_off(&listener, target, seed)));
        }
        s.spawn(|| {
            while !stop.load(Ordering::Relaxed) {
                for id in &ids {
                    (0..20).for_each(|n| links.send(id, n, vec![7u8; 300]));
                }
                thread::sleep(Duration::from_micros(200));
            }
        });
        breaking.into_iter().for_each(|b| b.join().expect("all links broke"));
        stop.store(true, Ordering::Relaxed);
    });
    assert!(heard.load(Ordering::Relaxed) > BREAKS, "messages came through between");
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
        .env(FREED_IS_OVERWRITTEN.0, FREED_IS_OVERWRITTEN.1)
        .output()
        .expect("a process");
    let told = [child.stdout, child.stderr].concat();
    let told = String::from_utf8_lossy(&told);
    assert!(child.status.success(), "the process ended with {}\n{told}", child.status);
}
