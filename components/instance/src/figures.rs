//! The figures (gauges) that the status call reports.

use metrics::Figure;

use crate::core::Core;
use crate::shared::lock;

/// Returns the figures of an instance and of its process.
pub(crate) fn figures(core: &Core) -> Vec<Figure> {
    let mut figures = lock(&core.shared.timings).figures();
    let request_plane = lock(&core.shared.request_plane);
    figures.push(Figure::new(
        "requests_under_way",
        f64::from(request_plane.in_progress()),
        "requests",
    ));
    figures.push(Figure::new(
        "requests_queued",
        request_plane.router().waiting() as f64,
        "requests",
    ));
    drop(request_plane);
    figures.push(Figure::new("log_entries", core.replica.node().log_len() as f64, "entries"));
    figures.push(Figure::new("records_synced", core.synced as f64, "records"));
    figures.push(Figure::new("request_claims", core.cell.claims.len() as f64, "claims"));
    figures.push(Figure::new("jobs_known", core.cell.jobs.len() as f64, "jobs"));
    figures.push(Figure::new("zones_drained", core.cell.drained_zones.len() as f64, "zones"));
    if let Some(allocator) = core.role.allocator() {
        let (running, waiting, unaccounted) = allocator.task_counts();
        figures.push(Figure::new("tasks_placed", running as f64, "tasks"));
        figures.push(Figure::new("tasks_waiting", waiting as f64, "tasks"));
        figures.push(Figure::new("tasks_unaccounted", unaccounted as f64, "tasks"));
        let names = ["packing_cpu", "packing_memory", "packing_accelerators"];
        for (name, used) in names.into_iter().zip(allocator.planner().packing()) {
            figures.push(Figure::new(name, used as f64 / 10.0, "percent"));
        }
    }
    figures.extend(process_usage());
    figures
}

/// Reads the memory and processor time that the process uses, as far as the system reports them.
fn process_usage() -> Vec<Figure> {
    let mut figures = Vec::new();
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    if let Some(kilobytes) = kilobytes {
        figures.push(Figure::new("control_memory", kilobytes / 1024.0, "MB"));
    }
    if let Some(seconds) = processor_seconds() {
        figures.push(Figure::new("control_processor_time", seconds, "s"));
    }
    figures
}

/// The unit in which the system counts processor time: hundredths of a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// The fields after the command's name that hold user and system time.
const TIME_FIELDS: std::ops::Range<usize> = 11..13;

fn processor_seconds() -> Option<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    let after_name = stat.rsplit(')').next()?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = fields.get(TIME_FIELDS)?.iter().map(|f| f.parse::<f64>().unwrap_or(0.0));
    Some(ticks.sum::<f64>() / TICKS_PER_SECOND)
}
