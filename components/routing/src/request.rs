//! A request as the router and its queue see it.

use std::collections::BTreeSet;

use clock::Millis;
use model::{Class, Name};

/// A request as the router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// The identifier of the request within the router.
    pub id: u64,
    /// Its class.
    pub class: Class,
    /// The time after which the caller no longer needs the answer.
    pub deadline: Millis,
    /// The upstreams that it has already been sent to.
    pub tried: BTreeSet<Name>,
}

impl RequestInfo {
    /// Returns whether the request may go to an upstream. A retry never goes to an upstream that it
    /// has been sent to.
    pub(crate) fn may_go_to(&self, upstream: &Name) -> bool {
        !self.tried.contains(upstream)
    }
}
