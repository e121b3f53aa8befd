//! Refuses jobs for which there is no memory.
//!
//! Load pattern: clients submit jobs with small bodies and many tasks or times, or many large bodies. An accepted job is kept
//! by every control instance until some time after its end, so nothing but a refusal bounds what they take.

use model::Name;
use workload::{JobId, JobSpec};

use crate::call::Answer;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{MAX_REFUSAL_RETRY, SMALL_JOB_FOOTPRINT, SMALL_JOB_MEMORY_DIVISOR};
use crate::refusals::RefusalCause;

/// The memory that a job would take, what others take, and the limit for it, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShortage {
    /// What the job would take.
    pub footprint: u64,
    /// What the accepted jobs take.
    pub taken: u64,
    /// What they may take together with this job.
    pub limit: u64,
}

/// Returns why there is no memory for a job, if so. `memory` is what all jobs may take.
pub(crate) fn memory_shortage(taken: u64, footprint: u64, memory: u64) -> Option<MemoryShortage> {
    let limit = match footprint <= SMALL_JOB_FOOTPRINT {
        true => memory,
        false => memory - memory / SMALL_JOB_MEMORY_DIVISOR,
    };
    let is_short = taken.saturating_add(footprint) > limit;
    is_short.then_some(MemoryShortage { footprint, taken, limit })
}

impl Dispatcher {
    /// Returns a refusal if there is no memory for a job.
    pub(crate) fn refuse_for_memory(
        &mut self,
        m: Moment,
        queue: &Name,
        organisation: Option<&Name>,
        spec: &JobSpec,
        id: JobId,
    ) -> Option<Answer> {
        let taken = self.replicated.job_memory();
        let shortage = memory_shortage(taken, spec.footprint(), self.limits.job_memory)?;
        let retry_after = MAX_REFUSAL_RETRY;
        let cause = (retry_after, RefusalCause::Memory(shortage));
        self.record_refusal(m, id, queue, organisation.cloned(), cause);
        Some(Answer::NotDone { retry_after })
    }
}
