//! Limit that an endpoint names for the requests of all entries together.

use std::fmt;

use super::bounds::BucketTerms;

/// Highest rate that is kept, in thousandths of a request a second: no endpoint serves as many.
const MAX_MILLI: u64 = 1_000_000_000;
/// Lowest requests a second that are sent: an endpoint that gets none could not lift its limit.
const MIN_PER_SECOND: f64 = 0.25;
/// Milliseconds of the window in which the platform sums an endpoint's requests.
const WINDOW_MS: u64 = 4_000;
/// Seconds of an endpoint's rate that a bucket holds, and requests in addition. In a window the platform
/// permits six seconds of the rate and five requests: four seconds are refilled.
const HELD_SECONDS: f64 = 1.0;
const HELD_REQUESTS: f64 = 2.0;
/// Requests with which an issuer starts.
const START_REQUESTS: f64 = 1.0;
/// Seconds of the rate that all entries without an issuer may use in a window, and requests in addition.
const ALONE_SECONDS: f64 = 0.5;
const ALONE_REQUESTS: f64 = 1.0;

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

    /// Returns what the endpoint's bucket holds and gets.
    pub(super) fn terms(self) -> BucketTerms {
        let refill = self.per_second().max(MIN_PER_SECOND);
        BucketTerms {
            window_ms: WINDOW_MS,
            refill,
            capacity: HELD_SECONDS * refill + HELD_REQUESTS,
            start: START_REQUESTS,
            alone: ALONE_SECONDS * refill + ALONE_REQUESTS,
        }
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
