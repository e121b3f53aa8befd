//! Requested changes that wait for their outcome.

use std::collections::BTreeMap;

use clock::{Millis, wall_now};
use model::InstanceId;
use tokio::sync::oneshot;

use crate::message::Outcome;

/// The maximum wait for an outcome before it is reported as unknown.
pub(crate) const MAX_WAIT: Millis = Millis(5_000);

/// Returns the number from which a process numbers its requests. It is greater than the numbers of
/// earlier processes of this instance, so that a late reply to one of them is not mistaken for a
/// reply to this process.
pub(crate) fn first_token() -> u64 {
    const TOKEN_BITS_PER_MILLISECOND: u32 = 20;
    wall_now().0 << TOKEN_BITS_PER_MILLISECOND
}

/// The receiver of an outcome.
pub(crate) enum Requester {
    /// A call on this instance.
    Here(oneshot::Sender<Outcome>),
    /// Another instance, and its number for the change.
    Peer(InstanceId, u64),
    /// Nobody: the requester observes the state instead.
    Nobody,
}

/// Changes forwarded to the leader, by this instance's numbers.
pub(crate) struct ForwardedChanges {
    next: u64,
    waiting: BTreeMap<u64, (oneshot::Sender<Outcome>, Millis)>,
}

impl Default for ForwardedChanges {
    fn default() -> Self {
        ForwardedChanges { next: first_token(), waiting: BTreeMap::new() }
    }
}

impl ForwardedChanges {
    pub(crate) fn add(&mut self, now: Millis, tx: oneshot::Sender<Outcome>) -> u64 {
        self.next += 1;
        self.waiting.insert(self.next, (tx, now + MAX_WAIT));
        self.next
    }

    /// Returns the number for a change whose outcome nobody waits for.
    pub(crate) fn next_token(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub(crate) fn answer(&mut self, token: u64, outcome: Outcome) {
        if let Some((tx, _)) = self.waiting.remove(&token) {
            // The caller may have disconnected.
            let _ = tx.send(outcome);
        }
    }

    pub(crate) fn expire(&mut self, now: Millis) {
        let late: Vec<u64> =
            self.waiting.iter().filter(|(_, w)| now >= w.1).map(|(t, _)| *t).collect();
        late.into_iter().for_each(|t| self.answer(t, Outcome::Unknown));
    }

    /// Completes all changes with an unknown outcome, because the leader has changed.
    pub(crate) fn abandon_all(&mut self) {
        for (tx, _) in std::mem::take(&mut self.waiting).into_values() {
            // The caller may have disconnected.
            let _ = tx.send(Outcome::Unknown);
        }
    }
}

/// Changes proposed by this leader, by log index.
#[derive(Default)]
pub(crate) struct ProposedChanges {
    waiting: BTreeMap<u64, (u64, Requester)>,
}

impl ProposedChanges {
    pub(crate) fn add(&mut self, index: u64, term: u64, requester: Requester) {
        if !matches!(requester, Requester::Nobody) {
            self.waiting.insert(index, (term, requester));
        }
    }

    /// Removes and returns the requester of the entry at `index`, if that entry has the given term.
    pub(crate) fn take(&mut self, index: u64, term: u64) -> Option<Requester> {
        let (asked_term, requester) = self.waiting.remove(&index)?;
        (asked_term == term).then_some(requester)
    }

    /// Removes and returns all requesters, because this instance no longer leads.
    pub(crate) fn take_all(&mut self) -> Vec<Requester> {
        std::mem::take(&mut self.waiting).into_values().map(|w| w.1).collect()
    }
}
