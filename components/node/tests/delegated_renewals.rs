//! Renewals that a leader delegates to entry instances, and when it takes them back.
//!
//! Guards against leases that expire because an instance that holds a renewal is gone, does not hold it any more, or does
//! not reach the leader: of 5 s of lease at most 3 may pass before the leader renews by itself.

use std::collections::BTreeMap;

use clock::Millis;
use dispatch::RenewOrder;
use model::InstanceId;
use node::{DelegatedRenewals, Watch};
use rstest::rstest;
use workload::WorkerId;

fn holders(count: usize) -> Vec<InstanceId> {
    (0..count).map(|i| InstanceId::from(format!("e{i}").as_str())).collect()
}

fn order() -> RenewOrder {
    let (wait, answer_timeout) = (Millis(2_000), Millis(400));
    RenewOrder { fence: 1, seen: 0, deadline: None, wait, answer_timeout }
}

fn delegate(delegated: &mut DelegatedRenewals, now: u64, worker: &str, to: &[InstanceId]) -> bool {
    let address = format!("{worker}:1").as_str().into();
    delegated.delegate(Millis(now), (&WorkerId::from(worker), &address), &order(), to)
}

/// Returns the renewals that are to be sent.
fn sent(delegated: &mut DelegatedRenewals) -> Vec<(InstanceId, Watch)> {
    let unsent = delegated.take_unsent();
    unsent.into_iter().flat_map(|(to, w)| w.into_iter().map(move |w| (to.clone(), w))).collect()
}

/// Returns the workers whose renewals are taken back, given who is in contact and which workers are busy.
fn taken_back(
    delegated: &mut DelegatedRenewals,
    now: u64,
    in_contact: bool,
    busy: bool,
) -> Vec<String> {
    let overdue = delegated.take_overdue(Millis(now), |_| in_contact, |_| busy);
    overdue.into_iter().map(|w| w.worker.to_string()).collect()
}

#[test]
fn without_entry_instances_the_leader_renews_by_itself() {
    let mut delegated = DelegatedRenewals::default();
    assert!(!delegate(&mut delegated, 0, "w", &[]));
    assert!(delegate(&mut delegated, 0, "w", &holders(1)));
    assert_eq!(sent(&mut delegated).len(), 1);
    assert!(sent(&mut delegated).is_empty(), "each is sent once");
}

/// A holder of 6,000 workers among 583 instances would otherwise have too many for its processor.
#[test]
fn workers_are_spread_over_the_instances() {
    let (mut delegated, holders) = (DelegatedRenewals::default(), holders(583));
    for i in 0..6_000 {
        assert!(delegate(&mut delegated, 0, &format!("w{i}"), &holders));
    }
    let mut by_holder: BTreeMap<InstanceId, usize> = BTreeMap::new();
    sent(&mut delegated).into_iter().for_each(|(to, _)| *by_holder.entry(to).or_default() += 1);
    let most = by_holder.values().max().copied().unwrap_or(0);
    assert!(by_holder.len() > 570 && most < 40, "{} instances, {most} at most", by_holder.len());
}

#[test]
fn a_result_counts_once_and_only_for_the_last_renewal_of_its_worker() {
    let mut delegated = DelegatedRenewals::default();
    let worker = WorkerId::from("w");
    delegate(&mut delegated, 10, "w", &holders(1));
    delegate(&mut delegated, 20, "w", &holders(1));
    let ids: Vec<u64> = sent(&mut delegated).into_iter().map(|(_, w)| w.id).collect();
    assert_eq!(delegated.end(&worker, ids[0]), None);
    assert_eq!(delegated.end(&worker, ids[1]), Some(Millis(20)));
    assert_eq!(delegated.end(&worker, ids[1]), None);
}

#[rstest]
#[case::kept_while_it_is_listed(2_000, true, false, false)]
#[case::its_holder_is_out_of_contact(100, false, false, true)]
#[case::never_listed(10_000, true, false, true)]
fn renewals_of_idle_workers_are_taken_back(
    #[case] at: u64,
    #[case] in_contact: bool,
    #[case] busy: bool,
    #[case] is_taken_back: bool,
) {
    let mut delegated = DelegatedRenewals::default();
    delegate(&mut delegated, 0, "w", &holders(1));
    let taken_back = taken_back(&mut delegated, at, in_contact, busy);
    assert_eq!(!taken_back.is_empty(), is_taken_back);
    assert_eq!(delegated.count(), usize::from(!is_taken_back));
}

#[test]
fn a_renewal_that_is_listed_stays_delegated() {
    let mut delegated = DelegatedRenewals::default();
    let worker = WorkerId::from("w");
    delegate(&mut delegated, 0, "w", &holders(1));
    let id = sent(&mut delegated)[0].1.id;
    for now in (4_000..60_000).step_by(4_000) {
        assert!(delegated.record_listed(Millis(now), &worker, id));
        assert!(taken_back(&mut delegated, now + 3_000, true, false).is_empty());
    }
    assert!(!delegated.record_listed(Millis(60_000), &worker, id + 1), "another renewal");
}

#[test]
fn the_renewal_of_a_worker_that_became_busy_is_taken_back_within_half_a_lease() {
    let mut delegated = DelegatedRenewals::default();
    delegate(&mut delegated, 0, "w", &holders(1));
    assert!(taken_back(&mut delegated, 5_000, true, false).is_empty());
    assert!(taken_back(&mut delegated, 5_250, true, true).is_empty());
    assert!(taken_back(&mut delegated, 7_500, true, true).is_empty());
    assert_eq!(taken_back(&mut delegated, 7_750, true, true), ["w"]);
}

/// The holder may reach a worker that the leader does not reach, and its reports would keep the worker in use.
#[test]
fn after_an_unanswered_call_the_leader_renews_by_itself_for_a_while() {
    let mut delegated = DelegatedRenewals::default();
    let worker = WorkerId::from("w");
    delegate(&mut delegated, 0, "w", &holders(1));
    let id = sent(&mut delegated)[0].1.id;
    assert_eq!(delegated.take_unanswered(Millis(100), &worker).map(|w| w.id), Some(id));
    assert_eq!(delegated.end(&worker, id), None, "a late result does not count");
    assert!(!delegate(&mut delegated, 5_000, "w", &holders(1)));
    assert!(delegate(&mut delegated, 10_100, "w", &holders(1)));
}

#[test]
fn a_renewal_that_its_holder_returns_is_taken_back_once() {
    let mut delegated = DelegatedRenewals::default();
    let worker = WorkerId::from("w");
    delegate(&mut delegated, 0, "w", &holders(1));
    let id = sent(&mut delegated)[0].1.id;
    assert_eq!(delegated.take_returned(&worker, id + 1), None);
    assert_eq!(delegated.take_returned(&worker, id).map(|w| w.id), Some(id));
    assert_eq!(delegated.take_returned(&worker, id), None);
}
