//! Rules of the replicated log, each tested in a situation that requires it.

mod common;

use std::collections::BTreeSet;

use clock::Millis;
use common::{Cluster, id};
use consensus::{
    Body, Entry, Envelope, HardState, MemberRole, Membership, Node, NodeConfig, Payload, Restored,
    Role, Timing,
};
use model::Incarnation;

fn run(c: &mut Cluster, millis: u64) {
    for _ in 0..millis / 20 {
        c.now += 20;
        for i in 0..c.members.len() {
            c.tick(i);
        }
        let message_count = c.in_flight.len();
        (0..message_count).for_each(|_| c.deliver(0));
    }
}

fn disconnect(c: &mut Cluster, a: usize, b: usize) {
    c.cut_links.insert((a, b));
    c.cut_links.insert((b, a));
}

fn role(c: &Cluster, i: usize) -> Role {
    c.members[i].replica.as_ref().unwrap().node().role()
}

/// The leader's lease depends on the replies of one follower; the other one is disconnected and starts
/// elections. If the first one restarts, it must not vote before the lease that it acknowledged has expired.
#[test]
fn a_restarted_voter_waits_before_it_votes() {
    for seed in 0..40 {
        let mut c = Cluster::new(seed, 3, 0);
        c.settle();
        let leader = c.leader().unwrap();
        let (connected, disconnected) = ((leader + 1) % 3, (leader + 2) % 3);
        disconnect(&mut c, leader, disconnected);
        run(&mut c, 2_500);
        assert_eq!(role(&c, leader), Role::Leader, "the leader and one follower are a quorum");
        // Disconnect the other one, too; the lease still holds for a while.
        disconnect(&mut c, leader, connected);
        c.kill(connected);
        c.start(connected);
        // A vote in this time would lead to two leases at once, which every flush checks.
        run(&mut c, 4_000);
        assert_ne!(role(&c, leader), Role::Leader, "the leader did not resign without replies");
        assert!(c.leader().is_some_and(|l| l != leader));
    }
}

fn config() -> NodeConfig {
    NodeConfig {
        id: id(0),
        incarnation: Incarnation(1),
        initial_voters: (0..3).map(id).collect(),
        contacts: BTreeSet::new(),
        keep_voters: 0,
        remove_silent_after: None,
        replace_silent_after: None,
        observers: BTreeSet::new(),
        timing: Timing::default(),
        seed: 1,
    }
}

fn members() -> Membership {
    let voters = (0..3).map(|i| (id(i), Incarnation(i as u64 + 1))).collect();
    Membership { voters, ..Membership::default() }
}

fn from(i: usize, body: Body) -> Envelope {
    Envelope { from: id(i), incarnation: Incarnation(i as u64 + 1), to: id(0), body }
}

/// Returns a leader that was elected with entries of earlier terms in its log.
fn leader_with_old_entries() -> Node {
    let restored = Restored {
        hard: HardState { term: 3, voted_for: None },
        entries: vec![
            Entry { index: 1, term: 1, payload: Payload::Membership(members()) },
            Entry { index: 2, term: 2, payload: Payload::Command([7].into()) },
        ],
        ..Restored::default()
    };
    let mut node = Node::new(config(), restored, Millis(0));
    let now = Millis(5_000);
    node.tick(now);
    node.receive(now, from(1, Body::PreVoteReply { term: 4, granted: true }));
    node.receive(now, from(1, Body::VoteReply { term: 4, granted: true }));
    assert_eq!(node.role(), Role::Leader);
    node
}

/// Members that lost power together restart at nearly the same time: the first one to start a pre-vote is refused by
/// those that still wait out a lease that they may have acknowledged before.
#[test]
fn a_refused_pre_vote_is_repeated_long_before_the_next_election() {
    let restored = Restored {
        entries: vec![Entry { index: 1, term: 1, payload: Payload::Membership(members()) }],
        ..Restored::default()
    };
    let mut node = Node::new(config(), restored, Millis(0));
    let timing = Timing::default();
    let count_pre_votes = |out: &consensus::Output| {
        out.messages.iter().filter(|m| matches!(m.body, Body::PreVote { .. })).count()
    };
    let mut asked_at = Vec::new();
    for now in (0..10_000).step_by(10).map(Millis) {
        if count_pre_votes(&node.tick(now)) > 0 {
            asked_at.push(now);
            for i in 1..3 {
                node.receive(now, from(i, Body::PreVoteReply { term: 1, granted: false }));
            }
        }
        if asked_at.len() == 2 {
            break;
        }
    }
    assert!(asked_at[0] >= timing.election_min, "{asked_at:?}");
    assert!(asked_at[1].since(asked_at[0]).0 <= 2 * timing.heartbeat.0 + 10, "{asked_at:?}");
}

fn matched(index: u64) -> Body {
    Body::AppendReply { term: 4, matched: true, index, sent_at: Millis(5_000) }
}

