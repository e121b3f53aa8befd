//! The command line's flags and subcommands.

use std::net::SocketAddr;
use std::process::ExitCode;

use errors::{Finding, Findings, Place};
use gumdrop::Options;

/// The variable that lists the instances.
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
    /// What to do.
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
    #[options(help = "print the configuration in force on one instance, and its version")]
    Config(ConfigOpts),
    /// Apply a configuration.
    #[options(help = "apply a configuration file, if nothing came between")]
    Apply(ApplyOpts),
    /// Drain something.
    #[options(help = "take an instance or upstream out of use, or back in")]
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
    /// Drive load.
    #[options(help = "send a bounded load of callers' requests and print histograms")]
    Load(LoadOpts),
}

/// Flags of `create`.
#[derive(Clone, Debug, Options)]
pub struct CreateOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// The file.
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
    /// Whether the answer must hold every accepted change.
    #[options(help = "only an answer that holds every change accepted before")]
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
    /// The file.
    #[options(free, required, help = "the configuration file")]
    pub file: String,
    /// The version it was made from.
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
    /// What to drain.
    #[options(free, required, help = "the instance or upstream")]
    pub target: String,
    /// Take it back in.
    #[options(help = "take it back in")]
    pub back: bool,
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
    /// Show upstreams too.
    #[options(help = "show each upstream, too")]
    pub upstreams: bool,
}

/// Flags of `timeline`.
#[derive(Clone, Debug, Options)]
pub struct TimelineOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// A task.
    #[options(help = "only events about this task (job/number)")]
    pub task: Option<String>,
    /// A job.
    #[options(help = "only events about this job")]
    pub job: Option<String>,
    /// A request.
    #[options(help = "only events about this request id")]
    pub request: Option<String>,
    /// An instance.
    #[options(no_short, help = "only events that this instance noted")]
    pub on: Option<String>,
    /// From when.
    #[options(no_short, help = "only events from this time on, in ms since 1970")]
    pub from: u64,
    /// Until when.
    #[options(no_short, help = "only events up to this time, in ms since 1970")]
    pub to: u64,
    /// Log files.
    #[options(
        no_short,
        meta = "LIST",
        help = "log files of processes, separated by commas, to read in place of asking instances"
    )]
    pub logs: Option<String>,
}

/// Flags of `load`.
#[derive(Clone, Debug, Options)]
pub struct LoadOpts {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// Callers' addresses.
    #[options(required, help = "callers' addresses ip:port, separated by commas")]
    pub to: String,
    /// Requests a second.
    #[options(default = "100", help = "requests a second (at most 5000)")]
    pub rate: u64,
    /// How long.
    #[options(default = "5", help = "for how many seconds (at most 600)")]
    pub seconds: u64,
    /// The mix.
    #[options(
        no_short,
        default = "urgent=50,normal=30,bulk=20",
        help = "the classes and their weights"
    )]
    pub mix: String,
    /// Not repeatable requests.
    #[options(no_short, default = "0", help = "percent of requests that are not repeatable")]
    pub once_percent: u32,
    /// Work of a request.
    #[options(no_short, default = "5", help = "how long the stand-in works on a request, in ms")]
    pub work_ms: u64,
    /// Deadline of a request.
    #[options(no_short, default = "2000", help = "how long a request waits for its answer, in ms")]
    pub deadline_ms: u64,
    /// The seed.
    #[options(default = "1", help = "seeds the order and classes")]
    pub seed: u64,
    /// A file for each answer.
    #[options(no_short, help = "a file to write each answer to, as JSON lines")]
    pub answers: Option<String>,
}

impl Cli {
    /// Gives the instances to call.
    ///
    /// # Errors
    /// Gives every address that is none.
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

/// Reads addresses separated by commas.
///
/// # Errors
/// Gives every address that is none.
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

/// Prints the help of the subcommand at hand, or of all.
pub fn print_help(cli: &Cli) -> ExitCode {
    match cli.command.as_ref().and_then(|c| c.command_name().map(|n| (c, n))) {
        Some((command, name)) => {
            say!("Usage: heathvale {name} [FLAGS]\n\n{}", command.self_usage());
        }
        None => {
            say!("Usage: heathvale [FLAGS] COMMAND\n\n{}", Cli::usage());
            say!("\nCommands:\n{}", Command::usage());
        }
    }
    ExitCode::SUCCESS
}
