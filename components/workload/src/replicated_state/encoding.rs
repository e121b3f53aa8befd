//! The encoding of the replicated state in a snapshot.
//!
//! Fields that were added later follow the first ones, in the order in which they were added. The last ones are left out if
//! they hold nothing, so that a snapshot is what the version wrote that did not know them yet, and decodes there.

use errors::{Error, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::ReplicatedState;
use crate::RecordedUsage;

impl ReplicatedState {
    /// Decodes the state from a snapshot; an empty slice yields the empty state.
    ///
    /// # Errors
    /// Returns [`Error::Decode`] if the bytes are not a valid snapshot.
    pub fn decode(bytes: &[u8]) -> Result<ReplicatedState> {
        let mut rest = bytes;
        let mut state: ReplicatedState = decode_next(&mut rest)?.unwrap_or_default();
        state.crashes = decode_next(&mut rest)?.unwrap_or_default();
        state.ownership = decode_next(&mut rest)?.unwrap_or_default();
        state.uncertain_losses = decode_next(&mut rest)?.unwrap_or_default();
        state.drained_zones = decode_next(&mut rest)?.unwrap_or_default();
        let recorded_usage: Option<RecordedUsage> = decode_next(&mut rest)?.unwrap_or_default();
        if let Some(recorded_usage) = recorded_usage {
            state.ownership.record_usage(recorded_usage);
        }
        state.machine_speeds = decode_next(&mut rest)?.unwrap_or_default();
        state.loss_records = decode_next(&mut rest)?.unwrap_or_default();
        state.withdrawals = decode_next(&mut rest)?.unwrap_or_default();
        state.job_memory = state.jobs.values().map(|j| j.spec.footprint()).sum();
        state.open.iter().for_each(|e| state.ownership.add_open_step(e.key.job));
        Ok(state)
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    /// Returns [`Error::Decode`] if the state cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let recorded_usage = self.ownership.recorded_usage();
        let later_fields = [
            (!self.uncertain_losses.is_empty(), encode(&self.uncertain_losses)?),
            (!self.drained_zones.is_empty(), encode(&self.drained_zones)?),
            (recorded_usage.is_some(), encode(&recorded_usage)?),
            (!self.machine_speeds.is_empty(), encode(&self.machine_speeds)?),
            (!self.loss_records.is_empty(), encode(&self.loss_records)?),
            (!self.withdrawals.is_unused(), encode(&self.withdrawals)?),
        ];
        let last = later_fields.iter().rposition(|(is_used, _)| *is_used);
        let written = &later_fields[..last.map_or(0, |last| last + 1)];
        let mut bytes = encode(self)?;
        bytes.extend(encode(&self.crashes)?);
        bytes.extend(encode(&self.ownership)?);
        written.iter().for_each(|(_, field)| bytes.extend(field));
        Ok(bytes)
    }
}

/// Decodes the next field and removes it from `rest`. Returns `None` if nothing is left.
fn decode_next<T: DeserializeOwned>(rest: &mut &[u8]) -> Result<Option<T>> {
    if rest.is_empty() {
        return Ok(None);
    }
    let (field, after) = postcard::take_from_bytes(rest).map_err(to_error)?;
    *rest = after;
    Ok(Some(field))
}

fn encode<T: Serialize + ?Sized>(field: &T) -> Result<Vec<u8>> {
    postcard::to_allocvec(field).map_err(to_error)
}

fn to_error(e: postcard::Error) -> Error {
    Error::Decode { what: "the replicated state", reason: e.to_string() }
}
