//! How often both roles look around, and how long they take to stop.

use clock::Millis;

/// How often time passes when nothing happens.
pub(crate) const TICK: Millis = Millis(50);
/// How long answers that were just handed out take to leave.
pub(crate) const LAST_ANSWERS: Millis = Millis(100);
/// How often the settings file is looked at: it may change without a signal.
pub(crate) const READ_SETTINGS_EVERY: Millis = Millis(2_000);
