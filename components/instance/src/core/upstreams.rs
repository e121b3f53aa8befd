//! Updates of the known upstreams, from the platform's list and from the upstreams themselves.

use std::collections::BTreeMap;

use clock::Millis;
use events::{Subject, kinds};
use model::Name;
use routing::TargetState;
use upstream::{PlatformList, WorkerState};

use super::Core;
use crate::message::Message;
use crate::shared::lock;

impl Core {
    pub(super) fn on_list(&mut self, now: Millis, list: PlatformList) {
        self.role.set_list(now, list.clone());
        let zone = self.shared.zone().clone();
        let drained = self.shared.drained();
        let here = list.workers.iter().filter(|w| w.zone == zone);
        let mut targets = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for worker in here {
            let out = worker.state == WorkerState::Leaving || drained.contains(&worker.name);
            let state = if out { TargetState::Leaving } else { TargetState::Live };
            targets.insert(worker.name.clone(), state);
            addresses.insert(worker.name.clone(), worker.addr);
        }
        self.shared.put_addresses(addresses);
        lock(&self.shared.request_plane).set_targets(targets);
    }

    pub(super) fn on_leaving(&mut self, name: &Name, notify_peers: bool) {
        let newly_known = lock(&self.shared.request_plane).mark_leaving(name);
        if !newly_known {
            return;
        }
        let text = format!("{name} is leaving");
        self.shared.journal.record(&kinds::UPSTREAM_LEAVING, Subject::default(), text);
        if notify_peers {
            self.send_to_zone(&Message::Leaving(name.clone()));
        }
    }
}
