//! Who else is in the cell: learned from seeds, hellos and welcomes, and forgotten after silence.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use model::{Incarnation, InstanceId};

use crate::message::Message;

/// How often an instance says hello. Short enough that a new leader is known, and a lost one
/// noticed, well within an election.
const HELLO_EVERY: Millis = Millis(200);
/// How often it does while it knows no leader.
const SEEK_EVERY: Millis = Millis(100);
/// After what silence an instance counts as away.
const AWAY_AFTER: Millis = Millis(1_500);
/// After what silence about a leader an entry instance asks not to be sent callers. The balancer
/// takes two seconds more to act on it, and callers are better served in another zone.
const READY_FOR: Millis = Millis(600);
/// Within what time voters that can be reached have answered a hello: two and a half of them. The
/// balancer looks once a second, so each tenth of a second counts.
const HEARD_WITHIN: Millis = Millis(500);
/// After what silence an instance is not asked to call for advice: two hellos and a little. A call that
/// a cut-off instance is to make costs a job more than the wait for another instance.
const HELPS_WITHIN: Millis = Millis(700);
/// For how long after an instance got known its silence says nothing: where all lost power together,
/// each takes up to half a second more than the others to start.
const STARTING_UP: Millis = Millis(1_500);
/// After what silence a link is opened anew: a hello and its answer, and a little. The other end of a
/// link that lost power says nothing, and the kernel finds out late.
const RECONNECT_AFTER: Millis = Millis(500);
/// Within what time a hello is answered even over a slow link: five hellos. Each way of a link is a
/// connection of its own, so one may be silent for good while the other brings messages. Opening one anew
/// drops what waits in it, so a slow way is given longer than one that brings nothing at all.
const ANSWERED_WITHIN: Millis = Millis(1_000);
/// After what silence an instance that no settings name is forgotten.
const FORGET_AFTER: Millis = Millis(60_000);

/// Who this instance is.
#[derive(Clone, Debug)]
pub struct PeersConfig {
    /// Its id.
    pub id: InstanceId,
    /// Its disk if it is a control instance.
    pub disk: Option<Incarnation>,
    /// Whether it can call for advice.
    pub calls_advice: bool,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    heard_at: Option<Millis>,
    /// Since when there was no longer silence.
    heard_since: Millis,
    reconnected_at: Millis,
    first_at: Millis,
    /// When it last answered a hello.
    answered_at: Option<Millis>,
    /// Whether it said that our answers do not reach it.
    misses_us: bool,
    calls_advice: bool,
    entry: bool,
}

impl Peer {
    /// Tells whether its answers to hellos reach us.
    fn answers(&self, now: Millis) -> bool {
        now.since(self.answered_at.unwrap_or(self.first_at)) < ANSWERED_WITHIN
    }

    /// Tells whether our link to it is to be opened anew. An answer that does not come may be lost on
    /// either way, so this end opens its own, and its hello has the other end open the way back.
    fn wants_reconnect(&self, now: Millis) -> bool {
        let opened_at = self.reconnected_at.max(self.first_at);
        let heard_at = self.heard_at.unwrap_or(self.first_at);
        let silent = now.since(heard_at.max(opened_at)) >= RECONNECT_AFTER;
        let one_way = self.misses_us || (!self.entry && !self.answers(now));
        silent || (one_way && now.since(opened_at) >= ANSWERED_WITHIN)
    }
}

/// How many of the voters an instance hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// More than half, as far as is known: one of them leads or will soon.
    Majority,
    /// Half or fewer: they cannot lead, and others may, whom this instance does not reach.
    Minority,
    /// None, or only such as were silent until now: either all of them are starting anew, or this
    /// instance alone is cut off.
    Isolated,
}

/// The other instances, as this one knows them.
#[derive(Clone, Debug)]
pub struct Peers {
    cfg: PeersConfig,
    seeds: BTreeSet<InstanceId>,
    peers: BTreeMap<InstanceId, Peer>,
    leader: Option<(u64, InstanceId)>,
    leader_at: Millis,
    /// The voters, and the term in which they were told.
    voters: (u64, Vec<InstanceId>),
    hello_at: Millis,
}

impl Peers {
    /// Begins with the seeds.
    pub fn new(cfg: PeersConfig, seeds: BTreeSet<InstanceId>, now: Millis) -> Peers {
        let mut peers = Peers {
            cfg,
            seeds: BTreeSet::new(),
            peers: BTreeMap::new(),
            leader: None,
            leader_at: Millis::ZERO,
            voters: (0, Vec::new()),
            hello_at: now,
        };
        peers.set_seeds(seeds, now);
        peers
    }

    /// Takes in seeds from settings that have changed; those learned otherwise stay known.
    pub fn set_seeds(&mut self, seeds: BTreeSet<InstanceId>, now: Millis) {
        for seed in &seeds {
            self.learn(seed, now);
        }
        self.seeds = seeds;
    }

    fn learn(&mut self, id: &InstanceId, now: Millis) {
        if *id != self.cfg.id {
            let fresh = Peer { first_at: now, ..Peer::default() };
            self.peers.entry(id.clone()).or_insert(fresh);
        }
    }

    /// Notes a message of any kind from an instance.
    pub fn record_contact(&mut self, id: &InstanceId, now: Millis) {
        self.learn(id, now);
        if let Some(peer) = self.peers.get_mut(id) {
            let before = peer.heard_at.replace(now);
            if before.is_none_or(|t| now.since(t) >= HEARD_WITHIN) {
                peer.heard_since = now;
            }
        }
    }

