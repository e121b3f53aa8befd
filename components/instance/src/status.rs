//! What operators are shown of an instance.

use api::convert::{amount, job_message};
use api::pb;
use cell::{Job, JobState};
use consensus::Role;
use metrics::Figure;
use model::{JobName, TaskId};
use routing::TargetState;
use zone::{TaskPhase, WorkerPhase};

use crate::core::Core;
use crate::shared::lock;

fn summary(core: &Core, job: &Job) -> pb::JobSummary {
    let ended = (job.done.len() + job.failed.len()) as u32;
    let running = running_here(core, job);
    pb::JobSummary {
        job: job_message(&job.spec),
        running,
        finished: ended,
        waiting: (job.spec.tasks - ended).saturating_sub(running),
        state: match job.state {
            JobState::Active => "active".into(),
            JobState::Cancelled => "cancelled".into(),
            JobState::Ended => "ended".into(),
        },
        reason: job.failed.values().next().map_or_else(Default::default, |r| r.as_ref().into()),
    }
}

/// Counts the tasks that run in this instance's zone, if it allocates there.
fn running_here(core: &Core, job: &Job) -> u32 {
    let Some(allocator) = core.role.allocator() else { return 0 };
    let task = |index| TaskId { job: job.spec.name.clone(), index };
    let shares = job.shares.iter().filter(|s| s.zone == *core.shared.zone());
    let running = shares
        .flat_map(|s| s.tasks())
        .filter(|&index| matches!(allocator.phase(&task(index)), Some((TaskPhase::Running, _))));
    running.count() as u32
}

/// Lists all jobs.
pub(crate) fn list_jobs(core: &Core) -> pb::ListJobsReply {
    let jobs = core.cell.jobs.values().map(|j| summary(core, j)).collect();
    pb::ListJobsReply { version: core.cell.applied, fresh: false, jobs }
}

/// Shows one job with its tasks, as far as this instance knows them.
pub(crate) fn show_job(core: &Core, name: &JobName) -> pb::ShowJobReply {
    let Some(job) = core.cell.jobs.get(name) else { return pb::ShowJobReply::default() };
    let tasks = (0..job.spec.tasks).map(|index| task_view(core, job, index)).collect();
    pb::ShowJobReply { found: true, summary: summary(core, job), tasks }
}

fn task_view(core: &Core, job: &Job, index: u32) -> pb::TaskView {
    let zone = job.zone_of(index).map_or_else(Default::default, |z| z.as_str().into());
    let mut view = pb::TaskView { index, zone, ..pb::TaskView::default() };
    if job.done.contains(&index) {
        view.state = "done".into();
        return view;
    }
    if let Some(reason) = job.failed.get(&index) {
        view.state = "failed".into();
        view.reason = reason.as_ref().into();
        return view;
    }
    let task = TaskId { job: job.spec.name.clone(), index };
    let phase = core.role.allocator().and_then(|a| a.phase(&task));
    let (state, worker) = match phase {
        Some((TaskPhase::Unaccounted, w)) => ("unaccounted", w),
        Some((TaskPhase::Waiting, w)) => ("waiting", w),
        Some((TaskPhase::Starting, w)) => ("starting", w),
        Some((TaskPhase::Running, w)) => ("running", w),
        Some((TaskPhase::Ending, w)) => ("ending", w),
        // Only the zone's allocator knows how the task stands.
        None => ("ask-allocator", None),
    };
    view.state = state.into();
    view.worker = worker.map_or_else(Default::default, |w| w.as_ref().into());
    view
}

/// Shows the instance itself.
pub(crate) fn status(core: &Core) -> pb::StatusReply {
    let node = core.replica.node();
    let shared = &core.shared;
    let grant = core.cell.zones.grant(shared.zone());
    pb::StatusReply {
        instance: shared.id().as_str().into(),
        zone: shared.zone().as_str().into(),
        role: role_name(core).into(),
        leader: node.leader().map_or_else(Default::default, |l| l.as_str().into()),
        term: node.term(),
        applied: core.cell.applied,
        config_version: shared.config().version,
        epoch: grant.map_or(0, |g| g.epoch.0),
        holds_epoch: core.role.allocator().is_some(),
        figures: figures(core).into_iter().map(figure_message).collect(),
        upstreams: upstreams(core),
        members: members(core),
        ready: shared.is_ready(),
    }
}

