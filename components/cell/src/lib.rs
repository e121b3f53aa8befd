//! The cell state: the data that all zones share, changed only by committed commands.
//!
//! [`Cell::apply`] is deterministic and has no side effects, so every instance computes the same
//! state. docs/design/cell.md defines what belongs here and what is left to the zones.

mod assign;
mod claims;
mod command;
mod drained_zones;
mod jobs;
mod reply_cache;
mod share;
mod state;
mod zones;

pub use assign::{ZoneCapacity, assign, choose_target_zone};
pub use claims::{CLAIM_SKEW, CLAIM_WINDOW, Claims};
pub use command::{Claim, ClaimReply, Command, Proposal, Reply, TaskEnd, TaskOutcome};
pub use drained_zones::DrainedZones;
pub use jobs::{Job, JobState};
pub use share::Share;
pub use state::{Cell, ConfigVersion};
pub use zones::{Grant, Zones};
