//! Handles the calls of callers and operators.

use std::sync::Arc;

use clock::Millis;
use events::kinds;
use model::Name;
use workload::{Command, Credential, Document, JobId, JobSpec, JobState, Queue};

use crate::admission::Admission;
use crate::call::{Answer, Call, Verb};
use crate::dispatcher::Dispatcher;
use crate::input::{Moment, Token};
use crate::limits::{CALLER_RETRY_AFTER, KEY_REFUSED_LOG_INTERVAL};
use crate::organisations::{Caller, step_beyond_limit};
use crate::refusals::RefusalCause;

impl Dispatcher {
    /// Handles the first attempt of a call, or one after attempts that were certainly not carried
    /// out. The answer is sent once everything it depends on is committed. `received_at` is when the call was handed in, or
    /// earlier; it is not known of calls that an instance of an earlier version relays.
    pub(crate) fn on_call(
        &mut self,
        m: Moment,
        token: Token,
        call: Call,
        received_at: Option<Millis>,
    ) {
        if let Some(answer) = self.answer_call(m, token, call, received_at) {
            self.reply(token, answer);
        }
    }

    /// Handles an attempt of a call after one that may have been carried out.
    pub(crate) fn on_repeated_call(
        &mut self,
        m: Moment,
        token: Token,
        call: Call,
        received_at: Option<Millis>,
    ) {
        if let Some(answer) = self.answer_call(m, token, call.clone(), received_at) {
            let answer = self.answer_for_all_attempts(&call, answer);
            self.reply(token, answer);
        }
    }

    /// Returns the answer to an attempt of a call, or `None` if this instance leads no longer.
    fn answer_call(
        &mut self,
        m: Moment,
        token: Token,
        call: Call,
        received_at: Option<Millis>,
    ) -> Option<Answer> {
        if m.now >= m.leads_until {
            // Nothing was proposed, so this attempt has certainly not been carried out.
            self.reply_now(token, Answer::NotDone { retry_after: CALLER_RETRY_AFTER });
            return None;
        }
        Some(match call {
            Call::Publish(document) => self.publish(m, document),
            Call::Read => self.read_document(),
            Call::DrainZone { zone, drained } => self.drain_zone(m, zone, drained, received_at),
            Call::Job { host, path, size, verb } => {
                let credential = Credential::None;
                self.answer_caller(m, (&host, &path), size, verb, credential, received_at)
            }
            Call::KeyedJob { host, path, size, verb, credential } => {
                self.answer_caller(m, (&host, &path), size, verb, credential, received_at)
            }
        })
    }

    fn publish(&mut self, m: Moment, document: Document) -> Answer {
        let policy = match self.reader.read(&document.text) {
            Ok(policy) => policy,
            Err(e) => {
                self.log_event(&kinds::CONFIG_FAULTY, document.version, format!("fault={e:?}"));
                return Answer::Invalid(e.to_string().into());
            }
        };
        let held = self.replicated.document().version;
        if document.version > held {
            let queues = policy.queues.len();
            self.log_event(
                &kinds::CONFIG_TAKEN,
                document.version,
                format!("held={held} queues={queues}"),
            );
            self.set_policy(policy);
            self.propose(Command::Configure(document));
            self.recompute_backlog(m);
            self.admit_configured(m);
        }
        Answer::Published
    }

    fn read_document(&self) -> Answer {
        match self.replicated.document().version {
            0 => Answer::NotDone { retry_after: CALLER_RETRY_AFTER },
            _ => Answer::Document(self.replicated.document().clone()),
        }
    }

    fn answer_caller(
        &mut self,
        m: Moment,
        (host, path): (&str, &str),
        size: u64,
        verb: Verb,
        credential: Credential,
        received_at: Option<Millis>,
    ) -> Answer {
        let Some(policy) = self.policy.clone() else {
            return Answer::NotDone { retry_after: CALLER_RETRY_AFTER };
        };
        let Some((queue, rest)) = policy.route(host, path) else { return Answer::NoQueue };
        let Some(caller) = Caller::of(&policy, queue, &credential) else {
            return self.refuse_key(m, queue, &credential);
        };
        let id = rest.parse::<JobId>();
        // The limit may have been lowered since the job was accepted.
        if let (Verb::Submit(spec), Ok(id)) = (&verb, &id)
            && self.may_access(queue, &caller, *id)
            && self.is_accepted(*id, spec)
        {
            return Answer::Accepted;
        }
        if policy.max_body > 0 && size > policy.max_body {
            return Answer::TooLarge;
        }
        if let (Verb::Query, "") = (&verb, rest) {
            return self.count_pending(queue);
        }
        match (verb, id) {
            (Verb::Submit(_), Ok(id)) if !self.may_access(queue, &caller, id) => {
                Answer::Invalid("the id is that of another organisation's job".into())
            }
            (_, Ok(id)) if !self.may_access(queue, &caller, id) => Answer::NoJob,
            (Verb::Submit(spec), Ok(id)) => self.submit(m, (queue, caller), id, spec, received_at),
            (Verb::Submit(_), Err(_)) => Answer::Invalid("the id is not 16 hex digits".into()),
            (Verb::Query, Ok(id)) => self.query(id),
            (Verb::Cancel, Ok(id)) => self.cancel(m, id),
            (_, Err(_)) => Answer::NoJob,
        }
    }

