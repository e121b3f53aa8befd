//! Messages among the instances of a zone and to the leader, and the leader's grants to zones.

use cell::Command;
use clock::Millis;
use model::InstanceId;

use super::Core;
use super::messages::MAX_COPIES_PER_MESSAGE;
use super::timers::{
    COPY_INTERVAL, DEMAND_INTERVAL, LEADER_REQUEST_INTERVAL, MOVE_CHECK_INTERVAL, is_due,
};
use crate::message::{Change, Message, ZoneRequest};
use crate::pending_changes::Requester;
use crate::shared::lock;
use crate::zone_supervisor::ZoneDecision;

impl Core {
    pub(super) fn on_zone_request(
        &mut self,
        now: Millis,
        from: &InstanceId,
        request: &ZoneRequest,
    ) {
        if self.confirmed_index(now) != Some(self.cell.applied) {
            return;
        }
        match self.zone_supervisor.handle_request(now, &self.cell, from, request) {
            ZoneDecision::Confirm => {
                let (epoch, asked_at) = (request.epoch, request.asked_at);
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
        self.propose_change(now, Change::Command { key: None, command }, Requester::Nobody);
        self.zone_supervisor.record_proposal(&zone, self.replica.node().last_index());
    }

    pub(super) fn send_zone_messages(&mut self, now: Millis) {
        if is_due(now, &mut self.timers.demand, DEMAND_INTERVAL) {
            let id = self.shared.id().clone();
            let epoch = self.cell.zones.epoch(self.shared.zone());
            let demand = lock(&self.shared.request_plane).demand(now, epoch, &id);
            self.send_to_zone(&Message::Demand(demand));
        }
        if self.copy_requests_left > 0
            && is_due(now, &mut self.timers.copy_request, LEADER_REQUEST_INTERVAL)
        {
            self.copy_requests_left -= 1;
            self.send_to_zone_peers(&Message::EventsRequest);
        }
        if is_due(now, &mut self.timers.copies, COPY_INTERVAL) {
            let copies = self.shared.journal.take_uncopied(MAX_COPIES_PER_MESSAGE);
            if !copies.is_empty() {
                self.send_to_zone(&Message::Events(copies));
            }
        }
    }

    pub(super) fn move_shares(&mut self, now: Millis) {
        let leads = self.confirmed_index(now) == Some(self.cell.applied);
        if leads && is_due(now, &mut self.timers.moves, MOVE_CHECK_INTERVAL) {
            for command in self.zone_supervisor.share_moves(now, &self.cell) {
                self.propose_zone_change(now, command);
            }
        }
    }

    pub(super) fn send_leader_requests(&mut self, now: Millis) {
        if self.role.needs_commitments() {
            let request = Message::CommitmentRequest { epoch: self.role.epoch(), asked_at: now };
            self.send_to_zone_peers(&request);
        }
        let Some(leader) = self.leader() else { return };
        if let Some(release) = self.role.set_drained(self.shared.is_drained()) {
            self.request_change(now, release);
        }
        if let Some(request) = self.role.request(now, self.cell.applied) {
            self.send(&leader, Message::ZoneRequest(request));
        }
    }
}
