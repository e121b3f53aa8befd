//! A cache of the first replies to keyed calls, so that a retry after a lost reply gets the same one.

use std::collections::{BTreeMap, VecDeque};

use model::RequestKey;
use serde::{Deserialize, Serialize};

use crate::Reply;

/// The number of cached replies. An evicted key is harmless: compare-and-set and unique names reject
/// a change that was already made.
const MAX_CACHED_REPLIES: usize = 20_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CachedReply {
    fingerprint: u32,
    reply: Reply,
}

/// The cached replies by key; the oldest are evicted first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplyCache {
    by_key: BTreeMap<RequestKey, CachedReply>,
    order: VecDeque<RequestKey>,
}

/// The result of looking up a key.
pub(crate) enum Lookup {
    /// The key is not in the cache.
    New,
    /// The reply to an earlier call with the same key and command.
    Cached(Reply),
    /// The key was used for a different command.
    DifferentCommand,
}

impl ReplyCache {
    pub(crate) fn find(&self, key: &RequestKey, fingerprint: u32) -> Lookup {
        match self.by_key.get(key) {
            None => Lookup::New,
            Some(a) if a.fingerprint == fingerprint => Lookup::Cached(a.reply.clone()),
            Some(_) => Lookup::DifferentCommand,
        }
    }

    pub(crate) fn insert(&mut self, key: RequestKey, fingerprint: u32, reply: Reply) {
        self.by_key.insert(key.clone(), CachedReply { fingerprint, reply });
        self.order.push_back(key);
        while self.order.len() > MAX_CACHED_REPLIES {
            if let Some(oldest) = self.order.pop_front() {
                self.by_key.remove(&oldest);
            }
        }
    }
}
