//! Tests that the log lines, the timeline and the metrics report why a long-running task does not run.

use std::process::Command;

use crate::cell::{Cell, large_job_body};
use crate::submit;

/// Returns the output of `heathvale timeline` about a job or task, read from the log files of the control instances.
fn timeline(cell: &Cell, about: [&str; 2]) -> String {
    let logs = cell.nodes.iter().filter(|n| n.control).map(|n| n.log().display().to_string());
    let logs = logs.collect::<Vec<_>>().join(",");
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathvale"));
    command.args(["timeline", "--logs", &logs]).args(about).env_remove("HEATHVALE_INSTANCES");
    let output = command.output().expect("the program starts");
    assert!(output.status.success());
    String::from_utf8_lossy(&output.stdout).to_string()
}

/// Long-running tasks that need more than either of the two workers has keep waiting.
#[test]
fn a_wait_beside_workers_is_told_with_its_cause() {
    let mut cell = Cell::start(2);
    let ids = ["00000000000004a1", "00000000000004a2"];
    for id in ids {
        cell.wait("the job is accepted", |c| submit(c, id, &large_job_body()) == 200);
    }
    let causes = "tasks=1 held_back=0 looked=yes workers=2 fit=0 too_small=2";
    for id in ids {
        let about = format!("task_waits {id}.0.0.0 since_ms=");
        let line = |l: &str| l.contains(&about) && l.contains(causes);
        cell.wait("the wait is logged", |c| c.lines_about(id).lines().any(line));
        for of in [["--job", id], ["--task", &format!("{id}.0.0.0")]] {
            assert!(timeline(&cell, of).lines().any(line), "{of:?}");
        }
    }
    cell.wait("the load line of the leader counts both tasks", |c| {
        let both = |l: &str| l.contains("aside=0") && l.contains("lasting_waiting=2");
        c.lines_about("load_told").lines().any(both)
    });
    cell.wait("the metrics of the leader count both tasks", |c| {
        let metrics = c.leader().map(|leader| c.metrics(leader)).unwrap_or_default();
        let expected = [("workers_aside", 0), ("lasting_waiting", 2)];
        let line = |(name, n)| format!("heathvale_{name}{{service=\"s\"}} {n}\n");
        expected.into_iter().all(|gauge| metrics.contains(&line(gauge)))
    });
}
