//! Claims of non-repeatable requests: the durable record that provides at-most-once execution.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::RequestKey;
use serde::{Deserialize, Serialize};

use crate::{Claim, ClaimReply};

/// How long a key can be used after the caller created it. Claims are dropped after this time, so
/// older keys are rejected. A longer window retains more claims in the state; with a shorter one
/// slow retries are rejected.
pub const CLAIM_WINDOW: Millis = Millis(10 * 60 * 1000);
/// The maximum time by which a caller's clock may run ahead. A greater value retains claims longer;
/// a smaller one rejects callers with inaccurate clocks.
pub const CLAIM_SKEW: Millis = Millis(60 * 1000);

/// The keys claimed within the last [`CLAIM_WINDOW`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    issued: BTreeMap<RequestKey, Millis>,
    by_age: BTreeSet<(Millis, RequestKey)>,
}

impl Claims {
    /// Claims a key at the cell's time `now`. Only the first claim of a key is granted; a retry that
    /// states a later time does not extend the key's validity.
    pub fn claim(&mut self, now: Millis, claim: &Claim) -> ClaimReply {
        self.remove_expired(now);
        if self.issued.contains_key(&claim.key) {
            return ClaimReply::Taken;
        }
        if is_expired(now, claim.issued) {
            return ClaimReply::TooOld;
        }
        if claim.issued > now + CLAIM_SKEW {
            return ClaimReply::TooNew;
        }
        self.issued.insert(claim.key.clone(), claim.issued);
        self.by_age.insert((claim.issued, claim.key.clone()));
        ClaimReply::Granted
    }

    /// Returns the number of retained claims.
    pub fn len(&self) -> usize {
        self.issued.len()
    }

    /// Returns whether no claim is retained.
    pub fn is_empty(&self) -> bool {
        self.issued.is_empty()
    }

    fn remove_expired(&mut self, now: Millis) {
        while let Some((issued, _)) = self.by_age.first() {
            if !is_expired(now, *issued) {
                return;
            }
            if let Some((_, key)) = self.by_age.pop_first() {
                self.issued.remove(&key);
            }
        }
    }
}

fn is_expired(now: Millis, issued: Millis) -> bool {
    now.since(issued) > CLAIM_WINDOW
}
