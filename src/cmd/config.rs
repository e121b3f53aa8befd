//! `heathvale config`: prints the active configuration.

use std::net::SocketAddr;

use api::pb::ReadConfigRequest;
use errors::Result;

use crate::cli::ConfigOpts;
use crate::rpc;

/// Prints the active configuration of the first instance that knows it. Its version stands before it in a
/// comment; `apply --base` takes that number.
///
/// # Errors
/// [`errors::Error::Unreachable`] if no instance answers.
pub async fn run(instances: &[SocketAddr], _opts: &ConfigOpts) -> Result<()> {
    let req = ReadConfigRequest::default();
    let call = async |op: api::Operator| {
        op.read_config(&req).send().await.ok().map(|r| r.output).filter(|c| c.known)
    };
    let config = rpc::call_first(instances, call).await?;
    outln!("# version {}", config.version);
    outln!("{}", config.text.trim_end());
    Ok(())
}
