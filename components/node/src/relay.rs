//! Relays calls to the current leader, across changes of leader.
//!
//! Every call may be sent again: a job is identified by its id, a configuration by its version. The final
//! answer must be correct for all attempts: "not done" is given only if no leader can have accepted the call.
//! A leader that gets a later attempt is told that there was an earlier one, and answers for both; an answer
//! to an earlier attempt cannot reject the call. Without an answer to the last attempt the final one is
//! "unsure". docs/design/platform.md, "Calls that are sent again", has the reasons.
//!
//! An attempt may be held up on its way. It carries the time by which its caller has an answer, and no leader carries it out
//! later.

use std::collections::BTreeMap;

use clock::Millis;
use dispatch::{Answer, Call, CallTimes, MIN_REFUSAL_RETRY};
use model::InstanceId;

use crate::message::Message;
use crate::peers::{Leader, Reachability};

/// How long an answer is awaited before a call is sent again. A commit takes a few syncs of two disks, so
/// with a smaller value calls would be sent twice.
const RESEND_AFTER: Millis = Millis(600);
/// The pause after a leader rejected a call before it is sent again.
const RETRY_PAUSE: Millis = Millis(120);
/// How long a call is kept that certainly no leader has accepted: the time of an election.
const MAX_WAIT_NOT_ACCEPTED: Millis = Millis(1_400);
/// After how long callers that found no leader should retry; the answer rounds it up to a whole second. Four
/// attempts at this interval last as long as the balancer takes to send callers to another zone.
const RETRY_AFTER: Millis = Millis(700);
/// How long an instance that reaches no voter keeps a call. If all voters are restarting, they are mostly
/// back within four such attempts; if only this instance is cut off, another one of its zone serves the next
/// attempt.
const MAX_WAIT_ISOLATED: Millis = Millis(300);
/// For how long such an instance lets its callers retry without a pause. After that the balancer soon stops
/// sending callers, and without a pause four attempts would not outlast a longer loss of all voters.
const IMMEDIATE_RETRY_PERIOD: Millis = Millis(1_000);
/// How long an instance that has lost the majority of the voters still awaits an answer that may be in transit.
const FINAL_ANSWER_WAIT: Millis = Millis(200);

/// An action that a relay requests.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayAction {
    /// Send a message to an instance.
    Send(InstanceId, Message),
    /// Answer the caller whose call has this token.
    Answer(u64, Answer),
}

#[derive(Clone, Debug)]
struct Pending {
    call: Call,
    /// When the call arrived, or an earlier time.
    arrived_after: Millis,
    received_at: Millis,
    /// How long the caller waits.
    max_wait: Millis,
    /// After how long the caller should retry if the call expires.
    retry_after: Millis,
    /// When the call expires if certainly no leader has accepted it.
    not_accepted_expires_at: Millis,
    /// When the call expires in any case.
    expires_at: Millis,
    next_send_at: Millis,
    /// Whether a leader may have accepted the call in an attempt that got no answer.
    maybe_accepted: bool,
    /// Whether the call was sent and its answer is awaited.
    answer_awaited: bool,
    /// The tokens of its attempts, each of which differs.
    attempts: Vec<u64>,
}

impl Pending {
    /// Returns when the call expires. One that may have been accepted is kept as long as its caller waits; one
    /// that certainly was not is better retried at another instance soon.
    fn ends_at(&self) -> Millis {
        match self.maybe_accepted || self.answer_awaited {
            true => self.expires_at,
            false => self.not_accepted_expires_at,
        }
    }
}

/// The calls that await the leader's answer.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    pending: BTreeMap<u64, Pending>,
    /// The calls of the attempts that were sent.
    calls: BTreeMap<u64, u64>,
    last_token: u64,
    /// Since when this instance has not reached a majority of the voters.
    majority_lost_at: Option<Millis>,
}

impl Relay {
    /// Creates a relay. `seed` makes its tokens differ from those of earlier incarnations of the process.
    pub fn new(seed: u64) -> Relay {
        Relay { last_token: seed << 20, ..Relay::default() }
    }

    /// Accepts a call whose caller waits for `max_wait`, and returns its token. It may have arrived as early as
    /// `arrived_after`, if this process did not run meanwhile; see [`crate::Arrivals`].
    pub fn accept(
        &mut self,
        now: Millis,
        arrived_after: Millis,
        call: Call,
        max_wait: Millis,
    ) -> u64 {
        self.last_token += 1;
        let pending = Pending {
            call,
            arrived_after,
            received_at: now,
            max_wait,
            retry_after: RETRY_AFTER,
            not_accepted_expires_at: now + max_wait.min(MAX_WAIT_NOT_ACCEPTED),
            expires_at: now + max_wait,
            next_send_at: now,
            maybe_accepted: false,
            answer_awaited: false,
            attempts: Vec::new(),
        };
        self.pending.insert(self.last_token, pending);
        self.last_token
    }

