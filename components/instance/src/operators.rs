//! The calls of operators.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use api::pb;
use cell::{Command, Reply};
use clock::Millis;
use consensus::MemberRole;
use events::Filter;
use model::RequestKey;
use ntex::time::Millis as Wait;
use tokio::sync::oneshot;

use crate::core::{Core, Input};
use crate::job_views;
use crate::message::{Change, Outcome};
use crate::shared::Shared;
use crate::status::status;

/// The maximum time that a call waits for its outcome.
const MAX_WAIT: Wait = Wait(6_000);
/// The delay after which an operator should retry a refused call.
const RETRY_AFTER: Millis = Millis(500);
/// The maximum length of a request key in bytes.
const MAX_KEY_BYTES: usize = 200;

/// The service that passes operators' calls to the core.
#[derive(Clone)]
pub(crate) struct OperatorServer {
    pub(crate) shared: Arc<Shared>,
    pub(crate) core: Sender<Input>,
}

fn reply(outcome: pb::Outcome, version: u64, reason: &str) -> pb::ChangeReply {
    let retry_after_ms = if outcome == pb::Outcome::Refused { RETRY_AFTER.0 } else { 0 };
    pb::ChangeReply { outcome, version, reason: reason.into(), retry_after_ms }
}

fn change_reply(outcome: Outcome) -> pb::ChangeReply {
    match outcome {
        Outcome::Applied(Reply::Accepted { version }) => reply(pb::Outcome::Accepted, version, ""),
        Outcome::Applied(Reply::Conflict { version, reason }) => {
            reply(pb::Outcome::Conflict, version, &reason)
        }
        Outcome::Applied(Reply::Claims(_)) => reply(pb::Outcome::Accepted, 0, ""),
        Outcome::Refused { reason } => reply(pb::Outcome::Refused, 0, &reason),
        Outcome::Invalid { reason } => reply(pb::Outcome::Invalid, 0, &reason),
        Outcome::Unknown => {
            let reason = "no outcome in time; send it again with the same request key";
            reply(pb::Outcome::Unknown, 0, reason)
        }
    }
}

fn invalid(reason: &str) -> pb::ChangeReply {
    reply(pb::Outcome::Invalid, 0, reason)
}

fn request_key(text: &str) -> Result<RequestKey, pb::ChangeReply> {
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(invalid(&format!("request_key must hold 1 to {MAX_KEY_BYTES} bytes")));
    }
    Ok(RequestKey::from(text))
}

fn format_findings(findings: &errors::Findings) -> String {
    let lines: Vec<String> = findings.list.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[ntex_grpc::server(pb::Operator)]
impl OperatorServer {
    #[method(CreateJob)]
    async fn create_job(&self, req: pb::CreateJobRequest) -> pb::ChangeReply {
        let key = match request_key(&req.request_key) {
            Ok(key) => key,
            Err(fault) => return fault,
        };
        match api::convert::job_spec(&req.job) {
            Ok(spec) => self.change(Change::CreateJob { key, spec }).await,
            Err(findings) => invalid(&format_findings(&findings)),
        }
    }

    #[method(CancelJob)]
    async fn cancel_job(&self, req: pb::CancelJobRequest) -> pb::ChangeReply {
        let command = Command::CancelJob { name: req.name.as_str().into() };
        self.command(&req.request_key, command).await
    }

    #[method(ApplyConfig)]
    async fn apply_config(&self, req: pb::ApplyConfigRequest) -> pb::ChangeReply {
        match model::parse_config("text", &req.text) {
            Ok(config) => {
                let text = req.text.as_str().into();
                let command = Command::ApplyConfig { base: req.base_version, text, config };
                self.command(&req.request_key, command).await
            }
            Err(findings) => invalid(&format_findings(&findings)),
        }
    }

    #[method(Drain)]
    async fn drain(&self, req: pb::DrainRequest) -> pb::ChangeReply {
        let command = match (req.target.is_empty(), req.zone.is_empty()) {
            (false, true) => Command::Drain { target: req.target.as_str().into(), on: req.on },
            (true, false) => Command::DrainZone { zone: req.zone.as_str().into(), on: req.on },
            _ => return invalid("exactly one of target and zone must be set"),
        };
        self.command(&req.request_key, command).await
    }

    #[method(ReplaceMember)]
    async fn replace_member(&self, req: pb::ReplaceMemberRequest) -> pb::ChangeReply {
        let role = match req.role.as_str() {
            "voter" => MemberRole::Voter,
            "learner" => MemberRole::Learner,
            "removed" => MemberRole::Removed,
            _ => return invalid("role is none of voter, learner, removed"),
        };
        self.change(Change::Member { id: req.instance.as_str().into(), role }).await
    }

    #[method(ListJobs)]
    async fn list_jobs(&self, req: pb::ListJobsRequest) -> pb::ListJobsReply {
        let fresh = req.fresh && self.is_fresh().await;
        let listed = self.query(job_views::list_jobs).await.unwrap_or_default();
        pb::ListJobsReply { fresh, ..listed }
    }

    #[method(ShowJob)]
    async fn show_job(&self, req: pb::ShowJobRequest) -> pb::ShowJobReply {
        let name = model::JobName::from(req.name.as_str());
        self.query(move |core| job_views::show_job(core, &name)).await.unwrap_or_default()
    }

    #[method(ReadConfig)]
    async fn read_config(&self, _req: pb::ReadConfigRequest) -> pb::ReadConfigReply {
        let config = self.shared.config();
        pb::ReadConfigReply {
            version: config.version,
            text: config.text.as_ref().into(),
            known: self.shared.is_ready(),
        }
    }

    #[method(Status)]
    async fn status(&self, _req: pb::StatusRequest) -> pb::StatusReply {
        self.query(status).await.unwrap_or_default()
    }

    #[method(Timeline)]
    async fn timeline(&self, req: pb::TimelineRequest) -> pb::TimelineReply {
        let filter = Filter {
            after: req.after,
            subject: events::Subject {
                job: req.job.to_string(),
                task: req.task.to_string(),
                request: req.request.to_string(),
            },
            from: Millis(req.from_ms),
            to: Millis(req.to_ms),
        };
        let events = self.shared.journal.read(&filter);
        pb::TimelineReply { events: events.iter().map(api::convert::event_view).collect() }
    }

    async fn command(&self, key: &str, command: Command) -> pb::ChangeReply {
        match request_key(key) {
            Ok(key) => self.change(Change::Command { key: Some(key), command }).await,
            Err(fault) => fault,
        }
    }

    async fn change(&self, change: Change) -> pb::ChangeReply {
        let (tx, rx) = oneshot::channel();
        if self.core.send(Input::Change { change, tx }).is_err() {
            return change_reply(Outcome::Refused { reason: "the instance is stopping".into() });
        }
        let outcome = ntex::time::timeout(MAX_WAIT, rx).await;
        change_reply(outcome.unwrap_or(Ok(Outcome::Unknown)).unwrap_or(Outcome::Unknown))
    }

    /// Waits until this instance has applied every change that was accepted before the call. Returns
    /// whether it has.
    async fn is_fresh(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        if self.core.send(Input::Read { tx }).is_err() {
            return false;
        }
        matches!(ntex::time::timeout(MAX_WAIT, rx).await, Ok(Ok(true)))
    }

    async fn query<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Core) -> T + Send + 'static,
    ) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        let query = move |core: &Core| {
            // The caller may have disconnected.
            let _ = tx.send(read(core));
        };
        self.core.send(Input::Query(Box::new(query))).ok()?;
        rx.await.ok()
    }
}
