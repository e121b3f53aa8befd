//! Organisations: who may submit jobs, with which API keys, and how much each may have running.
//!
//! Keys are secrets. Outside the document that lists them only their digests are kept, and no output shows more
//! than a fingerprint. docs/design/organisations.md describes what a key allows.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use model::{Dimension, Name, Size};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The number of digest bytes that a [`KeyDigest`] shows as its fingerprint.
const FINGERPRINT_BYTES: usize = 4;

/// The SHA-256 digest of a key. Digests are compared instead of keys, so that the duration of a comparison
/// reveals nothing about a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

/// Writes a short fingerprint of the digest.
impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..FINGERPRINT_BYTES].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// The credential with which a call identifies its organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Credential {
    /// The call carries no credential.
    #[default]
    None,
    /// The credential cannot be parsed as a key.
    Malformed,
    /// The digest of the key that the call carries.
    Key(KeyDigest),
}

/// An organisation with its weight and its limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: Name,
    /// Its share of the capacity when capacity is scarce, relative to the weights of the others.
    pub weight: f64,
    /// The maximum capacity that its runs may take over all workers; zero in a dimension sets no limit there.
    pub limit: Size,
}

impl Organisation {
    /// Returns whether the capacity in use exceeds the limit, which happens when the limit is lowered.
    pub fn is_over_limit(&self, used: &Size) -> bool {
        let over = |d: &Dimension| self.limit.get(*d) > 0 && used.get(*d) > self.limit.get(*d);
        Dimension::ALL.iter().any(over)
    }

    /// Returns how many more tasks of a size may run in addition to the capacity in use.
    pub fn tasks_within_limit(&self, used: &Size, task: &Size) -> u64 {
        let within = |d: &Dimension| match (self.limit.get(*d), task.get(*d)) {
            (0, _) | (_, 0) => u64::MAX,
            (limit, need) => limit.saturating_sub(used.get(*d)) / need,
        };
        Dimension::ALL.iter().map(within).min().unwrap_or(u64::MAX)
    }
}

/// The organisations of a configuration, by name and by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisations {
    by_name: BTreeMap<Name, Organisation>,
    by_key: HashMap<KeyDigest, Name>,
}

impl Organisations {
    /// Adds an organisation; returns whether its name was new.
    pub fn add(&mut self, organisation: Organisation) -> bool {
        self.by_name.insert(organisation.name.clone(), organisation).is_none()
    }

    /// Assigns a key to an organisation; returns whether no other organisation holds the key.
    pub fn add_key(&mut self, key: KeyDigest, organisation: &Name) -> bool {
        let holder = self.by_key.entry(key).or_insert_with(|| organisation.clone());
        holder == organisation
    }

    /// Returns an organisation by its name.
    pub fn get(&self, name: &str) -> Option<&Organisation> {
        self.by_name.get(name)
    }

    /// Returns all organisations, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.by_name.values()
    }

    /// Returns the organisation that a credential belongs to.
    pub fn holder(&self, credential: &Credential) -> Option<&Name> {
        match credential {
            Credential::Key(key) => self.by_key.get(key),
            Credential::None | Credential::Malformed => None,
        }
    }
}
