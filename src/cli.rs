//! The flags and subcommands of the command line.

use std::net::SocketAddr;
use std::process::ExitCode;

use errors::{Finding, Findings, Place};
use gumdrop::Options;

/// The environment variable that lists the instances.
const INSTANCES_VARIABLE: &str = "HEATHVALE_INSTANCES";

/// Operates a heathvale cell.
#[derive(Clone, Debug, Options)]
pub struct Cli {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// Print the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// The instances' operator addresses.
    #[options(
        meta = "LIST",
        help = "operator addresses ip:port, separated by commas (or HEATHVALE_INSTANCES)"
    )]
    instances: Option<String>,
    /// The subcommand.
    #[options(command)]
    pub command: Option<Command>,
}

/// The subcommands.
#[derive(Clone, Debug, Options)]
pub enum Command {
    /// Create jobs.
    #[options(help = "create the services, batch jobs and gang jobs of a file")]
    Create(CreateOpts),
    /// List jobs.
    #[options(help = "list all jobs")]
    List(ListOpts),
    /// Show a job.
    #[options(help = "show one job and its tasks")]
    Show(ShowOpts),
    /// Cancel jobs.
    #[options(help = "cancel jobs")]
    Cancel(CancelOpts),
    /// Read the configuration.
    #[options(help = "print the active configuration of one instance, and its version")]
    Config(ConfigOpts),
    /// Apply a configuration.
    #[options(
        help = "apply a configuration file, unless another one was applied since its base version"
    )]
    Apply(ApplyOpts),
    /// Drain an instance, an upstream or an availability zone.
    #[options(help = "take an instance, upstream or zone out of use, or back into use")]
    Drain(DrainOpts),
    /// Change a member's role.
    #[options(help = "change a member's role in the replicated log")]
    Member(MemberOpts),
    /// Show status.
    #[options(help = "show instances, roles, epochs, upstreams, queues and figures")]
    Status(StatusOpts),
    /// Show the time line.
    #[options(help = "show the events of all instances, merged in causal order")]
    Timeline(TimelineOpts),
    /// Send load.
    #[options(help = "send a bounded load of callers' requests and print histograms")]
    Load(LoadOpts),
}

/// Flags of `create`.
#[derive(Clone, Debug, Options)]
pub struct CreateOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// The job file.
    #[options(free, required, help = "the job file")]
    pub file: String,
    /// The request key.
    #[options(no_short, help = "the request key, to resend a call whose answer was lost")]
    pub key: Option<String>,
}

/// Flags of `list`.
#[derive(Clone, Debug, Options)]
pub struct ListOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// Whether the answer must include every change that was accepted before the call.
    #[options(help = "only an answer that includes every change accepted before")]
    pub fresh: bool,
}

/// Flags of `show`.
#[derive(Clone, Debug, Options)]
pub struct ShowOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// The job.
    #[options(free, required, help = "the job's name")]
    pub name: String,
}

/// Flags of `cancel`.
#[derive(Clone, Debug, Options)]
pub struct CancelOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// The jobs.
    #[options(free, help = "the jobs' names")]
    pub names: Vec<String>,
}

/// Flags of `config`.
#[derive(Clone, Debug, Options)]
pub struct ConfigOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
}

/// Flags of `apply`.
#[derive(Clone, Debug, Options)]
pub struct ApplyOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// The configuration file.
    #[options(free, required, help = "the configuration file")]
    pub file: String,
    /// The version of the configuration that the file was made from.
    #[options(help = "the version that the file was made from, as `config` prints it")]
    pub base: u64,
    /// The request key.
    #[options(no_short, help = "the request key, to resend a call whose answer was lost")]
    pub key: Option<String>,
}

/// Flags of `drain`.
#[derive(Clone, Debug, Options)]
pub struct DrainOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// The instance or upstream to drain.
    #[options(free, help = "the instance or upstream")]
    pub target: Option<String>,
    /// The availability zone to drain, in place of an instance or upstream.
    #[options(
        no_short,
        meta = "NAME",
        help = "an availability zone: nothing new is placed in it, running work continues"
    )]
    pub zone: Option<String>,
    /// Whether to take the target back into use.
    #[options(help = "take it back into use")]
    pub back: bool,
    /// Whether to take the target back into use; the same as `back`.
    #[options(no_short, help = "the same as --back")]
    pub restore: bool,
}

/// Flags of `member`.
#[derive(Clone, Debug, Options)]
pub struct MemberOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// The instance.
    #[options(free, required, help = "the instance")]
    pub instance: String,
    /// The role.
    #[options(free, required, help = "voter, learner or removed")]
    pub role: String,
}

