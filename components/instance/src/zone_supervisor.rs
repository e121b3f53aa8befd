//! The leader's care for the zones: who allocates, and what moves when a zone is cut off.
//!
//! The keeper is pure. It only ever acts on rights that have surely run out, see
//! docs/design/leases.md.

use std::collections::BTreeMap;

use cell::{Cell, Command, JobState, ZoneCapacity, choose_target_zone};
use clock::Millis;
use model::{Epoch, InstanceId, ZoneId};
use zone::{share_move_delay, takeover_delay};

pub use crate::message::ZoneRequest;

/// How much longer than it must a zone is left alone before its tasks move, so that short cuts move
/// nothing.
const MOVE_GRACE: Millis = Millis(10_000);
/// The most shares that are moved at once.
const MAX_MOVES_PER_CHECK: usize = 200;

/// What the leader does about a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneDecision {
    /// The asker's epoch is confirmed.
    Confirm,
    /// The zone is to be granted to the asker.
    Grant(Command),
    /// Nothing for now.
    Wait,
}

#[derive(Clone, Debug, Default)]
struct ZoneState {
    /// When the leader last confirmed the zone's allocator.
    confirmed_at: Option<Millis>,
    /// When any instance of the zone was last heard.
    last_contact: Option<Millis>,
    capacity: Option<ZoneCapacity>,
    /// The log's index of a grant or move that is not applied yet.
    pending_until: u64,
}

/// What a leader knows of the zones. It begins anew with each term.
#[derive(Clone, Debug, Default)]
pub struct ZoneSupervisor {
    leads_since: Millis,
    zones: BTreeMap<ZoneId, ZoneState>,
}

impl ZoneSupervisor {
    /// Begins a term. An earlier leader may have confirmed any allocator until just now.
    pub fn new(leads_since: Millis) -> ZoneSupervisor {
        ZoneSupervisor { leads_since, zones: BTreeMap::new() }
    }

    /// Decides about a question of a zone's instance. The caller proposes a grant and then calls
    /// [`ZoneSupervisor::record_proposal`].
    pub fn handle_request(
        &mut self,
        now: Millis,
        cell: &Cell,
        from: &InstanceId,
        request: &ZoneRequest,
    ) -> ZoneDecision {
        let leads_since = self.leads_since;
        let view = self.zones.entry(request.zone.clone()).or_default();
        view.last_contact = Some(now);
        if let Some((free, largest)) = request.capacity {
            view.capacity = Some(ZoneCapacity { zone: request.zone.clone(), free, largest });
        }
        if view.pending_until > cell.applied {
            return ZoneDecision::Wait;
        }
        let grant = cell.zones.grant(&request.zone);
        let epoch = cell.zones.epoch(&request.zone);
        let holder = grant.and_then(|g| g.holder.as_ref());
        let grant_to = |to: &InstanceId| {
            let (zone, holder) = (request.zone.clone(), to.clone());
            ZoneDecision::Grant(Command::GrantEpoch { zone, holder, after: epoch })
        };
        if request.applied < epoch.0 || cell.drained.contains(&from.0) {
            return ZoneDecision::Wait;
        }
        match holder {
            None => grant_to(from),
            Some(h) if h == from && request.epoch == epoch => {
                view.confirmed_at = Some(now);
                ZoneDecision::Confirm
            }
            // The holder's process has restarted: it is the only one that could have acted on it.
            Some(h) if h == from && request.epoch == Epoch(0) => grant_to(from),
            Some(h) if h == from => ZoneDecision::Wait,
            Some(_) => {
                let since = view.confirmed_at.unwrap_or(leads_since).max(leads_since);
                match now.since(since) > takeover_delay() {
                    true => grant_to(from),
                    false => ZoneDecision::Wait,
                }
            }
        }
    }

    /// Notes that a grant or move of `zone` was proposed at `index`: its allocator is not confirmed
    /// until that is applied.
    pub fn record_proposal(&mut self, zone: &ZoneId, index: u64) {
        let view = self.zones.entry(zone.clone()).or_default();
        view.pending_until = view.pending_until.max(index);
    }

    /// Gives the rooms of all zones that have told theirs.
    pub fn zone_capacities(&self) -> Vec<ZoneCapacity> {
        self.zones.values().filter_map(|v| v.capacity.clone()).collect()
    }

    /// Gives the moves of movable tasks out of zones that have been silent for so long that their
    /// leases have surely run out.
    pub fn share_moves(&self, now: Millis, cell: &Cell) -> Vec<Command> {
        let worker_lease = cell.config.config.worker_lease;
        let silent = |zone: &ZoneId| {
            let view = self.zones.get(zone);
            let last_contact = view.and_then(|v| v.last_contact.max(v.confirmed_at));
            let since = last_contact.unwrap_or(self.leads_since).max(self.leads_since);
            let changing = view.is_some_and(|v| v.pending_until > cell.applied);
            !changing && now.since(since) > share_move_delay(worker_lease) + MOVE_GRACE
        };
        let silent_zones: Vec<&ZoneId> =
            cell.zones.iter().map(|(z, _)| z).filter(|z| silent(z)).collect();
        if silent_zones.is_empty() {
            return Vec::new();
        }
        let capacities: Vec<ZoneCapacity> = self
            .zone_capacities()
            .into_iter()
            .filter(|r| !silent_zones.contains(&&r.zone))
            .collect();
        let movable = cell.jobs.values().filter(|j| j.state == JobState::Active && j.spec.may_move);
        let mut moves = Vec::new();
        for job in movable {
            for (i, share) in job.shares.iter().enumerate() {
                let finished = share.tasks().all(|t| job.has_ended(t));
                if finished || !silent_zones.contains(&&share.zone) {
                    continue;
                }
                if let Some(to) = choose_target_zone(&job.spec, &share.zone, &capacities) {
                    let (name, from) = (job.spec.name.clone(), share.zone.clone());
                    moves.push(Command::MoveShare { job: name, share: i as u32, from, to });
                }
            }
        }
        moves.truncate(MAX_MOVES_PER_CHECK);
        moves
    }
}
