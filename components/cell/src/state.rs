//! The cell state and how each command changes it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use clock::Millis;
use errors::Error;
use model::{CellConfig, Epoch, InstanceId, JobName, JobSpec, Name, RequestKey, ZoneId};
use serde::{Deserialize, Serialize};

use crate::reply_cache::{Lookup, ReplyCache};
use crate::{Claims, Command, DrainedZones, Job, JobState, Proposal, Reply, Share, TaskEnd, Zones};

/// The number of ended jobs that are retained for operators to inspect. A greater number enlarges
/// the state and its snapshots; with a smaller one ended jobs disappear from view sooner.
const MAX_ENDED_JOBS: usize = 2_000;

/// A configuration and its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// The log index of the change; zero for the defaults.
    pub version: u64,
    /// The text as its author wrote it.
    pub text: Arc<str>,
    /// The parsed and validated configuration.
    pub config: Arc<CellConfig>,
}

/// The replicated state that all zones share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// The index of the last applied log entry.
    pub applied: u64,
    /// The highest wall-clock time of any applied proposal.
    pub time: Millis,
    /// The active configuration.
    pub config: ConfigVersion,
    /// The active jobs and the most recently ended ones.
    pub jobs: BTreeMap<JobName, Job>,
    /// The allocator of each zone.
    pub zones: Zones,
    /// The claimed non-repeatable requests.
    pub claims: Claims,
    /// The drained instances and upstreams.
    pub drained: BTreeSet<Name>,
    /// The index of the last change to any job, so that a zone can detect changes.
    pub jobs_version: u64,
    ended_jobs: VecDeque<JobName>,
    reply_cache: ReplyCache,
    /// The drained availability zones. They are encoded after all other fields, so that a snapshot
    /// from before this field existed still decodes.
    #[serde(skip)]
    pub drained_zones: DrainedZones,
}

impl Cell {
    /// Applies a committed command and returns its reply.
    pub fn apply(&mut self, index: u64, proposal: &Proposal) -> Reply {
        self.applied = index;
        self.time = self.time.max(proposal.at);
        let Some(key) = &proposal.key else {
            return self.apply_command(index, &proposal.command);
        };
        let fingerprint = command_fingerprint(&proposal.command);
        match self.reply_cache.find(key, fingerprint) {
            Lookup::Cached(reply) => reply,
            Lookup::DifferentCommand => conflict(0, "the request key was used for another call"),
            Lookup::New => {
                let reply = self.apply_command(index, &proposal.command);
                self.reply_cache.insert(key.clone(), fingerprint, reply.clone());
                reply
            }
        }
    }

    /// Returns the reply to an earlier call with the same key and command, if one was applied.
    pub fn cached_reply(&self, key: &RequestKey, command: &Command) -> Option<Reply> {
        match self.reply_cache.find(key, command_fingerprint(command)) {
            Lookup::Cached(reply) => Some(reply),
            Lookup::New | Lookup::DifferentCommand => None,
        }
    }

    /// Records an entry that carries no command as applied.
    pub fn skip(&mut self, index: u64) {
        self.applied = index;
    }

