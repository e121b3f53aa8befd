//! Messages between instances: taking them in and sending them.

use clock::Millis;
use consensus::Envelope;
use model::InstanceId;

use super::Core;
use crate::message::Message;
use crate::pending_changes::Asker;
use crate::shared::lock;

/// How many events one message copies at the most.
pub(super) const MOST_COPIES: usize = 2_000;

impl Core {
    pub(super) fn on_message(&mut self, now: Millis, from: InstanceId, message: Message) {
        match message {
            Message::Consensus(envelope) => self.replica.receive(now, envelope),
            Message::Change { token, change } => {
                self.propose_change(now, change, Asker::Peer(from, token));
            }
            Message::Changed { token, outcome } => self.forwarded.answer(token, outcome),
            Message::ReadAsk { token } => {
                let index = self.certain_index(now);
                self.send(&from, Message::ReadAt { token, index });
            }
            Message::ReadAt { token, index } => self.reads.told(token, index),
            Message::ZoneRequest(ask) => self.on_zone_ask(now, &from, &ask),
            Message::ZoneConfirmed { epoch, asked_at, last_index } => {
                self.role.confirm(epoch, asked_at, last_index);
            }
            Message::PledgeAsk { epoch, asked_at } => {
                if self.role.pledge(now, epoch, &self.cell) {
                    self.send(&from, Message::Pledge { epoch, asked_at });
                }
            }
            Message::Pledge { epoch, asked_at } => self.role.take_pledge(epoch, &from, asked_at),
            Message::Demand(demand) => {
                let config = self.shared.config();
                let pool = crate::request_plane::pool_to_lend(&config.config);
                if let Some(loan) = self.role.lend(now, &demand, pool) {
                    self.send(&from, Message::Loan(loan));
                }
            }
            Message::Loan(loan) => lock(&self.shared.plane).take_loan(now, &loan),
            Message::Leaving(name) => self.on_leaving(&name, false),
            Message::Events(copies) if from != *self.shared.id() => {
                self.shared.journal.add_copies(copies);
            }
            Message::Events(_) => {}
            Message::EventsAsk => {
                for part in self.shared.journal.all_copies().chunks(MOST_COPIES) {
                    self.send(&from, Message::EventsKept(part.to_vec()));
                }
            }
            Message::EventsKept(copies) => {
                self.shared.journal.add_copies(copies);
                self.copy_asks_left = 0;
            }
        }
    }

    pub(super) fn send(&mut self, to: &InstanceId, message: Message) {
        if to == self.shared.id() {
            self.to_self.push(message);
        } else {
            self.links.send(to, self.shared.journal.clock().next(), message);
        }
    }

    pub(super) fn send_envelopes(&mut self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let to = envelope.to.clone();
            self.send(&to, Message::Consensus(envelope));
        }
    }

    /// Sends to all instances of the zone but this one.
    pub(super) fn send_to_mates(&mut self, message: &Message) {
        let own = self.shared.id().clone();
        for id in self.zone_instances().into_iter().filter(|id| *id != own) {
            self.send(&id, message.clone());
        }
    }

    /// Sends to all instances of the zone, this one too.
    pub(super) fn send_to_zone(&mut self, message: &Message) {
        for id in self.zone_instances() {
            self.send(&id, message.clone());
        }
    }

    fn zone_instances(&self) -> Vec<InstanceId> {
        let zone = self.shared.zone();
        let peers = self.shared.settings.peers.values().filter(|p| p.zone == *zone);
        peers.map(|p| p.id.clone()).collect()
    }
}
