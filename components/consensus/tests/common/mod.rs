//! A simulated network and simulated disks for real members, driven by a seed.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use clock::Millis;
use consensus::{
    Committed, Disk, Envelope, Node, NodeConfig, Payload, Record, Replica, Restored, Role,
    Snapshot, Timing,
};
use errors::Result;
use model::{Incarnation, InstanceId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A simulated disk that survives its process and holds only what was synced.
#[derive(Clone, Default)]
pub struct FakeDisk(Arc<Mutex<Restored>>);

impl FakeDisk {
    pub fn restored(&self) -> Restored {
        self.0.lock().unwrap().clone()
    }
}

impl Disk for FakeDisk {
    fn append(&mut self, records: &[Record]) -> Result<()> {
        let mut disk = self.0.lock().unwrap();
        for record in records {
            apply_record(&mut disk, record.clone());
        }
        Ok(())
    }

    fn install(&mut self, snapshot: &Snapshot, tail: &[Record]) -> Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.snapshot = snapshot.clone();
        disk.entries.clear();
        for record in tail {
            apply_record(&mut disk, record.clone());
        }
        Ok(())
    }
}

fn apply_record(disk: &mut Restored, record: Record) {
    match record {
        Record::HardState(hard) => disk.hard = hard,
        Record::Entry(entry) => {
            disk.entries.retain(|e| e.index < entry.index);
            disk.entries.push(entry);
        }
    }
}

/// The state of the tests' state machine: the applied commands, in order.
pub type State = Vec<u64>;

/// A member of the simulated cell.
pub struct Member {
    pub replica: Option<Replica>,
    pub disk: FakeDisk,
    pub incarnation: Incarnation,
    pub state: State,
    pub applied: u64,
    /// The rate of this member's clock in thousandths; 1000 is exact.
    pub clock_rate: u64,
}

/// A proposal that a leader accepted into its log.
struct Proposed {
    value: u64,
    index: u64,
    term: u64,
    /// The member that accepted it.
    accepted_by: usize,
}

/// A simulated cell. It checks the safety properties of the log after each step.
pub struct Cluster {
    pub rng: StdRng,
    pub now: u64,
    pub members: Vec<Member>,
    /// The messages in flight.
    pub in_flight: Vec<Envelope>,
    /// The links that drop all messages, as (sender, receiver).
    pub cut_links: BTreeSet<(usize, usize)>,
    pub acknowledged: BTreeSet<u64>,
    /// The leader of each term.
    pub leaders: BTreeMap<u64, InstanceId>,
    /// The longest state seen. Each member's state must be a prefix of it or extend it.
    pub history: State,
    pub replaced_disks: usize,
    proposed: Vec<Proposed>,
    next_value: u64,
    next_incarnation: u64,
    voters: usize,
    /// The number of members with disks that are not initial voters; they stay in the reserve.
    reserves: usize,
    total: usize,
}

pub fn id(i: usize) -> InstanceId {
    InstanceId(format!("i{i}").into())
}

impl Cluster {
    pub fn new(seed: u64, voters: usize, observers: usize) -> Cluster {
        Cluster::with_reserves(seed, voters, 0, observers)
    }

    /// Returns a cell whose leaders replace silent voters by reserve members.
    pub fn with_reserves(seed: u64, voters: usize, reserves: usize, observers: usize) -> Cluster {
        let mut cluster = Cluster {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            members: Vec::new(),
            in_flight: Vec::new(),
            cut_links: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            leaders: BTreeMap::new(),
            history: Vec::new(),
            replaced_disks: 0,
            proposed: Vec::new(),
            next_value: 1,
            next_incarnation: 1,
            voters,
            reserves,
            total: voters + reserves + observers,
        };
        for i in 0..cluster.total {
            let incarnation = cluster.draw_incarnation();
            let clock_rate = cluster.rng.random_range(980..=1020);
            cluster.members.push(Member {
                replica: None,
                disk: FakeDisk::default(),
                incarnation,
                state: Vec::new(),
                applied: 0,
                clock_rate,
            });
            cluster.start(i);
        }
        cluster
    }

    fn draw_incarnation(&mut self) -> Incarnation {
        self.next_incarnation += 1;
        Incarnation(self.next_incarnation)
    }

    pub fn local_now(&self, i: usize) -> Millis {
        Millis(self.now * self.members[i].clock_rate / 1000)
    }

