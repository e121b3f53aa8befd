//! A task that ends its workers, and announcements of other writers, as real processes meet them.

use crate::cell::{Cell, faulty_job_body, job_body};
use crate::submit;

/// The job is shown as failed, others among the same workers are done, and the log tells why.
#[test]
fn a_job_that_crashes_its_workers_is_shown_as_failed_and_the_log_tells_why() {
    let mut cell = Cell::start(4);
    let (faulty, well) = ("00000000000000d1", "00000000000000d2");
    cell.wait("the first job is taken", |c| submit(c, faulty, &faulty_job_body(3)) == 200);
    cell.wait("it is given up", |c| c.state(faulty).as_deref() == Some("failed"));
    cell.wait("the second job is taken", |c| submit(c, well, &job_body(3)) == 200);
    cell.wait("the second job is done", |c| c.state(well).as_deref() == Some("completed"));
    assert_eq!(cell.runs.violations(), Vec::<String>::new());
    let task = format!("{faulty}.0.0.0");
    let starts = cell.runs.runs().iter().filter(|r| r.task == task).count();
    assert!((3..=5).contains(&starts), "{starts} starts\n{}", cell.lines_about(faulty));
    let lines = cell.lines_about(faulty);
    assert!(lines.contains("run_lost"), "{lines}");
    assert!(lines.contains(r#"why="its workers crashed""#), "{lines}");
}

/// Whatever stands in them, they end no process, and the workers that are known go on.
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
            cell.wait("it is refused", |c| c.announce_body(node, id, body) == Some(400));
        }
    }
    let id = "00000000000000e1";
    cell.wait("a job is taken", |c| submit(c, id, &job_body(4)) == 200);
    cell.wait("it is done", |c| c.state(id).as_deref() == Some("completed"));
    cell.revive();
    assert!(cell.own_ends.is_empty(), "{:?}", cell.own_ends);
    assert!(cell.nodes[0].told("announcement_faulty"));
}
