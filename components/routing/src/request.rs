//! A request, as the router and its queue know it.

use std::collections::BTreeSet;

use clock::Millis;
use model::{Class, Name};

/// A request as the router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// The router's own number for it.
    pub id: u64,
    /// Its class.
    pub class: Class,
    /// When its answer is of no more use.
    pub deadline: Millis,
    /// Upstreams that it has been to.
    pub tried: BTreeSet<Name>,
}

impl RequestInfo {
    /// Tells whether it may go to an upstream: a retry never goes where it has been.
    pub(crate) fn may_go_to(&self, upstream: &Name) -> bool {
        !self.tried.contains(upstream)
    }
}
