//! The views of jobs that are reported to operators.

use api::convert::job_message;
use api::pb;
use cell::{Job, JobState};
use model::{JobName, TaskId};
use zone::TaskPhase;

use crate::core::Core;

fn summary(core: &Core, job: &Job) -> pb::JobSummary {
    let ended = (job.done.len() + job.failed.len()) as u32;
    let running = running_in_zone(core, job);
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

/// Returns the number of tasks that run in this instance's zone, if it allocates there.
fn running_in_zone(core: &Core, job: &Job) -> u32 {
    let Some(allocator) = core.role.allocator() else { return 0 };
    let task = |index| TaskId { job: job.spec.name.clone(), index };
    let shares = job.shares.iter().filter(|s| s.zone == *core.shared.zone());
    let running = shares.flat_map(|s| s.tasks()).filter(|&index| {
        matches!(allocator.task_phase(&task(index)), Some((TaskPhase::Running, _)))
    });
    running.count() as u32
}

/// Returns a list of all jobs.
pub(crate) fn list_jobs(core: &Core) -> pb::ListJobsReply {
    let jobs = core.cell.jobs.values().map(|j| summary(core, j)).collect();
    pb::ListJobsReply { version: core.cell.applied, fresh: false, jobs }
}

/// Returns a job with its tasks, as far as this instance knows them.
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
    let phase = core.role.allocator().and_then(|a| a.task_phase(&task));
    let (state, worker) = match phase {
        Some((TaskPhase::Unaccounted, w)) => ("unaccounted", w),
        Some((TaskPhase::Waiting, w)) => ("waiting", w),
        Some((TaskPhase::Starting, w)) => ("starting", w),
        Some((TaskPhase::Running, w)) => ("running", w),
        Some((TaskPhase::Ending, w)) => ("ending", w),
        // Only the zone's allocator knows the state of the task.
        None => ("ask-allocator", None),
    };
    view.state = state.into();
    view.worker = worker.map_or_else(Default::default, |w| w.as_ref().into());
    view
}
