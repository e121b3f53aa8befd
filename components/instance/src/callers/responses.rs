//! HTTP responses to callers.

use model::{Answer, Refusal};
use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use upstream::headers;

use super::incoming::MAX_ID_BYTES;

/// Builds the response to a request.
pub(super) fn respond(id: &str, answer: Answer) -> HttpResponse {
    let (status, outcome) = match &answer {
        Answer::Done(_) => (StatusCode::OK, "done"),
        Answer::Failed(_) => (StatusCode::BAD_GATEWAY, "failed"),
        Answer::MayHaveRun(_) => (StatusCode::GATEWAY_TIMEOUT, "may-have-run"),
        Answer::Refused { reason: Refusal::Malformed, .. } => (StatusCode::BAD_REQUEST, "refused"),
        Answer::Refused { .. } => (StatusCode::SERVICE_UNAVAILABLE, "refused"),
    };
    let mut response = HttpResponse::build(status);
    response.header(headers::OUTCOME, outcome).header(headers::REQUEST, id);
    let body = match answer {
        Answer::Done(body) => body,
        Answer::Failed(reason) | Answer::MayHaveRun(reason) => reason.as_bytes().to_vec(),
        Answer::Refused { reason, retry_after } => {
            response.header(headers::REASON, reason.as_str());
            response.header(headers::RETRY_AFTER_MS, retry_after.0.to_string());
            response.header("retry-after", retry_after.0.div_ceil(1_000).to_string());
            reason.as_str().as_bytes().to_vec()
        }
    };
    response.header(headers::BODY_LENGTH, body.len().to_string()).body(body)
}

/// Builds the response to a malformed request; `fault` is a message for its caller.
pub(super) fn malformed(id: &str, fault: &str) -> HttpResponse {
    let mut response = HttpResponse::build(StatusCode::BAD_REQUEST);
    response.header(headers::OUTCOME, "refused");
    response.header(headers::REASON, Refusal::Malformed.as_str());
    if !id.is_empty() && id.len() <= MAX_ID_BYTES {
        response.header(headers::REQUEST, id);
    }
    response.header(headers::BODY_LENGTH, fault.len().to_string()).body(fault.to_string())
}
