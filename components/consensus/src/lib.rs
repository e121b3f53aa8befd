//! The replicated log that the cell state is agreed on by.
//!
//! [`Node`] is pure: `(state, now, input) -> Output`. [`Replica`] adds the disk and keeps the one
//! rule of order: records are synced before any message or commitment that rests on them leaves.
//! docs/design/consensus.md says what was weighed.

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
