//! The leader's supervision of the zones: it grants epochs to allocators and moves tasks out of
//! silent zones.
//!
//! The supervisor has no side effects. It replaces a grant or moves tasks only when the earlier
//! leases have certainly expired, see docs/design/leases.md.

use std::collections::BTreeMap;

use cell::{Cell, Command, JobState, ZoneCapacity, choose_target_zone};
use clock::Millis;
use model::{Epoch, InstanceId, ZoneId};
use zone::{share_move_delay, takeover_delay};

pub use crate::message::ZoneRequest;

/// The time beyond the certain expiry of its leases after which a silent zone's tasks move. With a
/// shorter one brief network failures move tasks; a longer one delays their restart.
const MOVE_GRACE: Millis = Millis(10_000);
/// The maximum number of shares that are moved per check.
const MAX_MOVES_PER_CHECK: usize = 200;

/// The leader's decision about a zone's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneDecision {
    /// The sender's epoch is confirmed.
    Confirm,
    /// The zone is granted to the sender by this command.
    Grant(Command),
    /// Nothing is done for now.
    Wait,
}

#[derive(Clone, Debug, Default)]
struct ZoneState {
    /// When the leader last confirmed the zone's allocator.
    confirmed_at: Option<Millis>,
    /// The last contact with any instance of the zone.
    last_contact: Option<Millis>,
    capacity: Option<ZoneCapacity>,
    /// The log index of a proposed grant or move that may not be applied yet.
    pending_until: u64,
}

/// The leader's state about all zones. It starts empty with each term.
#[derive(Clone, Debug, Default)]
pub struct ZoneSupervisor {
    leads_since: Millis,
    zones: BTreeMap<ZoneId, ZoneState>,
}

impl ZoneSupervisor {
    /// Creates the state for a new term. An earlier leader may have confirmed any allocator until now.
    pub fn new(leads_since: Millis) -> ZoneSupervisor {
        ZoneSupervisor { leads_since, zones: BTreeMap::new() }
    }

    /// Decides about a request of a zone's instance. The caller proposes a grant and then calls
    /// [`ZoneSupervisor::record_proposal`].
    pub fn handle_request(
        &mut self,
        now: Millis,
        cell: &Cell,
        from: &InstanceId,
        request: &ZoneRequest,
    ) -> ZoneDecision {
        let leads_since = self.leads_since;
        let state = self.zones.entry(request.zone.clone()).or_default();
        state.last_contact = Some(now);
        if let Some((free, largest)) = request.capacity {
            state.capacity = Some(ZoneCapacity { zone: request.zone.clone(), free, largest });
        }
        if state.pending_until > cell.applied {
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
                state.confirmed_at = Some(now);
                ZoneDecision::Confirm
            }
            // The holder's process has restarted; only that process could have used the epoch.
            Some(h) if h == from && request.epoch == Epoch(0) => grant_to(from),
            Some(h) if h == from => ZoneDecision::Wait,
            Some(_) => {
                let since = state.confirmed_at.unwrap_or(leads_since).max(leads_since);
                match now.since(since) > takeover_delay() {
                    true => grant_to(from),
                    false => ZoneDecision::Wait,
                }
            }
        }
    }

    /// Records that a grant or move of `zone` was proposed at `index`. Its allocator is not confirmed
    /// until that entry is applied.
    pub fn record_proposal(&mut self, zone: &ZoneId, index: u64) {
        let state = self.zones.entry(zone.clone()).or_default();
        state.pending_until = state.pending_until.max(index);
    }

    /// Returns the capacities of the zones that have reported theirs and are not drained.
    pub fn usable_capacities(&self, cell: &Cell) -> Vec<ZoneCapacity> {
        let drained = &cell.drained_zones;
        self.zone_capacities().into_iter().filter(|c| !drained.contains(&c.zone)).collect()
    }

    /// Returns the capacities of all zones that have reported theirs.
    pub fn zone_capacities(&self) -> Vec<ZoneCapacity> {
        self.zones.values().filter_map(|v| v.capacity.clone()).collect()
    }

    /// Returns the moves of movable tasks out of zones that have been silent for so long that their
    /// leases have certainly expired.
    pub fn share_moves(&self, now: Millis, cell: &Cell) -> Vec<Command> {
        let worker_lease = cell.config.config.worker_lease;
        let silent = |zone: &ZoneId| {
            let state = self.zones.get(zone);
            let last_contact = state.and_then(|v| v.last_contact.max(v.confirmed_at));
            let since = last_contact.unwrap_or(self.leads_since).max(self.leads_since);
            let changing = state.is_some_and(|v| v.pending_until > cell.applied);
            !changing && now.since(since) > share_move_delay(worker_lease) + MOVE_GRACE
        };
        let silent_zones: Vec<&ZoneId> =
            cell.zones.iter().map(|(z, _)| z).filter(|z| silent(z)).collect();
        if silent_zones.is_empty() {
            return Vec::new();
        }
        let capacities: Vec<ZoneCapacity> = self
            .usable_capacities(cell)
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
