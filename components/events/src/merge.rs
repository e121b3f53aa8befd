//! Merges the log files of several processes into one sequence, as described in docs/OPERATIONS.md.

use std::collections::BTreeSet;

use crate::catalogue::kinds::{LINES_DROPPED, NODE_STARTED, NODE_STOPPED};

/// A log line and the process that wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// The wall time in milliseconds since 1970, by the clock of the writer's machine.
    pub wall_ms: u64,
    /// The name of the process, which is that of its log file.
    pub process: String,
    /// The number of the event's kind.
    pub number: u32,
    /// The line after its wall time: level, number, name, subject and details.
    pub text: String,
}

/// A place where log lines of a process are missing, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// The wall time of the line that shows the gap, as in [`Line::wall_ms`].
    pub wall_ms: u64,
    /// The process.
    pub process: String,
    /// The reason why lines are missing.
    pub reason: String,
}

/// Returns the log lines of one process. Text that is not a complete log line is skipped, because a process
/// that was killed may have written only part of a line.
pub fn read_lines(process: &str, text: &str) -> Vec<Line> {
    text.lines().filter_map(|line| read_line(process, line)).collect()
}

fn read_line(process: &str, line: &str) -> Option<Line> {
    let (wall_ms, text) = line.split_once(' ')?;
    let wall_ms = wall_ms.parse().ok()?;
    let number = text.split(' ').nth(1)?.strip_prefix('E')?.parse().ok()?;
    Some(Line { wall_ms, process: process.to_string(), number, text: text.to_string() })
}

/// Merges the lines of all processes by wall time. The lines of one process keep their order even where its
/// clock was set back, so that within a process no effect is listed before its cause.
pub fn merge(files: Vec<Vec<Line>>) -> Vec<Line> {
    let mut keyed: Vec<(u64, Line)> = Vec::new();
    for lines in files {
        let mut latest = 0;
        for line in lines {
            latest = latest.max(line.wall_ms);
            keyed.push((latest, line));
        }
    }
    // The sort is stable, so lines with equal times keep the order of the file.
    keyed.sort_by_key(|(at, _)| *at);
    keyed.into_iter().map(|(_, line)| line).collect()
}

/// Returns whether a line is about an id: that of a job, of one of its steps or tasks, of a call for it, of a
/// worker or of an instance.
pub fn is_about(line: &Line, id: &str) -> bool {
    let parts = line.text.split([' ', '/', '=', ',']);
    parts.into_iter().any(|part| part == id || part.split('.').next() == Some(id))
}

/// Returns the places where lines are missing: lines that were dropped, and restarts of a process that did not
/// log that it stopped.
pub fn gaps(merged: &[Line]) -> Vec<Gap> {
    let mut gaps = Vec::new();
    let mut running = BTreeSet::new();
    for line in merged {
        let reason = match line.number {
            n if n == LINES_DROPPED.number => format!("dropped: {}", line.text),
            n if n == NODE_STARTED.number && !running.insert(line.process.clone()) => {
                "started again without a node_stopped line: its last lines may be lost".into()
            }
            n if n == NODE_STOPPED.number => {
                running.remove(&line.process);
                continue;
            }
            _ => continue,
        };
        gaps.push(Gap { wall_ms: line.wall_ms, process: line.process.clone(), reason });
    }
    gaps
}
