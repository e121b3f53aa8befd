//! `heathvale show`: shows one job and its tasks.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use api::pb::{ShowJobReply, ShowJobRequest, TaskView};
use errors::{Error, Result};

use crate::cli::ShowOpts;
use crate::rpc;

/// The state that an instance reports for a task in a zone that it is not the allocator of.
const ASK_ALLOCATOR: &str = "ask-allocator";

/// Shows a job and the state of each task, as reported by the allocator of the task's zone.
///
/// # Errors
/// [`Error::Refused`] if no instance answers or there is no such job.
pub async fn run(instances: &[SocketAddr], opts: &ShowOpts) -> Result<()> {
    let req = ShowJobRequest { name: opts.name.as_str().into() };
    let mut replies: Vec<ShowJobReply> = Vec::new();
    for addr in instances {
        let call = async |op: api::Operator| op.show_job(&req).send().await.ok().map(|r| r.output);
        replies.extend(rpc::call_one(*addr, call).await);
    }
    let Some(reply) = replies.iter().find(|r| r.found) else {
        let reason = match replies.is_empty() {
            true => "no instance answers".to_string(),
            false => format!("there is no job {}", opts.name),
        };
        return Err(Error::Refused(reason));
    };
    let tasks = merge(&replies);
    let running = tasks.values().filter(|t| t.state == "running").count();
    let (state, finished) = (&reply.summary.state, reply.summary.finished);
    outln!("{} {state}: {running} running, {finished} finished", opts.name);
    for task in tasks.values() {
        let TaskView { index, zone, worker, state, reason } = task;
        let worker = if worker.is_empty() { "-" } else { worker.as_str() };
        outln!("  {index:>5} {zone:<10} {worker:<12} {state} {reason}");
    }
    Ok(())
}

/// Returns each task by its index, preferably as reported by the allocator of its zone.
fn merge(replies: &[ShowJobReply]) -> BTreeMap<u32, TaskView> {
    let mut tasks: BTreeMap<u32, TaskView> = BTreeMap::new();
    for view in replies.iter().flat_map(|r| &r.tasks) {
        let known = tasks.get(&view.index).is_some_and(|t| t.state != ASK_ALLOCATOR);
        if !known {
            tasks.insert(view.index, view.clone());
        }
    }
    tasks
}
