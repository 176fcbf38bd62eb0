//! Monotonic time, as passed to the reducers.

use std::ops::{Add, Sub};

use serde::Serialize;

/// Milliseconds on the monotonic clock of one process.
///
/// Values of different processes must not be compared: their clocks are not synchronised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the milliseconds from `earlier` to `self`; 0 if `earlier` is later.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Millis {
    type Output = Millis;

    fn add(self, millis: u64) -> Millis {
        Millis(self.0.saturating_add(millis))
    }
}

impl Sub<u64> for Millis {
    type Output = Millis;

    fn sub(self, millis: u64) -> Millis {
        Millis(self.0.saturating_sub(millis))
    }
}
