//! Changes requested by calls and by the zone's allocator: forwarded to the leader, or proposed by it.

use cell::{Command, Proposal, Reply};
use clock::{Millis, wall_now};
use consensus::ChangeError;
use model::{Name, RequestKey};
use tokio::sync::oneshot;

use super::Core;
use crate::message::{Change, Message, Outcome};
use crate::pending_changes::Requester;

impl Core {
    pub(super) fn on_change(&mut self, now: Millis, change: Change, tx: oneshot::Sender<Outcome>) {
        match self.leader() {
            Some(leader) if leader == *self.shared.id() => {
                self.propose_change(now, change, Requester::Here(tx));
            }
            Some(leader) => {
                let token = self.forwarded.add(now, tx);
                self.send(&leader, Message::Change { token, change });
            }
            None => {
                // The caller may have disconnected.
                let _ = tx.send(Outcome::Refused { reason: "no leader is known".into() });
            }
        }
    }

    /// Requests a change from the leader without waiting for the outcome, which shows in the state.
    pub(super) fn request_change(&mut self, now: Millis, command: Command) {
        let change = Change::Command { key: None, command };
        match self.leader() {
            Some(leader) if leader == *self.shared.id() => {
                self.propose_change(now, change, Requester::Nobody);
            }
            Some(leader) => {
                let token = self.forwarded.next_token();
                self.send(&leader, Message::Change { token, change });
            }
            None => {}
        }
    }

    pub(super) fn answer(&mut self, requester: Requester, outcome: Outcome) {
        match requester {
            Requester::Here(tx) => {
                // The caller may have disconnected.
                let _ = tx.send(outcome);
            }
            Requester::Peer(id, token) => self.send(&id, Message::Changed { token, outcome }),
            Requester::Nobody => {}
        }
    }

    pub(super) fn propose_change(&mut self, now: Millis, change: Change, requester: Requester) {
        let (key, command) = match change {
            Change::Command { key, command } => (key, command),
            Change::CreateJob { key, spec } => match self.choose_shares(&spec) {
                Ok(shares) => (Some(key), Command::CreateJob { spec, shares }),
                Err(outcome) => {
                    let outcome = self.outcome_for_all_attempts(key, spec, outcome);
                    return self.answer(requester, outcome);
                }
            },
            Change::Member { id, role } => {
                let outcome = match self.replica.change_member(now, &id, role) {
                    Ok(()) => Outcome::Applied(Reply::Accepted {
                        version: self.replica.node().last_index(),
                    }),
                    Err(e) => Outcome::Refused { reason: change_error_reason(&e) },
                };
                return self.answer(requester, outcome);
            }
        };
        let proposal = Proposal { key, at: wall_now(), command };
        let data = match postcard::to_allocvec(&proposal) {
            Ok(data) => data,
            Err(e) => {
                let reason = format!("the command cannot be encoded: {e}").into();
                return self.answer(requester, Outcome::Invalid { reason });
            }
        };
        match self.replica.propose(now, data.into()) {
            Ok((index, term)) => self.proposed_changes.add(index, term, requester),
            Err(_) => {
                let reason =
                    "this instance is not the leader, or too many changes are pending".into();
                self.answer(requester, Outcome::Refused { reason });
            }
        }
    }

    /// Returns the outcome of creating a job that fits nowhere, given the outcome of this attempt. An
    /// earlier one with the same key may have created it, while there was a place for it.
    fn outcome_for_all_attempts(
        &self,
        key: RequestKey,
        spec: model::JobSpec,
        outcome: Outcome,
    ) -> Outcome {
        let command = Command::CreateJob { spec, shares: Vec::new() };
        if let Some(reply) = self.cell.cached_reply(&key, &command) {
            return Outcome::Applied(reply);
        }
        // An operator sends a refused change again, but not an invalid one.
        let unapplied = self.replica.node().last_index() > self.cell.applied;
        match outcome {
            Outcome::Invalid { .. } if unapplied => {
                Outcome::Refused { reason: "earlier changes are not applied yet".into() }
            }
            outcome => outcome,
        }
    }

    /// Chooses the zones of a new job. Returns an error if no known worker can ever run it, or if none
    /// outside of the drained zones can.
    fn choose_shares(&self, spec: &model::JobSpec) -> Result<Vec<cell::Share>, Outcome> {
        let rooms = self.zone_supervisor.zone_capacities();
        let all_known = rooms.len() == self.cell.zones.iter().count();
        let fits = rooms.iter().any(|r| spec.size.fits(&r.largest));
        if !rooms.is_empty() && all_known && !fits {
            let reason = format!("can never run: no worker of any zone holds {}", spec.size);
            return Err(Outcome::Invalid { reason: reason.into() });
        }
        let usable = self.zone_supervisor.usable_capacities(&self.cell);
        if fits && !usable.iter().any(|r| spec.size.fits(&r.largest)) {
            let drained: Vec<&str> = self.cell.drained_zones.iter().map(|z| z.as_str()).collect();
            let drained = drained.join(", ");
            let reason = format!("only drained zones hold {}; drained are: {drained}", spec.size);
            return Err(Outcome::Refused { reason: reason.into() });
        }
        let none = Outcome::Refused { reason: "no zone has reported its capacity yet".into() };
        cell::assign(spec, &usable).ok_or(none)
    }
}

fn change_error_reason(e: &ChangeError) -> Name {
    match e {
        ChangeError::NotLeader(_) => "this instance is not the leader".into(),
        ChangeError::Busy => "an earlier membership change is in progress".into(),
        ChangeError::Unknown => "there was no contact with the instance".into(),
        ChangeError::NoVoter => "the change would leave no voter".into(),
    }
}
