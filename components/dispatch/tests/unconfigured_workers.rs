//! Tests of announcements of workers that belong to no service of the configuration.
//!
//! Such a worker used to join and was called again and again, though no job could ever run on it.

mod common;

use clock::Millis;
use common::{Harness, announcement, spec, step, worker};
use dispatch::{Call, Input, WorkerAnnouncement};
use workload::Document;

fn unconfigured(name: &str) -> WorkerAnnouncement {
    let mut announcement = announcement(name, 8);
    announcement.info.service = "other".into();
    announcement
}

#[test]
fn a_worker_of_a_service_that_is_not_configured_is_not_called() {
    let mut b = Harness::new("");
    b.join("w", 8);
    for _ in 0..3 {
        b.feed(Input::Announcement(unconfigured("x")));
        b.commit();
        b.advance(Millis(1_500));
        b.report("w", vec![], vec![]);
    }
    assert!(b.renewals("x").is_empty());
    assert!(b.committed.worker(&worker("x")).is_none());
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    assert_eq!(b.starts()[0].0, worker("w"), "configured workers are used");
}

#[test]
fn it_is_used_once_the_configuration_names_its_service() {
    let mut b = Harness::new("");
    b.feed(Input::Announcement(unconfigured("x")));
    b.commit();
    b.call(Call::Publish(Document { version: 2, text: "other".into() }));
    b.commit();
    b.advance(Millis(10));
    assert!(!b.renewals("x").is_empty());
}

#[test]
fn before_any_configuration_nobody_is_called() {
    let mut b = Harness::take_over(workload::ReplicatedState::default(), 1, Millis(1_000_000));
    b.feed(Input::Announcement(announcement("w", 8)));
    b.commit();
    b.advance(Millis(10));
    assert!(b.renewals("w").is_empty());
    b.call(Call::Publish(Document { version: 1, text: "".into() }));
    b.commit();
    b.advance(Millis(10));
    assert!(!b.renewals("w").is_empty());
}

/// A known worker keeps the service that it joined with, whatever a later announcement under its id says.
#[test]
fn a_known_worker_is_not_taken_away_by_such_an_announcement() {
    let mut b = Harness::new("");
    b.join("w", 8);
    b.feed(Input::Announcement(WorkerAnnouncement { number: 2, ..unconfigured("w") }));
    b.commit();
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    assert_eq!(b.starts().len(), 1);
}

/// The sizes that callers submit must never overflow the arithmetic and so end the process.
#[test]
fn a_task_of_any_size_overflows_nothing() {
    let mut b = Harness::new("");
    b.join("w", 8);
    let size = model::Size::new(u64::MAX, u64::MAX, u64::MAX);
    b.submit(1, spec(vec![workload::StepSpec { size, ..step(2) }]));
    b.submit(2, spec(vec![workload::StepSpec { size, gang: true, ..step(2) }]));
    b.commit();
    b.advance(Millis(50));
    assert!(b.starts().is_empty());
}
