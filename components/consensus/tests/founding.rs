//! A cell is bootstrapped although messages between its initial voters are lost at first.
//!
//! Guards against a bootstrap that never completes. An initial voter that had received a hello from both others
//! bootstrapped the cell, sent its own hello once more, and from then on replied as a member with state. If its earlier
//! hellos had been lost, for example because the links were not connected yet, the others never bootstrapped, and one
//! voter is no quorum. In a cell of six instances that were started together
//!
//!     1796272517425 INFO zb1 E201 cell_founded: the cell is founded
//!
//! was logged only once, and all instances kept refusing requests with `not_ready`.

mod common;

use common::{Cluster, id};
use rstest::rstest;

/// The time for which messages are lost, in milliseconds.
const LOSS_MILLIS: u64 = 1_000;
/// The maximum time until a leader is elected after that, in milliseconds: hellos, an election timeout and an election.
const MAX_ELECTION_MILLIS: u64 = 5_000;

fn advance(cluster: &mut Cluster, span: u64, is_lost: impl Fn(usize, usize) -> bool) {
    for _ in 0..span / 20 {
        cluster.now += 20;
        (0..cluster.members.len()).for_each(|i| cluster.tick(i));
        while !cluster.in_flight.is_empty() {
            let (from, to) = (&cluster.in_flight[0].from, &cluster.in_flight[0].to);
            let index_of = |id: &model::InstanceId| id.as_str()[1..].parse().expect("a place");
            match is_lost(index_of(from), index_of(to)) {
                true => drop(cluster.in_flight.remove(0)),
                false => cluster.deliver(0),
            }
        }
    }
}

/// The messages of the first initial voter to one or both others are lost until it has bootstrapped the cell.
#[rstest]
#[case::to_one(&[1])]
#[case::to_both(&[1, 2])]
fn founders_that_were_not_heard_at_first_found_the_cell_later(#[case] unreachable: &[usize]) {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, 3, 2);
        advance(&mut cluster, LOSS_MILLIS, |from, to| from == 0 && unreachable.contains(&to));
        advance(&mut cluster, MAX_ELECTION_MILLIS, |_, _| false);
        assert!(cluster.leader().is_some(), "seed {seed}: {}", cluster.describe());
        assert_eq!(
            cluster.members[0].replica.as_ref().map(|r| r.node().membership().voters.len()),
            Some(3),
            "{}",
            id(0)
        );
    }
}
