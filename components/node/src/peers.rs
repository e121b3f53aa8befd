//! The other instances of the cell: discovered through seeds, hellos and welcomes, and removed after a long
//! time without contact.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{Incarnation, InstanceId};

use crate::leader_clock::LeaderClock;
use crate::message::Message;

/// How often an instance sends hellos. With a greater interval a new leader is not discovered, and a lost one
/// not noticed, within the time of an election.
const HELLO_INTERVAL: Millis = Millis(200);
/// How often an instance sends hellos while it knows no leader.
const SEEK_INTERVAL: Millis = Millis(100);
/// How long a leader is considered current after it was last confirmed.
const LEADER_TIMEOUT: Millis = Millis(1_500);
/// How long after the leader was last confirmed an entry instance reports as ready. The balancer takes two
/// more seconds to react, and callers are better served in another zone, so a greater value prolongs outages.
const READY_TIMEOUT: Millis = Millis(600);
/// How long after its last message a voter counts as reachable: two and a half hello intervals. The balancer
/// checks readiness once a second, so each tenth of a second more delays the switch to another zone.
const VOTER_TIMEOUT: Millis = Millis(500);
/// How long after its last message an instance is asked to make advice calls: three and a half hello intervals. An
/// advice call at an unreachable instance delays a job more than waiting for another instance.
const ADVICE_CALLER_TIMEOUT: Millis = Millis(700);
/// For how long after an instance was discovered its missing messages are ignored: if all instances lost power
/// together, their starts differ by up to half a second.
const STARTUP_GRACE: Millis = Millis(1_500);
/// After how long without a message a link is reopened: a little more than a hello and its answer take. A
/// remote machine that lost power closes no connection, and the kernel detects that late.
const RECONNECT_AFTER: Millis = Millis(500);
/// How long the answer to a hello may take even over a slow link: five hello intervals. Each direction of a
/// link is a connection of its own, so one may be broken while the other delivers messages. Reopening one
/// drops its queued messages, so a slow direction gets more time than a link without any messages.
const HELLO_ANSWER_TIMEOUT: Millis = Millis(1_000);
/// After how long without contact an instance that is no seed is removed.
const FORGET_PEER_AFTER: Millis = Millis(60_000);

/// The identity of this instance.
#[derive(Clone, Debug)]
pub struct PeersConfig {
    /// The id of this instance.
    pub id: InstanceId,
    /// The incarnation of its disk if it is a control instance.
    pub disk: Option<Incarnation>,
    /// Whether it can call the advice service, and workers, on behalf of the leader.
    pub calls_advice: bool,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    last_contact_at: Option<Millis>,
    /// Since when its messages have arrived without a gap of [`VOTER_TIMEOUT`].
    contact_since: Millis,
    reconnected_at: Millis,
    first_known_at: Millis,
    /// When it last answered a hello.
    answered_at: Option<Millis>,
    /// Whether it reported that this instance's answers do not reach it.
    misses_answers: bool,
    calls_advice: bool,
    entry: bool,
}

impl Peer {
    /// Returns whether its answers to hellos reach this instance.
    fn answers_hellos(&self, now: Millis) -> bool {
        now.since(self.answered_at.unwrap_or(self.first_known_at)) < HELLO_ANSWER_TIMEOUT
    }

    /// Returns whether the link to it must be reopened. A missing answer may be lost in either direction, so this
    /// end reopens its own connection, and its hello makes the other end reopen the reverse one.
    fn needs_reconnect(&self, now: Millis) -> bool {
        let opened_at = self.reconnected_at.max(self.first_known_at);
        let last_contact_at = self.last_contact_at.unwrap_or(self.first_known_at);
        let silent = now.since(last_contact_at.max(opened_at)) >= RECONNECT_AFTER;
        let one_way = self.misses_answers || (!self.entry && !self.answers_hellos(now));
        silent || (one_way && now.since(opened_at) >= HELLO_ANSWER_TIMEOUT)
    }
}

/// The leader of a term, with what is known of its clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Its id.
    pub id: InstanceId,
    /// The term.
    pub term: u64,
    /// Its clock in this term.
    pub clock: LeaderClock,
}

/// How many of the voters an instance can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// More than half, as far as is known: one of them leads or soon will.
    Majority,
    /// Half or fewer: they cannot elect a leader, but voters that this instance cannot reach may.
    Minority,
    /// None, or only voters whose messages arrive again after a gap: either all voters are restarting, or
    /// only this instance is cut off.
    Isolated,
}

/// The other instances as this one knows them.
#[derive(Clone, Debug)]
pub struct Peers {
    cfg: PeersConfig,
    seeds: BTreeSet<InstanceId>,
    peers: BTreeMap<InstanceId, Peer>,
    leader: Option<(u64, InstanceId)>,
    leader_confirmed_at: Millis,
    /// The clock of the leader, once it has stated it in its term. A process that starts again has another clock.
    leader_clock: Option<LeaderClock>,
    /// The voters, and the term in which they were reported.
    voters: (u64, Vec<InstanceId>),
    next_hello_at: Millis,
}