    /// Encodes the whole state.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = postcard::to_allocvec(self);
        let encoded = encoded.and_then(|bytes| postcard::to_extend(&self.drained_zones, bytes));
        encoded.unwrap_or_default()
    }

    /// Decodes a state. Empty input decodes to the initial, empty state; in a state without drained
    /// zones, which an earlier release encoded, no zone is drained.
    ///
    /// # Errors
    /// Returns [`Error::Decode`] if the bytes are not a valid state.
    pub fn decode(bytes: &[u8]) -> Result<Cell, Error> {
        if bytes.is_empty() {
            return Ok(Cell::default());
        }
        let decode_error =
            |e: postcard::Error| Error::Decode { what: "the cell state", reason: e.to_string() };
        let (mut cell, rest) = postcard::take_from_bytes::<Cell>(bytes).map_err(decode_error)?;
        if !rest.is_empty() {
            cell.drained_zones = postcard::from_bytes(rest).map_err(decode_error)?;
        }
        Ok(cell)
    }

    fn apply_command(&mut self, index: u64, command: &Command) -> Reply {
        match command {
            Command::ApplyConfig { base, text, config } => {
                self.apply_config(index, *base, text, config)
            }
            Command::CreateJob { spec, shares } => self.create_job(index, spec, shares),
            Command::CancelJob { name } => self.cancel_job(index, name),
            Command::Drain { target, on } => self.drain(index, target, *on),
            Command::GrantEpoch { zone, holder, after } => {
                self.grant_epoch(index, zone, holder, *after)
            }
            Command::ReleaseEpoch { zone, epoch } => self.release_epoch(index, zone, *epoch),
            Command::MoveShare { job, share, from, to } => {
                self.move_share(index, job, *share, from, to)
            }
            Command::EndTasks { zone, epoch, ended } => self.end_tasks(index, zone, *epoch, ended),
            Command::ClaimTasks { zone, epoch, tasks } => {
                self.claim_tasks(index, zone, *epoch, tasks)
            }
            Command::ClaimRequests { claims } => {
                let now = self.time;
                Reply::Claims(claims.iter().map(|c| self.claims.claim(now, c)).collect())
            }
            Command::DrainZone { zone, on } => self.drain_zone(index, zone, *on),
        }
    }

    fn apply_config(
        &mut self,
        index: u64,
        base: u64,
        text: &Arc<str>,
        config: &CellConfig,
    ) -> Reply {
        if base != self.config.version {
            return conflict(self.config.version, "another configuration came first");
        }
        self.config =
            ConfigVersion { version: index, text: text.clone(), config: Arc::new(config.clone()) };
        Reply::Accepted { version: index }
    }

    fn create_job(&mut self, index: u64, spec: &JobSpec, shares: &[Share]) -> Reply {
        if let Some(job) = self.jobs.get(&spec.name) {
            return conflict(job.version, "a job of this name is there already");
        }
        let job = Job::new(spec.clone(), shares.to_vec(), index, self.time);
        self.jobs.insert(spec.name.clone(), job);
        self.jobs_version = index;
        Reply::Accepted { version: index }
    }

    fn cancel_job(&mut self, index: u64, name: &JobName) -> Reply {
        let Some(job) = self.jobs.get_mut(name) else {
            return conflict(0, "there is no job of this name");
        };
        if job.is_active() {
            job.state = JobState::Cancelled;
            self.jobs_version = index;
            self.record_ended_job(name.clone());
        }
        Reply::Accepted { version: index }
    }

    fn drain(&mut self, index: u64, target: &Name, on: bool) -> Reply {
        if on {
            self.drained.insert(target.clone());
        } else {
            self.drained.remove(target);
        }
        Reply::Accepted { version: index }
    }

    /// Drains a zone or restores it. A zone is known once it was granted to an allocator; before that
    /// nothing can run in it.
    fn drain_zone(&mut self, index: u64, zone: &ZoneId, on: bool) -> Reply {
        if self.zones.grant(zone).is_none() {
            let known: Vec<&str> = self.zones.iter().map(|(z, _)| z.as_str()).collect();
            let known = if known.is_empty() { "none".to_string() } else { known.join(", ") };
            return conflict(0, &format!("the availability zone is not known; known are: {known}"));
        }
        Reply::Accepted { version: self.drained_zones.set(index, zone, on) }
    }

    fn grant_epoch(
        &mut self,
        index: u64,
        zone: &ZoneId,
        holder: &InstanceId,
        after: Epoch,
    ) -> Reply {
        let current = self.zones.epoch(zone);
        if current != after {
            return conflict(current.0, "the zone's epoch has been granted since");
        }
        self.zones.record_grant(zone.clone(), Epoch(index), holder.clone());
        Reply::Accepted { version: index }
    }

    fn release_epoch(&mut self, index: u64, zone: &ZoneId, epoch: Epoch) -> Reply {
        if !self.zones.is_current(zone, epoch) {
            return conflict(self.zones.epoch(zone).0, "the epoch is not the zone's newest");
        }
        self.zones.release(zone);
        Reply::Accepted { version: index }
    }

    fn move_share(
        &mut self,
        index: u64,
        name: &JobName,
        share: u32,
        from: &ZoneId,
        to: &ZoneId,
    ) -> Reply {
        let job = self.jobs.get_mut(name).filter(|j| j.is_active() && j.spec.may_move);
        let Some(job) = job else { return conflict(0, "no active job of this name may move") };
        match job.shares.get_mut(share as usize) {
            Some(s) if s.zone == *from => {
                s.zone = to.clone();
                self.jobs_version = index;
                Reply::Accepted { version: index }
            }
            _ => conflict(0, "the share is not in that zone"),
        }
    }

    fn end_tasks(&mut self, index: u64, zone: &ZoneId, epoch: Epoch, ended: &[TaskEnd]) -> Reply {
        if !self.zones.is_current(zone, epoch) {
            return conflict(self.zones.epoch(zone).0, "the epoch is not the zone's newest");
        }
        for end in ended {
            let Some(job) = self.jobs.get_mut(&end.task.job) else { continue };
            if job.zone_of(end.task.index) != Some(zone) {
                continue;
            }
            let was_active = job.is_active();
            job.end_task(end.task.index, &end.outcome);
            if was_active && !job.is_active() {
                self.record_ended_job(end.task.job.clone());
            }
        }
        self.jobs_version = index;
        Reply::Accepted { version: index }
    }

    fn claim_tasks(
        &mut self,
        index: u64,
        zone: &ZoneId,
        epoch: Epoch,
        tasks: &[model::TaskId],
    ) -> Reply {
        if !self.zones.is_current(zone, epoch) {
            return conflict(self.zones.epoch(zone).0, "the epoch is not the zone's newest");
        }
        for task in tasks {
            let Some(job) = self.jobs.get_mut(&task.job) else { continue };
            if job.is_active() && job.zone_of(task.index) == Some(zone) {
                job.claimed.insert(task.index);
            }
        }
        Reply::Accepted { version: index }
    }

    fn record_ended_job(&mut self, name: JobName) {
        self.ended_jobs.push_back(name);
        while self.ended_jobs.len() > MAX_ENDED_JOBS {
            if let Some(oldest) = self.ended_jobs.pop_front() {
                self.jobs.remove(&oldest);
            }
        }
    }
}

fn conflict(version: u64, reason: &str) -> Reply {
    Reply::Conflict { version, reason: reason.into() }
}

/// Returns a hash that distinguishes a retry from a different call with the same key.
fn command_fingerprint(command: &Command) -> u32 {
    // The leader chooses the shares, so they are not part of the caller's request.
    let requested = match command {
        Command::CreateJob { spec, .. } => {
            Command::CreateJob { spec: spec.clone(), shares: Vec::new() }
        }
        other => other.clone(),
    };
    crc32fast::hash(&postcard::to_allocvec(&requested).unwrap_or_default())
}
