//! What the log holds and what the disk remembers.

use std::sync::Arc;

use model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::Membership;

/// What one entry of the log carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader commits its predecessors' entries with it.
    Noop,
    /// A command of the state machine.
    Command(Arc<[u8]>),
    /// The members from this entry on.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place, counted from one.
    pub index: u64,
    /// The term of the leader that made it.
    pub term: u64,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Gives roughly how many bytes the entry takes in a message.
    pub fn approximate_size(&self) -> usize {
        match &self.payload {
            Payload::Command(data) => 24 + data.len(),
            Payload::Noop => 24,
            Payload::Membership(_) => 512,
        }
    }
}

/// What a member must never forget: the term it knows and the vote it gave in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// Who got this member's vote in that term.
    pub voted_for: Option<InstanceId>,
}

/// One record of the disk's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Replaces the remembered term and vote.
    HardState(HardState),
    /// Adds an entry; every entry at its index or above is dropped first.
    Entry(Entry),
}

/// The state machine's whole state after some entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry it holds.
    pub last_index: u64,
    /// That entry's term.
    pub last_term: u64,
    /// The members as of that entry.
    pub membership: Membership,
    /// The encoded state.
    pub data: Arc<[u8]>,
}
