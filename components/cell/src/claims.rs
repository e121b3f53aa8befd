//! Claims of not repeatable requests: the durable memory behind "at most once".

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::RequestKey;
use serde::{Deserialize, Serialize};

use crate::{Claim, ClaimReply};

/// How long a key can be used after the caller made it. Older keys are refused, because their
/// claims are forgotten.
pub const CLAIM_WINDOW: Millis = Millis(10 * 60 * 1000);
/// How far a caller's clock may run ahead.
pub const CLAIM_SKEW: Millis = Millis(60 * 1000);

/// The claimed keys of the last [`CLAIM_WINDOW`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    issued: BTreeMap<RequestKey, Millis>,
    by_age: BTreeSet<(Millis, RequestKey)>,
}

impl Claims {
    /// Claims a key at the cell's time `now`. Only the first claim of a key is granted; a key may
    /// not be made younger by a resend that states another time.
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

    /// Gives how many claims are kept.
    pub fn len(&self) -> usize {
        self.issued.len()
    }

    /// Tells whether no claim is kept.
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