fn role_name(core: &Core) -> &'static str {
    let node = core.replica.node();
    let id = core.shared.id();
    match node.role() {
        Role::Leader => "leader",
        Role::Unformed => "unformed",
        _ if node.membership().voters.contains_key(id) => "voter",
        _ if node.membership().learners.contains_key(id) => "learner",
        _ => "observer",
    }
}

fn members(core: &Core) -> Vec<ntex::util::ByteString> {
    let m = core.replica.node().membership();
    let voters = m.voters.keys().map(|id| format!("{id} voter"));
    let learners = m.learners.keys().map(|id| format!("{id} learner"));
    voters.chain(learners).map(Into::into).collect()
}

fn figure_message(figure: Figure) -> pb::Figure {
    pb::Figure { name: figure.name.into(), value: figure.value, unit: figure.unit.into() }
}

fn figures(core: &Core) -> Vec<Figure> {
    let mut figures = lock(&core.shared.timings).figures();
    let plane = lock(&core.shared.plane);
    figures.push(Figure::new("requests_under_way", f64::from(plane.under_way()), "requests"));
    figures.push(Figure::new("requests_queued", plane.router().waiting() as f64, "requests"));
    drop(plane);
    figures.push(Figure::new("log_entries", core.replica.node().log_len() as f64, "entries"));
    figures.push(Figure::new("records_synced", core.synced as f64, "records"));
    figures.push(Figure::new("request_claims", core.cell.claims.len() as f64, "claims"));
    figures.push(Figure::new("jobs_known", core.cell.jobs.len() as f64, "jobs"));
    if let Some(allocator) = core.role.allocator() {
        let (running, waiting, unaccounted) = allocator.counts();
        figures.push(Figure::new("tasks_placed", running as f64, "tasks"));
        figures.push(Figure::new("tasks_waiting", waiting as f64, "tasks"));
        figures.push(Figure::new("tasks_unaccounted", unaccounted as f64, "tasks"));
        let names = ["packing_cpu", "packing_memory", "packing_accelerators"];
        for (name, used) in names.into_iter().zip(allocator.planner().packing()) {
            figures.push(Figure::new(name, used as f64 / 10.0, "percent"));
        }
    }
    figures.extend(process_cost());
    figures
}

/// Reads what the process itself has used, as far as the system tells.
fn process_cost() -> Vec<Figure> {
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

/// The system counts processor time in hundredths of a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// The fields behind the command's name that hold user and system time.
const TIME_FIELDS: std::ops::Range<usize> = 11..13;

fn processor_seconds() -> Option<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    let behind_name = stat.rsplit(')').next()?;
    let fields: Vec<&str> = behind_name.split_whitespace().collect();
    let ticks = fields.get(TIME_FIELDS)?.iter().map(|f| f.parse::<f64>().unwrap_or(0.0));
    Some(ticks.sum::<f64>() / TICKS_PER_SECOND)
}

fn upstreams(core: &Core) -> Vec<pb::UpstreamView> {
    let now = core.now();
    let plane = lock(&core.shared.plane);
    let zone = core.shared.zone().as_str();
    let mut views = Vec::new();
    for (target, share) in plane.router().targets(now) {
        let state = match target.state {
            TargetState::Live => "live",
            TargetState::Leaving => "leaving",
        };
        let mut view = pb::UpstreamView {
            name: target.name.as_ref().into(),
            zone: zone.into(),
            state: state.into(),
            in_flight: target.in_flight,
            share,
            ..pb::UpstreamView::default()
        };
        let allocator = core.role.allocator();
        let known = allocator.and_then(|a| a.workers().find(|w| *w.0 == target.name));
        if let Some((_, phase, total, taken)) = known {
            view.capacity = amount(&total);
            view.reserved = amount(&taken);
            view.state = format!("{state}, {}", phase_name(phase)).into();
        }
        views.push(view);
    }
    views
}

fn phase_name(phase: WorkerPhase) -> &'static str {
    match phase {
        WorkerPhase::Unknown => "not reported",
        WorkerPhase::Open => "open",
        WorkerPhase::Draining => "draining",
        WorkerPhase::Aside => "set aside",
        WorkerPhase::Silent => "silent",
    }
}
