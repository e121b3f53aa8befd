//! `heathvale timeline`: shows the events of all instances, read from the instances in causal order or
//! from log files by wall time.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use api::pb::{EventView, TimelineRequest};
use errors::{Result, io};
use events::{Line, gaps, is_about, merge, read_lines};

use crate::cli::TimelineOpts;
use crate::rpc;

/// Prints the events of all instances in causal order, and the instances that do not answer, because their
/// events may be missing.
///
/// # Errors
/// Never fails; an unreachable instance is part of the output.
pub async fn run(instances: &[SocketAddr], opts: &TimelineOpts) -> Result<()> {
    let text = |o: &Option<String>| o.clone().unwrap_or_default().into();
    let req = TimelineRequest {
        after: 0,
        task: text(&opts.task),
        job: text(&opts.job),
        request: text(&opts.request),
        from_ms: opts.from,
        to_ms: opts.to,
    };
    let mut events: Vec<EventView> = Vec::new();
    let mut missing = Vec::new();
    for addr in instances {
        let call = async |op: api::Operator| op.timeline(&req).send().await.ok().map(|r| r.output);
        match rpc::call_one(*addr, call).await {
            Some(reply) => events.extend(reply.events),
            None => missing.push(*addr),
        }
    }
    let on = opts.on.as_deref();
    events.retain(|e| on.is_none_or(|name| e.instance == name));
    events.sort_by(|a, b| (a.order, &a.instance).cmp(&(b.order, &b.instance)));
    // The other instances of a zone keep copies of each event, so an event may be returned more than once.
    events.dedup_by(|a, b| a.order == b.order && a.instance == b.instance);
    events.iter().for_each(print);
    for addr in missing {
        outln!("{addr} unreachable: its events are missing");
    }
    Ok(())
}

/// Prints the lines of log files merged by wall time, and then where lines are missing.
///
/// # Errors
/// [`errors::Error::Io`] if a file cannot be read.
pub fn run_on_files(files: &str, opts: &TimelineOpts) -> Result<()> {
    let lines: Result<Vec<Vec<Line>>> =
        files.split(',').filter(|f| !f.is_empty()).map(|f| read_file(Path::new(f))).collect();
    let merged = merge(lines?);
    let missing = gaps(&merged);
    merged.iter().filter(|l| matches_filter(l, opts)).for_each(|l| {
        outln!("{} {:<14} {}", l.wall_ms, l.process, l.text);
    });
    for gap in missing.iter().filter(|g| in_time_range(g.wall_ms, opts)) {
        outln!("{} {:<14} gap: {}", gap.wall_ms, gap.process, gap.reason);
    }
    Ok(())
}

/// Reads one log file; the process is named after the file.
fn read_file(path: &Path) -> Result<Vec<Line>> {
    let text = fs::read(path).map_err(io("read", path))?;
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    Ok(read_lines(&name, &String::from_utf8_lossy(&text)))
}

fn matches_filter(line: &Line, opts: &TimelineOpts) -> bool {
    let ids = [&opts.job, &opts.task, &opts.request];
    let about_ids = ids.iter().all(|id| id.as_ref().is_none_or(|id| is_about(line, id)));
    let on_process = opts.on.as_ref().is_none_or(|name| *name == line.process);
    about_ids && on_process && in_time_range(line.wall_ms, opts)
}

fn in_time_range(wall_ms: u64, opts: &TimelineOpts) -> bool {
    wall_ms >= opts.from && (opts.to == 0 || wall_ms <= opts.to)
}

fn print(e: &EventView) {
    let subject = [("job", &e.job), ("task", &e.task), ("request", &e.request)];
    let about: String = subject
        .iter()
        .filter(|(_, value)| !value.is_empty())
        .map(|(name, value)| format!(" {name}={value}"))
        .collect();
    outln!("{} {:<6} E{} {}: {}{about}", e.wall_ms, e.instance, e.number, e.name, e.text);
}
