//! What the open files of a process are for. The operating system limits them, and a process that has
//! none left can neither write its log nor take a call, so each use has its share. Calls and
//! listeners keep to theirs; the links to other instances are as many as there are instances, and theirs is
//! only left free for them.

/// The file in which the kernel tells a process its limits.
const LIMITS_FILE: &str = "/proc/self/limits";
/// The line of that file on open files; the number behind it is the limit in force.
const LIMIT_LINE: &str = "Max open files";
/// The limit where none can be read: the least that systems grant by default.
const USUAL_LIMIT: usize = 1_024;
/// What part of all descriptors, in sixteenths, goes to connections to workers: a renewal that waits at
/// each of 1,100 workers, and 700 orders, out of 4,124.
const CALLS_SHARE: usize = 7;
/// What part goes to connections from workers, operators and callers: 1,100 workers may all announce
/// themselves to the same control instance.
const LISTENERS_SHARE: usize = 5;
/// What part goes to the other instances, two for each. The rest, a sixteenth, is for the log, its
/// snapshots, the listeners and what the libraries open.
const PEERS_SHARE: usize = 3;

/// How many descriptors each use may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// Connections that this process opens to workers and to the advice service.
    pub calls: usize,
    /// Connections that workers, operators and callers open to this process.
    pub listeners: usize,
    /// Links to other instances.
    pub peers: usize,
}

impl Descriptors {
    /// Divides a limit.
    pub fn divide(limit: usize) -> Descriptors {
        let share = |sixteenths: usize| limit * sixteenths / 16;
        Descriptors {
            calls: share(CALLS_SHARE),
            listeners: share(LISTENERS_SHARE),
            peers: share(PEERS_SHARE),
        }
    }

    /// Divides the limit of this process.
    pub fn of_this_process() -> Descriptors {
        let text = std::fs::read_to_string(LIMITS_FILE).unwrap_or_default();
        Descriptors::divide(parse_open_file_limit(&text).unwrap_or(USUAL_LIMIT))
    }
}

/// Reads the limit in force out of the kernel's table.
pub fn parse_open_file_limit(text: &str) -> Option<usize> {
    let line = text.lines().find_map(|l| l.strip_prefix(LIMIT_LINE))?;
    line.split_whitespace().next()?.parse().ok()
}
