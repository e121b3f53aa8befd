//! The flags of `heathvaled`.

use gumdrop::Options;

/// Runs one instance of heathvale. Every flag can also be given as an environment variable:
/// HEATHVALE_ and its name in capitals, with _ for -.
#[derive(Clone, Debug, Default, Options)]
pub struct Flags {
    /// Print this help.
    #[options(no_short, help = "print this help")]
    pub help: bool,
    /// Print the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// The instance's name.
    #[options(no_short, meta = "NAME", help = "this instance's name, one of --peers (required)")]
    pub name: Option<String>,
    /// All instances of the cell, with their zones and addresses.
    #[options(
        no_short,
        meta = "LIST",
        help = "all instances, including this one, as name=zone@ip:port/ip:port with the addresses for \
                instances and callers, +disk after those with a data folder, separated by commas \
                (required)"
    )]
    pub peers: Option<String>,
    /// The address that operators call.
    #[options(no_short, meta = "IP:PORT", help = "address that operators call (required)")]
    pub operators: Option<String>,
    /// The address at which the platform serves its list of workers.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address at which the platform serves its list of workers (required)"
    )]
    pub platform: Option<String>,
    /// The data folder.
    #[options(
        no_short,
        meta = "PATH",
        help = "the data folder; required if --peers marks this instance with +disk, else not allowed"
    )]
    pub data_folder: Option<String>,
    /// How long `/health` announces a planned stop before the instance refuses work, in milliseconds. If it is too
    /// short for the balancer to notice, callers are refused.
    #[options(
        no_short,
        meta = "MS",
        help = "how long /health warns the balancer before a planned stop refuses work (default \
                1000)"
    )]
    pub drain_notice_ms: Option<String>,
    /// The longest that a caller's request may take, in milliseconds.
    #[options(
        no_short,
        meta = "MS",
        help = "the longest a caller's request may take (default 30000)"
    )]
    pub longest_request_ms: Option<String>,
    /// The format of log lines.
    #[options(no_short, meta = "FORMAT", help = "log lines as \"text\" (default) or \"json\"")]
    pub log_format: Option<String>,
    /// The log level.
    #[options(
        no_short,
        meta = "LEVEL",
        help = "\"error\", \"warn\", \"info\" (default) or \"off\""
    )]
    pub log_level: Option<String>,
    /// The seed of all random choices.
    #[options(no_short, meta = "N", help = "seed of all random choices (default: the wall clock)")]
    pub seed: Option<String>,
    /// A file with the names of instances whose links are refused, for tests.
    #[options(
        no_short,
        meta = "PATH",
        help = "for tests only: a file with names of instances, one a line, whose links are refused \
                while it contains them"
    )]
    pub test_refuse_file: Option<String>,
}
