//! `heathvale apply`: applies a configuration file.

use std::net::SocketAddr;

use api::pb::ApplyConfigRequest;
use errors::Result;

use crate::cli::ApplyOpts;
use crate::{change, files};

/// Applies a configuration file that was made from the version `--base`.
///
/// # Errors
/// All faults of the file, or a conflict if another configuration was applied since the base version.
pub async fn run(instances: &[SocketAddr], opts: &ApplyOpts) -> Result<()> {
    let text = files::read_text(&opts.file)?;
    model::parse_config(&opts.file, &text)?;
    let req = ApplyConfigRequest {
        request_key: opts.key.clone().unwrap_or_else(change::new_key).into(),
        base_version: opts.base,
        text: text.into(),
    };
    let call = async |op: api::Operator| op.apply_config(&req).send().await.ok().map(|r| r.output);
    let version = change::submit(instances, &opts.file, call).await?;
    outln!("version {version} is accepted");
    Ok(())
}
