//! The callers of this process that wait for an answer.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use dispatch::{Answer, Call, Verb};
use events::{kinds, log_decision};
use metrics::Registry;
use model::Name;
use tokio::sync::oneshot;

struct Waiter {
    about: Name,
    verb: &'static str,
    since: Millis,
    tx: oneshot::Sender<Answer>,
}

/// Who waits, by the token of the call.
pub(crate) struct Waiters {
    by_token: BTreeMap<u64, Waiter>,
    metrics: Arc<Registry>,
}

impl Waiters {
    pub(crate) fn new(metrics: Arc<Registry>) -> Waiters {
        Waiters { by_token: BTreeMap::new(), metrics }
    }

    pub(crate) fn add(
        &mut self,
        token: u64,
        now: Millis,
        call: &Call,
        tx: oneshot::Sender<Answer>,
    ) {
        let (about, verb) = match call {
            Call::Job { path, verb, .. } | Call::KeyedJob { path, verb, .. } => {
                (path.clone(), verb_name(verb))
            }
            Call::Publish(document) => (Name::from(document.version.to_string()), "publish"),
            Call::Read => (Name::from("configuration"), "read"),
        };
        self.by_token.insert(token, Waiter { about, verb, since: now, tx });
    }

    /// Hands an answer to whoever waits for it.
    pub(crate) fn answer(&mut self, now: Millis, token: u64, answer: Answer) {
        let Some(waiter) = self.by_token.remove(&token) else { return };
        let waited = now.since(waiter.since).0;
        self.metrics.record_ms("heathvale_call_seconds", waited);
        self.metrics.add("heathvale_answers_total", answer_name(&answer), 1);
        let details = |retry_after: &Millis| {
            format!("verb={} waited_ms={waited} retry_after_ms={}", waiter.verb, retry_after.0)
        };
        match &answer {
            Answer::NotDone { retry_after } => {
                log_decision(&kinds::CALL_REFUSED, &waiter.about, &details(retry_after));
            }
            Answer::Unsure { retry_after } => {
                log_decision(&kinds::CALL_UNSURE, &waiter.about, &details(retry_after));
            }
            _ => {}
        }
        // A caller that has left needs no answer.
        let _ = waiter.tx.send(answer);
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
        Answer::Document(_) => "document",
        Answer::NotDone { .. } => "not_done",
        Answer::Unsure { .. } => "unsure",
        Answer::NoKey => "no_key",
    }
}
