//! `heathvale member`: changes a member's role.

use std::net::SocketAddr;

use api::pb::ReplaceMemberRequest;
use errors::Result;

use crate::change;
use crate::cli::MemberOpts;

/// Changes the role of a member of the replicated log.
///
/// # Errors
/// [`errors::Error::Refused`] if the change was not accepted.
pub async fn run(instances: &[SocketAddr], opts: &MemberOpts) -> Result<()> {
    let req = ReplaceMemberRequest {
        request_key: change::new_key().into(),
        instance: opts.instance.as_str().into(),
        role: opts.role.as_str().into(),
    };
    let call =
        async |op: api::Operator| op.replace_member(&req).send().await.ok().map(|r| r.output);
    change::submit(instances, &opts.instance, call).await?;
    outln!("{} becomes {}", opts.instance, opts.role);
    Ok(())
}
