//! Handling of callers' requests: reading, claiming of non-repeatable ones, routing, responding.

mod forwarding;
mod guards;
mod incoming;
mod responses;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Instant;

use cell::{Claim, ClaimReply, Command, Reply};
use clock::Millis;
use events::{Subject, kinds};
use model::{Answer, CellConfig, Class, Name, Refusal};
use ntex::time::Millis as Wait;
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse, error::PayloadError, types::State};
use routing::{Admission, Dispatch, RequestInfo, RequestOutcome};
use tokio::sync::oneshot;
use upstream::headers;

use self::forwarding::may_forward;
use self::guards::{InProgressGuard, QueueGuard, SlotGuard};
use self::incoming::{Incoming, header_text, read_request};
use self::responses::{malformed, respond};
use crate::core::Input;
use crate::message::{Change, Outcome};
use crate::request_plane::Arrival;
use crate::shared::{Shared, lock};
use crate::upstream_call::{CallEnd, Clients, Outgoing};

/// The delay after which callers should retry with an instance that is not ready, is stopping, or
/// cannot reach the leader to claim a key.
const RETRY_AFTER: Millis = Millis(1_000);
/// The number of connections to an upstream that an allocator needs.
const ALLOCATOR_CONNECTIONS: u32 = 1;

/// The state that the request handlers of one thread share.
#[derive(Clone)]
pub(crate) struct CallerService {
    pub(crate) shared: Arc<Shared>,
    pub(crate) core: Sender<Input>,
    pub(crate) clients: Clients,
}

/// Answers the balancer's health check: whether to send callers to this instance.
pub(crate) async fn health(service: State<Rc<CallerService>>) -> HttpResponse {
    let shared = &service.shared;
    let drained = shared.is_drained() || shared.is_zone_drained();
    let accepts = shared.is_ready() && !shared.is_stopping() && !drained;
    match accepts {
        true => HttpResponse::Ok().body("ok"),
        false => HttpResponse::ServiceUnavailable().body("not for new callers"),
    }
}

/// Handles one request.
pub(crate) async fn run(
    service: State<Rc<CallerService>>,
    req: HttpRequest,
    body: Result<Bytes, PayloadError>,
) -> HttpResponse {
    let shared = &service.shared;
    let _counted = InProgressGuard::new(shared);
    let started = Instant::now();
    let max_duration = shared.settings.longest_request;
    let body = body.map_err(|e| format!("the body cannot be read completely: {e}"));
    let incoming = match body.and_then(|body| read_request(&req, body, shared.now(), max_duration))
    {
        Ok(incoming) => incoming,
        Err(fault) => {
            let id = header_text(&req, headers::REQUEST).unwrap_or_default();
            return malformed(id, &fault);
        }
    };
    let answer = service.serve(&incoming).await;
    service.record_outcome(&incoming, &answer, started);
    respond(&incoming.id, answer)
}

fn refused(reason: Refusal, retry_after: Millis) -> Answer {
    Answer::Refused { reason, retry_after }
}

impl CallerService {
    async fn serve(&self, incoming: &Incoming) -> Answer {
        if self.shared.is_closed() {
            return refused(Refusal::Stopping, RETRY_AFTER);
        }
        if !self.shared.is_ready() {
            return refused(Refusal::NotReady, RETRY_AFTER);
        }
        // A forwarded request was already claimed by the instance that received it.
        if let Some(claim) = incoming.key.as_ref().filter(|_| !incoming.forwarded)
            && let Err(answer) = self.claim(incoming, claim).await
        {
            return answer;
        }
        match self.route(incoming).await {
            Answer::Refused { reason, retry_after } if may_forward(incoming, reason) => {
                let other = self.forward(incoming).await;
                other.unwrap_or(Answer::Refused { reason, retry_after })
            }
            answer => answer,
        }
    }

