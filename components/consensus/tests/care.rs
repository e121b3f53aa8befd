//! Membership maintenance by the leader: members that join, and voters that are replaced or removed.

use std::collections::BTreeSet;

use clock::Millis;
use consensus::{
    Body, Entry, Envelope, HardState, Membership, Node, NodeConfig, Payload, Restored, Role, Timing,
};
use model::{Incarnation, InstanceId};

const START: Millis = Millis(5_000);
const SILENT_AFTER: Millis = Millis(8_000);
const REPLACE_AFTER: Millis = Millis(1_000);

fn id(i: usize) -> InstanceId {
    InstanceId(format!("i{i}").into())
}

fn from(i: usize, body: Body) -> Envelope {
    Envelope { from: id(i), incarnation: Incarnation(i as u64 + 1), to: id(0), body }
}

/// Returns a leader of a cell of `voters` voters that keeps at least three of them.
fn leader(voters: usize) -> Node {
    let cfg = NodeConfig {
        id: id(0),
        incarnation: Incarnation(1),
        initial_voters: BTreeSet::new(),
        contacts: BTreeSet::new(),
        observers: BTreeSet::new(),
        keep_voters: 3,
        remove_silent_after: Some(SILENT_AFTER),
        replace_silent_after: Some(REPLACE_AFTER),
        timing: Timing::default(),
        seed: 1,
    };
    let voters_of = (0..voters).map(|i| (id(i), Incarnation(i as u64 + 1))).collect();
    let members = Membership { voters: voters_of, ..Membership::default() };
    let restored = Restored {
        hard: HardState { term: 3, voted_for: None },
        entries: vec![Entry { index: 1, term: 1, payload: Payload::Membership(members) }],
        ..Restored::default()
    };
    let mut node = Node::new(cfg, restored, Millis(0));
    node.tick(START);
    for i in 1..voters {
        node.receive(START, from(i, Body::PreVoteReply { term: 4, granted: true }));
    }
    for i in 1..voters {
        node.receive(START, from(i, Body::VoteReply { term: 4, granted: true }));
    }
    assert_eq!(node.role(), Role::Leader);
    node
}

/// Makes the given followers acknowledge the whole log.
fn acknowledge(node: &mut Node, now: Millis, followers: &[usize]) {
    for i in followers {
        let index = node.last_index();
        let body = Body::AppendReply { term: 4, matched: true, index, sent_at: now };
        node.receive(now, from(*i, body));
    }
}

/// Advances the time while the given followers respond.
fn run(node: &mut Node, start: Millis, span: Millis, followers: &[usize]) {
    let mut now = start;
    while now < start + span {
        now += Millis(100);
        acknowledge(node, now, followers);
        node.tick(now);
        acknowledge(node, now, followers);
    }
}

#[test]
fn an_instance_that_joins_learns_first_and_votes_once_it_has_caught_up() {
    let mut node = leader(2);
    acknowledge(&mut node, START, &[1]);
    node.admit(START, &id(3), Incarnation(4));
    assert!(node.membership().learners.contains_key(&id(3)));
    assert_eq!(node.membership().voters.len(), 2);
    run(&mut node, START, Millis(500), &[1, 3]);
    assert!(node.membership().is_voter(&id(3), Incarnation(4)));
}

#[test]
fn an_instance_beyond_the_voters_that_are_kept_stays_in_reserve() {
    let mut node = leader(3);
    acknowledge(&mut node, START, &[1, 2]);
    node.admit(START, &id(3), Incarnation(4));
    run(&mut node, START, Millis(9_000), &[1, 2, 3]);
    assert_eq!(
        node.membership().voters.len(),
        3,
        "with four voters, a partition into halves leaves no majority"
    );
    assert!(node.membership().learners.contains_key(&id(3)));
}

#[test]
fn a_reserve_takes_the_place_of_a_voter_that_is_gone() {
    let mut node = leader(3);
    acknowledge(&mut node, START, &[1, 2]);
    node.admit(START, &id(3), Incarnation(4));
    run(&mut node, START, Millis(1_000), &[1, 2, 3]);
    run(&mut node, START + Millis(1_000), Millis(10_000), &[1, 3]);
    let voters: Vec<InstanceId> = node.membership().voters.keys().cloned().collect();
    assert_eq!(voters, vec![id(0), id(1), id(3)]);
}

