//! A replicated log in the manner of Raft, through which the cell agrees on its state.
//!
//! [`Node`] is a pure state machine: `(state, now, input) -> Output`. [`Replica`] adds the disk and
//! enforces the order of effects: records are synced before any message or commit that depends on
//! them leaves. docs/design/consensus.md discusses the design.

mod config;
mod disk;
mod election;
mod entry;
mod incoming_snapshot;
mod log;
mod membership;
mod membership_maintenance;
mod message;
mod message_handling;
mod node;
mod output;
mod progress;
mod replica;
mod replication;
mod snapshot;

pub use config::{NodeConfig, Timing};
pub use disk::{Disk, FileDisk, MemoryDisk, Restored};
pub use entry::{Entry, HardState, Payload, Record, Snapshot};
pub use membership::{Learner, MemberRole, Membership};
pub use message::{Body, Envelope};
pub use node::{Node, Role};
pub use output::{ChangeError, NotLeader, Notice, Output};
pub use replica::{Committed, Flushed, Replica};
