//! The first answers to keyed calls, so that a resend after a lost answer gets the same one.

use std::collections::{BTreeMap, VecDeque};

use model::RequestKey;
use serde::{Deserialize, Serialize};

use crate::Reply;

/// How many answers are kept. A forgotten key is harmless: compare-and-set and unique names refuse
/// a change that was made already.
const MAX_CACHED_REPLIES: usize = 20_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CachedReply {
    fingerprint: u32,
    reply: Reply,
}

/// Answers by key, oldest forgotten first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplyCache {
    by_key: BTreeMap<RequestKey, CachedReply>,
    order: VecDeque<RequestKey>,
}

/// What is known of a key.
pub(crate) enum Lookup {
    /// Nothing.
    New,
    /// The same command was answered with this.
    Cached(Reply),
    /// The key belongs to another command.
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