/// Flags of `status`.
#[derive(Clone, Debug, Options)]
pub struct StatusOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// Whether to show each upstream as well.
    #[options(help = "show each upstream as well")]
    pub upstreams: bool,
}

/// Flags of `timeline`.
#[derive(Clone, Debug, Options)]
pub struct TimelineOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// The task that the events must be about.
    #[options(help = "only events about this task (job/number)")]
    pub task: Option<String>,
    /// The job that the events must be about.
    #[options(help = "only events about this job")]
    pub job: Option<String>,
    /// The id of the request that the events must be about.
    #[options(help = "only events about this request id")]
    pub request: Option<String>,
    /// The instance that must have recorded the events.
    #[options(no_short, help = "only events that this instance recorded")]
    pub on: Option<String>,
    /// The wall time of the earliest event, in milliseconds since 1970.
    #[options(no_short, help = "only events from this time on, in ms since 1970")]
    pub from: u64,
    /// The wall time of the latest event, in milliseconds since 1970; zero for no limit.
    #[options(no_short, help = "only events up to this time, in ms since 1970")]
    pub to: u64,
    /// The log files to read.
    #[options(
        no_short,
        meta = "LIST",
        help = "log files of processes, separated by commas, to read instead of calling instances"
    )]
    pub logs: Option<String>,
}

/// Flags of `load`.
#[derive(Clone, Debug, Options)]
pub struct LoadOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// The addresses that callers connect to.
    #[options(required, help = "callers' addresses ip:port, separated by commas")]
    pub to: String,
    /// The number of requests per second.
    #[options(default = "100", help = "requests per second (at most 5000)")]
    pub rate: u64,
    /// For how many seconds requests are sent.
    #[options(default = "5", help = "for how many seconds (at most 600)")]
    pub seconds: u64,
    /// The classes of requests and their weights.
    #[options(
        no_short,
        default = "urgent=50,normal=30,bulk=20",
        help = "the classes and their weights"
    )]
    pub mix: String,
    /// The percentage of requests that are not repeatable.
    #[options(no_short, default = "0", help = "percent of requests that are not repeatable")]
    pub once_percent: u32,
    /// How long the upstream works on a request, in milliseconds.
    #[options(
        no_short,
        default = "5",
        help = "how long the test upstream works on a request, in ms"
    )]
    pub work_ms: u64,
    /// How long a request waits for its answer, in milliseconds.
    #[options(no_short, default = "2000", help = "how long a request waits for its answer, in ms")]
    pub deadline_ms: u64,
    /// The seed of the random choices.
    #[options(default = "1", help = "seed of the random targets and classes")]
    pub seed: u64,
    /// The file to write each answer to.
    #[options(no_short, help = "a file to write each answer to, as JSON lines")]
    pub answers: Option<String>,
}

impl Cli {
    /// Returns the addresses of the instances to call.
    ///
    /// # Errors
    /// Returns a finding for each part that is not an address.
    pub fn instances(&self) -> Result<Vec<SocketAddr>, Findings> {
        let (text, place) = match &self.instances {
            Some(text) => (text.clone(), Place::Flag("instances".into())),
            None => {
                let text = std::env::var(INSTANCES_VARIABLE).unwrap_or_default();
                (text, Place::Variable(INSTANCES_VARIABLE.into()))
            }
        };
        parse_addresses(&text, &place)
    }
}

/// Parses a list of addresses separated by commas.
///
/// # Errors
/// Returns a finding for each part that is not an address.
pub fn parse_addresses(text: &str, place: &Place) -> Result<Vec<SocketAddr>, Findings> {
    let mut findings = Findings::default();
    let mut addresses = Vec::new();
    for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
        match part.parse() {
            Ok(addr) => addresses.push(addr),
            Err(_) => {
                let message = format!("\"{part}\" is not an ip:port");
                findings.push(Finding::new(place.clone(), message));
            }
        }
    }
    findings.into_result(addresses)
}

/// Prints the help of the given subcommand, or of the whole tool if there is none.
pub fn print_help(cli: &Cli) -> ExitCode {
    match cli.command.as_ref().and_then(|c| c.command_name().map(|n| (c, n))) {
        Some((command, name)) => {
            outln!("Usage: heathvale {name} [FLAGS]\n\n{}", command.self_usage());
        }
        None => {
            outln!("Usage: heathvale [FLAGS] COMMAND\n\n{}", Cli::usage());
            outln!("\nCommands:\n{}", Command::usage());
        }
    }
    ExitCode::SUCCESS
}