    pub fn start(&mut self, i: usize) {
        if self.members[i].replica.is_some() {
            return;
        }
        if i >= self.disks() {
            // An observer has no disk and restarts without state.
            self.members[i].disk = FakeDisk::default();
            self.members[i].incarnation = self.draw_incarnation();
        }
        let cfg = NodeConfig {
            id: id(i),
            incarnation: self.members[i].incarnation,
            initial_voters: (0..self.voters).map(id).collect(),
            contacts: (0..self.voters).map(id).collect(),
            keep_voters: if self.reserves > 0 { self.voters } else { 0 },
            remove_silent_after: None,
            replace_silent_after: (self.reserves > 0).then_some(Millis(3_000)),
            observers: (self.disks()..self.total).map(id).collect(),
            timing: Timing::default(),
            seed: self.rng.random(),
        };
        let restored = self.members[i].disk.restored();
        let member = &mut self.members[i];
        member.applied = restored.snapshot.last_index;
        member.state = decode(&restored.snapshot.data);
        let now = Millis(self.now * member.clock_rate / 1000);
        let node = Node::new(cfg, restored, now);
        member.replica = Some(Replica::new(node, Box::new(member.disk.clone())));
    }

    /// Returns the number of members with disks.
    pub fn disks(&self) -> usize {
        self.voters + self.reserves
    }

    /// Makes the leader, if there is one, admit a member with a disk that asks to join.
    pub fn admit(&mut self, i: usize) {
        let Some(leader) = self.leader().filter(|l| *l != i) else { return };
        if i >= self.disks() || self.members[i].replica.is_none() {
            return;
        }
        let (now, incarnation) = (self.local_now(leader), self.members[i].incarnation);
        if let Some(replica) = self.members[leader].replica.as_mut() {
            replica.admit(now, &id(i), incarnation);
            self.flush(leader);
        }
    }

    pub fn kill(&mut self, i: usize) {
        self.members[i].replica = None;
    }

    /// Stops a member and replaces its disk by an empty one.
    pub fn replace_disk(&mut self, i: usize) {
        self.kill(i);
        self.replaced_disks += 1;
        self.members[i].disk = FakeDisk::default();
        self.members[i].incarnation = self.draw_incarnation();
    }

    pub fn tick(&mut self, i: usize) {
        let now = self.local_now(i);
        if let Some(replica) = self.members[i].replica.as_mut() {
            replica.tick(now);
            self.flush(i);
        }
    }

    pub fn deliver(&mut self, position: usize) {
        let msg = self.in_flight.swap_remove(position);
        let to = index_of(&msg.to);
        let from = index_of(&msg.from);
        if self.cut_links.contains(&(from, to)) {
            return;
        }
        let now = self.local_now(to);
        if let Some(replica) = self.members[to].replica.as_mut() {
            replica.receive(now, msg);
            self.flush(to);
        }
    }

    pub fn propose(&mut self, i: usize) {
        let now = self.local_now(i);
        let value = self.next_value;
        let Some(replica) = self.members[i].replica.as_mut() else { return };
        if let Ok((index, term)) = replica.propose(now, Arc::from(value.to_le_bytes())) {
            self.next_value += 1;
            self.proposed.push(Proposed { value, index, term, accepted_by: i });
            self.flush(i);
        }
    }

    /// Syncs, sends and applies a member's output, and checks the invariants.
    pub fn flush(&mut self, i: usize) {
        let flushed = self.members[i].replica.as_mut().unwrap().flush().unwrap();
        self.in_flight.extend(flushed.messages);
        for committed in flushed.committed {
            self.apply(i, committed);
        }
        let node = self.members[i].replica.as_ref().unwrap().node();
        if node.role() == Role::Leader {
            let first = self.leaders.entry(node.term()).or_insert_with(|| id(i));
            assert_eq!(*first, id(i), "two leaders in term {}", node.term());
        }
        self.check_leases();
    }

    fn apply(&mut self, i: usize, committed: Committed) {
        match committed {
            Committed::Snapshot(s) => {
                self.members[i].applied = s.last_index;
                self.members[i].state = decode(&s.data);
            }
            Committed::Entry(e) => {
                let member = &mut self.members[i];
                assert_eq!(e.index, member.applied + 1, "applied without gaps");
                member.applied = e.index;
                if let Payload::Command(data) = &e.payload {
                    let value = u64::from_le_bytes(data.as_ref().try_into().unwrap());
                    member.state.push(value);
                    let acked = self
                        .proposed
                        .iter()
                        .any(|p| p.accepted_by == i && p.index == e.index && p.term == e.term);
                    if acked {
                        assert!(
                            self.proposed.iter().any(|p| p.index == e.index && p.value == value)
                        );
                        self.acknowledged.insert(value);
                    }
                }
            }
        }
        self.check_history(i);
    }

