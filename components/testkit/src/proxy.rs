//! A TCP proxy on loopback that injects connection faults.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The fault that the proxy injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
    /// Forwards everything.
    Nothing = 0,
    /// Drops all data in both directions and keeps the connections open.
    Silence = 1,
    /// Forwards requests and drops the answers.
    OneWay = 2,
    /// Forwards everything with a delay.
    Delay = 3,
    /// Closes each connection when it next receives data.
    Reset = 4,
}

impl Spoil {
    /// All faults.
    pub const ALL: [Spoil; 4] = [Spoil::Silence, Spoil::OneWay, Spoil::Delay, Spoil::Reset];
}

/// How long [`Spoil::Delay`] holds each chunk of data back.
const DELAY: Duration = Duration::from_millis(350);
/// How much of a connection's data is kept to look for a [`Marker`].
const MAX_HEAD: usize = 128;
/// How often a connection whose data is held checks whether that is over.
const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A running proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    mode: Arc<AtomicU8>,
    open: Arc<Mutex<Vec<ProxiedConnection>>>,
    /// The connections whose requests are held, see [`Proxy::hold`].
    held: Held,
}

type Held = Arc<Mutex<Option<Marker>>>;

/// A text at a fixed position of a connection's data, by which the connections of one client are told from others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Marker {
    /// The position of its first byte.
    pub position: usize,
    /// The text.
    pub text: String,
}

impl Marker {
    fn marks(&self, head: &[u8]) -> bool {
        head.get(self.position..).is_some_and(|h| h.starts_with(self.text.as_bytes()))
    }
}

/// A connection that the proxy has accepted.
#[derive(Debug)]
struct ProxiedConnection {
    client: TcpStream,
    /// Whether its data is dropped for good.
    silenced: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy in front of `target` on a free port.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start(target: SocketAddr) -> std::io::Result<Proxy> {
        Proxy::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), target)
    }

    /// Starts a proxy in front of `target` that listens on a given address, which clients take for the target's.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn start_at(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(listen)?;
        let proxy = Proxy {
            addr: listener.local_addr()?,
            mode: Arc::default(),
            open: Arc::default(),
            held: Arc::default(),
        };
        let (mode, open) = (proxy.mode.clone(), proxy.open.clone());
        let held = proxy.held.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let (Ok(client_return), Ok(server_return), Ok(tracked)) =
                    (client.try_clone(), server.try_clone(), client.try_clone())
                else {
                    continue;
                };
                let silenced = Arc::<AtomicBool>::default();
                let connection = ProxiedConnection { client: tracked, silenced: silenced.clone() };
                open.lock().unwrap_or_else(|e| e.into_inner()).push(connection);
                let (mode_forward, mode_return) = (mode.clone(), mode.clone());
                let (silenced_forward, silenced_return) = (silenced.clone(), silenced);
                let held = held.clone();
                thread::spawn(move || {
                    forward(client, server, &mode_forward, &silenced_forward, Some(&held))
                });
                thread::spawn(move || {
                    forward(server_return, client_return, &mode_return, &silenced_return, None)
                });
            }
        });
        Ok(proxy)
    }

    /// Returns the address on which the proxy listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault to inject. When a fault that drops data ends, all connections are closed, because the
    /// dropped data is missing from their streams.
    pub fn spoil(&self, how: Spoil) {
        let before = self.mode.swap(how as u8, Ordering::SeqCst);
        if how == Spoil::Nothing && before != Spoil::Delay as u8 {
            let mut open = self.open.lock().unwrap_or_else(|e| e.into_inner());
            for connection in open.drain(..) {
                // The connection may be closed already.
                let _ = connection.client.shutdown(Shutdown::Both);
            }
        }
    }

    /// Holds the requests of the connections with this marker, in order, until [`Proxy::release`], as a partition does with
    /// what was sent. A connection that is closed meanwhile still delivers what was sent before.
    pub fn hold(&self, marker: Marker) {
        *self.held.lock().unwrap_or_else(|e| e.into_inner()) = Some(marker);
    }

    /// Delivers what is held.
    pub fn release(&self) {
        *self.held.lock().unwrap_or_else(|e| e.into_inner()) = None;
    }

    /// Drops all further data of the existing connections, in both directions and without closing them. New
    /// connections work. Returns the number of silenced connections, including those that have ended.
    pub fn hush_open(&self) -> usize {
        let open = self.open.lock().unwrap_or_else(|e| e.into_inner());
        open.iter().for_each(|c| c.silenced.store(true, Ordering::SeqCst));
        open.len()
    }
}

/// Waits while the requests of a connection are held, given the beginning of its data.
fn wait_released(head: &[u8], held: &Mutex<Option<Marker>>) {
    let is_held = || {
        let held = held.lock().unwrap_or_else(|e| e.into_inner());
        held.as_ref().is_some_and(|marker| marker.marks(head))
    };
    while is_held() {
        thread::sleep(HOLD_CHECK_INTERVAL);
    }
}

/// Copies data in one direction until the connection ends, and applies the fault that is set. Only requests can be `held`.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    mode: &AtomicU8,
    silenced: &AtomicBool,
    held: Option<&Mutex<Option<Marker>>>,
) {
    let mut buf = [0; 16_384];
    let mut head = Vec::new();
    while let Ok(n) = from.read(&mut buf) {
        if silenced.load(Ordering::SeqCst) {
            // A close on one side is not passed on to the other side either.
            if n == 0 {
                return;
            }
            continue;
        }
        let mode = mode.load(Ordering::SeqCst);
        if n == 0 || mode == Spoil::Reset as u8 {
            break;
        }
        let swallowed =
            mode == Spoil::Silence as u8 || (mode == Spoil::OneWay as u8 && held.is_none());
        if swallowed {
            continue;
        }
        if mode == Spoil::Delay as u8 {
            thread::sleep(DELAY);
        }
        if let Some(held) = held {
            head.extend(buf[..n].iter().take(MAX_HEAD - head.len()));
            wait_released(&head, held);
        }
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    // Either side may be closed already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
