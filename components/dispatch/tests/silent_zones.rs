//! A zone that is cut off at full load must take little new work with it.

mod common;

use clock::Millis;
use common::{Harness, NO_ANSWER, job, spec, step, task, worker};
use dispatch::StartOrder;
use workload::WorkerId;

const WORKERS: usize = 12;

/// Returns two zones of twelve workers each, whose names begin with that of their zone.
fn two_zones() -> Harness {
    let mut b = Harness::new("");
    for n in 0..WORKERS {
        b.join_in("a", &format!("a{n}"), 8);
        b.join_in("b", &format!("b{n}"), 8);
    }
    b
}

fn starts_of(b: &Harness, id: u64) -> Vec<(WorkerId, StartOrder)> {
    b.starts().into_iter().filter(|(_, o)| o.task.step.job == job(id)).collect()
}

fn count_in_zone(starts: &[(WorkerId, StartOrder)], zone: &str) -> usize {
    starts.iter().filter(|(w, _)| w.0.starts_with(zone)).count()
}

/// Leaves the starts on workers whose names begin with `silent` unanswered, and answers the others.
fn answer_all_but(b: &mut Harness, starts: &[(WorkerId, StartOrder)], silent: &str) {
    for (w, o) in starts {
        let result = if w.0.starts_with(silent) { Err(NO_ANSWER()) } else { Ok(()) };
        b.started(&w.0, o.task, o.run, result);
    }
}

#[test]
fn a_worker_that_left_an_order_unanswered_gets_nothing_new_until_it_responds() {
    let mut b = Harness::new("");
    b.join("w1", 8);
    b.join("w2", 4);
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    b.started("w1", task(1, 0, 0), 1, Err(NO_ANSWER()));
    b.submit(2, spec(vec![step(1)]));
    b.commit();
    assert_eq!(starts_of(&b, 2).first().map(|(w, _)| w.clone()), Some(worker("w2")));
    b.report("w1", vec![], vec![]);
    b.submit(3, spec(vec![step(1)]));
    b.commit();
    assert_eq!(starts_of(&b, 3).first().map(|(w, _)| w.clone()), Some(worker("w1")));
}

#[test]
fn after_three_silent_workers_of_a_zone_nothing_new_follows_them() {
    let mut b = two_zones();
    for id in 1..=6 {
        b.submit(id, spec(vec![step(6)]));
        b.commit();
    }
    let before = b.starts();
    assert!(
        count_in_zone(&before, "a") >= 3 && count_in_zone(&before, "b") >= 3,
        "both zones are in use"
    );
    answer_all_but(&mut b, &before, "a");
    b.advance(Millis(1));
    for id in 11..=16 {
        b.submit(id, spec(vec![step(4)]));
        b.commit();
        assert_eq!(
            count_in_zone(&starts_of(&b, id), "a"),
            0,
            "job {id} is placed in the zone that is cut off"
        );
        assert_eq!(starts_of(&b, id).len(), 4);
    }
}

#[test]
fn workers_that_were_lost_long_ago_do_not_close_their_zone() {
    let mut b = two_zones();
    b.submit(1, spec(vec![step(20)]));
    b.commit();
    let before = b.starts();
    answer_all_but(&mut b, &before, "a1");
    for n in 0..3 {
        b.renewal_fails(&format!("a{n}"), NO_ANSWER());
    }
    b.advance(Millis(2_100));
    for n in 3..WORKERS {
        b.report(&format!("a{n}"), vec![], vec![]);
    }
    b.advance(Millis(1));
    b.submit(2, spec(vec![step(60)]));
    b.commit();
    assert!(count_in_zone(&starts_of(&b, 2), "a") > 0);
}

#[test]
fn silence_everywhere_points_to_this_instance_and_closes_no_zone() {
    let mut b = two_zones();
    b.submit(1, spec(vec![step(40)]));
    b.commit();
    let before = b.starts();
    answer_all_but(&mut b, &before[..24], "");
    b.advance(Millis(1));
    for n in 0..WORKERS {
        b.report(&format!("a{n}"), vec![], vec![]);
    }
    b.submit(2, spec(vec![step(4)]));
    b.commit();
    assert_eq!(starts_of(&b, 2).len(), 4);
}
