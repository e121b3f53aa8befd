//! `heathvale cancel`: cancels jobs.

use std::net::SocketAddr;

use api::pb::CancelJobRequest;
use errors::Result;

use crate::change;
use crate::cli::CancelOpts;

/// Cancels jobs by name.
///
/// # Errors
/// The reason why the first of the jobs that failed could not be cancelled; the jobs after it are not tried.
pub async fn run(instances: &[SocketAddr], opts: &CancelOpts) -> Result<()> {
    for name in &opts.names {
        let req =
            CancelJobRequest { request_key: change::new_key().into(), name: name.as_str().into() };
        let call =
            async |op: api::Operator| op.cancel_job(&req).send().await.ok().map(|r| r.output);
        let version = change::submit(instances, name, call).await?;
        outln!("cancelled {name} at version {version}");
    }
    Ok(())
}
