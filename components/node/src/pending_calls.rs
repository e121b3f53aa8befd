//! The calls whose callers wait at this process for an answer.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use dispatch::{Answer, Call, Verb};
use events::{kinds, log_decision};
use metrics::Registry;
use model::Name;
use tokio::sync::oneshot;

struct PendingCall {
    subject: Name,
    verb: &'static str,
    received_at: Millis,
    tx: oneshot::Sender<Answer>,
}

/// The calls that await their answers, by token.
pub(crate) struct PendingCalls {
    by_token: BTreeMap<u64, PendingCall>,
    metrics: Arc<Registry>,
}

impl PendingCalls {
    pub(crate) fn new(metrics: Arc<Registry>) -> PendingCalls {
        PendingCalls { by_token: BTreeMap::new(), metrics }
    }

    pub(crate) fn add(
        &mut self,
        token: u64,
        now: Millis,
        call: &Call,
        tx: oneshot::Sender<Answer>,
    ) {
        let verb = match call {
            Call::Job { verb, .. } | Call::KeyedJob { verb, .. } => verb_name(verb),
            Call::Publish(_) => "publish",
            Call::Read => "read",
            Call::DrainZone { drained: true, .. } => "drain_zone",
            Call::DrainZone { drained: false, .. } => "restore_zone",
        };
        let subject = call.subject();
        self.by_token.insert(token, PendingCall { subject, verb, received_at: now, tx });
    }

    /// Records metrics and log lines for an answer, and returns it to the waiting caller.
    pub(crate) fn answer(&mut self, now: Millis, token: u64, answer: Answer) {
        let Some(pending) = self.by_token.remove(&token) else { return };
        let waited = now.since(pending.received_at).0;
        self.metrics.record_ms("heathvale_call_seconds", waited);
        self.metrics.add("heathvale_answers_total", answer_name(&answer), 1);
        let details = |retry_after: &Millis| {
            format!("verb={} waited_ms={waited} retry_after_ms={}", pending.verb, retry_after.0)
        };
        match &answer {
            Answer::NotDone { retry_after } => {
                log_decision(&kinds::CALL_REFUSED, &pending.subject, &details(retry_after));
            }
            Answer::Unsure { retry_after } => {
                log_decision(&kinds::CALL_UNSURE, &pending.subject, &details(retry_after));
            }
            _ => {}
        }
        // The caller may have disconnected.
        let _ = pending.tx.send(answer);
    }
}

fn verb_name(verb: &Verb) -> &'static str {
    match verb {
        Verb::Submit(_) => "submit",
        Verb::Query => "look",
        Verb::Cancel => "cancel",
    }
}

fn answer_name(answer: &Answer) -> &'static str {
    match answer {
        Answer::Accepted => "accepted",
        Answer::State(_) => "state",
        Answer::Pending(_) => "pending",
        Answer::Cancelled => "cancelled",
        Answer::NoJob => "no_job",
        Answer::NoQueue => "no_queue",
        Answer::Invalid(_) => "invalid",
        Answer::TooLarge => "too_large",
        Answer::Published => "published",
        Answer::ZoneUpdated => "zone_updated",
        Answer::Document(_) => "document",
        Answer::NotDone { .. } => "not_done",
        Answer::Unsure { .. } => "unsure",
        Answer::NoKey => "no_key",
    }
}