    /// Claims the caller's key in the cell state, so that a retry at any instance is recognised.
    async fn claim(&self, incoming: &Incoming, claim: &Claim) -> Result<(), Answer> {
        let (tx, rx) = oneshot::channel();
        let command = Command::ClaimRequests { claims: vec![claim.clone()] };
        let change = Change::Command { key: None, command };
        let unreachable = || refused(Refusal::NoHome, RETRY_AFTER);
        self.core.send(Input::Change { change, tx }).map_err(|_| unreachable())?;
        let left = incoming.deadline.since(self.shared.now());
        let waited = ntex::time::timeout(Wait(left.0.max(1) as u32), rx).await;
        let Ok(Ok(Outcome::Applied(Reply::Claims(replies)))) = waited else {
            // The claim may have been recorded, but the request was not sent and will not be.
            return Err(unreachable());
        };
        match replies.first() {
            Some(ClaimReply::Granted) => Ok(()),
            Some(ClaimReply::TooNew) => Err(refused(Refusal::Malformed, RETRY_AFTER)),
            Some(ClaimReply::Taken) => Err(Answer::MayHaveRun("this key was used before".into())),
            Some(ClaimReply::TooOld) => {
                Err(Answer::MayHaveRun("this key is older than the claim window".into()))
            }
            None => Err(unreachable()),
        }
    }

    /// Sends the request to upstreams of this zone until one has answered or none may be tried. Once
    /// an attempt may have run, the refusal of a later attempt does not prove that the request did not
    /// run, so the result of the earlier attempt is returned.
    async fn route(&self, incoming: &Incoming) -> Answer {
        let mut tried = BTreeSet::new();
        let mut may_have_run: Option<Answer> = None;
        loop {
            let info = lock(&self.shared.request_plane).new_request(
                incoming.class,
                incoming.deadline,
                tried.clone(),
            );
            let upstream = match self.find_upstream(info.clone()).await {
                Ok(upstream) => upstream,
                Err(refusal) => return may_have_run.unwrap_or(refusal),
            };
            tried.insert(upstream.clone());
            let info = RequestInfo { tried: tried.clone(), ..info };
            let refusal = match self.call_upstream(incoming, &upstream).await {
                CallEnd::Done { body, .. } => return Answer::Done(body),
                CallEnd::Failed(reason) => return Answer::Failed(reason),
                CallEnd::NotRun { .. } => refused(Refusal::Overloaded, RETRY_AFTER),
                CallEnd::Broken(reason) => {
                    may_have_run = Some(Answer::MayHaveRun(reason));
                    refused(Refusal::Overloaded, RETRY_AFTER)
                }
                CallEnd::Crossed => {
                    let reason = "the upstream answered a different request".into();
                    may_have_run = Some(Answer::MayHaveRun(reason));
                    refused(Refusal::Overloaded, RETRY_AFTER)
                }
            };
            let may_repeat = incoming.repeatable || may_have_run.is_none();
            let now = self.shared.now();
            if !may_repeat || !lock(&self.shared.request_plane).may_retry(now, &info) {
                return may_have_run.unwrap_or(refusal);
            }
        }
    }

    /// Waits for an upstream for the request and returns it, or the refusal.
    async fn find_upstream(&self, info: RequestInfo) -> Result<Name, Answer> {
        let (now, id, class) = (self.shared.now(), info.id, info.class);
        let arrival = lock(&self.shared.request_plane).arrive(now, info);
        match arrival {
            Arrival::Decided(Admission::Send(upstream)) => {
                self.record_wait(class, Millis::ZERO);
                Ok(upstream)
            }
            Arrival::Decided(Admission::Refuse { reason, retry_after }) => {
                Err(refused(reason, retry_after))
            }
            Arrival::Decided(Admission::Wait) => Err(refused(Refusal::Overloaded, RETRY_AFTER)),
            Arrival::Queued(rx) => {
                let _in_queue = QueueGuard { shared: self.shared.clone(), id };
                match rx.await {
                    Ok(Dispatch::Send { upstream, waited, .. }) => {
                        self.record_wait(class, waited);
                        Ok(upstream)
                    }
                    Ok(Dispatch::Refuse { reason, retry_after, .. }) => {
                        Err(refused(reason, retry_after))
                    }
                    Err(_) => Err(refused(Refusal::Overloaded, RETRY_AFTER)),
                }
            }
        }
    }

