//! Slack: how much time a job has left before it is late.

use clock::Millis;
use workload::{Job, StepKey};

use crate::dispatcher::Dispatcher;
use crate::input::Moment;

impl Dispatcher {
    /// Returns how long a job's round may make no progress and still be in time, by declared run
    /// times. Steps in progress count whole, since their progress may be lost. A job whose queue is
    /// no longer configured has no slack.
    pub(crate) fn slack(&self, m: Moment, key: &StepKey) -> Millis {
        let Some(job) = self.replicated.job(key.job) else { return Millis::ZERO };
        let Some(allowed_time) = self.allowed_time(job) else { return Millis::ZERO };
        let Some(round) = job.rounds.get(key.round as usize) else { return Millis::ZERO };
        let remaining = job.spec.critical_path(|i| !round.steps[i].is_done());
        allowed_time.since(self.age(m, key, job) + remaining)
    }

    /// Returns whether the time in which a round of a job had to end to be in time has passed.
    pub(crate) fn has_missed_objective(&self, m: Moment, key: &StepKey) -> bool {
        let Some(job) = self.replicated.job(key.job) else { return false };
        self.allowed_time(job).is_some_and(|allowed| self.age(m, key, job) > allowed)
    }

    /// Returns how long a round of a job could have run for. The acceptance of a job is taken by
    /// the monotonic clock: wall clocks jump by minutes, after which every job would seem late, or
    /// none.
    pub(crate) fn age(&self, m: Moment, key: &StepKey, job: &Job) -> Millis {
        match (job.spec.rounds, self.accepted.get(&key.job)) {
            (0, Some(at)) => m.now.since(*at),
            (0, None) => Millis::ZERO,
            _ => m.wall.since(job.spec.due(key.round)),
        }
    }

    /// Returns how long a round of a job may take and be in time.
    pub(crate) fn allowed_time(&self, job: &Job) -> Option<Millis> {
        let queue = self.policy.as_ref()?.queue(&job.queue)?;
        let path = job.spec.critical_path(|_| true);
        Some(Millis((path.0 as f64 * queue.stretch) as u64) + queue.target_latency)
    }
}