    /// Takes in a hello.
    pub fn on_hello(
        &mut self,
        id: &InstanceId,
        disk: Option<Incarnation>,
        calls_advice: bool,
        answered: bool,
    ) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.misses_us = !answered;
            peer.calls_advice = calls_advice;
            peer.entry = disk.is_none();
        }
    }

    /// Takes in a welcome; tells whether it changed who leads.
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
            self.learn(id, now);
        }
        match leader {
            Some(leader) => self.update_leader(leader, term, now),
            None => false,
        }
    }

    /// Notes who leads; a lower term is old news. Tells whether that is new.
    pub fn update_leader(&mut self, leader: InstanceId, term: u64, now: Millis) -> bool {
        if self.leader.as_ref().is_some_and(|(known, _)| *known > term) {
            return false;
        }
        let next = Some((term, leader));
        let changed = self.leader != next;
        self.leader = next;
        self.leader_at = now;
        changed
    }

    /// Notes that an instance stopped leading.
    pub fn clear_leader(&mut self, leader: &InstanceId) {
        if self.leader.as_ref().is_some_and(|(_, l)| l == leader) {
            self.leader = None;
        }
    }

    /// Notes that the leader that is known still leads.
    pub fn confirm_leader(&mut self, now: Millis) {
        self.leader_at = now;
    }

    /// Gives the term of the leader that is known; zero before the first.
    pub fn term(&self) -> u64 {
        self.leader.as_ref().map_or(0, |(term, _)| *term)
    }

    /// Gives the leader, unless nobody has spoken of it for a while.
    pub fn leader(&self, now: Millis) -> Option<&InstanceId> {
        let recent = now.since(self.leader_at) < AWAY_AFTER;
        self.leader.as_ref().filter(|_| recent).map(|(_, id)| id)
    }

    /// Notes who votes; a lower term is old news.
    pub fn set_voters(&mut self, term: u64, voters: Vec<InstanceId>) {
        if term >= self.voters.0 && !voters.is_empty() {
            self.voters = (term, voters);
        }
    }

    /// Tells how many of the voters can be reached.
    pub fn reach(&self, now: Millis) -> Reachability {
        let voters = &self.voters.1;
        let known = || voters.iter().filter_map(|id| self.peers.get(id));
        let heard = |p: &&Peer| p.heard_at.is_some_and(|t| now.since(t) < HEARD_WITHIN);
        let starting = |p: &&Peer| now.since(p.first_at) < STARTING_UP;
        let back = |p: &Peer| now.since(p.heard_since) < STARTING_UP;
        let present = known().filter(|p| heard(p) || starting(p)).count();
        if voters.is_empty() || present * 2 > voters.len() {
            return Reachability::Majority;
        }
        // Whoever was cut off with this instance was heard all along.
        match known().filter(heard).any(|p| !back(p)) {
            true => Reachability::Minority,
            false => Reachability::Isolated,
        }
    }

    /// Tells whether a leader was spoken of just now.
    pub fn is_connected(&self, now: Millis) -> bool {
        self.leader.is_some() && now.since(self.leader_at) < READY_FOR
    }

    /// Gives the instances that can call for advice.
    pub fn advice_callers(&self, now: Millis) -> BTreeSet<InstanceId> {
        let there = |p: &Peer| p.heard_at.is_some_and(|t| now.since(t) < HELPS_WITHIN);
        self.peers
            .iter()
            .filter(|(_, p)| p.calls_advice && there(p))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Gives every instance that a link is needed to.
    pub fn ids(&self) -> impl Iterator<Item = &InstanceId> {
        self.peers.keys()
    }

    /// Gives the control instances, this one too if it is one.
    pub fn control_instances(&self) -> Vec<InstanceId> {
        let others = self.peers.iter().filter(|(_, p)| !p.entry).map(|(id, _)| id.clone());
        let own = self.cfg.disk.map(|_| self.cfg.id.clone());
        others.chain(own).collect()
    }

    /// Gives the hellos that are due.
    pub fn due_hellos(&mut self, now: Millis) -> Vec<(InstanceId, Message)> {
        if now < self.hello_at {
            return Vec::new();
        }
        let known = self.leader(now).is_some();
        self.hello_at = now + if known { HELLO_EVERY } else { SEEK_EVERY };
        let (disk, calls_advice) = (self.cfg.disk, self.cfg.calls_advice);
        let hello = |p: &Peer| Message::Hello { disk, calls_advice, answered: p.answers(now) };
        let controls = self.peers.iter().filter(|(_, p)| !p.entry);
        controls.map(|(id, p)| (id.clone(), hello(p))).collect()
    }

    /// Gives the instances whose links are to be opened anew, and drops those that are long gone.
    pub fn maintain(&mut self, now: Millis) -> (Vec<InstanceId>, Vec<InstanceId>) {
        let mut silent = Vec::new();
        let mut gone = Vec::new();
        for (id, peer) in &mut self.peers {
            let since = peer.heard_at.unwrap_or(peer.first_at);
            if now.since(since) >= FORGET_AFTER && !self.seeds.contains(id) {
                gone.push(id.clone());
            } else if peer.wants_reconnect(now) {
                peer.reconnected_at = now;
                peer.misses_us = false;
                silent.push(id.clone());
            }
        }
        for id in &gone {
            self.peers.remove(id);
        }
        (silent, gone)
    }
}
