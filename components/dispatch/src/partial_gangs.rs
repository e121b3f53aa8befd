//! Logs partial gangs, of which some members count as running and others wait. A gang restarts only
//! once nothing of its last run is left, so a member that is never settled holds up the whole job.

use events::kinds;
use workload::{JobId, StepKey, TaskKey};

use crate::dispatcher::Dispatcher;

/// The maximum number of members logged at a time.
const MAX_LOGGED_MEMBERS: usize = 5;

impl Dispatcher {
    /// Logs the members that hold up their gangs and the state of their orders.
    pub(crate) fn log_partial_gangs(&mut self) {
        let partial: Vec<TaskKey> =
            self.members_of_partial_gangs().take(MAX_LOGGED_MEMBERS).collect();
        for member in partial {
            let details = self.member_state(&member);
            self.log_event(&kinds::GANG_TORN, member, details);
        }
    }

    fn members_of_partial_gangs(&self) -> impl Iterator<Item = TaskKey> + '_ {
        let jobs = self.replicated.jobs().iter().filter(|(_, j)| !j.state.is_final());
        jobs.flat_map(|(id, job)| {
            let rounds = (0..).zip(&job.rounds);
            rounds.flat_map(move |(round, r)| {
                let steps = (0..).zip(&r.steps).zip(&job.spec.steps);
                let partial = steps.filter(|((_, s), spec)| {
                    let partial = s.placed > 0 && (s.placed as usize) < s.tasks.len();
                    spec.gang && partial && !s.is_done()
                });
                partial.flat_map(move |((step, s), _)| placed_members(*id, round, step, s))
            })
        })
    }

    fn member_state(&self, member: &TaskKey) -> String {
        let Some(task) = self.replicated.task(member) else { return String::new() };
        let Some(worker) = &task.at else { return String::new() };
        let view = self.worker_views.get(worker);
        let order = view.and_then(|v| v.orders.get(member));
        let stage = order.map_or("none", |o| o.stage.name());
        let listed = view.is_some_and(|v| v.statuses.contains_key(member));
        let in_contact = view.is_some_and(|v| v.in_contact);
        let run = task.run;
        format!("run={run} worker={worker} stage={stage} listed={listed} in_contact={in_contact}")
    }
}

/// Returns the members of a gang that count as running.
fn placed_members(
    job: JobId,
    round: u32,
    step: u32,
    step_state: &workload::StepState,
) -> impl Iterator<Item = TaskKey> + '_ {
    let placed = (0..).zip(&step_state.tasks).filter(|(_, t)| t.at.is_some());
    placed.map(move |(index, _)| TaskKey { step: StepKey { job, round, step }, index })
}
