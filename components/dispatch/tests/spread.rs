//! Tests of the availability zones in which the tasks of a job are placed.

mod common;

use std::collections::BTreeSet;

use common::{Harness, job, spec, step};
use workload::StepSpec;

/// Returns three zones of two workers each, whose names begin with that of their zone.
fn three_zones() -> Harness {
    let mut b = Harness::new("");
    for zone in ["a", "b", "c"] {
        b.join_in(zone, &format!("{zone}1"), 8);
        b.join_in(zone, &format!("{zone}2"), 8);
    }
    b
}

/// Returns the zones in which tasks of a job were started.
fn zones_of(b: &Harness, id: u64) -> BTreeSet<char> {
    let starts = b.starts();
    let own = starts.iter().filter(|(_, order)| order.task.step.job == job(id));
    own.filter_map(|(worker, _)| worker.0.chars().next()).collect()
}

#[test]
fn a_job_keeps_to_one_zone_so_that_a_cut_hits_few_jobs() {
    let mut b = three_zones();
    for id in 1..=3 {
        b.submit(id, spec(vec![step(6)]));
        b.commit();
    }
    let zones: Vec<BTreeSet<char>> = (1..=3).map(|id| zones_of(&b, id)).collect();
    assert!(zones.iter().all(|z| z.len() == 1), "{zones:?}");
    let all: BTreeSet<char> = zones.into_iter().flatten().collect();
    assert_eq!(all.len(), 3, "jobs go to the zone with the most free capacity");
}

#[test]
fn steps_that_run_at_the_same_time_keep_to_the_same_zone() {
    let mut b = three_zones();
    b.submit(1, spec(vec![step(2), step(3)]));
    b.commit();
    assert_eq!(zones_of(&b, 1).len(), 1);
}

#[test]
fn a_job_that_no_zone_has_capacity_for_takes_several() {
    let mut b = three_zones();
    b.submit(1, spec(vec![step(40)]));
    b.commit();
    assert_eq!(b.starts().len(), 40);
    assert_eq!(zones_of(&b, 1).len(), 3);
}

#[test]
fn tasks_that_last_are_spread_since_each_counts_by_itself() {
    let mut b = three_zones();
    b.submit(1, spec(vec![StepSpec { long_running: true, ..step(6) }]));
    b.commit();
    assert_eq!(zones_of(&b, 1).len(), 3);
}
