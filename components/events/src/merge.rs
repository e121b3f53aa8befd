//! Reading the log files of many processes back as one story, as told in docs/OPERATIONS.md.

use std::collections::BTreeSet;

use crate::catalogue::kinds::{LINES_DROPPED, NODE_STARTED, NODE_STOPPED};

/// A line of the log, with the process that wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// The wall time in milliseconds since 1970, by the clock of the writer's machine.
    pub wall_ms: u64,
    /// The process, by the name of its log file.
    pub process: String,
    /// The number of the event's kind.
    pub number: u32,
    /// Level, number, name, what it is about, and the inputs.
    pub text: String,
}

/// What lines of a process are missing, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// When it was told, as [`Line::wall_ms`].
    pub wall_ms: u64,
    /// The process.
    pub process: String,
    /// Why its lines are missing.
    pub why: String,
}

/// Reads the lines that one process wrote. Whatever is no line of ours is passed over, as a process
/// that was killed may have written part of one.
pub fn read_lines(process: &str, text: &str) -> Vec<Line> {
    text.lines().filter_map(|line| read_line(process, line)).collect()
}

fn read_line(process: &str, line: &str) -> Option<Line> {
    let (wall_ms, text) = line.split_once(' ')?;
    let wall_ms = wall_ms.parse().ok()?;
    let number = text.split(' ').nth(1)?.strip_prefix('E')?.parse().ok()?;
    Some(Line { wall_ms, process: process.to_string(), number, text: text.to_string() })
}

/// Merges the lines of all processes by wall time. Lines of one process stay in their order, also
/// where its clock was set back, so that no effect comes before its cause there.
pub fn merge(files: Vec<Vec<Line>>) -> Vec<Line> {
    let mut keyed: Vec<(u64, Line)> = Vec::new();
    for lines in files {
        let mut latest = 0;
        for line in lines {
            latest = latest.max(line.wall_ms);
            keyed.push((latest, line));
        }
    }
    // The sort is stable, so equal times keep the order of the file.
    keyed.sort_by_key(|(at, _)| *at);
    keyed.into_iter().map(|(_, line)| line).collect()
}

/// Tells whether a line is about an id: of a job, one of its steps or tasks, a call on it, a worker or
/// an instance.
pub fn is_about(line: &Line, id: &str) -> bool {
    let parts = line.text.split([' ', '/', '=', ',']);
    parts.into_iter().any(|part| part == id || part.split('.').next() == Some(id))
}

/// Finds where lines are missing: dropped ones, and ends that a process could not tell of.
pub fn gaps(merged: &[Line]) -> Vec<Gap> {
    let mut gaps = Vec::new();
    let mut running = BTreeSet::new();
    for line in merged {
        let why = match line.number {
            n if n == LINES_DROPPED.number => format!("dropped: {}", line.text),
            n if n == NODE_STARTED.number && !running.insert(line.process.clone()) => {
                "started again without telling that it stopped: its last lines may be lost".into()
            }
            n if n == NODE_STOPPED.number => {
                running.remove(&line.process);
                continue;
            }
            _ => continue,
        };
        gaps.push(Gap { wall_ms: line.wall_ms, process: line.process.clone(), why });
    }
    gaps
}
