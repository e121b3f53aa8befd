//! Calls to the instances of a cell.

use std::net::SocketAddr;

use api::Operator;
use errors::{Error, Result};
use ntex::time::Millis as Wait;

/// The longest that a call to one instance may take, including the connection.
pub const CALL_TIMEOUT: Wait = Wait(8_000);

/// Tries the instances one after the other and returns the first answer.
///
/// # Errors
/// [`Error::Unreachable`] with the addresses of all instances if none of them answers.
pub async fn call_first<T>(
    instances: &[SocketAddr],
    call: impl AsyncFn(Operator) -> Option<T>,
) -> Result<T> {
    for addr in instances {
        if let Some(answer) = call_one(*addr, &call).await {
            return Ok(answer);
        }
    }
    Err(Error::Unreachable {
        target: names(instances),
        reason: "no instance answers; give them with --instances or HEATHVALE_INSTANCES".into(),
    })
}

/// Calls one instance and returns its answer, or `None` if the call fails or times out.
pub async fn call_one<T>(addr: SocketAddr, call: impl AsyncFn(Operator) -> Option<T>) -> Option<T> {
    let attempt = async {
        let operator = api::connect(addr).await.ok()?;
        call(operator).await
    };
    ntex::time::timeout(CALL_TIMEOUT, attempt).await.ok().flatten()
}

fn names(instances: &[SocketAddr]) -> String {
    match instances {
        [] => "any instance".to_string(),
        list => list.iter().map(ToString::to_string).collect::<Vec<_>>().join(", "),
    }
}
