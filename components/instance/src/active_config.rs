//! The file in which an instance with a disk stores its active configuration, next to the log.
//!
//! After a restart the log holds the entries but not the commit index. A disconnected instance must
//! not return to an older configuration, so the configuration is saved before it is used.

use std::collections::BTreeSet;

use cell::ConfigVersion;
use errors::{Error, Result};
use model::Name;
use serde::{Deserialize, Serialize};

/// The active configuration and the drained names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ActiveConfig {
    /// The configuration and its version.
    pub(crate) config: ConfigVersion,
    /// The drained instances and upstreams.
    pub(crate) drained: BTreeSet<Name>,
}

/// The name of the file.
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
    Error::Decode { what: "the active configuration", reason: e.to_string() }
}
