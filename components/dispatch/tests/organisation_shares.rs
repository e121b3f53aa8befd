//! Organisations share a full fleet by weight.
//!
//! In the order of acceptance, an organisation that submits several times its usual load makes all others wait for as
//! long as its backlog lasts, whatever their weights.

mod common;

use std::collections::BTreeMap;

use clock::Millis;
use common::fleet::{Fleet, Kind, STEP};
use common::organisations::with_key;
use common::{Harness, spec, step};
use model::Size;
use rstest::rstest;
use workload::{Command, JobId, StepSpec};

/// The workers of a fleet, of 16 cores each.
const WORKERS: usize = 10;
const CORES: u64 = 160;
/// How often each organisation submits a job.
const SUBMIT_INTERVAL: Millis = Millis(100);
/// The run time of a task, on one core.
const RUN_TIME: Millis = Millis(800);

/// The jobs that each organisation has submitted.
type Submitted = BTreeMap<&'static str, Vec<JobId>>;

fn key(name: &str) -> String {
    format!("key-{name}")
}

/// Returns a configuration without limits, by name and weight.
fn weights(organisations: &[(&str, u64)]) -> String {
    let word = |(name, weight): &(&str, u64)| format!("org={name}:0:{weight}:{}", key(name));
    organisations.iter().map(word).collect::<Vec<_>>().join(" ")
}

fn fleet(seed: u64, organisations: &[(&str, u64)]) -> Fleet {
    let mut f = Fleet::with_config(seed, 0, &weights(organisations));
    f.allow_all();
    f.join("w", WORKERS, Size::new(16_000, 32_000, 0));
    f.advance(Millis(500));
    f
}

fn submit(f: &mut Fleet, jobs: &mut Submitted, name: &'static str, spec: StepSpec) {
    let id = f.submit_job_as(with_key(&key(name)), Kind::Batch, "bulk", vec![spec]);
    jobs.entry(name).or_default().push(id);
}

