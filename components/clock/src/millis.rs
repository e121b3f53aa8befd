//! A point in time or a span, in milliseconds.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};

use serde::{Deserialize, Serialize};

/// A number of milliseconds: a point on some clock or a span between two points.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// The zero point or the empty span.
    pub const ZERO: Millis = Millis(0);
    /// A point in time that is never reached.
    pub const MAX: Millis = Millis(u64::MAX);

    /// Returns the span from `earlier` to `self`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Lengthens a span by `percent`, rounded up, to allow for a clock that runs slow.
    pub fn plus_percent(self, percent: u64) -> Millis {
        Millis(self.0.saturating_add((self.0.saturating_mul(percent)).div_ceil(100)))
    }

    /// Returns the span as a standard library `Duration`.
    pub fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Millis;
    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, other: Millis) {
        *self = *self + other;
    }
}

impl Sub for Millis {
    type Output = Millis;
    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