    fn record_wait(&self, class: Class, waited: Millis) {
        let name = match class {
            Class::Urgent => "request_wait_urgent",
            Class::Normal => "request_wait_normal",
            Class::Bulk => "request_wait_bulk",
        };
        lock(&self.shared.timings).record(name, waited);
    }

    async fn call_upstream(&self, incoming: &Incoming, upstream: &Name) -> CallEnd {
        let (shared, upstream) = (self.shared.clone(), upstream.clone());
        let mut slot = SlotGuard { shared, upstream, ending: RequestOutcome::Abandoned };
        let Some(addr) = self.shared.addresses().get(&slot.upstream).copied() else {
            return CallEnd::NotRun { leaving: true, connected: false };
        };
        let config = self.shared.config();
        let connections = request_connections(&config.config);
        let req = self.outgoing(incoming);
        let left = incoming.deadline.since(self.shared.now());
        let sent_at = Instant::now();
        let call = self.clients.call(&slot.upstream, addr, connections as usize, &req, left);
        let end = call.await;
        slot.ending = match &end {
            CallEnd::Done { load, .. } => RequestOutcome::Answered {
                micros: sent_at.elapsed().as_micros() as u64,
                load: *load,
            },
            CallEnd::NotRun { connected: true, .. } => RequestOutcome::Busy,
            _ => RequestOutcome::Failed,
        };
        if matches!(end, CallEnd::NotRun { leaving: true, connected: true }) {
            // The core notifies the zone's other instances.
            let _ = self.core.send(Input::Leaving(slot.upstream.clone()));
        }
        if matches!(end, CallEnd::Crossed) {
            self.clients.close(&slot.upstream);
            let text = format!("{} answered a different request", slot.upstream);
            let subject = Subject::request(&incoming.id);
            self.shared.journal.record(&kinds::ANSWER_CROSSED, subject, text);
        }
        end
    }

    fn outgoing(&self, incoming: &Incoming) -> Outgoing {
        let order = self.shared.journal.clock().next();
        let mut extra = vec![(headers::CALLER, incoming.caller.clone())];
        if let Some(work) = &incoming.work {
            extra.push((headers::WORK_TIME, work.clone()));
        }
        Outgoing {
            id: format!("{}-{order}", self.shared.id()),
            key: incoming.key.as_ref().map(|c| c.key.0.to_string()),
            extra,
            body: incoming.body.clone(),
        }
    }

    fn record_outcome(&self, incoming: &Incoming, answer: &Answer, started: Instant) {
        let micros = started.elapsed().as_micros() as u64;
        let (name, event) = match answer {
            Answer::Done(_) => ("request_done", None),
            Answer::Failed(_) => ("request_failed", None),
            Answer::Refused { reason, .. } => {
                ("request_refused", Some((&kinds::REQUEST_REFUSED, reason.as_str().to_string())))
            }
            Answer::MayHaveRun(reason) => {
                ("request_unknown", Some((&kinds::REQUEST_UNKNOWN, reason.to_string())))
            }
        };
        lock(&self.shared.timings).record_micros(name, micros);
        if let Some((kind, text)) = event {
            self.shared.journal.record(kind, Subject::request(&incoming.id), text);
        }
    }
}

/// Returns the maximum number of request connections from this instance to one upstream. One
/// connection of its part is reserved for the calls of an allocator, since any instance may become one.
fn request_connections(config: &CellConfig) -> u32 {
    let part = config.upstream_connections / config.instances_per_zone.max(1);
    part.saturating_sub(ALLOCATOR_CONNECTIONS).max(1)
}
