//! Availability zones that an operator drains: nothing new is started there until the zone is restored.

mod common;

use clock::Millis;
use common::fleet::Fleet;
use common::mix::{self, JobMix};
use common::{Harness, NO_ANSWER, row, spec, step, task};
use dispatch::{Answer, Call, Refusal};
use model::Size;
use rstest::rstest;
use workload::StepSpec;

/// Returns two zones of one worker each.
fn two_zones() -> Harness {
    let mut b = Harness::new("");
    b.join_in("a", "a1", 8);
    b.join_in("b", "b1", 8);
    b
}

fn drain(b: &mut Harness, zone: &str, drained: bool) -> u64 {
    b.call(Call::DrainZone { zone: zone.into(), drained })
}

/// Returns how many starts were sent to a worker.
fn starts_on(b: &Harness, name: &str) -> usize {
    b.starts().iter().filter(|(worker, _)| *worker.0 == *name).count()
}

#[test]
fn tasks_start_in_other_zones_only() {
    let mut b = two_zones();
    drain(&mut b, "a", true);
    b.commit();
    b.submit(1, spec(vec![step(12)]));
    b.commit();
    assert_eq!((starts_on(&b, "a1"), starts_on(&b, "b1")), (0, 8));
    drain(&mut b, "a", false);
    b.commit();
    b.advance(Millis(50));
    assert_eq!(starts_on(&b, "a1"), 4);
}

#[test]
fn an_order_is_acknowledged_once_it_is_committed() {
    let mut b = two_zones();
    let token = drain(&mut b, "a", true);
    assert_eq!(b.answer(token), None);
    b.commit();
    assert_eq!(b.answer(token), Some(&Answer::ZoneUpdated));
}

#[rstest]
#[case::drained("a", true)]
#[case::restored("a", false)]
#[case::without_workers("nowhere", true)]
fn a_repeated_order_is_acknowledged_and_changes_nothing(#[case] zone: &str, #[case] drained: bool) {
    let mut b = two_zones();
    drain(&mut b, zone, drained);
    b.commit();
    let once = b.committed.clone();
    let token = drain(&mut b, zone, drained);
    b.commit();
    assert_eq!(b.answer(token), Some(&Answer::ZoneUpdated));
    assert_eq!(b.committed, once);
}

#[test]
fn a_start_that_is_not_committed_yet_is_not_sent() {
    let mut b = two_zones();
    b.submit(1, spec(vec![step(8)]));
    drain(&mut b, "a", true);
    drain(&mut b, "b", true);
    b.commit();
    assert!(b.starts().is_empty());
}

#[test]
fn an_unanswered_start_is_stopped_instead_of_sent_again() {
    let mut b = two_zones();
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    let (worker, start) = b.starts().remove(0);
    b.started(&worker.0, start.task, start.run, Err(NO_ANSWER()));
    let zone = if *worker.0 == *"a1" { "a" } else { "b" };
    drain(&mut b, zone, true);
    b.commit();
    b.report(&worker.0, vec![], vec![]);
    b.advance(Millis(100));
    assert_eq!(starts_on(&b, &worker.0), 1);
    assert_eq!(b.stops(), [(worker, start.task, start.run)]);
}

#[test]
fn what_runs_there_runs_on() {
    let mut b = two_zones();
    b.submit(1, spec(vec![StepSpec { long_running: true, ..step(1) }]));
    b.commit();
    let (worker, start) = b.starts().remove(0);
    b.started(&worker.0, start.task, start.run, Ok(()));
    drain(&mut b, "a", true);
    drain(&mut b, "b", true);
    b.commit();
    let renewals = b.renewals(&worker.0).len();
    b.report(&worker.0, vec![row(task(1, 0, 0), start.run)], vec![]);
    b.advance(Millis(1_000));
    assert!(b.stops().is_empty());
    assert!(b.renewals(&worker.0).len() > renewals, "its lease is renewed");
}

#[test]
fn a_later_leader_starts_nothing_there() {
    let mut b = two_zones();
    drain(&mut b, "a", true);
    b.commit();
    let mut b = Harness::take_over(b.committed, 2, b.now + Millis(1_000));
    b.advance(Millis(1));
    b.report("a1", vec![], vec![]);
    b.report("b1", vec![], vec![]);
    b.submit(1, spec(vec![step(12)]));
    b.commit();
    assert_eq!((starts_on(&b, "a1"), starts_on(&b, "b1")), (0, 8));
}

#[test]
fn a_refusal_does_not_move_a_task_into_a_drained_zone() {
    let mut b = two_zones();
    drain(&mut b, "a", true);
    b.commit();
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    let (worker, start) = b.starts().remove(0);
    let refused = Err(dispatch::CallError::Refused(Refusal::Room));
    b.started(&worker.0, start.task, start.run, refused);
    b.commit();
    assert_eq!(starts_on(&b, "a1"), 0);
}

/// Zones are drained and restored in any order, beside lost leaders and workers that are cut off. The fleet checks that no
/// run begins in a drained zone, and that no task waits beside capacity in other zones.
#[test]
fn nothing_starts_in_drained_zones_on_random_schedules() {
    for seed in 1..=6 {
        let mut f = Fleet::new(seed, 12);
        if seed > 3 {
            f.hold_renewals();
        }
        f.join("w", 36, Size::new(8_000, 16_000, 0));
        f.advance(Millis(500));
        (0..4).for_each(|_| mix::long_running_job(&mut f, None));
        let mut mix = JobMix::everyday(0.4);
        mix.drive(&mut f, Millis(2_000));
        for _ in 0..25 {
            disturb(&mut f, &mut mix);
        }
    }
}

fn disturb(f: &mut Fleet, mix: &mut JobMix) {
    match f.random_below(6) {
        0..=3 => {
            let zone = format!("z{}", f.random_below(3));
            let drained = f.random_below(2) == 0;
            f.drain_zone(&zone, drained);
        }
        4 => {
            f.lose_leader();
            mix.drive(f, Millis(600));
            f.take_over();
        }
        _ => {
            let cut = f.workers(|h| h.is_usable()).into_iter().step_by(9).collect::<Vec<_>>();
            cut.iter().for_each(|id| f.set_silent(id, true));
            mix.drive(f, Millis(1_500));
            cut.iter().for_each(|id| f.set_silent(id, false));
        }
    }
    let pause = Millis(200 + f.random_below(1_500));
    mix.drive(f, pause);
}
