//! The cell state: what all zones agree on, changed only by committed commands.
//!
//! [`Cell::apply`] is pure and the same on every instance. docs/design/cell.md says what belongs
//! here and what is left to the zones.

mod assign;
mod claims;
mod command;
mod jobs;
mod reply_cache;
mod share;
mod state;
mod zones;

pub use assign::{ZoneCapacity, assign, choose_target_zone};
pub use claims::{CLAIM_SKEW, CLAIM_WINDOW, Claims};
pub use command::{Claim, ClaimReply, Command, Proposal, Reply, TaskEnd, TaskOutcome};
pub use jobs::{Job, JobState};
pub use share::Share;
pub use state::{Cell, ConfigVersion};
pub use zones::{Grant, Zones};