/// Lets each organisation submit tasks that keep some cores busy, for a span.
fn drive(f: &mut Fleet, jobs: &mut Submitted, cores: &[(&'static str, u64)], span: Millis) {
    let until = f.harness.now + span;
    while f.harness.now < until {
        for (name, cores) in cores {
            let tasks = cores * SUBMIT_INTERVAL.0 / RUN_TIME.0;
            submit(f, jobs, name, StepSpec { estimate: RUN_TIME, ..step(tasks as u32) });
        }
        f.advance(SUBMIT_INTERVAL);
    }
}

/// Returns the wait to the first start of each job of some organisations, in ascending order. A job that has not
/// started counts with its wait so far.
fn waits(f: &Fleet, jobs: &Submitted, names: &[&str]) -> Vec<Millis> {
    let ids = names.iter().flat_map(|name| &jobs[name]);
    let wait = |id: &JobId| {
        let job = &f.jobs[id];
        job.first_start.unwrap_or(f.harness.now).since(job.at)
    };
    let mut waits: Vec<Millis> = ids.map(wait).collect();
    waits.sort_unstable();
    waits
}

fn used_cores(f: &Fleet, name: &str) -> f64 {
    f.harness.committed.ownership().used(name).cpu_milli as f64 / 1_000.0
}

/// Returns the mean number of cores that each organisation uses over a span in which they submit.
fn mean_used(
    f: &mut Fleet,
    jobs: &mut Submitted,
    cores: &[(&'static str, u64)],
    span: Millis,
) -> BTreeMap<&'static str, f64> {
    let (until, mut sums, mut count) = (f.harness.now + span, BTreeMap::new(), 0.0);
    while f.harness.now < until {
        drive(f, jobs, cores, SUBMIT_INTERVAL);
        count += 1.0;
        cores.iter().for_each(|(n, _)| *sums.entry(*n).or_insert(0.0) += used_cores(f, n));
    }
    sums.into_iter().map(|(name, sum)| (name, sum / count)).collect()
}

/// Returns the time until an organisation uses some cores, within 20 s, while organisations submit.
fn time_to_use(
    f: &mut Fleet,
    jobs: &mut Submitted,
    demand: &[(&'static str, u64)],
    (name, wanted): (&str, f64),
) -> Millis {
    let began = f.harness.now;
    while used_cores(f, name) < wanted && f.harness.now.since(began) < Millis(20_000) {
        drive(f, jobs, demand, SUBMIT_INTERVAL);
    }
    f.harness.now.since(began)
}

const FOUR: [(&str, u64); 4] = [("a", 1), ("b", 1), ("c", 1), ("d", 1)];

/// The waits of the others are compared with those in the same fleet without the burst.
#[rstest]
fn a_burst_of_one_organisation_does_not_delay_the_others(#[values(1, 2, 3, 4)] seed: u64) {
    let p95_of_others = |burst: u64| {
        let (mut f, mut jobs) = (fleet(seed, &FOUR), Submitted::new());
        let usual = [("a", 32), ("b", 32), ("c", 32), ("d", 32)];
        drive(&mut f, &mut jobs, &usual, Millis(3_000));
        let mut jobs = Submitted::new();
        let demand = [("a", burst), ("b", 32), ("c", 32), ("d", 32)];
        drive(&mut f, &mut jobs, &demand, Millis(6_000));
        let waits = waits(&f, &jobs, &["b", "c", "d"]);
        (waits[waits.len() * 95 / 100], *waits.last().unwrap())
    };
    let (usual, burst) = (p95_of_others(32), p95_of_others(240));
    println!("seed {seed}: p95 and longest without a burst {usual:?}, with one {burst:?}");
    assert!(burst.0 <= usual.0 + Millis(100), "{usual:?} {burst:?}");
    assert!(burst.1 <= usual.1 + Millis(500), "{usual:?} {burst:?}");
}

/// Shares that were fixed would leave capacity idle that a single organisation has work for.
#[rstest]
fn an_idle_share_is_lent_and_returned_within_a_run(#[values(1, 2)] seed: u64) {
    let (mut f, mut jobs) = (fleet(seed, &[("a", 1), ("b", 1)]), Submitted::new());
    drive(&mut f, &mut jobs, &[("a", 320)], Millis(5_000));
    let lent = used_cores(&f, "a");
    assert!(lent > 0.95 * CORES as f64, "{lent}");
    let demand = [("a", 320), ("b", 320)];
    let returned = time_to_use(&mut f, &mut jobs, &demand, ("b", 72.0));
    println!("seed {seed}: {lent} cores lent, returned after {returned:?}");
    assert!(returned <= RUN_TIME.plus_percent(50), "{returned:?}");
}

/// With equal treatment of all organisations that wait, the weight would decide nothing.
#[rstest]
#[case::three_to_one([("a", 3), ("b", 1)])]
#[case::one_to_three([("a", 1), ("b", 3)])]
#[case::nine_to_one([("a", 9), ("b", 1)])]
fn unequal_weights_get_unequal_shares(#[case] organisations: [(&'static str, u64); 2]) {
    let (mut f, mut jobs) = (fleet(1, &organisations), Submitted::new());
    let demand = [("a", 200), ("b", 200)];
    drive(&mut f, &mut jobs, &demand, Millis(4_000));
    let used = mean_used(&mut f, &mut jobs, &demand, Millis(6_000));
    println!("{organisations:?}: {used:?}");
    let sum: u64 = organisations.iter().map(|(_, weight)| weight).sum();
    for (name, weight) in organisations {
        let share = CORES as f64 * weight as f64 / sum as f64;
        assert!(used[name] > 0.8 * share, "{name}: {} of {share}", used[name]);
    }
}

/// Shares of processors alone would let an organisation whose tasks need much memory fill the fleet.
#[test]
fn memory_counts_as_much_as_processors() {
    let (mut f, mut jobs) = (fleet(1, &[("a", 1), ("b", 1)]), Submitted::new());
    let large = StepSpec { size: Size::new(250, 8_000, 0), estimate: RUN_TIME, ..step(4) };
    let small = StepSpec { size: Size::new(250, 2_000, 0), estimate: RUN_TIME, ..step(16) };
    // Of 320 GB, `b` needs 128 GB at a time, which is less than its share, and `a` needs 640 GB.
    for round in 0..60 {
        (0..5).for_each(|_| submit(&mut f, &mut jobs, "a", large.clone()));
        if round >= 30 {
            submit(&mut f, &mut jobs, "b", small.clone());
        }
        f.advance(Millis(200));
    }
    let waits = waits(&f, &jobs, &["b"]);
    println!("{waits:?}");
    assert!(*waits.last().unwrap() <= Millis(800), "{waits:?}");
}

/// Without a backlog the order of waiting steps must delay nothing, however far above its share an organisation is.
#[rstest]
fn organisations_change_nothing_without_a_backlog(#[values(1, 2)] seed: u64) {
    let first_starts = |config: &str| {
        let mut f = Fleet::with_config(seed, 0, config);
        f.allow_all();
        f.join("w", WORKERS, Size::new(16_000, 32_000, 0));
        f.advance(Millis(500));
        let mut jobs = Submitted::new();
        drive(&mut f, &mut jobs, &[("a", 72), ("b", 16), ("c", 16)], Millis(6_000));
        f.jobs.values().map(|j| j.first_start.unwrap()).collect::<Vec<_>>()
    };
    let with_organisations = first_starts(&weights(&[("a", 1), ("b", 1), ("c", 1)]));
    assert_eq!(first_starts(""), with_organisations);
}

/// A backlog of more steps than a plan examines must not hide the steps of the others from the order. Known to fail:
/// the selection of the steps that a plan examines does not know of shares (KNOWN-RED.txt).
#[rstest]
fn a_burst_of_many_small_steps_does_not_delay_the_others(#[values(1, 2)] seed: u64) {
    let (mut f, mut jobs) = (fleet(seed, &FOUR), Submitted::new());
    let usual = [("a", 32), ("b", 32), ("c", 32), ("d", 32)];
    drive(&mut f, &mut jobs, &usual, Millis(3_000));
    let mut jobs = Submitted::new();
    for _ in 0..60 {
        (0..30).for_each(|_| {
            submit(&mut f, &mut jobs, "a", StepSpec { estimate: RUN_TIME, ..step(1) });
        });
        drive(&mut f, &mut jobs, &[("b", 32), ("c", 32), ("d", 32)], SUBMIT_INTERVAL);
    }
    let waits = waits(&f, &jobs, &["b", "c", "d"]);
    let (p95, longest) = (waits[waits.len() * 95 / 100], *waits.last().unwrap());
    println!("seed {seed}: p95 and longest {p95:?} {longest:?}");
    assert!(p95 <= Millis(130) && longest <= Millis(530), "{p95:?} {longest:?}");
}

/// A debt that grew with the time for which idle capacity was used would lock the organisation out for as long again.
#[rstest]
fn use_of_idle_capacity_is_not_paid_for_later(#[values(1, 2)] seed: u64) {
    let (mut f, mut jobs) = (fleet(seed, &FOUR), Submitted::new());
    drive(&mut f, &mut jobs, &[("a", 150)], Millis(30_000));
    drive(&mut f, &mut jobs, &[("b", 240), ("c", 240), ("d", 240)], Millis(1_500));
    // Nothing of `a` runs any more, and all others have backlogs.
    assert_eq!(used_cores(&f, "a"), 0.0);
    let demand = [("a", 80), ("b", 240), ("c", 240), ("d", 240)];
    let served = time_to_use(&mut f, &mut jobs, &demand, ("a", 30.0));
    println!("seed {seed}: served after {served:?}");
    assert!(served <= Millis(4_000), "{served:?}");
}

/// A weight that took effect with the average would change shares only seconds later.
#[test]
fn a_changed_weight_takes_effect_at_once() {
    let (mut f, mut jobs) = (fleet(1, &[("a", 1), ("b", 1)]), Submitted::new());
    let demand = [("a", 200), ("b", 200)];
    drive(&mut f, &mut jobs, &demand, Millis(6_000));
    f.harness.publish(2, &weights(&[("a", 1), ("b", 7)]));
    let changed = time_to_use(&mut f, &mut jobs, &demand, ("b", 120.0));
    println!("changed after {changed:?}");
    assert!(changed <= RUN_TIME.plus_percent(100), "{changed:?}");
}

/// A leader that began without the recorded usage would serve the backlog in the order of acceptance again.
#[test]
fn a_new_leader_continues_from_the_recorded_usage() {
    let (mut f, mut jobs) = (fleet(1, &FOUR), Submitted::new());
    let demand = [("a", 240), ("b", 32), ("c", 32), ("d", 32)];
    drive(&mut f, &mut jobs, &demand, Millis(8_000));
    let ratio = |f: &Fleet| f.harness.dispatcher.organisation_figures()["a"].share_ratio_per_mille;
    let before = ratio(&f);
    let recorded = f.harness.committed.ownership().recorded_usage().unwrap().clone();
    assert!(f.harness.now.since(recorded.at) <= Millis(5_000) + STEP + STEP, "{recorded:?}");
    f.lose_leader();
    f.take_over();
    let after = ratio(&f);
    assert!(before > 1_000 && after.abs_diff(before) < before / 4, "{before} {after}");
}

/// A record as old as several half-lives says nothing about the present.
#[rstest]
#[case::at_once(0, 2_000)]
#[case::after_a_half_life(3_000, 1_000)]
#[case::after_ten(30_000, 2)]
fn the_recorded_usage_decays(#[case] elapsed: u64, #[case] expected: u64) {
    let mut b = Harness::new(&weights(&[("a", 1), ("b", 1)]));
    b.join("w1", 16);
    b.submit_with_key(&key("b"), "/q/00000000000000bb", spec(vec![step(20)]));
    b.commit();
    let mut committed = b.committed;
    let usage = vec![("a".into(), Size::new(16_000, 16_000, 0))];
    committed.apply(&Command::UsageRecorded { at: b.now, usage });
    let b = Harness::take_over(committed, 2, b.now + Millis(elapsed));
    let ratio = b.dispatcher.organisation_figures()["a"].share_ratio_per_mille;
    assert_eq!(ratio, expected);
}

/// Each record is a command in the log, which is synced to the disks of the voters.
#[test]
fn usage_is_recorded_only_while_steps_wait_and_every_five_seconds() {
    let mut b = Harness::new(&weights(&[("a", 1)]));
    let records = |b: &Harness| b.committed.ownership().recorded_usage().map(|r| r.at);
    b.join("w1", 4);
    b.submit_with_key(&key("a"), "/q/00000000000000aa", spec(vec![step(4)]));
    b.commit();
    b.advance(Millis(50));
    assert_eq!(records(&b), None, "nothing waits");
    b.submit_with_key(&key("a"), "/q/00000000000000ab", spec(vec![step(4)]));
    b.commit();
    b.advance(Millis(50));
    let first = records(&b);
    assert_eq!(first, Some(b.now));
    for _ in 0..49 {
        b.advance(Millis(100));
        assert_eq!(records(&b), first);
    }
    b.advance(Millis(100));
    assert_eq!(records(&b), Some(b.now));
}

/// What operators see while an organisation is served after the others.
#[test]
fn entering_and_leaving_the_state_above_the_share_is_logged() {
    let (mut f, mut jobs) = (fleet(1, &FOUR), Submitted::new());
    drive(&mut f, &mut jobs, &[("a", 200), ("b", 32), ("c", 32), ("d", 32)], Millis(3_000));
    let lines = |f: &Fleet| -> Vec<String> {
        f.lines_of("organisation_above_share", "a").iter().map(|l| l.to_string()).collect()
    };
    let first = lines(&f);
    assert_eq!(first.len(), 1, "{first:?}");
    assert!(
        first[0].contains("above=yes") && first[0].contains("share_per_mille=250"),
        "{first:?}"
    );
    drive(&mut f, &mut jobs, &[("b", 100), ("c", 100), ("d", 100)], Millis(12_000));
    let all = lines(&f);
    println!("{all:#?}");
    assert!(all[1].contains("above=no"), "{all:?}");
    assert!(all.len() <= 4, "not more than one in five seconds: {all:?}");
}

/// A lone task is far above the share of an organisation of weight 0, which must not keep it out for good.
#[test]
fn an_organisation_of_weight_zero_is_served_while_it_uses_nothing() {
    let (mut f, mut jobs) = (fleet(1, &[("a", 0), ("b", 1)]), Submitted::new());
    drive(&mut f, &mut jobs, &[("a", 16), ("b", 240)], Millis(3_000));
    let started = jobs["a"].iter().filter(|id| f.jobs[id].first_start.is_some()).count();
    assert!(started > 0, "{started}");
}
