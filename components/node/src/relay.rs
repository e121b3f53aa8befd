//! Bringing calls to whoever leads, through changes of leader.
//!
//! Every call may be sent again: a job is known by its id, a configuration by its version. What
//! counts is the last word. "Not done" is said only if no leader can have taken the call; once one
//! was sent and not answered, the word is "unsure".

use std::collections::BTreeMap;

use clock::Millis;
use dispatch::{Answer, Call};
use model::InstanceId;

use crate::message::Message;
use crate::peers::Reachability;

/// After what silence a call is sent again. A commit takes a few syncs of two disks.
const RESEND_AFTER: Millis = Millis(600);
/// The pause after a leader could not take a call.
const RETRY_PAUSE: Millis = Millis(120);
/// How long a call is kept that surely no leader has taken: an election.
const NOT_TAKEN_LIMIT: Millis = Millis(1_400);
/// When callers come back that found no leader, rounded up to a second on their way. Four tries at this
/// distance last as long as the balancer takes to send them to another zone.
const COME_BACK: Millis = Millis(700);
/// How long an instance that hears no voter keeps a call. If all of them are starting anew, they are
/// mostly back within four such tries; if this instance alone is cut off, another one of its zone serves
/// the next try.
const ALONE_LIMIT: Millis = Millis(300);
/// For how long such an instance sends its callers on without a pause. After that the balancer soon
/// stops sending any, and four tries must last through a longer loss of all voters.
const AT_ONCE_FOR: Millis = Millis(1_000);
/// How long an instance that is cut off still waits for an answer that may be on its way.
const LAST_WAIT: Millis = Millis(200);

/// What a relay wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayAction {
    /// Send a message.
    Send(InstanceId, Message),
    /// Answer a caller.
    Answer(u64, Answer),
}

#[derive(Clone, Debug)]
struct Pending {
    call: Call,
    taken_at: Millis,
    /// How long its caller waits.
    patience: Millis,
    /// When its caller is to come back if it is given up.
    come_back: Millis,
    /// When it is given up if surely no leader has taken it.
    give_up_at: Millis,
    /// When it is given up in any case: its caller waits no longer.
    limit_at: Millis,
    next_at: Millis,
    /// Whether a leader may have taken it without our hearing of it.
    maybe_taken: bool,
    /// Whether it was sent and the answer is awaited.
    awaited: bool,
}

impl Pending {
    /// A call that may have been taken is asked about as long as its caller waits; one that surely
    /// was not is better tried elsewhere soon.
    fn ends_at(&self) -> Millis {
        match self.maybe_taken || self.awaited {
            true => self.limit_at,
            false => self.give_up_at,
        }
    }
}

/// The calls that wait for the leader's answer.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    pending: BTreeMap<u64, Pending>,
    last_token: u64,
    /// Since when this instance has not reached enough voters.
    without_reach: Option<Millis>,
}

impl Relay {
    /// Makes a relay whose tokens differ from those of earlier lives of the process.
    pub fn new(seed: u64) -> Relay {
        Relay { last_token: seed << 20, ..Relay::default() }
    }

    /// Takes in a call and gives its token. Its caller waits for `patience`.
    pub fn accept(&mut self, now: Millis, call: Call, patience: Millis) -> u64 {
        self.last_token += 1;
        let pending = Pending {
            call,
            taken_at: now,
            patience,
            come_back: COME_BACK,
            give_up_at: now + patience.min(NOT_TAKEN_LIMIT),
            limit_at: now + patience,
            next_at: now,
            maybe_taken: false,
            awaited: false,
        };
        self.pending.insert(self.last_token, pending);
        self.last_token
    }

    /// Tells whether a call waits.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Has every call sent again: there is a new leader.
    pub fn leader_changed(&mut self, now: Millis) {
        for pending in self.pending.values_mut() {
            pending.next_at = now;
        }
    }

    /// Takes in how many voters are reached. Without enough of them calls are given up soon, as their
    /// callers can still be served elsewhere.
    pub fn set_reachability(&mut self, now: Millis, reach: Reachability) {
        self.without_reach = match reach {
            Reachability::Majority => None,
            _ => Some(self.without_reach.unwrap_or(now)),
        };
        let just_lost = self.without_reach.is_some_and(|at| now.since(at) < AT_ONCE_FOR);
        for pending in self.pending.values_mut() {
            let taken_at = pending.taken_at;
            let give_up_at = match reach {
                Reachability::Majority => taken_at + NOT_TAKEN_LIMIT,
                Reachability::Minority => now,
                Reachability::Isolated => taken_at + ALONE_LIMIT,
            };
            let ends_at = taken_at + pending.patience;
            pending.give_up_at = give_up_at.min(ends_at);
            pending.limit_at = self.without_reach.map_or(ends_at, |at| ends_at.min(at + LAST_WAIT));
            pending.come_back = match reach {
                Reachability::Isolated if just_lost => Millis::ZERO,
                _ => COME_BACK,
            };
        }
    }

    /// Sends what is due and gives up what has waited too long.
    pub fn tick(&mut self, now: Millis, leader: Option<&InstanceId>) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        for (token, pending) in &mut self.pending {
            if now >= pending.ends_at() {
                actions.push(RelayAction::Answer(*token, last_word(pending)));
                continue;
            }
            let Some(leader) = leader.filter(|_| now >= pending.next_at) else { continue };
            pending.maybe_taken |= pending.awaited;
            pending.awaited = true;
            pending.next_at = now + RESEND_AFTER;
            let message = Message::Call { token: *token, call: pending.call.clone() };
            actions.push(RelayAction::Send(leader.clone(), message));
        }
        self.pending.retain(|_, p| now < p.ends_at());
        actions
    }

    /// Takes in a leader's answer.
    pub fn on_answer(&mut self, now: Millis, token: u64, answer: Answer) -> Option<RelayAction> {
        let pending = self.pending.get_mut(&token)?;
        if let Answer::NotDone { .. } = answer {
            // It may yet find a leader that can take it.
            pending.awaited = false;
            pending.next_at = now + RETRY_PAUSE;
            return None;
        }
        self.pending.remove(&token);
        Some(RelayAction::Answer(token, answer))
    }
}

fn last_word(pending: &Pending) -> Answer {
    match !pending.call.is_read_only() && (pending.maybe_taken || pending.awaited) {
        true => Answer::Unsure { retry_after: pending.come_back },
        false => Answer::NotDone { retry_after: pending.come_back },
    }
}