#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting() {
    let mut node = leader_with_old_entries();
    let out = node.receive(Millis(5_001), from(1, matched(2)));
    assert!(out.committed.is_empty(), "a later leader could still replace the entry");
    let out = node.receive(Millis(5_002), from(1, matched(3)));
    let committed: Vec<u64> = out.committed.iter().map(|e| e.index).collect();
    assert_eq!(committed, [1, 2, 3], "an entry of its own term commits the earlier ones");
}

#[test]
fn an_answer_from_another_disk_counts_for_nothing() {
    let mut node = leader_with_old_entries();
    let from_other_disk = Envelope { incarnation: Incarnation(99), ..from(1, matched(3)) };
    let out = node.receive(Millis(5_001), from_other_disk);
    assert!(out.committed.is_empty());
    assert!(!node.holds_lease(Millis(5_001)));
}

#[test]
fn a_second_change_of_members_waits_for_the_first() {
    let mut node = leader_with_old_entries();
    node.receive(Millis(5_001), from(1, matched(3)));
    node.receive(Millis(5_001), from(2, matched(3)));
    assert!(node.change_member(Millis(5_002), &id(2), MemberRole::Learner).is_ok());
    assert!(node.change_member(Millis(5_003), &id(1), MemberRole::Learner).is_err());
    node.receive(Millis(5_004), from(1, matched(4)));
    assert!(node.change_member(Millis(5_005), &id(2), MemberRole::Removed).is_ok());
}

#[test]
fn a_member_votes_once_in_a_term_also_after_a_restart() {
    let vote_request =
        |i| from(i, Body::Vote { term: 9, last_index: 9, last_term: 9, transfer: false });
    let granted = |out: &consensus::Output| {
        out.messages.iter().any(|m| matches!(m.body, Body::VoteReply { granted: true, .. }))
    };
    let restored = Restored {
        entries: vec![Entry { index: 1, term: 1, payload: Payload::Membership(members()) }],
        ..Restored::default()
    };
    let mut node = Node::new(config(), restored.clone(), Millis(0));
    let out = node.receive(Millis(1_500), vote_request(1));
    assert!(granted(&out));
    let hard = out.records.iter().rev().find_map(|r| match r {
        consensus::Record::HardState(h) => Some(h.clone()),
        consensus::Record::Entry(_) => None,
    });
    assert!(!granted(&node.receive(Millis(1_501), vote_request(2))));
    let restored = Restored { hard: hard.unwrap(), ..restored };
    let mut node = Node::new(config(), restored, Millis(10_000));
    assert!(!granted(&node.receive(Millis(12_000), vote_request(2))));
    assert!(
        granted(&node.receive(Millis(12_001), vote_request(1))),
        "the candidate it voted for may ask again"
    );
}

/// Returns whether a follower that is `behind` entries behind at a snapshot receives entries, and whether it receives
/// the snapshot.
fn catches_up(behind: u64) -> (bool, bool) {
    let mut c = Cluster::new(3, 3, 0);
    c.settle();
    let leader = c.leader().unwrap();
    let lagging = (leader + 1) % 3;
    disconnect(&mut c, leader, lagging);
    disconnect(&mut c, (leader + 2) % 3, lagging);
    for _ in 0..behind {
        c.propose(leader);
        let message_count = c.in_flight.len();
        (0..message_count).for_each(|_| c.deliver(0));
    }
    run(&mut c, 200);
    c.compact(leader);
    c.cut_links.clear();
    let (mut entries, mut chunks) = (false, false);
    for _ in 0..200 {
        c.now += 20;
        (0..3).for_each(|i| c.tick(i));
        let to_lagging = c.in_flight.iter().filter(|m| m.to == id(lagging));
        for message in to_lagging {
            match &message.body {
                Body::Append { entries: sent, .. } => entries |= !sent.is_empty(),
                Body::SnapshotChunk { .. } => chunks = true,
                _ => {}
            }
        }
        let message_count = c.in_flight.len();
        (0..message_count).for_each(|_| c.deliver(0));
    }
    assert_eq!(
        c.members[lagging].applied, c.members[leader].applied,
        "the follower did not catch up"
    );
    (entries, chunks)
}

#[test]
fn a_follower_a_little_behind_needs_no_snapshot() {
    assert_eq!(catches_up(300), (true, false));
}

#[test]
fn a_follower_far_behind_gets_the_snapshot() {
    let (_, chunks) = catches_up(1_500);
    assert!(chunks);
}

#[test]
fn a_planned_hand_over_elects_another_at_once() {
    let mut c = Cluster::new(7, 3, 0);
    c.settle();
    let leader = c.leader().unwrap();
    let now = c.local_now(leader);
    c.members[leader].replica.as_mut().unwrap().transfer_leadership(now);
    c.flush(leader);
    run(&mut c, 300);
    assert!(c.leader().is_some_and(|l| l != leader), "{}", c.describe());
}
