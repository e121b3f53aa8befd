//! The division of a machine's memory among what clients make a process hold. A process that takes more than its machine has
//! is killed, so each use has a share; docs/design/clients.md has the reasons.

/// The file in which the kernel lists the memory of the machine.
const MEMORY_FILE: &str = "/proc/meminfo";
/// The start of the line of that file on all of the memory; the number after it is in kibibytes.
const MEMORY_LINE: &str = "MemTotal:";
/// The memory in bytes if it cannot be read: that of the smallest control instances.
const DEFAULT_MEMORY: usize = 256_000_000;
/// The share of connections, in sixteenths of the memory.
const CONNECTIONS_SIXTEENTHS: usize = 3;
/// The share of bodies and of what is parsed from them.
const BODIES_SIXTEENTHS: usize = 3;
/// The share of accepted jobs. The leader has them twice, once in the log's replica and once in the dispatcher. The remaining
/// four sixteenths are for the process itself, its log and its workers.
const JOBS_SIXTEENTHS: usize = 3;
/// What is set aside for a connection, in bytes. One that sends the smallest chunks takes more, out of what is left to the
/// process; docs/design/clients.md has the figures.
const CONNECTION_MEMORY: usize = 32 << 10;

/// The memory for each use, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// Connections that clients open to this process.
    pub connections: usize,
    /// Large bodies of requests, until these are answered.
    pub bodies: usize,
    /// Accepted jobs, in one copy of the replicated state.
    pub jobs: usize,
}

impl Memory {
    /// Divides the memory of a machine, in bytes, among the uses.
    pub fn divide(memory: usize) -> Memory {
        let share = |sixteenths: usize| memory / 16 * sixteenths;
        Memory {
            connections: share(CONNECTIONS_SIXTEENTHS),
            bodies: share(BODIES_SIXTEENTHS),
            jobs: share(JOBS_SIXTEENTHS),
        }
    }

    /// Divides the memory of this machine.
    pub fn of_this_machine() -> Memory {
        let text = std::fs::read_to_string(MEMORY_FILE).unwrap_or_default();
        Memory::divide(parse_total_memory(&text).unwrap_or(DEFAULT_MEMORY))
    }

    /// Returns how many connections there is memory for.
    pub fn connection_count(&self) -> usize {
        self.connections / CONNECTION_MEMORY
    }
}

/// Parses the memory of the machine, in bytes, from the kernel's table.
pub fn parse_total_memory(text: &str) -> Option<usize> {
    let line = text.lines().find_map(|l| l.strip_prefix(MEMORY_LINE))?;
    let kibibytes: usize = line.split_whitespace().next()?.parse().ok()?;
    kibibytes.checked_mul(1_024)
}
