//! Reports about a job for operators: what the leader knows, or who leads.

use dispatch::{Dispatcher, JobExplanation, Moment, RefusalCause};
use model::InstanceId;
use workload::JobId;

/// An instance's answer to an operator who asks about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobReport {
    /// The job is in the replicated state of this leader.
    Known(Box<JobExplanation>),
    /// The leader refused the job a short time ago: the reason as text.
    Refused(String),
    /// The leader does not know the job.
    Unknown,
    /// This instance does not lead; the leader, if one is known.
    NotLeader(Option<InstanceId>),
}

impl JobReport {
    /// Creates the leader's report about a job.
    pub(crate) fn new(dispatcher: &Dispatcher, m: Moment, id: JobId) -> JobReport {
        match dispatcher.explain_job(m, id) {
            Some(explanation) => JobReport::Known(Box::new(explanation)),
            None => refusal(dispatcher, id).map_or(JobReport::Unknown, JobReport::Refused),
        }
    }
}

/// Returns why a job was refused, if it was recently.
fn refusal(dispatcher: &Dispatcher, id: JobId) -> Option<String> {
    let refused = dispatcher.refusal(id)?;
    let (times, retry_after) = (refused.times, refused.retry_after.0);
    let cause = match &refused.cause {
        RefusalCause::Wait(forecast) => format!("{forecast:?}"),
        RefusalCause::Memory(shortage) => format!("{shortage:?}"),
    };
    Some(format!("times={times} retry_after_ms={retry_after} {cause}"))
}
