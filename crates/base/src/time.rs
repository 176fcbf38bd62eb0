//! Monotonic time, as the reducers see it.

use std::ops::{Add, Sub};

use serde::Serialize;

/// Milliseconds on one process's monotonic clock.
///
/// Values of two processes are never compared: nothing assumes that clocks run in step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize)]
pub struct Millis(pub u64);

impl Millis {
    /// The time from `earlier` to `self`, in milliseconds; 0 if `earlier` is later.
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
