//! The request plane: the router and the requests that wait for an upstream.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{CellConfig, Class, Epoch, InstanceId, Name};
use routing::{
    Admission, Demand, Dispatch, Loan, RequestInfo, RequestOutcome, Router, RouterConfig,
    SelectionPolicy, SlotSharing, TargetState,
};
use settings::Settings;
use tokio::sync::oneshot;

/// How slots are divided among instances, and how upstreams are selected; docs/design/requests.md
/// gives the measurements behind both.
const SLOT_SHARING: SlotSharing = SlotSharing::Borrowed;
const UPSTREAM_SELECTION: SelectionPolicy = SelectionPolicy::ShortestWait;

fn router_config(config: &CellConfig) -> RouterConfig {
    RouterConfig {
        sharing: SLOT_SHARING,
        selection: UPSTREAM_SELECTION,
        slots: config.upstream_slots,
        instances: config.instances_per_zone,
        queue_limit: config.queue_limit,
        retry_percent: config.retry_percent,
    }
}

/// Returns the number of slots of each upstream that the zone's broker may lend.
pub(crate) fn lendable_slots(config: &CellConfig) -> u32 {
    routing::lendable_slots(SLOT_SHARING, config.upstream_slots, config.instances_per_zone)
}

/// The router's response to an arriving request.
pub(crate) enum Arrival {
    /// The decision was made immediately.
    Decided(Admission),
    /// The request is queued and the decision follows.
    Queued(oneshot::Receiver<Dispatch>),
}

/// The router and the waiters for its later decisions.
pub(crate) struct RequestPlane {
    router: Router,
    waiters: BTreeMap<u64, oneshot::Sender<Dispatch>>,
    next_id: u64,
    in_progress: u32,
    listed: BTreeMap<Name, TargetState>,
    /// Upstreams that announced that they are leaving, to this instance or to a peer.
    leaving: BTreeSet<Name>,
}

impl RequestPlane {
    pub(crate) fn new(settings: &Settings) -> RequestPlane {
        RequestPlane {
            router: Router::new(
                router_config(&CellConfig::default()),
                settings.seed,
                clock::wall_now().0,
            ),
            waiters: BTreeMap::new(),
            next_id: 0,
            in_progress: 0,
            listed: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }

    pub(crate) fn configure(&mut self, config: &CellConfig) {
        self.router.configure(router_config(config));
    }

    /// Sets the zone's upstreams. An upstream that announced its leaving remains marked until it is
    /// gone from the list.
    pub(crate) fn set_targets(&mut self, listed: BTreeMap<Name, TargetState>) {
        self.leaving.retain(|name| listed.contains_key(name));
        self.listed = listed;
        self.refresh_targets();
    }

    fn refresh_targets(&mut self) {
        let mut targets = self.listed.clone();
        for name in &self.leaving {
            targets.insert(name.clone(), TargetState::Leaving);
        }
        self.router.set_targets(&targets);
    }

    /// Marks an upstream as leaving. Returns whether it was listed and not marked yet.
    pub(crate) fn mark_leaving(&mut self, name: &Name) -> bool {
        let known = !self.listed.contains_key(name) || !self.leaving.insert(name.clone());
        self.router.note_leaving(name);
        !known
    }

    /// Creates the router's information about a request, with a new id.
    pub(crate) fn new_request(
        &mut self,
        class: Class,
        deadline: Millis,
        tried: BTreeSet<Name>,
    ) -> RequestInfo {
        self.next_id += 1;
        RequestInfo { id: self.next_id, class, deadline, tried }
    }

    pub(crate) fn arrive(&mut self, now: Millis, info: RequestInfo) -> Arrival {
        let (id, class) = (info.id, info.class);
        match self.router.admit(now, info.clone()) {
            Admission::Wait => Arrival::Queued(self.wait_for(id)),
            refusal @ Admission::Refuse { .. } if class == Class::Urgent => {
                // Sheds a request of a lower class; without one the refusal is returned.
                let Some(shed) = self.router.shed_below(now, class) else {
                    return Arrival::Decided(refusal);
                };
                self.notify(vec![shed]);
                match self.router.admit(now, info) {
                    Admission::Wait => Arrival::Queued(self.wait_for(id)),
                    decided => Arrival::Decided(decided),
                }
            }
            decided => Arrival::Decided(decided),
        }
    }

    fn wait_for(&mut self, id: u64) -> oneshot::Receiver<Dispatch> {
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(id, tx);
        rx
    }

    pub(crate) fn ended(&mut self, now: Millis, upstream: &Name, ending: RequestOutcome) {
        let dispatches = self.router.ended(now, upstream, ending);
        self.notify_waiters(now, dispatches);
    }

    pub(crate) fn tick(&mut self, now: Millis) {
        let dispatches = self.router.tick(now);
        self.notify_waiters(now, dispatches);
    }

    /// Delivers decisions to the waiters. A decision for a caller that has disconnected frees its slot.
    fn notify_waiters(&mut self, now: Millis, mut dispatches: Vec<Dispatch>) {
        while !dispatches.is_empty() {
            let undelivered = self.notify(dispatches);
            dispatches = Vec::new();
            for upstream in undelivered {
                dispatches.extend(self.router.ended(now, &upstream, RequestOutcome::Abandoned));
            }
        }
    }

    fn notify(&mut self, dispatches: Vec<Dispatch>) -> Vec<Name> {
        let mut undelivered = Vec::new();
        for dispatch in dispatches {
            let id = match &dispatch {
                Dispatch::Send { id, .. } | Dispatch::Refuse { id, .. } => *id,
            };
            let delivered = self.waiters.remove(&id).map(|tx| tx.send(dispatch.clone()));
            if let (Dispatch::Send { upstream, .. }, Some(Err(_)) | None) = (dispatch, delivered) {
                undelivered.push(upstream);
            }
        }
        undelivered
    }

    /// Removes a request whose caller has disconnected.
    pub(crate) fn cancel(&mut self, id: u64) {
        self.waiters.remove(&id);
        self.router.cancel(id);
    }

    pub(crate) fn may_retry(&mut self, now: Millis, info: &RequestInfo) -> bool {
        self.router.may_retry(now, info)
    }

    pub(crate) fn demand(&mut self, now: Millis, epoch: Epoch, id: &InstanceId) -> Demand {
        self.router.demand(now, epoch, id)
    }

    pub(crate) fn apply_loan(&mut self, now: Millis, loan: &Loan) {
        self.router.loans_mut().take(now, loan);
        let dispatches = self.router.tick(now);
        self.notify_waiters(now, dispatches);
    }

    /// Adjusts the number of callers' requests between arrival and response.
    pub(crate) fn adjust_in_progress(&mut self, by: i32) {
        self.in_progress = self.in_progress.saturating_add_signed(by);
    }

    /// Returns the number of callers' requests in progress.
    pub(crate) fn in_progress(&self) -> u32 {
        self.in_progress
    }

    pub(crate) fn router(&self) -> &Router {
        &self.router
    }
}
