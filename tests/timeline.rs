//! Tests of `heathvale timeline` reading log files.

use std::fs;
use std::process::{Command, Output};

fn timeline(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathvale"));
    command.arg("timeline").args(args).env_remove("HEATHVALE_INSTANCES");
    command.output().expect("the program starts")
}

/// Writes the log files of an entry and a control instance and returns their paths, separated by commas.
fn two_logs(folder: &std::path::Path) -> String {
    let entry = "1000 INFO E901 node_started edge-1 role=entry\n\
                 1500 WARN E942 call_unsure /q/00000000000000aa verb=submit waited_ms=9\n";
    let control = "1100 INFO E931 job_accepted 00000000000000aa queue=q\n\
                   1200 WARN E981 lines_dropped - lines=3\n\
                   1300 INFO E931 job_accepted 00000000000000bb queue=q\n\
                   1900 INFO E933 job_over 00000000000000aa state=Completed\n";
    let files = [("edge-1.log", entry), ("core-1.log", control)].map(|(name, text)| {
        let path = folder.join(name);
        fs::write(&path, text).expect("the folder can be written to");
        path.display().to_string()
    });
    files.join(",")
}

#[test]
fn the_story_of_one_job_is_told_from_log_files_alone() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let logs = two_logs(folder.path());
    let output = timeline(&["--logs", &logs, "--job", "00000000000000aa"]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    let numbers: Vec<&str> =
        text.split_whitespace().filter(|w| w.len() == 4 && w.starts_with('E')).collect();
    // The accepted job, the unsure call, the end of the job, and the gap in the log last.
    assert_eq!(numbers, ["E931", "E942", "E933", "E981"]);
    assert!(text.contains("gap: dropped"), "{text}");
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let output = timeline(&["--logs", "/nowhere/at-all.log"]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("at-all.log"));
}
