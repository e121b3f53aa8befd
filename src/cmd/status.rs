//! `heathvale status`: shows the state and the statistics of each instance.

use std::net::SocketAddr;

use api::pb::{StatusReply, StatusRequest};
use errors::Result;

use crate::cli::StatusOpts;
use crate::rpc;

/// Shows every instance, and prints `unreachable` for one that does not answer.
///
/// # Errors
/// Never fails; an unreachable instance is part of the output.
pub async fn run(instances: &[SocketAddr], opts: &StatusOpts) -> Result<()> {
    let req = StatusRequest::default();
    for addr in instances {
        let call = async |op: api::Operator| op.status(&req).send().await.ok().map(|r| r.output);
        match rpc::call_one(*addr, call).await {
            Some(status) => print(&status, opts.upstreams),
            None => outln!("{addr} unreachable"),
        }
    }
    Ok(())
}

fn print(s: &StatusReply, upstreams: bool) {
    let allocates = if s.holds_epoch { " allocates" } else { "" };
    let config = if s.ready { s.config_version.to_string() } else { "not-ready".to_string() };
    outln!(
        "{} zone {} {} leader {} term {} applied {} config {config} epoch {}{allocates}",
        s.instance,
        s.zone,
        s.role,
        s.leader,
        s.term,
        s.applied,
        s.epoch
    );
    outln!("  members {}", s.members.join(", "));
    for figure in &s.figures {
        outln!("  {} {:.2} {}", figure.name, figure.value, figure.unit);
    }
    for u in s.upstreams.iter().filter(|_| upstreams) {
        outln!(
            "  upstream {} {} in flight {}/{} reserved {}/{} milli-cores {}/{} MB",
            u.name,
            u.state,
            u.in_flight,
            u.share,
            u.reserved.cpu_milli,
            u.capacity.cpu_milli,
            u.reserved.memory_mb,
            u.capacity.memory_mb
        );
    }
}
