//! `heathvale drain`: takes an instance or upstream out of use, or back into use.

use std::net::SocketAddr;

use api::pb::DrainRequest;
use errors::Result;

use crate::change;
use crate::cli::DrainOpts;

/// Takes the target out of use, or back into use.
///
/// # Errors
/// [`errors::Error::Refused`] if the change was not accepted.
pub async fn run(instances: &[SocketAddr], opts: &DrainOpts) -> Result<()> {
    let req = DrainRequest {
        request_key: change::new_key().into(),
        target: opts.target.as_str().into(),
        on: !opts.back,
    };
    let call = async |op: api::Operator| op.drain(&req).send().await.ok().map(|r| r.output);
    let version = change::submit(instances, &opts.target, call).await?;
    let state = if opts.back { "in use" } else { "out of use" };
    outln!("{} is {state} at version {version}", opts.target);
    Ok(())
}
