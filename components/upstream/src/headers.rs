//! The HTTP headers that callers, instances and upstreams exchange.

/// The request's id. A response carries the id of its request.
pub const REQUEST: &str = "x-heathvale-request";
/// The caller's own id of a request, passed to upstreams for their records.
pub const CALLER: &str = "x-heathvale-caller";
/// The caller's key of a request that is not repeatable.
pub const KEY: &str = "x-heathvale-key";
/// When the caller created the key, in milliseconds since the Unix epoch.
pub const KEY_ISSUED_AT: &str = "x-heathvale-issued-ms";
/// The request's work class: urgent, normal or bulk.
pub const CLASS: &str = "x-heathvale-class";
/// How long the caller waits for the response, in milliseconds.
pub const DEADLINE: &str = "x-heathvale-deadline-ms";
/// Whether the request may be run more than once: yes or no.
pub const REPEATABLE: &str = "x-heathvale-repeatable";
/// The length of an upstream's response body in bytes, so that a truncated response is detected.
pub const BODY_LENGTH: &str = "x-heathvale-length";
/// Set by an upstream that did not run the request.
pub const NOT_RUN: &str = "x-heathvale-not-run";
/// Set by an upstream that is about to shut down.
pub const LEAVING: &str = "x-heathvale-leaving";
/// The number of requests in flight at an upstream, from all instances.
pub const LOAD: &str = "x-heathvale-load";
/// The outcome of a caller's request: done, refused, failed or may-have-run.
pub const OUTCOME: &str = "x-heathvale-outcome";
/// The reason for which the request was refused.
pub const REASON: &str = "x-heathvale-reason";
/// After how many milliseconds to retry. Retry-After holds the same in whole seconds.
pub const RETRY_AFTER_MS: &str = "x-heathvale-retry-after-ms";
/// The zone that forwarded the request. A forwarded request is not forwarded again.
pub const FORWARDED_BY: &str = "x-heathvale-passed-on";
/// How long a test upstream works on a request, in milliseconds.
pub const WORK_TIME: &str = "x-heathvale-work-ms";
