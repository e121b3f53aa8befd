//! What an instance with a disk keeps besides the log: the configuration that it has put in force.
//!
//! After a restart the log's entries are there, but not which of them are committed. A cut-off
//! instance must not fall back behind what it had in force, so that is saved before it is used.

use std::collections::BTreeSet;

use cell::ConfigVersion;
use errors::{Error, Result};
use model::Name;
use serde::{Deserialize, Serialize};

/// What was in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ActiveConfig {
    /// The configuration.
    pub(crate) config: ConfigVersion,
    /// What was out of use.
    pub(crate) drained: BTreeSet<Name>,
}

/// The file that holds it.
pub(crate) const ACTIVE_CONFIG_FILE: &str = "in-force";

impl ActiveConfig {
    pub(crate) fn load(path: &std::path::Path) -> Result<Option<ActiveConfig>> {
        let Some(bytes) = storage::load(path)? else { return Ok(None) };
        Ok(Some(postcard::from_bytes(&bytes).map_err(decode_error)?))
    }

    pub(crate) fn save(&self, path: &std::path::Path) -> Result<()> {
        storage::save(path, &postcard::to_allocvec(self).map_err(decode_error)?)
    }
}

fn decode_error(e: postcard::Error) -> Error {
    Error::Decode { what: "the configuration in force", reason: e.to_string() }
}
