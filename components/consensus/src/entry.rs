//! Log entries, the persistent term and vote, and snapshots.

use std::sync::Arc;

use model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::Membership;

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; a new leader appends it to commit the entries of earlier terms.
    Noop,
    /// An encoded command for the state machine.
    Command(Arc<[u8]>),
    /// The membership that applies from this entry on.
    Membership(Membership),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The position in the log, starting at one.
    pub index: u64,
    /// The term of the leader that created the entry.
    pub term: u64,
    /// The content.
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate number of bytes that the entry takes in a message.
    pub fn approximate_size(&self) -> usize {
        match &self.payload {
            Payload::Command(data) => 24 + data.len(),
            Payload::Noop => 24,
            Payload::Membership(_) => 512,
        }
    }
}

/// The term and vote that a member must persist: without them it could vote twice in one term after a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// The candidate that received this member's vote in that term.
    pub voted_for: Option<InstanceId>,
}

/// A record of the log on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Replaces the persisted term and vote.
    HardState(HardState),
    /// Adds an entry, replacing all entries at its index or above.
    Entry(Entry),
}

/// The complete state of the state machine after an entry, with the membership at that entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry included.
    pub last_index: u64,
    /// The term of that entry.
    pub last_term: u64,
    /// The membership as of that entry.
    pub membership: Membership,
    /// The encoded state.
    pub data: Arc<[u8]>,
}
