//! A proxy on loopback that spoils connections as a test wants it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the proxy does with what passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
    /// Hands everything on.
    Nothing = 0,
    /// Hands nothing on, in either direction, and closes nothing.
    Silence = 1,
    /// Hands requests on and swallows the answers.
    OneWay = 2,
    /// Hands everything on late.
    Delay = 3,
    /// Closes every connection at its next byte.
    Reset = 4,
}

impl Spoil {
    /// Every way to spoil a connection.
    pub const ALL: [Spoil; 4] = [Spoil::Silence, Spoil::OneWay, Spoil::Delay, Spoil::Reset];
}

/// How late [`Spoil::Delay`] hands things on.
const DELAY: Duration = Duration::from_millis(350);

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    mode: Arc<AtomicU8>,
    open: Arc<Mutex<Vec<Open>>>,
}

/// A connection that the proxy has taken.
#[derive(Debug)]
struct Open {
    near: TcpStream,
    /// Whether it has gone silent for good.
    hushed: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Errors
    /// If no port can be had.
    pub fn start(target: SocketAddr) -> std::io::Result<Proxy> {
        Proxy::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), target)
    }

    /// Starts a proxy in front of `target` at an address that others know as the target's own.
    ///
    /// # Errors
    /// If the address cannot be had.
    pub fn start_at(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(listen)?;
        let proxy =
            Proxy { addr: listener.local_addr()?, mode: Arc::default(), open: Arc::default() };
        let (mode, open) = (proxy.mode.clone(), proxy.open.clone());
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else { continue };
                let (Ok(near2), Ok(far2), Ok(kept)) =
                    (near.try_clone(), far.try_clone(), near.try_clone())
                else {
                    continue;
                };
                let hushed = Arc::<AtomicBool>::default();
                let connection = Open { near: kept, hushed: hushed.clone() };
                open.lock().unwrap_or_else(|e| e.into_inner()).push(connection);
                let (there, back) = (mode.clone(), mode.clone());
                let (hushed_there, hushed_back) = (hushed.clone(), hushed);
                thread::spawn(move || pass(near, far, &there, &hushed_there, true));
                thread::spawn(move || pass(far2, near2, &back, &hushed_back, false));
            }
        });
        Ok(proxy)
    }

    /// Gives where the proxy listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Begins to spoil what passes, or ends it. What was swallowed is lost, so connections that
    /// were spoiled are closed at the end.
    pub fn spoil(&self, how: Spoil) {
        let before = self.mode.swap(how as u8, Ordering::SeqCst);
        if how == Spoil::Nothing && before != Spoil::Delay as u8 {
            let mut open = self.open.lock().unwrap_or_else(|e| e.into_inner());
            for connection in open.drain(..) {
                // It may have ended by itself.
                let _ = connection.near.shutdown(Shutdown::Both);
            }
        }
    }

    /// Lets every connection that is open go silent for good, in both directions and without a reset.
    /// New ones pass. Gives how many connections that were ever taken are silent now.
    pub fn hush_open(&self) -> usize {
        let open = self.open.lock().unwrap_or_else(|e| e.into_inner());
        open.iter().for_each(|c| c.hushed.store(true, Ordering::SeqCst));
        open.len()
    }
}

fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    mode: &AtomicU8,
    hushed: &AtomicBool,
    request: bool,
) {
    let mut buf = [0; 16_384];
    while let Ok(n) = from.read(&mut buf) {
        if hushed.load(Ordering::SeqCst) {
            // Nobody learns that a silent connection was closed, either.
            if n == 0 {
                return;
            }
            continue;
        }
        let mode = mode.load(Ordering::SeqCst);
        if n == 0 || mode == Spoil::Reset as u8 {
            break;
        }
        let swallowed = mode == Spoil::Silence as u8 || (mode == Spoil::OneWay as u8 && !request);
        if swallowed {
            continue;
        }
        if mode == Spoil::Delay as u8 {
            thread::sleep(DELAY);
        }
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    // Either side may be closed already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
