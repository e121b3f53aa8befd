//! Random fault schedules: acknowledged commands stay on every member, once each and in order.

mod common;

use common::Cluster;
use rand::Rng;

/// The faults that a family of schedules injects.
#[derive(Clone, Copy)]
struct Faults {
    kills: bool,
    cuts: bool,
    replaced_disks: bool,
    compacts: bool,
    /// Whether a fourth member with a disk is in the reserve to replace a silent voter.
    reserve: bool,
}

const STEPS: usize = 400;

fn run(seed: u64, faults: Faults) -> usize {
    let mut c = match faults.reserve {
        true => Cluster::with_reserves(seed, 3, 1, 1),
        false => Cluster::new(seed, 3, 1),
    };
    c.settle();
    for _ in 0..STEPS {
        step(&mut c, faults);
    }
    c.settle();
    c.check_final_state();
    c.acknowledged.len()
}

fn step(c: &mut Cluster, faults: Faults) {
    let n = c.members.len();
    let i = c.rng.random_range(0..n);
    let roll = c.rng.random_range(0..1000);
    match roll {
        0..400 => deliver(c, false),
        400..430 => deliver(c, true),
        430..450 => drop_one(c),
        450..800 => {
            c.now += c.rng.random_range(1..60);
            (0..n).for_each(|m| c.tick(m));
        }
        800..930 => c.propose(c.leader().unwrap_or(i)),
        930..945 if faults.kills => c.kill(i),
        945..965 => {
            c.start(i);
            if faults.reserve {
                c.admit(i);
            }
        }
        965..978 if faults.cuts => {
            let j = c.rng.random_range(0..n);
            c.cut_links.insert((i, j));
        }
        978..980 if faults.cuts => isolate(c, i),
        980..988 => c.cut_links.clear(),
        988..991 if faults.replaced_disks => replace_one_disk(c, i),
        991..1000 if faults.compacts => c.compact(i),
        _ => {}
    }
}

fn deliver(c: &mut Cluster, repeat: bool) {
    if c.in_flight.is_empty() {
        return;
    }
    let position = c.rng.random_range(0..c.in_flight.len());
    if repeat {
        let copy = c.in_flight[position].clone();
        c.in_flight.push(copy);
    }
    c.deliver(position);
}

fn drop_one(c: &mut Cluster) {
    if !c.in_flight.is_empty() {
        let position = c.rng.random_range(0..c.in_flight.len());
        c.in_flight.swap_remove(position);
    }
}

fn isolate(c: &mut Cluster, i: usize) {
    for j in 0..c.members.len() {
        c.cut_links.insert((i, j));
        c.cut_links.insert((j, i));
    }
}

/// Replaces the disk of a voter after the cell has recovered from earlier faults. No quorum survives the loss of two
/// disks of three.
fn replace_one_disk(c: &mut Cluster, i: usize) {
    if i < 3 {
        c.settle();
        c.replace_disk(i);
    }
}

macro_rules! family {
    ($name:ident, $seeds:expr, $faults:expr) => {
        #[test]
        fn $name() {
            let mut acknowledged = 0;
            for seed in $seeds {
                acknowledged += run(seed, $faults);
            }
            assert!(
                acknowledged > 500,
                "only {acknowledged} acknowledged: the schedules tested nothing"
            );
        }
    };
}

family!(
    messages_lost_repeated_and_reordered,
    0..500,
    Faults { kills: false, cuts: false, replaced_disks: false, compacts: true, reserve: false }
);
family!(
    members_killed_and_restarted,
    10_000..10_500,
    Faults { kills: true, cuts: false, replaced_disks: false, compacts: true, reserve: false }
);
family!(
    links_cut_one_way_and_both,
    20_000..20_500,
    Faults { kills: false, cuts: true, replaced_disks: false, compacts: true, reserve: false }
);
family!(
    disks_lost_among_all_other_faults,
    30_000..31_000,
    Faults { kills: true, cuts: true, replaced_disks: true, compacts: true, reserve: false }
);
family!(
    voters_replaced_by_a_reserve_among_all_other_faults,
    40_000..41_000,
    Faults { kills: true, cuts: true, replaced_disks: true, compacts: true, reserve: true }
);

/// Stops all members at a random point of a schedule and replaces some disks, fewer than half as many as there are
/// voters. The cell must recover with all acknowledged commands from the remaining disks.
///
/// Guards against two deadlocks. Of three voters, two were left that refused each other's votes forever, one with the
/// higher term and the other with the longer log. Or one of two was left, because a silent voter had been removed before
/// its replacement was a voter.
fn lose_all_power_and_disks(seed: u64, voters: usize, reserves: usize) -> usize {
    let mut c = Cluster::with_reserves(seed, voters, reserves, 1);
    let faults = Faults {
        kills: true,
        cuts: true,
        replaced_disks: false,
        compacts: true,
        reserve: reserves > 0,
    };
    c.settle();
    let steps = c.rng.random_range(50..STEPS);
    for _ in 0..steps {
        step(&mut c, faults);
    }
    let disks = c.disks();
    let mut lost = rand::seq::index::sample(&mut c.rng, disks, (voters - 1) / 2).into_vec();
    lost.sort_unstable();
    (0..c.members.len()).for_each(|i| c.kill(i));
    lost.into_iter().for_each(|i| c.replace_disk(i));
    c.in_flight.clear();
    c.settle();
    c.check_final_state();
    c.acknowledged.len()
}

macro_rules! power_family {
    ($name:ident, $seeds:expr, $voters:expr, $reserves:expr) => {
        #[test]
        fn $name() {
            let acknowledged: usize =
                $seeds.map(|seed| lose_all_power_and_disks(seed, $voters, $reserves)).sum();
            assert!(
                acknowledged > 500,
                "only {acknowledged} acknowledged: the schedules tested nothing"
            );
        }
    };
}

power_family!(all_power_and_a_disk_lost, 50_000..51_000, 3, 0);
power_family!(all_power_and_a_disk_lost_beside_a_reserve, 60_000..62_000, 3, 1);
power_family!(all_power_and_two_disks_lost, 70_000..70_500, 5, 0);
power_family!(all_power_and_two_disks_lost_beside_a_reserve, 80_000..80_500, 5, 1);
