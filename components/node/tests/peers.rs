//! Discovery of the other instances and of the leader.

use std::collections::BTreeSet;

use clock::Millis;
use model::{Incarnation, InstanceId};
use node::{Peers, PeersConfig, Reachability};

fn id(name: &str) -> InstanceId {
    InstanceId::from(name)
}

fn entry() -> Peers {
    let cfg = PeersConfig { id: id("e1"), disk: None, calls_advice: true };
    let seeds: BTreeSet<InstanceId> = [id("c1")].into_iter().collect();
    Peers::new(cfg, seeds, Millis(0))
}

/// Records a message from each of the instances every tenth of a second.
fn record_contacts(peers: &mut Peers, names: &[&str], from: u64, to: u64) {
    for now in (from..=to).step_by(100) {
        names.iter().for_each(|name| peers.record_contact(&id(name), Millis(now)));
    }
}

#[test]
fn hellos_go_to_every_control_instance_that_was_ever_named() {
    let mut peers = entry();
    peers.on_welcome(&id("c1"), None, 0, &[id("c2"), id("c3")], Millis(0));
    let to: Vec<InstanceId> = peers.due_hellos(Millis(0)).into_iter().map(|(to, _)| to).collect();
    assert_eq!(to, vec![id("c1"), id("c2"), id("c3")]);
    assert!(peers.due_hellos(Millis(50)).is_empty());
    assert_eq!(peers.due_hellos(Millis(100)).len(), 3, "more often while no leader is known");
    peers.on_welcome(&id("c1"), Some(id("c1")), 1, &[], Millis(100));
    peers.due_hellos(Millis(200));
    assert!(peers.due_hellos(Millis(380)).is_empty());
}

/// Guards against messages and links in proportion to the product of the numbers of entry and control instances: of 25
/// control instances 20 do not vote, and each was greeted by 583 entry instances five times a second.
#[test]
fn an_entry_instance_greets_only_the_seeds_and_the_voters() {
    let mut peers = entry();
    let voters = vec![id("c2"), id("c3")];
    peers.on_welcome_at_entry(&id("c1"), Some(id("c2")), 1, voters, Millis(0));
    let to: Vec<InstanceId> = peers.due_hellos(Millis(0)).into_iter().map(|(to, _)| to).collect();
    assert_eq!(to, vec![id("c1"), id("c2"), id("c3")]);
    assert_eq!(peers.reachability(Millis(100)), Reachability::Majority);
    // A member that replaces a voter is greeted as soon as any voter names it.
    peers.on_welcome_at_entry(&id("c2"), Some(id("c2")), 1, vec![id("c2"), id("c4")], Millis(100));
    assert!(peers.ids().any(|known| *known == id("c4")));
}

#[test]
fn an_older_term_does_not_bring_an_old_leader_back() {
    let mut peers = entry();
    assert!(peers.on_welcome(&id("c1"), Some(id("c2")), 5, &[], Millis(0)));
    assert!(!peers.on_welcome(&id("c1"), Some(id("c1")), 4, &[], Millis(10)));
    assert_eq!(peers.leader(Millis(10)), Some(&id("c2")));
}

#[test]
fn a_leader_that_nobody_speaks_of_is_forgotten_and_the_instance_is_not_ready() {
    let mut peers = entry();
    peers.on_welcome(&id("c1"), Some(id("c1")), 1, &[], Millis(0));
    assert!(peers.is_connected(Millis(500)));
    assert!(!peers.is_connected(Millis(700)));
    assert_eq!(peers.leader(Millis(2_000)), None);
}

#[test]
fn an_instance_that_has_just_started_is_not_cut_off_by_the_silence_of_others_that_start() {
    let mut peers = entry();
    peers.on_welcome(&id("c1"), None, 0, &[id("c2"), id("c3")], Millis(1_000));
    peers.set_voters(1, vec![id("c1"), id("c2"), id("c3")]);
    record_contacts(&mut peers, &["c1"], 1_000, 2_000);
    assert_eq!(
        peers.reachability(Millis(2_000)),
        Reachability::Majority,
        "the other two may be starting"
    );
    record_contacts(&mut peers, &["c1"], 2_000, 3_000);
    assert_eq!(peers.reachability(Millis(3_000)), Reachability::Minority);
}

#[test]
fn silent_links_are_opened_anew_and_only_seeds_are_kept_for_ever() {
    let mut peers = entry();
    peers.record_contact(&id("c9"), Millis(0));
    let (silent, gone) = peers.maintain(Millis(1_100));
    assert_eq!((silent, gone), (vec![id("c1"), id("c9")], vec![]));
    let (silent, _) = peers.maintain(Millis(1_500));
    assert!(silent.is_empty(), "not at every tick");
    let (_, gone) = peers.maintain(Millis(70_000));
    assert_eq!(gone, vec![id("c9")]);
}

#[test]
fn an_instance_that_falls_silent_gets_a_new_link_sooner_than_one_that_is_only_slow_to_answer() {
    let mut peers = entry();
    peers.record_contact(&id("c1"), Millis(1_000));
    peers.on_welcome(&id("c1"), None, 0, &[], Millis(1_000));
    let reopened = |peers: &mut Peers, now| !peers.maintain(Millis(now)).0.is_empty();
    assert!(!reopened(&mut peers, 1_450));
    assert!(reopened(&mut peers, 1_500));
    assert!(!reopened(&mut peers, 1_950), "not at every tick");
    assert!(reopened(&mut peers, 2_000));
}

