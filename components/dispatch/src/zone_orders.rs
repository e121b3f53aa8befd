//! Carries out operators' orders to drain and restore availability zones, in the order in which they were handed in.
//!
//! An order may be held up while the opposite one is handed in at another instance and acknowledged. The zone then stays as
//! the later order left it: docs/design/platform.md, "Calls that are held up".

use std::collections::BTreeMap;

use clock::Millis;
use events::kinds;
use model::Name;
use workload::Command;

use crate::call::Answer;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{LATE_CALL_RETENTION, MIN_REFUSAL_RETRY};

/// When orders about zones were last carried out, as far as this leader knows.
#[derive(Clone, Debug)]
pub(crate) struct ZoneOrders {
    /// When this leader's term began. The orders of earlier terms were carried out before.
    term_began: Millis,
    by_zone: BTreeMap<Name, Millis>,
}

impl ZoneOrders {
    pub(crate) fn new(now: Millis) -> ZoneOrders {
        ZoneOrders { term_began: now, by_zone: BTreeMap::new() }
    }

    /// Returns whether an order that was handed in at `received_at` comes after all that were carried out.
    fn is_latest(&self, now: Millis, zone: &Name, received_at: Millis) -> bool {
        let last = self.by_zone.get(zone).copied().unwrap_or(self.term_began);
        received_at > last && now.since(received_at) < LATE_CALL_RETENTION
    }

    /// Drops the times of orders so long ago that no earlier order is carried out any more.
    pub(crate) fn forget_old(&mut self, now: Millis) {
        self.by_zone.retain(|_, at| now.since(*at) < LATE_CALL_RETENTION);
    }
}

impl Dispatcher {
    /// Drains an availability zone or ends that. A repeated order is acknowledged and changes nothing. The zone need not have
    /// any workers yet.
    pub(crate) fn drain_zone(
        &mut self,
        m: Moment,
        zone: Name,
        drained: bool,
        received_at: Option<Millis>,
    ) -> Answer {
        if self.replicated.drained_zones().contains(&zone) != drained {
            // A call that an instance of an earlier version relays does not tell when it was handed in.
            if received_at.is_some_and(|at| !self.zone_orders.is_latest(m.now, &zone, at)) {
                self.log_late_call(m, &zone, "later_order", received_at);
                return Answer::NotDone { retry_after: MIN_REFUSAL_RETRY };
            }
            let kind = if drained { &kinds::ZONE_DRAINED } else { &kinds::ZONE_RESTORED };
            self.log_event(kind, &zone, format!("term={}", self.term));
            self.propose(Command::DrainZone { zone: zone.clone(), drained });
        }
        self.zone_orders.by_zone.insert(zone, m.now);
        Answer::ZoneUpdated
    }
}