    /// Returns whether any call awaits its answer.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Schedules every call to be sent again, to a new leader.
    pub fn leader_changed(&mut self, now: Millis) {
        for pending in self.pending.values_mut() {
            pending.next_send_at = now;
        }
    }

    /// Updates how many voters can be reached. Without a majority calls expire soon, as their callers may
    /// still be served by another instance.
    pub fn set_reachability(&mut self, now: Millis, reachability: Reachability) {
        self.majority_lost_at = match reachability {
            Reachability::Majority => None,
            _ => Some(self.majority_lost_at.unwrap_or(now)),
        };
        let just_lost =
            self.majority_lost_at.is_some_and(|at| now.since(at) < IMMEDIATE_RETRY_PERIOD);
        for pending in self.pending.values_mut() {
            let received_at = pending.received_at;
            let not_accepted_expires_at = match reachability {
                Reachability::Majority => received_at + MAX_WAIT_NOT_ACCEPTED,
                Reachability::Minority => now,
                Reachability::Isolated => received_at + MAX_WAIT_ISOLATED,
            };
            let ends_at = received_at + pending.max_wait;
            pending.not_accepted_expires_at = not_accepted_expires_at.min(ends_at);
            pending.expires_at =
                self.majority_lost_at.map_or(ends_at, |at| ends_at.min(at + FINAL_ANSWER_WAIT));
            pending.retry_after = match reachability {
                Reachability::Isolated if just_lost => Millis::ZERO,
                _ => RETRY_AFTER,
            };
        }
    }

    /// Returns the calls that are due to be sent, and the final answers of those that have expired.
    pub fn tick(&mut self, now: Millis, leader: Option<&Leader>) -> Vec<RelayAction> {
        let expired = self.pending.iter().filter(|(_, p)| now >= p.ends_at());
        let expired: Vec<u64> = expired.map(|(call, _)| *call).collect();
        let mut actions: Vec<RelayAction> = Vec::new();
        for call in expired {
            let answer = self.remove(call).map(|p| RelayAction::Answer(call, final_answer(&p)));
            actions.extend(answer);
        }
        let Some(leader) = leader else { return actions };
        for (id, pending) in self.pending.iter_mut().filter(|(_, p)| now >= p.next_send_at) {
            pending.maybe_accepted |= pending.answer_awaited;
            pending.answer_awaited = true;
            pending.next_send_at = now + RESEND_AFTER;
            let token = match pending.attempts.is_empty() {
                true => *id,
                false => {
                    self.last_token += 1;
                    self.last_token
                }
            };
            pending.attempts.push(token);
            self.calls.insert(token, *id);
            let call = pending.call.clone();
            let times = CallTimes {
                received_at: leader.clock.at_least(pending.arrived_after),
                deadline: leader.clock.at_least(pending.expires_at),
            };
            let (repeated, term) = (pending.maybe_accepted, leader.term);
            let message = Message::TimedCall { token, call, repeated, term, times };
            actions.push(RelayAction::Send(leader.id.clone(), message));
        }
        actions
    }

    /// Processes a leader's answer to an attempt. Returns the answer to the caller unless another attempt
    /// is awaited or follows.
    pub fn on_answer(&mut self, now: Millis, token: u64, answer: Answer) -> Option<RelayAction> {
        let call = *self.calls.get(&token)?;
        let pending = self.pending.get_mut(&call)?;
        let is_last = pending.attempts.last() == Some(&token);
        match answer {
            // The leader refuses the job because of its backlog: another attempt now would only add to the
            // load. One that is still in transit may arrive when the backlog is shorter.
            Answer::NotDone { retry_after } if retry_after >= MIN_REFUSAL_RETRY => {
                let answer = match pending.maybe_accepted {
                    true => Answer::Unsure { retry_after },
                    false => Answer::NotDone { retry_after },
                };
                self.finish(call, answer)
            }
            // The leader of a later attempt tells whether this one or that one was accepted.
            _ if !is_last && !answer.is_success() => None,
            Answer::NotDone { .. } => {
                // Another leader may still accept the call.
                pending.answer_awaited = false;
                pending.next_send_at = now + RETRY_PAUSE;
                None
            }
            answer => self.finish(call, answer),
        }
    }

    fn finish(&mut self, call: u64, answer: Answer) -> Option<RelayAction> {
        self.remove(call).map(|_| RelayAction::Answer(call, answer))
    }

    fn remove(&mut self, call: u64) -> Option<Pending> {
        let pending = self.pending.remove(&call)?;
        for token in &pending.attempts {
            self.calls.remove(token);
        }
        Some(pending)
    }
}

fn final_answer(pending: &Pending) -> Answer {
    match !pending.call.is_read_only() && (pending.maybe_accepted || pending.answer_awaited) {
        true => Answer::Unsure { retry_after: pending.retry_after },
        false => Answer::NotDone { retry_after: pending.retry_after },
    }
}
