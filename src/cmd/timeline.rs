//! `heathvale timeline`: the events of all instances in causal order.

use std::net::SocketAddr;

use api::pb::{EventView, TimelineRequest};
use errors::Result;

use crate::cli::TimelineOpts;
use crate::cmd::reach;

/// Merges the events of all instances. Instances that cannot be reached are named, because their
/// events are missing.
///
/// # Errors
/// None so far; an unreachable instance is part of the answer.
pub async fn run(instances: &[SocketAddr], opts: &TimelineOpts) -> Result<()> {
    let text = |o: &Option<String>| o.clone().unwrap_or_default().into();
    let req = TimelineRequest {
        after: 0,
        task: text(&opts.task),
        job: text(&opts.job),
        request: text(&opts.request),
        from_ms: opts.from,
        to_ms: opts.to,
    };
    let mut events: Vec<EventView> = Vec::new();
    let mut missing = Vec::new();
    for addr in instances {
        let call = async |op: api::Operator| op.timeline(&req).send().await.ok().map(|r| r.output);
        match reach::one(*addr, call).await {
            Some(reply) => events.extend(reply.events),
            None => missing.push(*addr),
        }
    }
    let on = opts.on.as_deref();
    events.retain(|e| on.is_none_or(|name| e.instance == name));
    events.sort_by(|a, b| (a.order, &a.instance).cmp(&(b.order, &b.instance)));
    // Other instances of a zone keep copies of each event.
    events.dedup_by(|a, b| a.order == b.order && a.instance == b.instance);
    events.iter().for_each(print);
    for addr in missing {
        say!("{addr} unreachable: its events are missing");
    }
    Ok(())
}

fn print(e: &EventView) {
    let subject = [("job", &e.job), ("task", &e.task), ("request", &e.request)];
    let about: String = subject
        .iter()
        .filter(|(_, value)| !value.is_empty())
        .map(|(name, value)| format!(" {name}={value}"))
        .collect();
    say!("{} {:<6} E{} {}: {}{about}", e.wall_ms, e.instance, e.number, e.name, e.text);
}