#[test]
fn new_seeds_are_added_to_what_is_known() {
    let mut peers = entry();
    peers.set_seeds([id("c7")].into_iter().collect(), Millis(0));
    let known: Vec<InstanceId> = peers.ids().cloned().collect();
    assert_eq!(known, vec![id("c1"), id("c7")]);
}

#[test]
fn only_instances_that_are_there_and_say_so_help() {
    let mut peers = entry();
    for name in ["e2", "e3", "c1"] {
        peers.record_contact(&id(name), Millis(0));
    }
    peers.on_hello(&id("e2"), None, true, true);
    peers.on_hello(&id("e3"), None, false, true);
    peers.on_hello(&id("c1"), Some(Incarnation(1)), true, true);
    let advice_callers: Vec<InstanceId> = peers.advice_callers(Millis(100)).into_iter().collect();
    assert_eq!(advice_callers, vec![id("c1"), id("e2")]);
    assert!(peers.advice_callers(Millis(800)).is_empty(), "none without recent contact");
}

#[test]
fn an_instance_that_hears_half_of_the_voters_or_fewer_is_cut_off() {
    let mut peers = entry();
    assert_eq!(peers.reachability(Millis(0)), Reachability::Majority, "nothing is known yet");
    peers.set_voters(3, vec![id("c1"), id("c2"), id("c3")]);
    record_contacts(&mut peers, &["c1", "c2", "c3"], 1_000, 3_000);
    record_contacts(&mut peers, &["c1", "c2"], 3_000, 4_000);
    assert_eq!(peers.reachability(Millis(4_000)), Reachability::Majority);
    record_contacts(&mut peers, &["c1"], 4_000, 5_000);
    assert_eq!(peers.reachability(Millis(5_000)), Reachability::Minority);
    peers.set_voters(2, vec![id("c1")]);
    assert_eq!(
        peers.reachability(Millis(5_000)),
        Reachability::Minority,
        "an older term changes no voters"
    );
    assert_eq!(peers.reachability(Millis(5_600)), Reachability::Isolated);
    record_contacts(&mut peers, &["c2"], 6_000, 6_200);
    assert_eq!(
        peers.reachability(Millis(6_200)),
        Reachability::Isolated,
        "the voters are restarting"
    );
}

/// Counts the links that are reopened in a period, with a tick every 50 ms.
fn reconnects(
    peers: &mut Peers,
    from: u64,
    to: u64,
    mut tick: impl FnMut(&mut Peers, u64),
) -> usize {
    let mut reopened = 0;
    for now in (from..to).step_by(50) {
        tick(peers, now);
        reopened += peers.maintain(Millis(now)).0.len();
    }
    reopened
}

#[test]
fn an_instance_that_is_heard_and_does_not_answer_hellos_gets_a_new_link() {
    let mut peers = entry();
    let only_messages = |peers: &mut Peers, now| peers.record_contact(&id("c1"), Millis(now));
    assert_eq!(reconnects(&mut peers, 0, 1_000, only_messages), 0, "an answer may take a while");
    assert_eq!(reconnects(&mut peers, 1_000, 4_000, only_messages), 3, "once a second");
    let messages_and_answers = |peers: &mut Peers, now| {
        peers.record_contact(&id("c1"), Millis(now));
        peers.on_welcome(&id("c1"), None, 0, &[], Millis(now));
    };
    assert_eq!(reconnects(&mut peers, 4_000, 8_000, messages_and_answers), 0);
}

#[test]
fn an_instance_that_says_that_no_answer_reaches_it_gets_a_new_link() {
    let mut peers = entry();
    let hello = |answered| {
        move |peers: &mut Peers, now| {
            peers.record_contact(&id("e9"), Millis(now));
            peers.on_hello(&id("e9"), None, true, answered);
            // The seed always answers.
            peers.record_contact(&id("c1"), Millis(now));
            peers.on_welcome(&id("c1"), None, 0, &[], Millis(now));
        }
    };
    assert_eq!(reconnects(&mut peers, 0, 3_000, hello(true)), 0, "it answers no hellos");
    assert_eq!(reconnects(&mut peers, 3_000, 6_000, hello(false)), 3, "once a second");
    assert_eq!(reconnects(&mut peers, 6_000, 9_000, hello(true)), 0);
}

#[test]
fn a_hello_tells_whether_the_other_end_answers() {
    let mut peers = entry();
    let says_answered = |peers: &mut Peers, now| match peers.due_hellos(Millis(now)).pop() {
        Some((_, node::Message::Hello { answered, .. })) => answered,
        other => panic!("no hello: {other:?}"),
    };
    assert!(says_answered(&mut peers, 0), "nothing could be answered yet");
    assert!(!says_answered(&mut peers, 1_200));
    peers.on_welcome(&id("c1"), None, 0, &[], Millis(1_300));
    assert!(says_answered(&mut peers, 1_500));
}
