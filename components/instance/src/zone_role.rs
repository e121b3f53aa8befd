//! This instance's role in its zone: it requests the epoch, and allocates while it holds it.

use std::collections::BTreeSet;

use cell::{Cell, Command, Job};
use clock::Millis;
use model::{Epoch, InstanceId, Size, ZoneId};
use routing::{Broker, Demand, Loan};
use upstream::PlatformList;
use zone::{
    Action, Allocator, AllocatorConfig, Authority, OwnCommitment, PeerCommitments, ZoneLease,
};

use crate::message::ZoneRequest;

/// The zone's allocator and broker, while this instance holds the epoch.
pub(crate) struct ZoneRole {
    zone: ZoneId,
    id: InstanceId,
    longest_request: Millis,
    /// Grants up to this epoch belong to an earlier process of this instance and are ignored.
    ignored_grants: Option<u64>,
    allocator: Option<Allocator>,
    broker: Option<Broker>,
    lease: ZoneLease,
    peer_commitments: PeerCommitments,
    own_commitment: OwnCommitment,
    /// The zone's other instances.
    zone_peers: BTreeSet<InstanceId>,
    authority: Authority,
    list: PlatformList,
    stopping: bool,
    /// Whether operators have drained this instance.
    drained: bool,
}

impl ZoneRole {
    pub(crate) fn new(
        zone: ZoneId,
        id: InstanceId,
        zone_peers: BTreeSet<InstanceId>,
        longest_request: Millis,
    ) -> ZoneRole {
        ZoneRole {
            zone,
            id,
            longest_request,
            ignored_grants: None,
            allocator: None,
            broker: None,
            lease: ZoneLease::default(),
            peer_commitments: PeerCommitments::default(),
            own_commitment: OwnCommitment::default(),
            zone_peers,
            authority: Authority::RenewOnly,
            list: PlatformList::default(),
            stopping: false,
            drained: false,
        }
    }

    /// Records that this process knows the cell as of `applied`. It acts on later grants only.
    pub(crate) fn ready(&mut self, applied: u64) {
        self.ignored_grants.get_or_insert(applied);
    }

    pub(crate) fn allocator(&self) -> Option<&Allocator> {
        self.allocator.as_ref()
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.allocator.as_ref().map_or(Epoch(0), Allocator::epoch)
    }

    /// Returns the request to send to the leader, if this instance participates.
    pub(crate) fn request(&self, now: Millis, applied: u64) -> Option<ZoneRequest> {
        let participates = self.ignored_grants.is_some() && !self.stopping && !self.drained;
        participates.then(|| ZoneRequest {
            zone: self.zone.clone(),
            epoch: self.epoch(),
            asked_at: now,
            applied,
            capacity: self.capacity(),
        })
    }

    /// Returns the zone's free capacity and its largest worker. An instance that does not allocate only
    /// knows the platform's list.
    fn capacity(&self) -> Option<(Size, Size)> {
        let capacity = self.allocator.as_ref()?.free_capacity();
        Some((capacity.free, capacity.largest))
    }

    pub(crate) fn confirm(&mut self, epoch: Epoch, asked_at: Millis, last_index: u64) {
        self.lease.confirm(epoch, asked_at, last_index);
    }

    /// Returns whether this instance allocates and needs the commitments of its zone's other instances
    /// not to allocate, because the leader does not confirm its lease.
    pub(crate) fn needs_commitments(&self) -> bool {
        self.allocator.is_some() && self.authority != Authority::Full
    }

    /// Commits not to allocate for a while to the allocator of `epoch`, if that epoch is the newest.
    /// Returns whether the commitment is given.
    pub(crate) fn give_commitment(&mut self, now: Millis, epoch: Epoch, cell: &Cell) -> bool {
        self.allocator.is_none()
            && self.own_commitment.give(now, epoch, cell.zones.epoch(&self.zone))
    }

    pub(crate) fn record_commitment(&mut self, epoch: Epoch, peer: &InstanceId, asked_at: Millis) {
        self.peer_commitments.note(epoch, peer, asked_at);
    }

    /// Starts or ends allocating according to the zone's grant. A grant that is held back by a
    /// commitment takes effect later.
    pub(crate) fn follow_grant(&mut self, now: Millis, cell: &Cell) {
        let grant = cell.zones.grant(&self.zone);
        let epoch = grant.map_or(Epoch(0), |g| g.epoch);
        let is_holder = grant.is_some_and(|g| g.holder.as_ref() == Some(&self.id));
        let is_new_grant = self.ignored_grants.is_some_and(|old| epoch.0 > old);
        if !is_holder || !is_new_grant || self.stopping || self.drained {
            self.allocator = None;
            self.broker = None;
            return;
        }
        if self.epoch() == epoch || !self.own_commitment.is_over(now) {
            return;
        }
        self.authority = Authority::RenewOnly;
        let mut instances = self.zone_peers.clone();
        instances.insert(self.id.clone());
        self.broker = Some(Broker::new(now, epoch, self.longest_request, instances));
        let cfg = allocator_config(self.zone.clone(), epoch, cell);
        let mut allocator = Allocator::new(now, cfg);
        allocator.set_workers(now, &self.list.workers);
        allocator.set_drained(&cell.drained);
        allocator.set_zone_drained(cell.drained_zones.contains(&self.zone));
        for job in cell.jobs.values().filter(|j| j.is_active()) {
            allocator.apply_job(now, job);
        }
        self.allocator = Some(allocator);
    }

