//! The configuration that operators publish: queues, services and limits.

use std::fmt;
use std::sync::Arc;

use clock::Millis;
use errors::Result;
use model::Name;
use serde::{Deserialize, Serialize};

use crate::Organisations;

/// A configuration as it was published. The highest version is in force, and its text is returned to
/// readers exactly as it was sent.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The version number that its author chose; zero before the first configuration.
    pub version: u64,
    /// The text, in the format of a [`PolicyReader`].
    pub text: Arc<str>,
}

/// Omits the text, which contains API keys.
impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Document { version, text } = self;
        write!(f, "Document {{ version: {version}, text: {} bytes }}", text.len())
    }
}

/// A parser for the text of documents. The format is up to the system that publishes them.
pub trait PolicyReader: Send + Sync {
    /// Parses and validates a text.
    ///
    /// # Errors
    /// Returns the faults if the text cannot be put in force.
    fn read(&self, text: &str) -> Result<Policy>;
}

/// The cost of a call for advice, and how long its answer is valid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvicePolicy {
    /// The fixed time that each call takes, in milliseconds.
    pub base_ms: f64,
    /// The additional time for each worker named in the call, in milliseconds.
    pub per_worker_ms: f64,
    /// How long a ticket is valid.
    pub valid: Millis,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Name,
    /// The host name in its calls.
    pub host: Name,
    /// The prefix of the paths of its calls.
    pub path_prefix: Name,
    /// The service whose workers run its tasks.
    pub service: Name,
    /// The priority of its jobs; zero is the most urgent.
    pub priority: u8,
    /// The number of failed runs of a task after which its job fails.
    pub max_attempts: u16,
    /// The factor by which a job may take longer than its critical path.
    pub stretch: f64,
    /// The time that a job may take in addition to that.
    pub target_latency: Millis,
    /// The advice service that restricts which workers may run each step, if the queue has one.
    pub advice: Option<AdvicePolicy>,
    /// Whether calls need no API key of an organisation.
    pub public: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Whether its workers refuse tasks that do not fit into their free capacity.
    pub checks_capacity: bool,
    /// The maximum number of connections to one of its workers.
    pub max_connections: usize,
}

/// The parsed content of a document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// The queues.
    pub queues: Vec<Queue>,
    /// The services.
    pub services: Vec<Service>,
    /// The maximum size of a request body in bytes; zero for no limit.
    pub max_body: u64,
    /// The organisations; `None` if calls carry no API keys at all.
    pub organisations: Option<Organisations>,
}

impl Policy {
    /// Returns the queue for a host and path, and the rest of the path after its prefix. The longest
    /// matching prefix wins.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let matching = self.queues.iter().filter(|q| {
            q.host.eq_ignore_ascii_case(host) && path.starts_with(q.path_prefix.as_ref())
        });
        let queue = matching.max_by_key(|q| q.path_prefix.len())?;
        Some((queue, &path[queue.path_prefix.len()..]))
    }

    /// Returns a queue by its name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name.as_ref() == name)
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name.as_ref() == name)
    }
}