    fn check_history(&mut self, i: usize) {
        let state = &self.members[i].state;
        let common = state.len().min(self.history.len());
        assert_eq!(state[..common], self.history[..common], "member {i} disagrees on the past");
        if state.len() > self.history.len() {
            self.history = state.clone();
        }
    }

    /// Checks that at most one member holds the leader's lease, and that its state contains all acknowledged commands.
    pub fn check_leases(&self) {
        let holders: Vec<usize> = (0..self.members.len())
            .filter(|&i| {
                let replica = self.members[i].replica.as_ref();
                replica.is_some_and(|r| r.node().holds_lease(self.local_now(i)))
            })
            .collect();
        assert!(holders.len() <= 1, "two leases at once: {holders:?}");
        if let Some(&i) = holders.first() {
            let state: BTreeSet<u64> = self.members[i].state.iter().copied().collect();
            let missing = self.acknowledged.iter().find(|v| !state.contains(v));
            assert!(missing.is_none(), "the lease holder lacks acknowledged {missing:?}");
        }
    }

    pub fn compact(&mut self, i: usize) {
        let applied = self.members[i].applied;
        let data = encode(&self.members[i].state);
        if let Some(replica) = self.members[i].replica.as_mut() {
            replica.compact(applied, data).unwrap();
        }
    }

    /// Repairs all links, starts all members and runs until all members agree; panics if they never do.
    pub fn settle(&mut self) {
        self.cut_links.clear();
        for i in 0..self.members.len() {
            self.start(i);
        }
        for _ in 0..3_000 {
            self.now += 20;
            for i in 0..self.members.len() {
                self.tick(i);
                if self.reserves > 0 {
                    self.admit(i);
                }
            }
            let mut budget = 2_000;
            while !self.in_flight.is_empty() && budget > 0 {
                self.deliver(0);
                budget -= 1;
            }
            if self.now.is_multiple_of(500)
                && let Some(leader) = self.leader()
            {
                self.propose(leader);
            }
            if self.agreed() {
                return;
            }
        }
        panic!("no agreement after everything was repaired: {}", self.describe());
    }

    pub fn describe(&self) -> String {
        let lines = self.members.iter().enumerate().map(|(i, m)| match &m.replica {
            Some(r) => format!(
                "i{i} {:?} term {} last {} commit {} applied {} {:?}",
                r.node().role(),
                r.node().term(),
                r.node().last_index(),
                r.node().commit(),
                m.applied,
                r.node().membership()
            ),
            None => format!("i{i} dead"),
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.members.len()).find(|&i| {
            let replica = self.members[i].replica.as_ref();
            replica.is_some_and(|r| r.node().holds_lease(self.local_now(i)))
        })
    }

    fn agreed(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let node = self.members[leader].replica.as_ref().unwrap().node();
        // The cell has recovered only when every voter is admitted with its current disk.
        let counts = |i: &usize| node.membership().is_voter(&id(*i), self.members[*i].incarnation);
        let all_vote = (0..self.disks()).filter(counts).count() == self.voters
            && node.membership().voters.len() == self.voters;
        let applied = self.members[leader].applied;
        all_vote
            && applied == node.last_index()
            && self.members.iter().all(|m| m.applied == applied)
            && self.acknowledged.iter().all(|v| self.members[leader].state.contains(v))
    }

    /// Checks that all members have the same history, with every acknowledged value in it and no value twice.
    pub fn check_final_state(&self) {
        let unique: BTreeSet<u64> = self.history.iter().copied().collect();
        assert_eq!(unique.len(), self.history.len(), "a value was applied twice");
        for member in &self.members {
            assert_eq!(member.state, self.history, "all members end with the same history");
        }
        assert!(self.acknowledged.is_subset(&unique), "an acknowledged value is lost");
    }
}

fn index_of(id: &InstanceId) -> usize {
    id.as_str()[1..].parse().unwrap()
}

fn encode(state: &State) -> Arc<[u8]> {
    state.iter().flat_map(|v| v.to_le_bytes()).collect::<Vec<u8>>().into()
}

fn decode(data: &[u8]) -> State {
    data.chunks(8).map(|c| u64::from_le_bytes(c.try_into().unwrap())).collect()
}