#[test]
fn an_instance_that_asks_again_changes_nothing() {
    let mut node = leader(3);
    acknowledge(&mut node, START, &[1, 2]);
    let before = node.last_index();
    node.admit(START, &id(1), Incarnation(2));
    assert_eq!(node.last_index(), before);
}

#[test]
fn a_voter_that_is_gone_is_removed_once_a_replacement_votes_and_not_before() {
    let mut node = leader(3);
    acknowledge(&mut node, START, &[1, 2]);
    run(&mut node, START, Millis(9_000), &[1]);
    assert_eq!(node.membership().voters.len(), 3, "three voters are kept even if one is silent");
    let now = START + Millis(9_000);
    node.admit(now, &id(3), Incarnation(4));
    run(&mut node, now, Millis(1_000), &[1, 3]);
    let voters: Vec<InstanceId> = node.membership().voters.keys().cloned().collect();
    assert_eq!(voters, vec![id(0), id(1), id(3)]);
}

#[test]
fn two_silent_voters_are_not_removed_for_that_may_be_a_cut() {
    let mut node = leader(5);
    acknowledge(&mut node, START, &[1, 2, 3, 4]);
    run(&mut node, START, Millis(9_500), &[1, 2]);
    assert_eq!(node.membership().voters.len(), 5);
}

#[test]
fn a_voter_that_is_silent_for_a_short_while_stays() {
    let mut node = leader(4);
    acknowledge(&mut node, START, &[1, 2, 3]);
    run(&mut node, START, Millis(6_000), &[1, 2]);
    assert_eq!(node.membership().voters.len(), 4);
    run(&mut node, START + Millis(6_000), Millis(6_000), &[1, 2, 3]);
    assert_eq!(node.membership().voters.len(), 4);
}

#[test]
fn the_lease_ends_when_no_quorum_answers() {
    let mut node = leader(3);
    acknowledge(&mut node, START, &[1, 2]);
    run(&mut node, START, Millis(500), &[1]);
    let now = START + Millis(500);
    assert!(node.lease_until(now) > now);
    assert_eq!(node.lease_until(now + Millis(2_000)), Millis::ZERO);
}

fn voters(node: &Node) -> Vec<InstanceId> {
    node.membership().voters.keys().cloned().collect()
}

/// Returns a leader of three voters with a caught-up learner in the reserve.
fn leader_with_reserve() -> Node {
    let mut node = leader(3);
    acknowledge(&mut node, START, &[1, 2]);
    node.admit(START, &id(3), Incarnation(4));
    run(&mut node, START, Millis(500), &[1, 2, 3]);
    node
}

#[test]
fn a_caught_up_reserve_takes_a_silent_voters_place_within_two_seconds() {
    let mut node = leader_with_reserve();
    run(&mut node, START + Millis(500), Millis(2_000), &[1, 3]);
    assert_eq!(voters(&node), vec![id(0), id(1), id(3)]);
}

#[test]
fn a_voter_keeps_its_place_through_a_pause_of_its_process() {
    let mut node = leader_with_reserve();
    run(&mut node, START + Millis(500), Millis(800), &[1, 3]);
    run(&mut node, START + Millis(1_300), Millis(2_000), &[1, 2, 3]);
    assert_eq!(voters(&node), vec![id(0), id(1), id(2)]);
}

#[test]
fn a_silent_reserve_takes_nobodys_place() {
    let mut node = leader_with_reserve();
    run(&mut node, START + Millis(500), Millis(3_000), &[1]);
    assert_eq!(voters(&node), vec![id(0), id(1), id(2)]);
}

#[test]
fn no_voter_leaves_before_the_change_before_is_committed() {
    let mut node = leader_with_reserve();
    let now = START + Millis(2_000);
    // Only the reserve member responds, so no membership change can be committed. The reserve member may become a
    // voter in addition to the others, none of which may be removed.
    let index = node.last_index();
    node.receive(now, from(3, Body::AppendReply { term: 4, matched: true, index, sent_at: now }));
    node.tick(now);
    node.receive(now, from(3, Body::AppendReply { term: 4, matched: true, index, sent_at: now }));
    node.tick(now + Millis(100));
    for i in 0..3 {
        assert!(node.membership().voters.contains_key(&id(i)), "{:?}", node.membership());
    }
}

