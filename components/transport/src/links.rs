//! The sockets to and from the other instances.

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

/// How many messages to one instance may wait before further ones are dropped.
const SEND_BUFFER: i32 = 1024;
/// How many messages may wait to be taken in.
const RECV_BUFFER: i32 = 4096;
const RECONNECT_MIN: Duration = Duration::from_millis(20);
const RECONNECT_MAX: Duration = Duration::from_millis(200);

/// Who we are and whom we talk to.
#[derive(Clone, Debug)]
pub struct LinksConfig {
    /// This instance.
    pub id: InstanceId,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The other instances.
    pub peers: BTreeMap<InstanceId, SocketAddr>,
}

/// What is called with each message, or with why one could not be read. It runs on the receiving
/// thread and must not wait.
pub type OnMessage<M> = Box<dyn Fn(Result<Packet<M>>) + Send>;

/// A link to one instance.
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
    /// Opens the sockets and starts receiving. Instances that are not there yet are dialled until
    /// they are.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if the address to listen on cannot be had.
    pub fn open<M>(cfg: &LinksConfig, on_message: OnMessage<M>) -> Result<Links>
    where
        M: DeserializeOwned + 'static,
    {
        let refused = Arc::new(Mutex::new(BTreeSet::new()));
        let mut peers = BTreeMap::new();
        for (id, addr) in &cfg.peers {
            let socket = dial(*addr).map_err(fault(addr))?;
            peers.insert(id.clone(), Peer { addr: *addr, socket });
        }
        let inbox = listen(cfg.listen).map_err(fault(&cfg.listen))?;
        let refused_in = refused.clone();
        let receive = move || receive_all(&inbox, &refused_in, &on_message);
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
            // An instance that is slow or not there loses it; whoever needs an answer asks again.
            let _ = peer.socket.try_send(bytes.as_slice());
        }
    }

    /// Opens a link to an instance that was not known at the start. Does nothing if there is one.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no socket can be had.
    pub fn connect(&self, id: &InstanceId, addr: SocketAddr) -> Result<()> {
        let mut peers = lock(&self.peers);
        if peers.get(id).is_some_and(|p| p.addr == addr) {
            return Ok(());
        }
        let socket = dial(addr).map_err(fault(&addr))?;
        peers.insert(id.clone(), Peer { addr, socket });
        Ok(())
    }

    /// Closes the link to an instance and opens it anew. A connection whose other end was cut off
    /// or lost power would otherwise wait for the kernel's resends, which take ever longer.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no socket can be had.
    pub fn reconnect(&self, id: &InstanceId) -> Result<()> {
        let mut peers = lock(&self.peers);
        let Some(peer) = peers.get_mut(id) else { return Ok(()) };
        let socket = dial(peer.addr).map_err(fault(&peer.addr))?;
        peer.socket = socket;
        Ok(())
    }

    /// Closes the link to an instance that is gone for good.
    pub fn disconnect(&self, id: &InstanceId) {
        lock(&self.peers).remove(id);
    }

    /// Refuses all messages to and from `peers` from now on, for tests of cut links.
    pub fn set_refused_peers(&self, peers: BTreeSet<InstanceId>) {
        *lock(&self.refused) = peers;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn fault(addr: &SocketAddr) -> impl FnOnce(nng::Error) -> Error {
    let target = addr.to_string();
    move |e| Error::Unreachable { target, reason: e.to_string() }
}

/// Opens the sending end of a link, which publishes to the one instance that it dials.
///
/// It is no `Push0` socket: those send over freed memory after a connection broke with a message on its way, which
/// ended the process. What is sent while there is no connection is dropped, so no stale messages follow once there
/// is one. docs/incidents/instances-ended-as-links-broke.md.
fn dial(addr: SocketAddr) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Pub0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(&format!("tcp://{addr}"))?;
    Ok(socket)
}

/// Opens the receiving end of all links to this instance, which takes whatever they publish.
fn listen(addr: SocketAddr) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Sub0)?;
    let everything = Vec::new();
    socket.set_opt::<Subscribe>(everything)?;
    socket.set_opt::<RecvMaxSize>(MAX_PACKET)?;
    socket.set_opt::<RecvBufferSize>(RECV_BUFFER)?;
    socket.listen(&format!("tcp://{addr}"))?;
    Ok(socket)
}

fn receive_all<M: DeserializeOwned>(
    inbox: &Socket,
    refused: &Mutex<BTreeSet<InstanceId>>,
    on_message: &OnMessage<M>,
) {
    loop {
        match inbox.recv() {
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
