//! Tests of calls that are held up on their way and delivered after their callers have given them up.
//!
//! A cut delivers what it held once it is over. A job of which the cancel was acknowledged meanwhile was started up to five
//! seconds later, and a zone whose restoration was acknowledged stayed drained; see docs/incidents/.

use std::thread;
use std::time::{Duration, Instant};

use crate::cell::{Cell, job_body, job_call, job_call_for};

/// How long a cut lasts: longer than the time limit of a call.
const CUT: Duration = Duration::from_millis(5_500);
/// How long an instance is frozen.
const FREEZE: Duration = Duration::from_secs(4);
/// How long a test waits for the effect of a call that was held up.
const EFFECT: Duration = Duration::from_secs(2);

/// Starts a cell whose control instances receive messages through proxies, and waits until all instances serve.
fn start() -> Cell {
    let prepare = |n: &mut crate::cell::Node| {
        if n.control {
            n.put_links_behind_proxy();
        }
    };
    let mut cell = Cell::start_with(2, prepare);
    for (i, front) in cell.fronts().into_iter().enumerate() {
        let id = format!("000000000000a{i:0>3}");
        cell.wait("every entry instance serves", |_| {
            job_call(front, "POST", &id, &job_body(1)).is_some_and(|a| a.0 == 200)
        });
    }
    cell.wait("the log names the leader", |c| c.leader().is_some());
    cell
}

/// Returns the job's runs, as lines for the message of a failing test.
fn runs_of(cell: &Cell, id: &str) -> Vec<String> {
    let runs = cell.runs.runs();
    runs.iter().filter(|r| r.task.starts_with(id)).map(|r| format!("{r:?}")).collect()
}

/// Guards against the start of a job whose submission a cut held up until after its cancel was acknowledged.
#[test]
fn a_submission_held_up_by_a_cut_has_no_effect_after_its_cancel() {
    let cell = start();
    let id = "00000000000005a1";
    let fronts = cell.fronts();
    cell.cut_off(3);
    let began = Instant::now();
    let (submitted, _) = job_call(fronts[0], "POST", id, &job_body(1)).expect("an answer");
    assert_eq!(submitted, 504, "the call is held up");
    let (cancelled, _) = job_call(fronts[1], "DELETE", id, "").expect("an answer");
    assert_eq!(cancelled, 410);
    thread::sleep(CUT.saturating_sub(began.elapsed()));
    cell.end_cut();
    thread::sleep(EFFECT);
    assert_eq!(runs_of(&cell, id), Vec::<String>::new(), "{}", cell.lines_about(id));
    assert_eq!(job_call(fronts[1], "GET", id, "").map(|a| a.0), Some(410));
}

/// Guards against the start of a job whose submission waited in the socket of a frozen instance until after its cancel was
/// acknowledged: the instance took it for one that had just arrived.
#[test]
fn a_submission_that_a_frozen_instance_reads_late_has_no_effect_after_its_cancel() {
    let cell = start();
    let id = "00000000000005c1";
    let fronts = cell.fronts();
    cell.nodes[3].signal("STOP");
    let began = Instant::now();
    // The caller leaves before the instance reads its request.
    let submitted = job_call_for(FREEZE / 4, fronts[0], ("POST", id, &job_body(1)));
    assert_eq!(submitted, None);
    let (cancelled, _) = job_call(fronts[1], "DELETE", id, "").expect("an answer");
    assert_eq!(cancelled, 410);
    thread::sleep(FREEZE.saturating_sub(began.elapsed()));
    cell.nodes[3].signal("CONT");
    thread::sleep(EFFECT);
    assert_eq!(runs_of(&cell, id), Vec::<String>::new(), "{}", cell.lines_about(id));
    // A caller who is served by this instance later on pays nothing for it.
    let (submitted, _) = job_call(fronts[0], "POST", id, &job_body(1)).expect("an answer");
    assert_eq!(submitted, 200);
}

/// Guards against a zone that stays drained after its restoration was acknowledged, because a cut held up the drain.
#[test]
fn a_drain_held_up_by_a_cut_has_no_effect_after_the_zone_was_restored() {
    let mut cell = start();
    let leader = cell.leader().expect("a leader");
    let (follower, other) = ((leader + 1) % 3, (leader + 2) % 3);
    cell.cut_off(follower);
    let began = Instant::now();
    assert_ne!(cell.drain_zone_at(follower, "z", true), Some(200), "the call is held up");
    assert_eq!(cell.drain_zone_at(other, "z", false), Some(200));
    thread::sleep(CUT.saturating_sub(began.elapsed()));
    cell.end_cut();
    thread::sleep(EFFECT);
    assert_eq!(cell.lines_about("zone_drained"), "");
    let id = "00000000000005b1";
    let front = cell.fronts()[0];
    cell.wait("the job is accepted", |_| {
        job_call(front, "POST", id, &job_body(1)).is_some_and(|a| a.0 == 200)
    });
    cell.wait("the job is done", |c| c.state(id).as_deref() == Some("completed"));
}