    /// Refuses a call without a valid key of an organisation, and logs the fingerprint of the
    /// credential shown.
    fn refuse_key(&mut self, m: Moment, queue: &Queue, credential: &Credential) -> Answer {
        if m.now >= self.next_key_log_at {
            self.next_key_log_at = m.now + KEY_REFUSED_LOG_INTERVAL;
            let shown = match credential {
                Credential::None => "nothing".to_owned(),
                Credential::Malformed => "no_key".to_owned(),
                Credential::Key(key) => key.to_string(),
            };
            let version = self.replicated.document().version;
            let details = format!("shown={shown} config={version}");
            self.log_event(&kinds::KEY_REFUSED, &queue.name, details);
        }
        Answer::NoKey
    }

    fn submit(
        &mut self,
        m: Moment,
        (queue, caller): (&Queue, Caller),
        id: JobId,
        spec: Arc<JobSpec>,
        received_at: Option<Millis>,
    ) -> Answer {
        if let Err(findings) = spec.check() {
            let faults: Vec<String> = findings.list.iter().map(ToString::to_string).collect();
            return Answer::Invalid(faults.join("; ").into());
        }
        if self.replicated.job(id).is_none() {
            if let Some(answer) = self.refuse_withdrawn(m, id, received_at) {
                return answer;
            }
            let organisation = match caller {
                Caller::Organisation(name) => Some(name),
                Caller::Anyone => None,
            };
            if let Some(name) = &organisation
                && let Some(answer) = self.refuse_beyond_limit(name, &spec)
            {
                return answer;
            }
            if let Some(answer) = self.refuse_for_load(m, queue, organisation.as_ref(), &spec, id) {
                return answer;
            }
            if let Some(name) = &organisation {
                self.propose(Command::AssignOwner { job: id, organisation: name.clone() });
            }
            self.accepted.insert(id, m.now);
            self.propose(Command::Submit {
                id,
                at: m.wall,
                queue: queue.name.clone(),
                service: queue.service.clone(),
                priority: queue.priority,
                max_attempts: queue.max_attempts,
                spec,
            });
            let version = self.replicated.document().version;
            let of = organisation.as_deref().unwrap_or("-");
            let (queue, term) = (&queue.name, self.term);
            let details = format!("queue={queue} organisation={of} config={version} term={term}");
            self.log_event(&kinds::JOB_ACCEPTED, id, details);
        }
        Answer::Accepted
    }

    /// Returns a refusal if there is no memory for the job, or if it would end too late to be worth anything to its caller.
    fn refuse_for_load(
        &mut self,
        m: Moment,
        queue: &Queue,
        organisation: Option<&Name>,
        spec: &JobSpec,
        id: JobId,
    ) -> Option<Answer> {
        if let Some(answer) = self.refuse_copy(m, id) {
            return Some(answer);
        }
        if let Some(answer) = self.refuse_for_memory(m, &queue.name, organisation, spec, id) {
            return Some(answer);
        }
        match self.admit(m, queue, organisation, spec, id) {
            Admission::Accept => {
                self.forget_refusal(id);
                None
            }
            Admission::Refuse { retry_after, forecast } => {
                let cause = (retry_after, RefusalCause::Wait(forecast));
                self.record_refusal(m, id, &queue.name, organisation.cloned(), cause);
                Some(Answer::NotDone { retry_after })
            }
        }
    }

    /// Returns a refusal if the job could not run even with nothing else of its organisation
    /// running.
    fn refuse_beyond_limit(&self, organisation: &Name, spec: &JobSpec) -> Option<Answer> {
        let organisations = self.policy.as_ref()?.organisations.as_ref()?;
        let organisation = organisations.get(organisation)?;
        let step = step_beyond_limit(organisation, spec)?;
        let message = format!("steps[{step}] needs more at once than the organisation may run");
        Some(Answer::Invalid(message.into()))
    }

    fn query(&self, id: JobId) -> Answer {
        self.replicated.job(id).map_or(Answer::NoJob, |job| Answer::State(job.state))
    }

    fn cancel(&mut self, m: Moment, id: JobId) -> Answer {
        if self.replicated.job(id).is_none() {
            self.withdraw(m, id);
            return Answer::NoJob;
        }
        self.propose(Command::Cancel { id, at: m.wall });
        self.log_event(&kinds::JOB_GIVEN_UP, id, format!("term={}", self.term));
        self.jobs_to_clean_up.insert(id);
        Answer::Cancelled
    }

    fn count_pending(&self, queue: &Queue) -> Answer {
        let waits = |j: &&workload::Job| {
            j.state == JobState::Queued && j.spec.rounds == 0 && j.queue == queue.name
        };
        Answer::Pending(self.replicated.jobs().values().filter(waits).count() as u64)
    }
}
