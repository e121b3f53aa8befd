//! The first answers to keyed calls, so that a resend after a lost answer gets the same one.

use std::collections::{BTreeMap, VecDeque};

use model::RequestKey;
use serde::{Deserialize, Serialize};

use crate::Reply;

/// How many answers are kept. A forgotten key is harmless: compare-and-set and unique names refuse
/// a change that was made already.
const KEPT: usize = 20_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Answered {
    command: u32,
    reply: Reply,
}

/// Answers by key, oldest forgotten first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Answers {
    by_key: BTreeMap<RequestKey, Answered>,
    order: VecDeque<RequestKey>,
}

/// What is known of a key.
pub(crate) enum Known {
    /// Nothing.
    New,
    /// The same command was answered with this.
    Answered(Reply),
    /// The key belongs to another command.
    OtherCommand,
}

impl Answers {
    pub(crate) fn find(&self, key: &RequestKey, command: u32) -> Known {
        match self.by_key.get(key) {
            None => Known::New,
            Some(a) if a.command == command => Known::Answered(a.reply.clone()),
            Some(_) => Known::OtherCommand,
        }
    }

    pub(crate) fn keep(&mut self, key: RequestKey, command: u32, reply: Reply) {
        self.by_key.insert(key.clone(), Answered { command, reply });
        self.order.push_back(key);
        while self.order.len() > KEPT {
            if let Some(oldest) = self.order.pop_front() {
                self.by_key.remove(&oldest);
            }
        }
    }
}
