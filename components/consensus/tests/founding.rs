//! A cell is founded although messages are lost while its founders find each other.
//!
//! A founder that had heard both others founded the cell, told them so once more, and from then on answered their hellos
//! as one that has state. If its own hellos had been lost until then, as over links that were not connected yet, the others
//! never founded, and it alone was no quorum. In a cell of six instances that were started together
//!
//!     1796272517425 INFO zb1 E201 cell_founded: the cell is founded
//!
//! was the only such line, and for as long as anybody looked all instances refused with `not_ready`.

mod common;

use common::{Cluster, id};
use rstest::rstest;

/// For how long what some members say is lost, in milliseconds.
const LOST_FOR: u64 = 1_000;
/// Within what time a leader is elected then: hellos, a time-out and an election.
const ELECTED_WITHIN: u64 = 5_000;

fn pass(cluster: &mut Cluster, span: u64, is_lost: impl Fn(usize, usize) -> bool) {
    for _ in 0..span / 20 {
        cluster.now += 20;
        (0..cluster.members.len()).for_each(|i| cluster.tick(i));
        while !cluster.wire.is_empty() {
            let (from, to) = (&cluster.wire[0].from, &cluster.wire[0].to);
            let place = |id: &model::InstanceId| id.as_str()[1..].parse().expect("a place");
            match is_lost(place(from), place(to)) {
                true => drop(cluster.wire.remove(0)),
                false => cluster.deliver(0),
            }
        }
    }
}

/// What the first founder says is lost to one or to both others until it has founded the cell.
#[rstest]
#[case::to_one(&[1])]
#[case::to_both(&[1, 2])]
fn founders_that_were_not_heard_at_first_found_the_cell_later(#[case] deaf: &[usize]) {
    for seed in 0..50 {
        let mut cluster = Cluster::new(seed, 3, 2);
        pass(&mut cluster, LOST_FOR, |from, to| from == 0 && deaf.contains(&to));
        pass(&mut cluster, ELECTED_WITHIN, |_, _| false);
        assert!(cluster.leader().is_some(), "seed {seed}: {}", cluster.describe());
        assert_eq!(
            cluster.members[0].replica.as_ref().map(|r| r.node().membership().voters.len()),
            Some(3),
            "{}",
            id(0)
        );
    }
}
