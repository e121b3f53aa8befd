//! Tests of merging the log files of several processes into one sequence.

use events::{gaps, is_about, merge, read_lines};

const ENTRY: &str = "\
1000 INFO E901 node_started edge-1 role=entry
1020 WARN E942 call_unsure /q/00000000000000aa verb=submit waited_ms=10
half a li
1300 INFO E941 call_refused /q/00000000000000ab verb=look waited_ms=0
";

const CONTROL: &str = "\
1010 INFO E931 job_accepted 00000000000000aa queue=q term=1
1005 INFO E951 run_placed 00000000000000aa.0.0.1 run=1 worker=w1
1200 WARN E981 lines_dropped - lines=7
1400 INFO E933 job_over 00000000000000aa state=Completed
";

fn texts(lines: &[events::Line]) -> Vec<String> {
    lines.iter().map(|l| format!("{} {}", l.process, l.text.split(' ').nth(2).unwrap())).collect()
}

#[test]
fn lines_are_merged_by_time_and_each_process_keeps_its_order() {
    let merged = merge(vec![read_lines("edge-1", ENTRY), read_lines("core-1", CONTROL)]);
    let wanted = [
        "edge-1 node_started",
        "core-1 job_accepted",
        "core-1 run_placed",
        "edge-1 call_unsure",
        "core-1 lines_dropped",
        "edge-1 call_refused",
        "core-1 job_over",
    ];
    assert_eq!(texts(&merged), wanted);
}

#[test]
fn the_lines_of_one_job_are_found_whoever_wrote_them() {
    let merged = merge(vec![read_lines("edge-1", ENTRY), read_lines("core-1", CONTROL)]);
    let about: Vec<_> = merged.into_iter().filter(|l| is_about(l, "00000000000000aa")).collect();
    let wanted =
        ["core-1 job_accepted", "core-1 run_placed", "edge-1 call_unsure", "core-1 job_over"];
    assert_eq!(texts(&about), wanted);
}

#[test]
fn a_worker_is_found_in_the_lines_of_its_runs() {
    let lines = read_lines("core-1", CONTROL);
    assert!(is_about(&lines[1], "w1"));
    assert!(!is_about(&lines[0], "w1"));
}

#[test]
fn dropped_lines_and_ends_that_nobody_told_of_are_gaps() {
    let again = format!("{ENTRY}1500 INFO E901 node_started edge-1 role=entry\n");
    let merged = merge(vec![read_lines("edge-1", &again), read_lines("core-1", CONTROL)]);
    let found: Vec<_> = gaps(&merged).iter().map(|g| (g.wall_ms, g.process.clone())).collect();
    assert_eq!(found, [(1200, "core-1".to_string()), (1500, "edge-1".to_string())]);
}

#[test]
fn a_planned_restart_is_no_gap() {
    let text =
        "1 INFO E901 node_started a x\n2 INFO E903 node_stopped a \n3 INFO E901 node_started a x\n";
    assert!(gaps(&read_lines("a", text)).is_empty());
}
