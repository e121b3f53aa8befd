//! Checks the flags of a load.

use std::net::SocketAddr;

use errors::{Finding, Findings, Place};
use model::Class;

use crate::cli::{LoadOpts, parse_addresses};

/// The largest allowed number of requests per second.
const MAX_RATE: u64 = 5_000;
/// The longest allowed duration of a load in seconds.
const MAX_SECONDS: u64 = 600;

/// The targets and the mix of a load, as checked.
pub(super) struct LoadPlan {
    /// The addresses that requests are sent to.
    pub(super) targets: Vec<SocketAddr>,
    /// The classes of requests and their weights.
    pub(super) mix: Vec<(Class, u32)>,
}

/// Checks the flags and returns the plan of the load.
///
/// # Errors
/// Returns all faults of the flags together.
pub(super) fn check_flags(opts: &LoadOpts) -> Result<LoadPlan, Findings> {
    let mut findings = Findings::default();
    let flag = |name: &str| Place::Flag(name.into());
    let targets = parse_addresses(&opts.to, &flag("to")).unwrap_or_else(|f| {
        findings.list.extend(f.list);
        Vec::new()
    });
    if targets.is_empty() {
        findings.push(Finding::new(flag("to"), "contains no address"));
    }
    if targets.iter().any(|a| !a.ip().is_loopback()) {
        findings.push(Finding::new(flag("to"), "must contain only loopback addresses"));
    }
    if opts.rate == 0 || opts.rate > MAX_RATE {
        let message = format!("must lie between 1 and {MAX_RATE}");
        findings.push(Finding::new(flag("rate"), message));
    }
    if opts.seconds == 0 || opts.seconds > MAX_SECONDS {
        let message = format!("must lie between 1 and {MAX_SECONDS}");
        findings.push(Finding::new(flag("seconds"), message));
    }
    if opts.once_percent > 100 {
        findings.push(Finding::new(flag("once-percent"), "must lie between 0 and 100"));
    }
    let mut mix = Vec::new();
    for part in opts.mix.split(',') {
        let parsed = part
            .split_once('=')
            .and_then(|(c, w)| Some((Class::parse(c.trim())?, w.trim().parse::<u32>().ok()?)));
        match parsed {
            Some(entry) => mix.push(entry),
            None => findings
                .push(Finding::new(flag("mix"), format!("\"{part}\" is not a class=weight pair"))),
        }
    }
    if mix.iter().map(|m| u64::from(m.1)).sum::<u64>() == 0 {
        findings.push(Finding::new(flag("mix"), "all weights are zero"));
    }
    findings.into_result(LoadPlan { targets, mix })
}
