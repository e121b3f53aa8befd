//! `heathvale list`: lists jobs.

use std::net::SocketAddr;

use api::pb::{Kind, ListJobsRequest};
use errors::{Error, Result};

use crate::cli::ListOpts;
use crate::rpc;

/// Lists all jobs known to the first instance that answers.
///
/// # Errors
/// [`Error::Unreachable`] if no instance answers, or [`Error::Refused`] if `--fresh` is given and no leader
/// confirmed the answer.
pub async fn run(instances: &[SocketAddr], opts: &ListOpts) -> Result<()> {
    let req = ListJobsRequest { fresh: opts.fresh };
    let call = async |op: api::Operator| op.list_jobs(&req).send().await.ok().map(|r| r.output);
    let reply = rpc::call_first(instances, call).await?;
    if opts.fresh && !reply.fresh {
        return Err(Error::Refused("no leader could confirm that the answer is fresh".into()));
    }
    outln!("{:<24} {:<8} {:>6} {:>9} {:<10} reason", "job", "kind", "tasks", "finished", "state");
    for job in &reply.jobs {
        let kind = match job.job.kind {
            Kind::Service => "service",
            Kind::Batch => "batch",
            Kind::Gang => "gang",
        };
        let (name, tasks) = (&job.job.name, job.job.tasks);
        let (finished, state) = (job.finished, &job.state);
        outln!("{name:<24} {kind:<8} {tasks:>6} {finished:>9} {state:<10} {}", job.reason);
    }
    Ok(())
}
