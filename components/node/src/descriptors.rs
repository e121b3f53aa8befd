//! The division of a process's file descriptors among their uses. The operating system limits them, and a
//! process without free descriptors can neither write its log nor accept a call, so each use has a share.
//! The shares of calls and listeners are enforced; the number of links to other instances depends on the
//! number of instances, so their share is only reserved.

/// The file in which the kernel lists the limits of the process.
const LIMITS_FILE: &str = "/proc/self/limits";
/// The start of the line of that file on open files; the first number after it is the soft limit, which applies.
const LIMIT_LINE: &str = "Max open files";
/// The limit if it cannot be read: the smallest common default of operating systems.
const DEFAULT_LIMIT: usize = 1_024;
/// The share of connections to workers, in sixteenths of all descriptors. Of 4,124 descriptors it covers a
/// waiting lease renewal at each of 1,100 workers and 700 orders.
const CALLS_SIXTEENTHS: usize = 7;
/// The share of connections from workers, operators and callers, in sixteenths: 1,100 workers may all send
/// their announcements to the same control instance.
const LISTENERS_SIXTEENTHS: usize = 5;
/// The share of links to other instances, in sixteenths; each takes two descriptors. The remaining sixteenth
/// is for connections to the other listeners, the log, its snapshots and files that libraries open.
const PEERS_SIXTEENTHS: usize = 3;
/// The divisor of all descriptors that gives those of the connections to each of the listeners for metrics and for the
/// balancer.
const SIDE_LISTENER_DIVISOR: usize = 64;

/// The number of descriptors for each use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// Connections that this process opens to workers and to the advice service.
    pub calls: usize,
    /// Connections that workers, operators and callers open to this process.
    pub listeners: usize,
    /// Connections to each of the listeners for metrics and for the balancer's readiness check.
    pub side_listeners: usize,
    /// Links to other instances.
    pub peers: usize,
}

impl Descriptors {
    /// Divides a limit among the uses.
    pub fn divide(limit: usize) -> Descriptors {
        let share = |sixteenths: usize| limit * sixteenths / 16;
        Descriptors {
            calls: share(CALLS_SIXTEENTHS),
            listeners: share(LISTENERS_SIXTEENTHS),
            side_listeners: limit / SIDE_LISTENER_DIVISOR,
            peers: share(PEERS_SIXTEENTHS),
        }
    }

    /// Divides the limit of this process.
    pub fn of_this_process() -> Descriptors {
        let text = std::fs::read_to_string(LIMITS_FILE).unwrap_or_default();
        Descriptors::divide(parse_open_file_limit(&text).unwrap_or(DEFAULT_LIMIT))
    }
}

/// Parses the soft limit of open files from the kernel's table of limits.
pub fn parse_open_file_limit(text: &str) -> Option<usize> {
    let line = text.lines().find_map(|l| l.strip_prefix(LIMIT_LINE))?;
    line.split_whitespace().next()?.parse().ok()
}