impl Peers {
    /// Creates the set of peers from the seeds.
    pub fn new(cfg: PeersConfig, seeds: BTreeSet<InstanceId>, now: Millis) -> Peers {
        let mut peers = Peers {
            cfg,
            seeds: BTreeSet::new(),
            peers: BTreeMap::new(),
            leader: None,
            leader_confirmed_at: Millis::ZERO,
            leader_clock: None,
            voters: (0, Vec::new()),
            next_hello_at: now,
        };
        peers.set_seeds(seeds, now);
        peers
    }

    /// Replaces the seeds after a change of the settings; peers that are already known are kept.
    pub fn set_seeds(&mut self, seeds: BTreeSet<InstanceId>, now: Millis) {
        for seed in &seeds {
            self.add_peer(seed, now);
        }
        self.seeds = seeds;
    }

    fn add_peer(&mut self, id: &InstanceId, now: Millis) {
        if *id != self.cfg.id {
            let fresh = Peer { first_known_at: now, ..Peer::default() };
            self.peers.entry(id.clone()).or_insert(fresh);
        }
    }

    /// Records that a message of any kind arrived from an instance.
    pub fn record_contact(&mut self, id: &InstanceId, now: Millis) {
        self.add_peer(id, now);
        if let Some(peer) = self.peers.get_mut(id) {
            let before = peer.last_contact_at.replace(now);
            if before.is_none_or(|t| now.since(t) >= VOTER_TIMEOUT) {
                peer.contact_since = now;
            }
        }
    }

