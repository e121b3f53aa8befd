//! The state of a control instance for the term in which it leads.

use std::collections::{BTreeMap, VecDeque};

use clock::Millis;
use dispatch::Dispatcher;
use model::InstanceId;

use crate::delegated_renewals::DelegatedRenewals;
use crate::leader_timings::LeaderTimings;

/// The origin of a call at the leader, which gets the answer.
pub(crate) enum CallOrigin {
    Peer { id: InstanceId, token: u64 },
    Local(u64),
}

/// The state of a term in which this instance leads. It is dropped as a whole when the term ends, so that
/// nothing carries over to a later term.
pub(crate) struct LeaderTerm {
    pub(crate) term: u64,
    pub(crate) dispatcher: Dispatcher,
    call_origins: BTreeMap<u64, CallOrigin>,
    last_token: u64,
    /// The renewals that entry instances hold for this leader.
    pub(crate) delegated_renewals: DelegatedRenewals,
    /// The proposed batches that are not committed, with the time of their proposal.
    proposed_at: VecDeque<(u64, Millis)>,
    /// Where the time of this term's last second went.
    pub(crate) timings: LeaderTimings,
}

impl LeaderTerm {
    pub(crate) fn new(term: u64, dispatcher: Dispatcher, timings: LeaderTimings) -> LeaderTerm {
        LeaderTerm {
            term,
            dispatcher,
            call_origins: BTreeMap::new(),
            delegated_renewals: DelegatedRenewals::default(),
            last_token: 0,
            proposed_at: VecDeque::new(),
            timings,
        }
    }

    /// Records the origin of a call and returns the dispatcher's token for it. The origins' own tokens would not
    /// do, as two instances may use the same one.
    pub(crate) fn add_call(&mut self, origin: CallOrigin) -> u64 {
        self.last_token += 1;
        self.call_origins.insert(self.last_token, origin);
        self.last_token
    }

    /// Removes a call and returns its origin.
    pub(crate) fn take_call(&mut self, token: u64) -> Option<CallOrigin> {
        self.call_origins.remove(&token)
    }

    pub(crate) fn record_proposed(&mut self, now: Millis, batch: u64) {
        self.proposed_at.push_back((batch, now));
    }

    /// Removes the oldest uncommitted batch if it is `batch` or an earlier one, and returns when it was
    /// proposed.
    pub(crate) fn pop_committed(&mut self, batch: u64) -> Option<Millis> {
        let (oldest, at) = *self.proposed_at.front()?;
        if oldest > batch {
            return None;
        }
        self.proposed_at.pop_front();
        Some(at)
    }
}
