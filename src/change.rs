//! Submits one change and resends it under the same request key until its outcome is known.

use std::net::SocketAddr;

use api::Operator;
use api::pb::{ChangeReply, Outcome};
use errors::{Error, Result};
use ntex::time::{Millis as Wait, sleep};
use rand::Rng;

use crate::rpc;

/// How often a change is sent before its outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 10;
/// The pause between two attempts.
const RETRY_INTERVAL: Wait = Wait(500);

/// Returns a new random request key.
pub fn new_key() -> String {
    format!("{}-{:016x}", clock::wall_now().0, rand::rng().random::<u64>())
}

/// Sends a change until it is accepted or known to have been rejected, and returns its version. `call` sends
/// it under the same key each time, so that a change whose answer was lost is not applied twice.
///
/// # Errors
/// [`Error::Refused`] with the reason why the change was not accepted, or with the last failure if its
/// outcome is still unknown after [`MAX_ATTEMPTS`] attempts.
pub async fn submit(
    instances: &[SocketAddr],
    what: &str,
    call: impl AsyncFn(Operator) -> Option<ChangeReply>,
) -> Result<u64> {
    let mut last_failure = String::from("no instance answers");
    for _ in 0..MAX_ATTEMPTS {
        match rpc::call_first(instances, &call).await {
            Ok(reply) => match reply.outcome {
                Outcome::Accepted => return Ok(reply.version),
                Outcome::Conflict => {
                    let version = reply.version;
                    let reason = match version {
                        // The conflict is with no version, for example because a name is not known.
                        0 => format!("{what}: {}", reply.reason),
                        _ => format!("{what}: {} (version {version})", reply.reason),
                    };
                    return Err(Error::Refused(reason));
                }
                Outcome::Invalid => {
                    return Err(Error::Refused(format!("{what}: {}", reply.reason)));
                }
                Outcome::Refused | Outcome::Unknown => last_failure = reply.reason.to_string(),
            },
            Err(e) => last_failure = e.to_string(),
        }
        sleep(RETRY_INTERVAL).await;
    }
    Err(Error::Refused(format!(
        "{what}: the outcome is unknown after {MAX_ATTEMPTS} attempts; the last failure: {last_failure}"
    )))
}
