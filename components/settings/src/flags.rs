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
    /// All instances of the cell.
    #[options(
        no_short,
        meta = "LIST",
        help = "all instances, this one too, as name=zone@ip:port/ip:port with the addresses for \
                instances and callers, +disk behind those with a data folder, separated by commas \
                (required)"
    )]
    pub peers: Option<String>,
    /// Where operators call.
    #[options(no_short, meta = "IP:PORT", help = "where operators call (required)")]
    pub operators: Option<String>,
    /// Where the platform gives its list of workers.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "where the platform gives its list of workers (required)"
    )]
    pub platform: Option<String>,
    /// The data folder.
    #[options(
        no_short,
        meta = "PATH",
        help = "the data folder; required if --peers marks this instance with +disk, else not allowed"
    )]
    pub data_folder: Option<String>,
    /// How long the balancer has to notice that this instance stops.
    #[options(
        no_short,
        meta = "MS",
        help = "how long /health warns the balancer before a planned stop refuses work (default \
                1000)"
    )]
    pub drain_notice_ms: Option<String>,
    /// The longest that a caller's request may take.
    #[options(
        no_short,
        meta = "MS",
        help = "the longest a caller's request may take (default 30000)"
    )]
    pub longest_request_ms: Option<String>,
    /// How log lines are written.
    #[options(no_short, meta = "FORMAT", help = "log lines as \"text\" (default) or \"json\"")]
    pub log_format: Option<String>,
    /// How much is logged.
    #[options(
        no_short,
        meta = "LEVEL",
        help = "\"error\", \"warn\", \"info\" (default) or \"off\""
    )]
    pub log_level: Option<String>,
    /// Seeds everything that is drawn at random.
    #[options(
        no_short,
        meta = "N",
        help = "seeds what is drawn at random (default: by the clock)"
    )]
    pub seed: Option<String>,
    /// A file of instances whose links are refused, for tests.
    #[options(
        no_short,
        meta = "PATH",
        help = "for tests only: a file with names of instances, one a line, whose links are refused \
                while they stand in it"
    )]
    pub test_refuse_file: Option<String>,
}