    /// Processes a hello.
    pub fn on_hello(
        &mut self,
        id: &InstanceId,
        disk: Option<Incarnation>,
        calls_advice: bool,
        answered: bool,
    ) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.misses_answers = !answered;
            peer.calls_advice = calls_advice;
            peer.entry = disk.is_none();
        }
    }

    /// Processes a welcome. Returns whether the leader changed.
    pub fn on_welcome(
        &mut self,
        from: &InstanceId,
        leader: Option<InstanceId>,
        term: u64,
        controls: &[InstanceId],
        now: Millis,
    ) -> bool {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.answered_at = Some(now);
        }
        for id in controls {
            self.add_peer(id, now);
        }
        let Some(leader) = leader else { return false };
        let is_introduced = leader != *from;
        let changed = self.update_leader(leader, term, now);
        if changed && is_introduced {
            // The clock of a leader that another instance names is known only from its answer.
            self.next_hello_at = now;
        }
        changed
    }

    /// Processes a welcome at an entry instance, which needs contact only to the seeds and to the
    /// voters, one of which leads. Contact to every control instance would take messages and links
    /// in proportion to the product of the numbers of entry and control instances.
    pub fn on_welcome_at_entry(
        &mut self,
        from: &InstanceId,
        leader: Option<InstanceId>,
        term: u64,
        voters: Vec<InstanceId>,
        now: Millis,
    ) -> bool {
        let changed = self.on_welcome(from, leader, term, &voters, now);
        self.set_voters(term, voters);
        changed
    }

    /// Updates the leader unless a later term is known. Returns whether the leader changed.
    pub fn update_leader(&mut self, leader: InstanceId, term: u64, now: Millis) -> bool {
        if self.leader.as_ref().is_some_and(|(known, _)| *known > term) {
            return false;
        }
        let next = Some((term, leader));
        let changed = self.leader != next;
        if changed {
            self.leader_clock = None;
        }
        self.leader = next;
        self.leader_confirmed_at = now;
        changed
    }

    /// Records that an instance stopped leading.
    pub fn clear_leader(&mut self, leader: &InstanceId) {
        if self.leader.as_ref().is_some_and(|(_, l)| l == leader) {
            self.leader = None;
            self.leader_clock = None;
        }
    }

    /// Records the time that an instance stated in a welcome, if it is the known leader in its term. Instances of earlier
    /// versions state none, which reads as zero.
    pub fn record_leader_time(
        &mut self,
        from: &InstanceId,
        term: u64,
        stated: Millis,
        now: Millis,
    ) {
        let is_leader = self.leader.as_ref().is_some_and(|(t, l)| *t == term && l == from);
        if !is_leader || stated == Millis::ZERO {
            return;
        }
        match &mut self.leader_clock {
            Some(clock) => clock.tighten(stated, now),
            None => self.leader_clock = Some(LeaderClock::stated(stated, now)),
        }
    }

    /// Records that the known leader still leads.
    pub fn confirm_leader(&mut self, now: Millis) {
        self.leader_confirmed_at = now;
    }

    /// Returns the term of the known leader, or zero if there was none yet.
    pub fn term(&self) -> u64 {
        self.leader.as_ref().map_or(0, |(term, _)| *term)
    }

    /// Returns the leader if it was confirmed recently.
    pub fn leader(&self, now: Millis) -> Option<&InstanceId> {
        let recent = now.since(self.leader_confirmed_at) < LEADER_TIMEOUT;
        self.leader.as_ref().filter(|_| recent).map(|(_, id)| id)
    }

    /// Returns the leader like [`Peers::leader`] once its clock is known, without which a call to it would have no limit.
    pub fn leader_with_clock(&self, now: Millis) -> Option<Leader> {
        let id = self.leader(now)?.clone();
        let clock = match id == self.cfg.id {
            true => LeaderClock::own(now),
            false => self.leader_clock?,
        };
        Some(Leader { id, term: self.term(), clock })
    }

    /// Updates the voters unless they were reported in a later term.
    pub fn set_voters(&mut self, term: u64, voters: Vec<InstanceId>) {
        if term >= self.voters.0 && !voters.is_empty() {
            self.voters = (term, voters);
        }
    }

    /// Returns how many of the voters can be reached.
    pub fn reachability(&self, now: Millis) -> Reachability {
        let voters = &self.voters.1;
        let known = || voters.iter().filter_map(|id| self.peers.get(id));
        let in_contact =
            |p: &&Peer| p.last_contact_at.is_some_and(|t| now.since(t) < VOTER_TIMEOUT);
        let starting = |p: &&Peer| now.since(p.first_known_at) < STARTUP_GRACE;
        let returned = |p: &Peer| now.since(p.contact_since) < STARTUP_GRACE;
        let present = known().filter(|p| in_contact(p) || starting(p)).count();
        if voters.is_empty() || present * 2 > voters.len() {
            return Reachability::Majority;
        }
        // Voters that are cut off together with this instance were reachable without a gap.
        match known().filter(in_contact).any(|p| !returned(p)) {
            true => Reachability::Minority,
            false => Reachability::Isolated,
        }
    }

    /// Returns whether the leader was confirmed recently enough to be ready for callers.
    pub fn is_connected(&self, now: Millis) -> bool {
        self.leader.is_some() && now.since(self.leader_confirmed_at) < READY_TIMEOUT
    }

    /// Returns the instances that can make advice calls.
    pub fn advice_callers(&self, now: Millis) -> BTreeSet<InstanceId> {
        let there =
            |p: &Peer| p.last_contact_at.is_some_and(|t| now.since(t) < ADVICE_CALLER_TIMEOUT);
        self.peers
            .iter()
            .filter(|(_, p)| p.calls_advice && there(p))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Makes the next hellos say that this instance calls no outside services any more.
    pub fn stop_calling(&mut self) {
        self.cfg.calls_advice = false;
    }

    /// Returns the entry instances in contact that can call outside services for the leader.
    pub fn entry_instances(&self, now: Millis) -> Vec<InstanceId> {
        let in_contact =
            |p: &Peer| p.last_contact_at.is_some_and(|t| now.since(t) < ADVICE_CALLER_TIMEOUT);
        let can_call = |p: &Peer| p.entry && p.calls_advice && in_contact(p);
        let entries = self.peers.iter().filter(|(_, p)| can_call(p));
        entries.map(|(id, _)| id.clone()).collect()
    }

    /// Returns every instance that needs a link.
    pub fn ids(&self) -> impl Iterator<Item = &InstanceId> {
        self.peers.keys()
    }

    /// Returns the control instances, including this one if it is one.
    pub fn control_instances(&self) -> Vec<InstanceId> {
        let others = self.peers.iter().filter(|(_, p)| !p.entry).map(|(id, _)| id.clone());
        let own = self.cfg.disk.map(|_| self.cfg.id.clone());
        others.chain(own).collect()
    }

    /// Returns the hellos that are due.
    pub fn due_hellos(&mut self, now: Millis) -> Vec<(InstanceId, Message)> {
        if now < self.next_hello_at {
            return Vec::new();
        }
        let known = self.leader(now).is_some();
        self.next_hello_at = now + if known { HELLO_INTERVAL } else { SEEK_INTERVAL };
        let (disk, calls_advice) = (self.cfg.disk, self.cfg.calls_advice);
        let hello =
            |p: &Peer| Message::Hello { disk, calls_advice, answered: p.answers_hellos(now) };
        let controls = self.peers.iter().filter(|(_, p)| !p.entry);
        controls.map(|(id, p)| (id.clone(), hello(p))).collect()
    }

    /// Returns the instances whose links must be reopened, and those that it removed after a long time
    /// without contact.
    pub fn maintain(&mut self, now: Millis) -> (Vec<InstanceId>, Vec<InstanceId>) {
        let mut silent = Vec::new();
        let mut gone = Vec::new();
        for (id, peer) in &mut self.peers {
            let since = peer.last_contact_at.unwrap_or(peer.first_known_at);
            if now.since(since) >= FORGET_PEER_AFTER && !self.seeds.contains(id) {
                gone.push(id.clone());
            } else if peer.needs_reconnect(now) {
                peer.reconnected_at = now;
                peer.misses_answers = false;
                silent.push(id.clone());
            }
        }
        for id in &gone {
            self.peers.remove(id);
        }
        (silent, gone)
    }
}