    /// Reloads the jobs and the drained names after the state was replaced by a snapshot.
    pub(crate) fn reload(&mut self, now: Millis, cell: &Cell) {
        self.follow_grant(now, cell);
        let Some(allocator) = &mut self.allocator else { return };
        allocator.retain_jobs(now, &cell.jobs);
        for job in cell.jobs.values() {
            allocator.apply_job(now, job);
        }
        allocator.set_drained(&cell.drained);
        allocator.set_zone_drained(cell.drained_zones.contains(&self.zone));
    }

    /// Updates the allocator after the cell has applied a command.
    pub(crate) fn applied(&mut self, now: Millis, cell: &Cell, command: &Command) {
        let zone = self.zone.clone();
        let Some(allocator) = &mut self.allocator else { return };
        match command {
            Command::CreateJob { spec, .. } => apply_job(allocator, now, cell.jobs.get(&spec.name)),
            Command::MoveShare { job, .. } => apply_job(allocator, now, cell.jobs.get(job)),
            Command::CancelJob { name } => allocator.remove_job(now, name),
            Command::EndTasks { zone: z, ended, .. } if *z == zone => {
                allocator.on_tasks_ended(ended)
            }
            Command::ClaimTasks { zone: z, tasks, .. } if *z == zone => {
                allocator.on_tasks_claimed(tasks);
            }
            Command::Drain { .. } => allocator.set_drained(&cell.drained),
            Command::DrainZone { zone: z, on } if *z == zone => allocator.set_zone_drained(*on),
            Command::ApplyConfig { .. } => {
                let cfg = allocator_config(zone, allocator.epoch(), cell);
                allocator.configure(cfg.worker_lease, cfg.profile, cfg.quotas);
            }
            _ => {}
        }
    }

    pub(crate) fn set_list(&mut self, now: Millis, list: PlatformList) {
        if let Some(allocator) = &mut self.allocator {
            allocator.set_workers(now, &list.workers);
        }
        self.list = list;
    }

    /// Advances the time. Returns the allocator's actions, and its authority if that has changed.
    pub(crate) fn tick(&mut self, now: Millis, cell: &Cell) -> (Vec<Action>, Option<Authority>) {
        self.follow_grant(now, cell);
        let Some(allocator) = &mut self.allocator else { return (Vec::new(), None) };
        let epoch = allocator.epoch();
        let authority = if self.lease.holds(now, epoch, cell.applied) {
            Authority::Full
        } else if self.peer_commitments.hold(now, epoch, &self.zone_peers) {
            Authority::ZoneOnly
        } else {
            Authority::RenewOnly
        };
        let changed = (authority != self.authority).then_some(authority);
        self.authority = authority;
        (allocator.tick(now, authority), changed)
    }

    pub(crate) fn on_reply(
        &mut self,
        now: Millis,
        epoch: Epoch,
        worker: &model::Name,
        seq: u64,
        reply: errors::Result<upstream::SyncReply>,
    ) {
        if let Some(allocator) = self.allocator.as_mut().filter(|a| a.epoch() == epoch) {
            allocator.on_reply(now, worker, seq, reply);
        }
    }

    /// Answers a demand. Without the authority to start tasks it returns `None`, because another
    /// instance may already lend.
    pub(crate) fn lend(&mut self, now: Millis, demand: &Demand, pool: u32) -> Option<Loan> {
        if self.authority == Authority::RenewOnly {
            return None;
        }
        self.broker.as_mut()?.answer(now, demand, pool)
    }

    /// Records whether operators have drained this instance. Returns the release of the epoch if so.
    pub(crate) fn set_drained(&mut self, drained: bool) -> Option<Command> {
        self.drained = drained;
        if drained { self.release_epoch() } else { None }
    }

    /// Releases the zone for a planned stop.
    pub(crate) fn release(&mut self) -> Option<Command> {
        self.stopping = true;
        self.release_epoch()
    }

    /// Ends allocating immediately: nothing more is sent to workers.
    fn release_epoch(&mut self) -> Option<Command> {
        let epoch = self.allocator.take()?.epoch();
        self.broker = None;
        Some(Command::ReleaseEpoch { zone: self.zone.clone(), epoch })
    }
}

fn apply_job(allocator: &mut Allocator, now: Millis, job: Option<&Job>) {
    if let Some(job) = job {
        allocator.apply_job(now, job);
    }
}

/// Returns the allocator's configuration. An organisation's quota is divided equally among the zones,
/// so that the total holds without coordination.
fn allocator_config(zone: ZoneId, epoch: Epoch, cell: &Cell) -> AllocatorConfig {
    let config = &cell.config.config;
    let zones = cell.zones.iter().count().max(1) as u64;
    let part =
        |s: &Size| Size::new(s.cpu_milli / zones, s.memory_mb / zones, s.accelerators / zones);
    let quotas = config.quotas.iter().map(|q| (q.organisation.clone(), part(&q.size))).collect();
    AllocatorConfig {
        zone,
        epoch,
        worker_lease: config.worker_lease,
        profile: config.profile,
        quotas,
    }
}
