//! Limit that an endpoint names for the requests of all entries together.

use std::fmt;

/// Highest rate that is kept, in thousandths of a request a second: no endpoint serves as many.
const MAX_MILLI: u64 = 1_000_000_000;

/// Requests a second that an endpoint takes from all entries together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct EndpointRate {
    /// Thousandths of a request a second.
    pub milli: u64,
}

impl EndpointRate {
    /// Returns the rate of this many requests a second; `None` if that is no number from 0 on.
    pub fn from_per_second(rate: f64) -> Option<EndpointRate> {
        let valid = rate.is_finite() && rate >= 0.0;
        valid.then(|| EndpointRate { milli: ((rate * 1_000.0) as u64).min(MAX_MILLI) })
    }

    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        self.milli as f64 / 1_000.0
    }
}

impl fmt::Display for EndpointRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}
