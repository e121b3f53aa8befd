//! Links to the other instances: a sending socket for each, and one receiving socket.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use errors::{Error, Result};
use model::InstanceId;
use nng::options::protocol::pubsub::Subscribe;
use nng::options::{
    Options, ReconnectMaxTime, ReconnectMinTime, RecvBufferSize, RecvMaxSize, SendBufferSize,
};
use nng::{Protocol, Socket};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::packet::{MAX_PACKET, Packet, decode, encode};

/// The maximum number of queued messages to one instance; further ones are dropped. With a smaller value messages of
/// a burst are lost; a greater one takes more memory while an instance is slow.
const SEND_BUFFER: i32 = 1024;
/// The maximum number of received messages that wait to be processed; beyond it messages are dropped. With a smaller
/// value messages of a burst are lost; a greater one takes more memory.
const RECV_BUFFER: i32 = 4096;
/// The shortest delay before a broken connection is dialled again, and before receiving is retried after an error.
const RECONNECT_MIN: Duration = Duration::from_millis(20);
/// The longest delay before a broken connection is dialled again. A greater one delays the contact to an instance that
/// has restarted.
const RECONNECT_MAX: Duration = Duration::from_millis(200);

/// The configuration of [`Links`].
#[derive(Clone, Debug)]
pub struct LinksConfig {
    /// The id of this instance.
    pub id: InstanceId,
    /// The address it listens on.
    pub listen: SocketAddr,
    /// The addresses of the other instances.
    pub peers: BTreeMap<InstanceId, SocketAddr>,
}

/// A callback for each received message, or for the error if it could not be decoded. It runs on the
/// receiving thread and must not block.
pub type OnMessage<M> = Box<dyn Fn(Result<Packet<M>>) + Send>;

/// The sending end of a link to one instance.
struct Peer {
    addr: SocketAddr,
    socket: Socket,
}

/// The links to the other instances.
pub struct Links {
    id: InstanceId,
    peers: Mutex<BTreeMap<InstanceId, Peer>>,
    refused: Arc<Mutex<BTreeSet<InstanceId>>>,
}

impl Links {
    /// Opens the sockets and starts receiving. Instances that cannot be reached are dialled until
    /// they can.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if a socket cannot be opened, for example because the address to listen on is in use.
    pub fn open<M>(cfg: &LinksConfig, on_message: OnMessage<M>) -> Result<Links>
    where
        M: DeserializeOwned + 'static,
    {
        let refused = Arc::new(Mutex::new(BTreeSet::new()));
        let mut peers = BTreeMap::new();
        for (id, addr) in &cfg.peers {
            let socket = dial(*addr).map_err(to_error(addr))?;
            peers.insert(id.clone(), Peer { addr: *addr, socket });
        }
        let receiver = listen(cfg.listen).map_err(to_error(&cfg.listen))?;
        let refused_in = refused.clone();
        let receive = move || receive_all(&receiver, &refused_in, &on_message);
        thread::Builder::new()
            .name("links".into())
            .spawn(receive)
            .map_err(|e| Error::Refused(format!("cannot start a thread: {e}")))?;
        Ok(Links { id: cfg.id.clone(), peers: Mutex::new(peers), refused })
    }

    /// Sends a message, or drops it if the instance is unknown, refused, not connected or too slow.
    pub fn send<M: Serialize>(&self, to: &InstanceId, order: u64, message: M) {
        if lock(&self.refused).contains(to) {
            return;
        }
        let peers = lock(&self.peers);
        let Some(peer) = peers.get(to) else { return };
        let packet = Packet { from: self.id.clone(), order, message };
        if let Ok(bytes) = encode(&packet) {
            // The message is dropped if the instance is slow or not connected; senders that need an answer retry.
            let _ = peer.socket.try_send(bytes.as_slice());
        }
    }

    /// Opens a link to an instance, or to its new address. Does nothing if there is one to that address.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no socket can be opened.
    pub fn connect(&self, id: &InstanceId, addr: SocketAddr) -> Result<()> {
        let mut peers = lock(&self.peers);
        if peers.get(id).is_some_and(|p| p.addr == addr) {
            return Ok(());
        }
        let socket = dial(addr).map_err(to_error(&addr))?;
        peers.insert(id.clone(), Peer { addr, socket });
        Ok(())
    }

    /// Closes the link to an instance and opens a new one. A connection whose other end was disconnected
    /// or lost power would otherwise wait for the kernel's retransmissions, whose intervals keep growing.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no socket can be opened.
    pub fn reconnect(&self, id: &InstanceId) -> Result<()> {
        let mut peers = lock(&self.peers);
        let Some(peer) = peers.get_mut(id) else { return Ok(()) };
        let socket = dial(peer.addr).map_err(to_error(&peer.addr))?;
        peer.socket = socket;
        Ok(())
    }

    /// Closes the link to an instance that has left permanently.
    pub fn disconnect(&self, id: &InstanceId) {
        lock(&self.peers).remove(id);
    }

    /// Drops all messages to and from `peers` from now on, and only these, for tests of network partitions.
    pub fn set_refused_peers(&self, peers: BTreeSet<InstanceId>) {
        *lock(&self.refused) = peers;
    }
}

/// Locks a mutex, even if a thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Returns a conversion of socket errors to errors about `addr`.
fn to_error(addr: &SocketAddr) -> impl FnOnce(nng::Error) -> Error {
    let target = addr.to_string();
    move |e| Error::Unreachable { target, reason: e.to_string() }
}

/// Opens the sending end of a link, which publishes to the one instance that it dials.
///
/// It is not a `Push0` socket: those use freed memory after a connection broke with a message in flight, which crashed
/// the process. Messages sent without a connection are dropped, so no stale messages follow once there is one. See
/// docs/incidents/instances-ended-as-links-broke.md.
fn dial(addr: SocketAddr) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Pub0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(&format!("tcp://{addr}"))?;
    Ok(socket)
}

/// Opens the receiving end of all links to this instance, which subscribes to everything that they publish.
fn listen(addr: SocketAddr) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Sub0)?;
    let everything = Vec::new();
    socket.set_opt::<Subscribe>(everything)?;
    socket.set_opt::<RecvMaxSize>(MAX_PACKET)?;
    socket.set_opt::<RecvBufferSize>(RECV_BUFFER)?;
    socket.listen(&format!("tcp://{addr}"))?;
    Ok(socket)
}

/// Passes each received message to `on_message` until the socket is closed, except those from refused instances.
fn receive_all<M: DeserializeOwned>(
    receiver: &Socket,
    refused: &Mutex<BTreeSet<InstanceId>>,
    on_message: &OnMessage<M>,
) {
    loop {
        match receiver.recv() {
            Ok(bytes) => {
                let packet = decode::<M>(&bytes);
                let dropped = packet.as_ref().is_ok_and(|p| lock(refused).contains(&p.from));
                if !dropped {
                    on_message(packet);
                }
            }
            Err(nng::Error::Closed) => return,
            Err(_) => thread::sleep(RECONNECT_MIN),
        }
    }
}
