//! Tests with real processes of a task that crashes its workers, and of invalid announcements.

use crate::cell::{Cell, faulty_job_body, job_body};
use crate::submit;

/// The faulty job fails, another job on the same workers completes, and the log names the reason.
#[test]
fn a_job_that_crashes_its_workers_is_shown_as_failed_and_the_log_tells_why() {
    let mut cell = Cell::start(4);
    let (faulty, healthy) = ("00000000000000d1", "00000000000000d2");
    cell.wait("the first job is accepted", |c| submit(c, faulty, &faulty_job_body(3)) == 200);
    cell.wait("the faulty job fails", |c| c.state(faulty).as_deref() == Some("failed"));
    cell.wait("the second job is accepted", |c| submit(c, healthy, &job_body(3)) == 200);
    cell.wait("the second job is done", |c| c.state(healthy).as_deref() == Some("completed"));
    assert_eq!(cell.runs.violations(), Vec::<String>::new());
    let task = format!("{faulty}.0.0.0");
    let starts = cell.runs.runs().iter().filter(|r| r.task == task).count();
    assert!((3..=5).contains(&starts), "{starts} starts\n{}", cell.lines_about(faulty));
    let lines = cell.lines_about(faulty);
    assert!(lines.contains("run_lost"), "{lines}");
    assert!(lines.contains(r#"why="its workers crashed""#), "{lines}");
}

/// Whatever they contain, invalid announcements end no process, and the known workers continue to run jobs.
#[test]
fn announcements_that_name_no_worker_change_nothing() {
    let mut cell = Cell::start(2);
    let faulty: [(&str, &[u8]); 6] = [
        ("i-x", b""),
        ("i-x", b"\xff\xfe{"),
        ("i-x", br#"{"service":"s"}"#),
        ("i-0", br#"{"service":7,"address":[],"zone":null,"state":"ready","seq":1}"#),
        (
            "i-0",
            br#"{"service":"s","address":"127.0.0.1:9","zone":"z","state":"resting","seq":99999,
              "capacity":{"cpu":0,"mem_mb":0}}"#,
        ),
        (
            "i-0",
            br#"{"service":"s","address":"nowhere","zone":"z","state":"draining","seq":99999,
              "capacity":{"cpu":1000,"mem_mb":100}}"#,
        ),
    ];
    for node in 0..3 {
        for (id, body) in faulty {
            cell.wait("the announcement is refused", |c| {
                c.announce_body(node, id, body) == Some(400)
            });
        }
    }
    let id = "00000000000000e1";
    cell.wait("a job is accepted", |c| submit(c, id, &job_body(4)) == 200);
    cell.wait("the job is done", |c| c.state(id).as_deref() == Some("completed"));
    cell.revive();
    assert!(cell.unexpected_exits.is_empty(), "{:?}", cell.unexpected_exits);
    assert!(cell.nodes[0].logged("announcement_faulty"));
}
