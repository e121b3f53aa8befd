//! Answers calls of which an earlier attempt got no answer.
//!
//! That attempt may have been accepted, and the configuration may have changed since: its route is
//! gone, a key was taken away, a limit was lowered. A rejection of the later attempt would then be
//! false. The replicated state tells what the earlier attempt did: docs/design/platform.md, "Calls that are sent again".

use events::kinds;
use workload::{Credential, JobId, JobSpec, JobState};

use crate::call::{Answer, Call, Verb};
use crate::dispatcher::Dispatcher;
use crate::limits::CALLER_RETRY_AFTER;

const UNSURE: Answer = Answer::Unsure { retry_after: CALLER_RETRY_AFTER };

impl Dispatcher {
    /// Returns the answer to a call, given the answer to its last attempt alone.
    pub(crate) fn answer_for_all_attempts(&mut self, call: &Call, answer: Answer) -> Answer {
        // The relay passes `NotDone` on as unsure: a copy of an earlier attempt may still arrive.
        if answer.is_success() || matches!(answer, Answer::NotDone { .. }) {
            return answer;
        }
        let Some((path, verb)) = call.verb() else { return answer };
        let id = JobId::at_end_of(path);
        let known = match (verb, id) {
            (Verb::Submit(spec), Some(id)) if self.is_accepted(id, spec) => {
                let may_tell = self.may_tell(id, call.credential());
                Some(if may_tell { Answer::Accepted } else { UNSURE })
            }
            (Verb::Cancel, Some(id)) => self.answer_repeated_cancel(id, call.credential()),
            _ => None,
        };
        let Some(known) = known else { return answer };
        let details = format!("rejection={answer:?} answer={known:?} term={}", self.term);
        self.log_event(&kinds::REJECTION_REPLACED, path, details);
        known
    }

    /// Returns whether a job was accepted with this id and specification.
    pub(crate) fn is_accepted(&self, id: JobId, spec: &JobSpec) -> bool {
        self.replicated.job(id).is_some_and(|j| *j.spec == *spec)
    }

    /// Returns the answer to a repeated cancel that may have been carried out, or `None` if the answer
    /// to its last attempt stands. What the holder of a credential may not know of changes nothing.
    fn answer_repeated_cancel(&self, id: JobId, credential: &Credential) -> Option<Answer> {
        let is_cancelled = self.replicated.job(id).is_some_and(|j| j.state == JobState::Cancelled);
        match is_cancelled && self.may_tell(id, credential) {
            true => Some(Answer::Cancelled),
            false => self.is_unidentified(credential).then_some(UNSURE),
        }
    }

    /// Returns whether the holder of a credential may be told of a job, at whatever queue.
    fn may_tell(&self, id: JobId, credential: &Credential) -> bool {
        let Some(organisations) = self.policy.as_ref().and_then(|p| p.organisations.as_ref())
        else {
            return true;
        };
        let owner = self.replicated.ownership().owner(id);
        owner.is_none_or(|owner| organisations.holder(credential) == Some(owner))
    }

    /// Returns whether a credential is that of no organisation, though there are some.
    fn is_unidentified(&self, credential: &Credential) -> bool {
        let organisations = self.policy.as_ref().and_then(|p| p.organisations.as_ref());
        organisations.is_some_and(|o| o.holder(credential).is_none())
    }
}
