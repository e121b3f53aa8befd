//! Organisations: who may hand in jobs, by which keys, and how much each may have running.
//!
//! Keys are secrets. Only their digests are held beside the document that names them, and no output shows more
//! than a fingerprint. docs/design/organisations.md tells what a key allows.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use model::{Dimension, Name, Size};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// How many bytes of a digest a [`KeyDigest`] shows.
const FINGERPRINT_BYTES: usize = 4;

/// The SHA-256 digest of a key. Digests are compared in place of keys, so that the time of a comparison tells
/// nothing of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Gives the digest of a key.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

/// Shows a short fingerprint.
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

/// What a call shows of the organisation that it is made for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Credential {
    /// Nothing.
    #[default]
    None,
    /// Something that no key can be read from.
    Malformed,
    /// A key.
    Key(KeyDigest),
}

/// One organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: Name,
    /// Its share of the room when room is short, against the weights of the others.
    pub weight: f64,
    /// The most that it may have running over all workers; zero in a dimension sets no limit there.
    pub limit: Size,
}

impl Organisation {
    /// Tells whether so much running is more than the limit allows, as it may be once the limit is lowered.
    pub fn is_over_limit(&self, used: &Size) -> bool {
        let over = |d: &Dimension| self.limit.get(*d) > 0 && used.get(*d) > self.limit.get(*d);
        Dimension::ALL.iter().any(over)
    }

    /// Gives how many more tasks of a size may run beside what the organisation has running.
    pub fn tasks_within_limit(&self, used: &Size, task: &Size) -> u64 {
        let within = |d: &Dimension| match (self.limit.get(*d), task.get(*d)) {
            (0, _) | (_, 0) => u64::MAX,
            (limit, need) => limit.saturating_sub(used.get(*d)) / need,
        };
        Dimension::ALL.iter().map(within).min().unwrap_or(u64::MAX)
    }
}

/// The organisations of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisations {
    by_name: BTreeMap<Name, Organisation>,
    by_key: HashMap<KeyDigest, Name>,
}

impl Organisations {
    /// Adds an organisation; tells whether none of that name was there.
    pub fn add(&mut self, organisation: Organisation) -> bool {
        self.by_name.insert(organisation.name.clone(), organisation).is_none()
    }

    /// Gives a key to an organisation; tells whether no other one holds it.
    pub fn add_key(&mut self, key: KeyDigest, organisation: &Name) -> bool {
        let holder = self.by_key.entry(key).or_insert_with(|| organisation.clone());
        holder == organisation
    }

    /// Gives an organisation.
    pub fn get(&self, name: &str) -> Option<&Organisation> {
        self.by_name.get(name)
    }

    /// Gives all organisations, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.by_name.values()
    }

    /// Gives the organisation that a credential stands for.
    pub fn holder(&self, credential: &Credential) -> Option<&Name> {
        match credential {
            Credential::Key(key) => self.by_key.get(key),
            Credential::None | Credential::Malformed => None,
        }
    }
}
