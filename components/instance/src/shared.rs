//! The state that the threads of an instance share.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use cell::ConfigVersion;
use clock::{Clock, Millis, SystemClock};
use events::Journal;
use metrics::Timings;
use model::{InstanceId, Name, ZoneId};
use settings::Settings;

use crate::request_plane::RequestPlane;

/// Locks a mutex, even if a thread panicked while holding it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// The state that the core shares with the server threads.
pub(crate) struct Shared {
    /// The settings.
    pub(crate) settings: Settings,
    /// The clock that all timeouts use.
    pub(crate) clock: SystemClock,
    /// The event journal.
    pub(crate) journal: Journal,
    /// The measured durations.
    pub(crate) timings: Mutex<Timings>,
    /// The request plane.
    pub(crate) request_plane: Mutex<RequestPlane>,
    config: RwLock<Arc<ConfigVersion>>,
    addresses: RwLock<Arc<BTreeMap<Name, SocketAddr>>>,
    drained: RwLock<Arc<BTreeSet<Name>>>,
    zone_drained: AtomicBool,
    ready: AtomicBool,
    stopping: AtomicBool,
    closed: AtomicBool,
}

impl Shared {
    pub(crate) fn new(settings: Settings) -> Shared {
        let journal = Journal::new(settings.own.id.0.clone());
        let request_plane = RequestPlane::new(&settings);
        Shared {
            clock: SystemClock::default(),
            journal,
            timings: Mutex::default(),
            request_plane: Mutex::new(request_plane),
            config: RwLock::default(),
            addresses: RwLock::default(),
            drained: RwLock::default(),
            zone_drained: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            settings,
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn id(&self) -> &InstanceId {
        &self.settings.own.id
    }

    pub(crate) fn zone(&self) -> &ZoneId {
        &self.settings.own.zone
    }

    /// Returns the active configuration.
    pub(crate) fn config(&self) -> Arc<ConfigVersion> {
        self.config.read().unwrap_or_else(|e| e.into_inner()).clone()
    }

    /// Activates a configuration, unless a newer one is active.
    pub(crate) fn put_config(&self, config: ConfigVersion) {
        let mut current = self.config.write().unwrap_or_else(|e| e.into_inner());
        if config.version >= current.version {
            lock(&self.request_plane).configure(&config.config);
            *current = Arc::new(config);
        }
    }

    pub(crate) fn addresses(&self) -> Arc<BTreeMap<Name, SocketAddr>> {
        self.addresses.read().unwrap_or_else(|e| e.into_inner()).clone()
    }

    pub(crate) fn put_addresses(&self, addresses: BTreeMap<Name, SocketAddr>) {
        *self.addresses.write().unwrap_or_else(|e| e.into_inner()) = Arc::new(addresses);
    }

    pub(crate) fn drained(&self) -> Arc<BTreeSet<Name>> {
        self.drained.read().unwrap_or_else(|e| e.into_inner()).clone()
    }

    pub(crate) fn put_drained(&self, drained: BTreeSet<Name>) {
        *self.drained.write().unwrap_or_else(|e| e.into_inner()) = Arc::new(drained);
    }

    /// Returns whether this instance knows a configuration that may be the active one.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }

    pub(crate) fn set_ready(&self) {
        self.ready.store(true, Ordering::SeqCst);
    }

    /// Returns whether the balancer should send no more callers.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests are refused.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    pub(crate) fn set_closed(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns whether operators have drained this instance's zone. The instance still allocates, to
    /// renew the leases of what runs, but the balancer should send no more callers.
    pub(crate) fn is_zone_drained(&self) -> bool {
        self.zone_drained.load(Ordering::SeqCst)
    }

    pub(crate) fn set_zone_drained(&self, drained: bool) {
        self.zone_drained.store(drained, Ordering::SeqCst);
    }

    pub(crate) fn is_drained(&self) -> bool {
        self.drained().contains(&self.id().0)
    }
}
