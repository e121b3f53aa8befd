//! The intervals and delays that both roles share.

use clock::Millis;

/// The interval of ticks when no event arrives.
pub(crate) const TICK_INTERVAL: Millis = Millis(50);
/// How long a stopping process waits for its last answers to be sent.
pub(crate) const FINAL_ANSWERS_TIME: Millis = Millis(100);
/// How often the settings file is read: it may change without a signal.
pub(crate) const SETTINGS_READ_INTERVAL: Millis = Millis(2_000);