/// If the silent voter were removed first, two voters would be left for a moment. If all members lost power then and
/// one of these two its disk, the other one could never be elected.
#[test]
fn there_are_never_fewer_voters_than_are_kept_while_one_is_replaced() {
    let mut node = leader_with_reserve();
    let mut now = START + Millis(500);
    while now < START + Millis(3_000) {
        now += Millis(10);
        node.tick(now);
        assert!(voters(&node).len() >= 3, "{:?}", node.membership());
        acknowledge(&mut node, now, &[1, 3]);
        assert!(voters(&node).len() >= 3, "{:?}", node.membership());
    }
    assert_eq!(voters(&node), vec![id(0), id(1), id(3)]);
}

#[test]
fn a_voter_that_is_back_while_it_is_replaced_keeps_its_place() {
    let mut node = leader_with_reserve();
    let mut now = START + Millis(500);
    while voters(&node).len() < 4 {
        now += Millis(10);
        acknowledge(&mut node, now, &[1]);
        let (index, sent_at) = (1, now);
        node.receive(now, from(3, Body::AppendReply { term: 4, matched: true, index, sent_at }));
        node.tick(now);
        assert!(now < START + Millis(3_000), "the reserve member is not promoted");
    }
    run(&mut node, now, Millis(500), &[1, 2, 3]);
    assert_eq!(voters(&node), vec![id(0), id(1), id(2)]);
    assert!(node.membership().learners.contains_key(&id(3)));
}

#[test]
fn a_voter_that_comes_back_stays_in_reserve() {
    let mut node = leader_with_reserve();
    run(&mut node, START + Millis(500), Millis(2_000), &[1, 3]);
    let now = START + Millis(2_500);
    node.admit(now, &id(2), Incarnation(3));
    run(&mut node, now, Millis(2_000), &[1, 2, 3]);
    assert_eq!(voters(&node), vec![id(0), id(1), id(3)]);
    assert!(node.membership().learners.contains_key(&id(2)));
}

#[test]
fn a_caught_up_reserve_votes_while_a_voter_that_lost_its_disk_learns() {
    let mut node = leader_with_reserve();
    let now = START + Millis(600);
    // The second voter is back with a new disk and responds, but its log is empty.
    let empty = |now| Envelope {
        from: id(2),
        incarnation: Incarnation(77),
        to: id(0),
        body: Body::AppendReply { term: 4, matched: false, index: 0, sent_at: now },
    };
    let mut at = now;
    while at < now + Millis(500) {
        at += Millis(50);
        node.receive(at, empty(at));
        node.tick(at);
        acknowledge(&mut node, at, &[1, 3]);
    }
    assert_eq!(voters(&node), vec![id(0), id(1), id(3)]);
    // By the time it has caught up there are enough voters without it.
    while at < now + Millis(1_500) {
        at += Millis(50);
        let index = node.last_index();
        let body = Body::AppendReply { term: 4, matched: true, index, sent_at: at };
        node.receive(at, Envelope { body, ..empty(at) });
        node.tick(at);
        acknowledge(&mut node, at, &[1, 3]);
    }
    assert_eq!(voters(&node), vec![id(0), id(1), id(3)]);
}

#[test]
fn the_answer_to_an_older_heartbeat_has_nothing_sent_again() {
    let mut node = leader(3);
    acknowledge(&mut node, START, &[1, 2]);
    let now = START + Millis(20);
    let (_, _, sent) = node.propose(now, std::sync::Arc::from([1u8; 100])).unwrap();
    let appends = |messages: &[Envelope]| {
        let has_entries =
            |e: &&Envelope| matches!(&e.body, Body::Append { entries, .. } if !entries.is_empty());
        messages.iter().filter(has_entries).count()
    };
    assert_eq!(appends(&sent.messages), 2, "one append for each follower");
    let old = Body::AppendReply { term: 4, matched: true, index: 2, sent_at: START };
    let out = node.receive(now + Millis(5), from(1, old));
    assert_eq!(appends(&out.messages), 0);
}
