//! Lower bounds of the leader's clock.

use std::collections::BTreeSet;

use clock::Millis;
use model::InstanceId;
use node::{LeaderClock, Peers, PeersConfig};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SEEDS: u64 = 500;

/// Guards against a time limit that ends late because the clocks drift or a welcome took long, and against one that ends so
/// early that calls which are in time are rejected.
#[test]
fn a_bound_is_never_late_and_soon_tight() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        // The leader's clock in thousandths of the time by this instance's clock.
        let rate = rng.random_range(985..=1_015);
        let started = rng.random_range(1..100_000_000);
        let leader_time = |at: u64| Millis(started + at * rate / 1_000);
        let mut now = rng.random_range(10_000..1_000_000);
        let mut clock = LeaderClock::stated(leader_time(now), Millis(now + 6_000));
        now += 6_000;
        let mut last_quick_welcome = 0;
        for _ in 0..200 {
            now += 200;
            let transit = match rng.random_range(0..10) {
                0 => rng.random_range(300..6_000),
                _ => rng.random_range(0..20),
            };
            if transit < 20 {
                last_quick_welcome = now;
            }
            clock.tighten(leader_time(now - transit), Millis(now));
            let at = now + 5_000 - rng.random_range(0..10_000);
            let (bound, time) = (clock.at_least(Millis(at)), leader_time(at));
            assert!(bound <= time + Millis(1), "seed {seed}: {bound} is later than {time}");
            let distance = at.abs_diff(last_quick_welcome);
            let slack = Millis(25 + distance * 4 / 100);
            assert!(last_quick_welcome == 0 || time.since(bound) <= slack, "seed {seed}");
        }
    }
}

fn entry() -> Peers {
    let cfg = PeersConfig { id: "e1".into(), disk: None, calls_advice: true };
    Peers::new(cfg, BTreeSet::from(["c1".into()]), Millis(0))
}

/// Returns an instance that knows the leader `c1` of the term 3, but not its clock.
fn with_leader() -> Peers {
    let mut peers = entry();
    peers.on_welcome(&"c1".into(), Some("c1".into()), 3, &["c2".into()], Millis(100));
    peers
}

/// Guards against calls without a limit, and against limits by the clock of another instance, of an earlier term or of an
/// earlier life of the leader.
#[rstest]
#[case::the_leader_in_its_term("c1", 3, 9_000, true)]
#[case::an_earlier_term("c1", 2, 9_000, false)]
#[case::another_instance("c2", 3, 9_000, false)]
#[case::an_earlier_version("c1", 3, 0, false)]
fn only_the_leader_states_its_clock(
    #[case] from: &str,
    #[case] term: u64,
    #[case] stated: u64,
    #[case] known: bool,
) {
    let mut peers = with_leader();
    assert!(peers.leader(Millis(100)).is_some());
    assert_eq!(peers.leader_with_clock(Millis(100)), None);
    peers.record_leader_time(&InstanceId::from(from), term, Millis(stated), Millis(100));
    assert_eq!(peers.leader_with_clock(Millis(100)).is_some(), known);
}

#[test]
fn a_new_term_has_another_clock_which_is_asked_for_at_once() {
    let mut peers = with_leader();
    peers.record_leader_time(&"c1".into(), 3, Millis(9_000), Millis(100));
    peers.due_hellos(Millis(100));
    peers.on_welcome(&"c2".into(), Some("c1".into()), 4, &[], Millis(110));
    assert_eq!(peers.leader_with_clock(Millis(110)), None);
    assert_eq!(peers.due_hellos(Millis(110)).len(), 2);
    peers.record_leader_time(&"c1".into(), 4, Millis(20), Millis(120));
    let leader = peers.leader_with_clock(Millis(130)).unwrap();
    assert_eq!((leader.term, leader.clock.at_least(Millis(120))), (4, Millis(20)));
}

/// Guards against a new leader that every instance greets at once, though its welcome has told them all.
#[test]
fn a_leader_that_introduces_itself_is_not_greeted_out_of_turn() {
    let mut peers = with_leader();
    peers.due_hellos(Millis(100));
    peers.on_welcome(&"c2".into(), Some("c2".into()), 4, &[], Millis(110));
    peers.record_leader_time(&"c2".into(), 4, Millis(20), Millis(110));
    assert!(peers.leader_with_clock(Millis(110)).is_some());
    assert!(peers.due_hellos(Millis(110)).is_empty());
}
