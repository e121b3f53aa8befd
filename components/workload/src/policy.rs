//! The configuration that operators hand in from outside: queues, services and limits.

use std::fmt;
use std::sync::Arc;

use clock::Millis;
use errors::Result;
use model::Name;
use serde::{Deserialize, Serialize};

use crate::Organisations;

/// A configuration as it was handed in: the highest version holds, and its text is read back as it
/// was sent.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The number its author gave it; zero before the first one.
    pub version: u64,
    /// The text, which a [`PolicyReader`] understands.
    pub text: Arc<str>,
}

/// Leaves out the text, which holds keys.
impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Document { version, text } = self;
        write!(f, "Document {{ version: {version}, text: {} bytes }}", text.len())
    }
}

/// Reads a document's text. The format belongs to whoever hands documents in.
pub trait PolicyReader: Send + Sync {
    /// Reads and checks a text.
    ///
    /// # Errors
    /// The faults, if the text may not be put in force.
    fn read(&self, text: &str) -> Result<Policy>;
}

/// What asking for advice costs, and how long it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvicePolicy {
    /// The time that each call takes.
    pub base_ms: f64,
    /// The time that each worker named in it adds.
    pub per_worker_ms: f64,
    /// How long a ticket may be used.
    pub valid: Millis,
}

/// One queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// What the paths of its calls begin with.
    pub path_prefix: Name,
    /// The service whose workers run its tasks.
    pub service: Name,
    /// Zero comes first.
    pub priority: u8,
    /// How often a task may fail.
    pub max_attempts: u16,
    /// By how much a job may take longer than its longest chain of work.
    pub stretch: f64,
    /// What a job may take beyond that.
    pub target_latency: Millis,
    /// Whether an advice service allows only some workers for each step.
    pub advice: Option<AdvicePolicy>,
    /// Whether calls need no key of an organisation.
    pub public: bool,
}

/// One pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Whether its workers refuse what does not fit.
    pub checks_capacity: bool,
    /// The most connections to one of its workers.
    pub max_connections: usize,
}

/// A document's meaning.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// The queues.
    pub queues: Vec<Queue>,
    /// The services.
    pub services: Vec<Service>,
    /// The largest body of a caller in bytes; zero for no limit.
    pub max_body: u64,
    /// The organisations; `None` where calls bear no keys at all.
    pub organisations: Option<Organisations>,
}

impl Policy {
    /// Gives the queue for a host and path, and what follows its prefix in the path. The longest
    /// prefix wins.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let matching = self.queues.iter().filter(|q| {
            q.host.eq_ignore_ascii_case(host) && path.starts_with(q.path_prefix.as_ref())
        });
        let queue = matching.max_by_key(|q| q.path_prefix.len())?;
        Some((queue, &path[queue.path_prefix.len()..]))
    }

    /// Gives a queue by its name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name.as_ref() == name)
    }

    /// Gives a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name.as_ref() == name)
    }
}
