//! What the instances of a zone tell each other and the leader, and what the leader grants zones.

use cell::Command;
use clock::Millis;
use model::InstanceId;

use super::Core;
use super::messages::MOST_COPIES;
use super::timers::{ASK_EVERY, COPIES_EVERY, DEMAND_EVERY, MOVES_EVERY, is_due};
use crate::message::{Change, Message, ZoneRequest};
use crate::pending_changes::Asker;
use crate::shared::lock;
use crate::zone_supervisor::ZoneDecision;

impl Core {
    pub(super) fn on_zone_ask(&mut self, now: Millis, from: &InstanceId, ask: &ZoneRequest) {
        if self.certain_index(now) != Some(self.cell.applied) {
            return;
        }
        match self.zone_supervisor.handle_request(now, &self.cell, from, ask) {
            ZoneDecision::Confirm => {
                let (epoch, asked_at) = (ask.epoch, ask.asked_at);
                let last_index = self.replica.node().last_index();
                self.send(from, Message::ZoneConfirmed { epoch, asked_at, last_index });
            }
            ZoneDecision::Grant(command) => self.propose_zone_change(now, command),
            ZoneDecision::Wait => {}
        }
    }

    pub(super) fn propose_zone_change(&mut self, now: Millis, command: Command) {
        let zone = match &command {
            Command::GrantEpoch { zone, .. } => zone.clone(),
            Command::MoveShare { from, .. } => from.clone(),
            _ => return,
        };
        self.propose_change(now, Change::Command { key: None, command }, Asker::Nobody);
        self.zone_supervisor.record_proposal(&zone, self.replica.node().last_index());
    }

    pub(super) fn talk_to_zone(&mut self, now: Millis) {
        if is_due(now, &mut self.timers.demand, DEMAND_EVERY) {
            let id = self.shared.id().clone();
            let epoch = self.cell.zones.epoch(self.shared.zone());
            let demand = lock(&self.shared.plane).demand(now, epoch, &id);
            self.send_to_zone(&Message::Demand(demand));
        }
        if self.copy_asks_left > 0 && is_due(now, &mut self.timers.copy_ask, ASK_EVERY) {
            self.copy_asks_left -= 1;
            self.send_to_mates(&Message::EventsAsk);
        }
        if is_due(now, &mut self.timers.copies, COPIES_EVERY) {
            let copies = self.shared.journal.take_uncopied(MOST_COPIES);
            if !copies.is_empty() {
                self.send_to_zone(&Message::Events(copies));
            }
        }
    }

    pub(super) fn move_shares(&mut self, now: Millis) {
        let leads = self.certain_index(now) == Some(self.cell.applied);
        if leads && is_due(now, &mut self.timers.moves, MOVES_EVERY) {
            for command in self.zone_supervisor.share_moves(now, &self.cell) {
                self.propose_zone_change(now, command);
            }
        }
    }

    pub(super) fn ask_leader(&mut self, now: Millis) {
        if self.role.wants_pledges() {
            let ask = Message::PledgeAsk { epoch: self.role.epoch(), asked_at: now };
            self.send_to_mates(&ask);
        }
        let Some(leader) = self.leader() else { return };
        if let Some(release) = self.role.set_drained(self.shared.is_drained()) {
            self.ask_for(now, release);
        }
        if let Some(ask) = self.role.ask(now, self.cell.applied) {
            self.send(&leader, Message::ZoneRequest(ask));
        }
    }
}
