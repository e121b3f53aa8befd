//! The HTTP headers between callers, instances and upstreams.

/// The request's id. An answer repeats the id of the request it answers.
pub const REQUEST: &str = "x-heathvale-request";
/// The caller's own id of a request, told to upstreams for their records.
pub const CALLER: &str = "x-heathvale-caller";
/// The caller's key of a not repeatable request.
pub const KEY: &str = "x-heathvale-key";
/// When the caller made the key, in milliseconds since 1970.
pub const KEY_ISSUED_AT: &str = "x-heathvale-issued-ms";
/// The request's class: urgent, normal or bulk.
pub const CLASS: &str = "x-heathvale-class";
/// How many milliseconds the caller waits for the answer.
pub const DEADLINE: &str = "x-heathvale-deadline-ms";
/// Whether the request may be run more than once: yes or no.
pub const REPEATABLE: &str = "x-heathvale-repeatable";
/// How an upstream's answer is long in bytes, so that a cut answer is seen.
pub const BODY_LENGTH: &str = "x-heathvale-length";
/// Set by an upstream that did not run the request.
pub const NOT_RUN: &str = "x-heathvale-not-run";
/// Set by an upstream that is about to leave.
pub const LEAVING: &str = "x-heathvale-leaving";
/// How many requests an upstream has under way, over all instances.
pub const LOAD: &str = "x-heathvale-load";
/// What became of a caller's request: done, refused, failed or may-have-run.
pub const OUTCOME: &str = "x-heathvale-outcome";
/// Why it was refused.
pub const REASON: &str = "x-heathvale-reason";
/// When to come back, in milliseconds; Retry-After says the same in whole seconds.
pub const RETRY_AFTER_MS: &str = "x-heathvale-retry-after-ms";
/// The zone that passed the request on; it is not passed on again.
pub const FORWARDED_BY: &str = "x-heathvale-passed-on";
/// How long the stand-in of an upstream works on a request, in milliseconds.
pub const WORK_TIME: &str = "x-heathvale-work-ms";
