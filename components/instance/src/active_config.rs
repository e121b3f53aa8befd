//! The file in which an instance with a disk stores its active configuration, next to the log.
//!
//! After a restart the log holds the entries but not the commit index. A disconnected instance must
//! not return to an older configuration, so the configuration is saved before it is used.

use std::collections::BTreeSet;

use cell::{ConfigVersion, DrainedZones};
use errors::{Error, Result};
use model::Name;
use serde::{Deserialize, Serialize};

/// The active configuration, the drained names and the drained zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ActiveConfig {
    /// The configuration and its version.
    pub(crate) config: ConfigVersion,
    /// The drained instances and upstreams.
    pub(crate) drained: BTreeSet<Name>,
    /// The drained zones, encoded after the other fields, so that a file of an earlier release loads.
    #[serde(skip)]
    pub(crate) drained_zones: DrainedZones,
}

/// The name of the file.
pub(crate) const ACTIVE_CONFIG_FILE: &str = "in-force";

impl ActiveConfig {
    pub(crate) fn load(path: &std::path::Path) -> Result<Option<ActiveConfig>> {
        let Some(bytes) = storage::load(path)? else { return Ok(None) };
        let (mut loaded, rest) =
            postcard::take_from_bytes::<ActiveConfig>(&bytes).map_err(decode_error)?;
        if !rest.is_empty() {
            loaded.drained_zones = postcard::from_bytes(rest).map_err(decode_error)?;
        }
        Ok(Some(loaded))
    }

    pub(crate) fn save(&self, path: &std::path::Path) -> Result<()> {
        let bytes = postcard::to_allocvec(self).map_err(decode_error)?;
        storage::save(path, &postcard::to_extend(&self.drained_zones, bytes).map_err(decode_error)?)
    }
}

fn decode_error(e: postcard::Error) -> Error {
    Error::Decode { what: "the active configuration", reason: e.to_string() }
}
