//! Processing and sending of messages between instances.

use clock::Millis;
use consensus::Envelope;
use model::InstanceId;

use super::Core;
use crate::message::Message;
use crate::pending_changes::Requester;
use crate::shared::lock;

/// The maximum number of events that one message copies.
pub(super) const MAX_COPIES_PER_MESSAGE: usize = 2_000;

impl Core {
    pub(super) fn on_message(&mut self, now: Millis, from: InstanceId, message: Message) {
        match message {
            Message::Consensus(envelope) => self.replica.receive(now, envelope),
            Message::Change { token, change } => {
                self.propose_change(now, change, Requester::Peer(from, token));
            }
            Message::Changed { token, outcome } => self.forwarded.answer(token, outcome),
            Message::ReadIndexRequest { token } => {
                let index = self.confirmed_index(now);
                self.send(&from, Message::ReadIndexReply { token, index });
            }
            Message::ReadIndexReply { token, index } => self.reads.on_index(token, index),
            Message::ZoneRequest(request) => self.on_zone_request(now, &from, &request),
            Message::ZoneConfirmed { epoch, asked_at, last_index } => {
                self.role.confirm(epoch, asked_at, last_index);
            }
            Message::CommitmentRequest { epoch, asked_at } => {
                if self.role.give_commitment(now, epoch, &self.cell) {
                    self.send(&from, Message::Commitment { epoch, asked_at });
                }
            }
            Message::Commitment { epoch, asked_at } => {
                self.role.record_commitment(epoch, &from, asked_at)
            }
            Message::Demand(demand) => {
                let config = self.shared.config();
                let pool = crate::request_plane::lendable_slots(&config.config);
                if let Some(loan) = self.role.lend(now, &demand, pool) {
                    self.send(&from, Message::Loan(loan));
                }
            }
            Message::Loan(loan) => lock(&self.shared.request_plane).apply_loan(now, &loan),
            Message::Leaving(name) => self.on_leaving(&name, false),
            Message::Events(copies) if from != *self.shared.id() => {
                self.shared.journal.add_copies(copies);
            }
            Message::Events(_) => {}
            Message::EventsRequest => {
                for part in self.shared.journal.all_copies().chunks(MAX_COPIES_PER_MESSAGE) {
                    self.send(&from, Message::RetainedEvents(part.to_vec()));
                }
            }
            Message::RetainedEvents(copies) => {
                self.shared.journal.add_copies(copies);
                self.copy_requests_left = 0;
            }
        }
    }

    pub(super) fn send(&mut self, to: &InstanceId, message: Message) {
        if to == self.shared.id() {
            self.self_messages.push(message);
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

    /// Sends a message to all instances of the zone except this one.
    pub(super) fn send_to_zone_peers(&mut self, message: &Message) {
        let own = self.shared.id().clone();
        for id in self.zone_instances().into_iter().filter(|id| *id != own) {
            self.send(&id, message.clone());
        }
    }

    /// Sends a message to all instances of the zone, including this one.
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
