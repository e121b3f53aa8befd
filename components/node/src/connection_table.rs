//! Decides which connections of a listener may stay open and whose bodies may take memory.
//!
//! All clients come through one balancer, so an address does not tell a crowd from ordinary callers; age and size do. A
//! request that has been incomplete for the longest time makes place for others, and a small body takes no memory of the
//! budget, so that an ordinary job never waits behind large ones. A request that is complete is answered.
//! docs/design/clients.md has the reasons.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;

/// The size up to which what a request holds does not count, in bytes: the memory of its connection includes it.
pub const FREE_REQUEST_MEMORY: usize = 8 << 10;

/// Identifies a connection of a listener.
pub type ConnectionId = u64;

/// The limits of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// How many connections stay open.
    pub connections: usize,
    /// How many bytes requests may hold together, beyond [`FREE_REQUEST_MEMORY`] each.
    pub memory: usize,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The head of its first request.
    FirstRequest,
    /// The rest of a body.
    Body,
    /// The answer to a complete request.
    Answer,
    /// The next request.
    NextRequest,
    /// Its end.
    Close,
}

impl Phase {
    /// Returns the phase's name for metrics and the log.
    pub fn name(self) -> &'static str {
        match self {
            Phase::FirstRequest => "first_request",
            Phase::Body => "body",
            Phase::Answer => "answer",
            Phase::NextRequest => "next_request",
            Phase::Close => "close",
        }
    }
}

/// A connection that has to end so that there is room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The connection.
    pub id: ConnectionId,
    /// What it waited for.
    pub phase: Phase,
    /// For how long.
    pub waited: Millis,
    /// How many bytes its request held.
    pub memory: usize,
}

/// The outcome of a request for memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The memory is reserved. These requests have to end for it.
    Granted(Vec<Eviction>),
    /// There is no memory: what others hold belongs to requests that are being answered.
    Refused,
    /// The connection is closing.
    Closing,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    since: Millis,
    memory: usize,
}

impl Connection {
    /// Returns how much of the budget its request takes.
    fn budgeted(&self) -> usize {
        self.memory.saturating_sub(FREE_REQUEST_MEMORY)
    }

    /// Returns its place in the order of eviction, or `None` if it may not be evicted. One that served a caller before comes
    /// after all others: a caller in good faith may be about to use it.
    fn eviction_key(&self, id: ConnectionId) -> Option<EvictionKey> {
        match self.phase {
            Phase::FirstRequest | Phase::Body => Some((false, self.since, id)),
            Phase::NextRequest => Some((true, self.since, id)),
            Phase::Answer | Phase::Close => None,
        }
    }
}

/// Whether a connection has served a caller before, since when it waits, and its id.
type EvictionKey = (bool, Millis, ConnectionId);

/// The open connections of a listener.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The connections that may be evicted, the first one first.
    evictable: BTreeSet<EvictionKey>,
    /// The incomplete requests that take memory of the budget, by when they began.
    holders: BTreeSet<(Millis, ConnectionId)>,
    /// The memory of the budget that is taken, in bytes.
    taken: usize,
    /// How many connections are closing.
    closing: usize,
    last_id: ConnectionId,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(limits: ConnectionLimits) -> ConnectionTable {
        ConnectionTable {
            limits,
            connections: BTreeMap::new(),
            evictable: BTreeSet::new(),
            holders: BTreeSet::new(),
            taken: 0,
            closing: 0,
            last_id: 0,
        }
    }

    /// Returns how many connections are open, apart from those that are closing.
    pub fn open_count(&self) -> usize {
        self.connections.len() - self.closing
    }

    /// Returns how many bytes of the budget requests hold.
    pub fn memory_taken(&self) -> usize {
        self.taken
    }

    /// Adds a connection. Returns its id and, if there are too many, others that have to end.
    pub fn open(&mut self, now: Millis) -> (ConnectionId, Vec<Eviction>) {
        let mut evicted = Vec::new();
        while self.open_count() >= self.limits.connections
            && let Some((_, _, id)) = self.evictable.first().copied()
        {
            evicted.extend(self.evict(now, id));
        }
        self.last_id += 1;
        self.put(self.last_id, Connection { phase: Phase::FirstRequest, since: now, memory: 0 });
        (self.last_id, evicted)
    }

    /// Records that the head of a request is complete and its body is awaited.
    pub fn begin_request(&mut self, now: Millis, id: ConnectionId) {
        self.change(id, |c| *c = Connection { phase: Phase::Body, since: now, memory: 0 });
    }

    /// Reserves memory for a request: `memory` bytes in all.
    pub fn reserve(&mut self, now: Millis, id: ConnectionId, memory: usize) -> Reservation {
        let Some(connection) = self.connections.get(&id).copied() else {
            return Reservation::Closing;
        };
        if connection.phase == Phase::Close {
            return Reservation::Closing;
        }
        let wanted = Connection { memory, ..connection }.budgeted();
        let kept = self.taken - connection.budgeted();
        let others = self.holders.iter().filter(|(_, holder)| *holder != id);
        let mut victims = Vec::new();
        let mut freed = 0;
        for (_, holder) in others {
            if kept - freed + wanted <= self.limits.memory {
                break;
            }
            freed += self.connections[holder].budgeted();
            victims.push(*holder);
        }
        if kept - freed + wanted > self.limits.memory {
            return Reservation::Refused;
        }
        let evicted = victims.into_iter().filter_map(|v| self.evict(now, v)).collect();
        self.change(id, |c| c.memory = memory);
        Reservation::Granted(evicted)
    }

    /// Records that a request is complete. It is answered whatever others need.
    pub fn complete_request(&mut self, now: Millis, id: ConnectionId) {
        self.change(id, |c| *c = Connection { phase: Phase::Answer, since: now, ..*c });
    }

    /// Records that a request is answered.
    pub fn end_request(&mut self, now: Millis, id: ConnectionId) {
        self.change(id, |c| *c = Connection { phase: Phase::NextRequest, since: now, memory: 0 });
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.take(id);
    }

    /// Marks a connection as closing and returns what it waited for.
    fn evict(&mut self, now: Millis, id: ConnectionId) -> Option<Eviction> {
        let Connection { phase, since, memory } = self.take(id)?;
        self.put(id, Connection { phase: Phase::Close, since: now, memory: 0 });
        Some(Eviction { id, phase, waited: now.since(since), memory })
    }

    /// Changes a connection unless it is closing.
    fn change(&mut self, id: ConnectionId, change: impl FnOnce(&mut Connection)) {
        if self.connections.get(&id).is_some_and(|c| c.phase != Phase::Close)
            && let Some(mut connection) = self.take(id)
        {
            change(&mut connection);
            self.put(id, connection);
        }
    }

    fn take(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        if let Some(key) = connection.eviction_key(id) {
            self.evictable.remove(&key);
        }
        self.holders.remove(&(connection.since, id));
        self.taken -= connection.budgeted();
        self.closing -= usize::from(connection.phase == Phase::Close);
        Some(connection)
    }

    fn put(&mut self, id: ConnectionId, connection: Connection) {
        self.evictable.extend(connection.eviction_key(id));
        if connection.phase == Phase::Body && connection.budgeted() > 0 {
            self.holders.insert((connection.since, id));
        }
        self.taken += connection.budgeted();
        self.closing += usize::from(connection.phase == Phase::Close);
        self.connections.insert(id, connection);
    }
}
