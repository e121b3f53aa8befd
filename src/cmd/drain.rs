//! `heathvale drain`: takes an instance, an upstream or an availability zone out of use, or back into use.

use std::net::SocketAddr;

use api::pb::DrainRequest;
use errors::{Finding, Findings, Place, Result};

use crate::change;
use crate::cli::DrainOpts;

/// Takes the target out of use, or back into use.
///
/// # Errors
/// [`errors::Error::Refused`] if the change was not accepted, [`errors::Error::Findings`] unless the flags name either
/// one target or one zone.
pub async fn run(instances: &[SocketAddr], opts: &DrainOpts) -> Result<()> {
    let back = opts.back || opts.restore;
    let mut req = DrainRequest {
        request_key: change::new_key().into(),
        on: !back,
        ..DrainRequest::default()
    };
    let what = match (&opts.target, &opts.zone) {
        (Some(target), None) => {
            req.target = target.as_str().into();
            target.clone()
        }
        (None, Some(zone)) if !zone.is_empty() => {
            req.zone = zone.as_str().into();
            format!("zone {zone}")
        }
        _ => return Err(neither_or_both().into()),
    };
    let call = async |op: api::Operator| op.drain(&req).send().await.ok().map(|r| r.output);
    let version = change::submit(instances, &what, call).await?;
    let state = if back { "in use" } else { "out of use" };
    outln!("{what} is {state} at version {version}");
    Ok(())
}

fn neither_or_both() -> Findings {
    let mut findings = Findings::default();
    let message = "name one instance or upstream, or a zone with --zone NAME".to_string();
    findings.push(Finding::new(Place::Flag("zone".into()), message));
    findings
}
