//! Links that are reconnected continuously, to peers that accept, refuse or ignore connections, do
//! not crash the process.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use model::InstanceId;
use transport::{Links, LinksConfig};

/// The number of times each link is reconnected, unless `HEATHVALE_RECONNECTS` sets another.
const ROUNDS: u64 = 200;

fn rounds() -> u64 {
    std::env::var("HEATHVALE_RECONNECTS").ok().and_then(|t| t.parse().ok()).unwrap_or(ROUNDS)
}

/// Returns an address on which no process listens.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it is bound")
}

/// Opens links on a free address; retries because another test may take the address first.
fn open(id: &str, received: &Arc<AtomicU64>) -> (Links, SocketAddr) {
    for _ in 0..20 {
        let listen = free_address();
        let cfg = LinksConfig { id: InstanceId::from(id), listen, peers: BTreeMap::new() };
        let received = received.clone();
        let count = move |_| {
            received.fetch_add(1, Ordering::Relaxed);
        };
        if let Ok(links) = Links::open::<u64>(&cfg, Box::new(count)) {
            return (links, listen);
        }
    }
    panic!("no address stays free");
}

#[test]
fn links_survive_being_opened_anew_all_the_time() {
    let received = Arc::new(AtomicU64::new(0));
    let (links, _) = open("a", &received);
    let (peer, other) = open("b", &received);
    let dead = free_address();
    // A listener that never accepts: connections to it hang once its backlog is full.
    let unaccepting = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let targets = [other, dead, unaccepting.local_addr().expect("it is bound")];
    let ids = ["b", "c", "d"].map(InstanceId::from);
    for (id, addr) in ids.iter().zip(targets) {
        links.connect(id, addr).expect("a socket can be had");
    }
    let stop = AtomicBool::new(false);
    thread::scope(|s| {
        s.spawn(|| {
            while !stop.load(Ordering::Relaxed) {
                ids.iter().for_each(|id| links.send(id, 0, 7u64));
                thread::yield_now();
            }
        });
        for _ in 0..rounds() {
            for id in &ids {
                links.reconnect(id).expect("a socket can be had");
            }
        }
        stop.store(true, Ordering::Relaxed);
    });
    drop(peer);
}
