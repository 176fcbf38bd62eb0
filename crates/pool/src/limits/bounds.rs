//! How the permitted excess over a limit is divided.

use crate::organisation::UsageLimit;

/// Share of the slack that refills an issuer's bucket in one window, in addition to the limit's rate.
const REFILL_SHARE: f64 = 0.55;
/// Share of the slack by which an issuer's bucket holds more than the burst.
const CAPACITY_SHARE: f64 = 0.05;
/// Share of the slack with which an issuer starts that does not know what was used before.
const START_SHARE: f64 = 0.15;
/// Share of the slack that entries without an issuer may use, over all entries.
const ALONE_SHARE: f64 = 0.05;

/// By how much the sum of all entries may exceed a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitBounds {
    /// Milliseconds of the sliding window in which use is summed.
    pub window_ms: u64,
    /// Permitted excess, as a fraction of the limit in one window.
    pub overage: f64,
    /// Permitted excess in addition, in units.
    pub tolerance: f64,
}

impl Default for LimitBounds {
    fn default() -> LimitBounds {
        LimitBounds { window_ms: 10_000, overage: 0.1, tolerance: 0.0 }
    }
}

impl LimitBounds {
    /// Returns the maximum use in one window over all entries.
    pub fn maximum(&self, limit: UsageLimit) -> f64 {
        self.nominal(limit) + self.slack(limit)
    }

    fn nominal(&self, limit: UsageLimit) -> f64 {
        limit.rate as f64 * self.window_ms as f64 / 1_000.0 + limit.burst as f64
    }

    fn slack(&self, limit: UsageLimit) -> f64 {
        self.overage * self.nominal(limit) + self.tolerance
    }

    /// Returns what the bucket of an organisation with this limit holds and gets.
    pub(super) fn terms(&self, limit: UsageLimit) -> BucketTerms {
        let window_s = self.window_ms as f64 / 1_000.0;
        let slack = self.slack(limit);
        BucketTerms {
            window_ms: self.window_ms,
            refill: limit.rate as f64 + REFILL_SHARE * slack / window_s.max(1.0),
            capacity: limit.burst as f64 + CAPACITY_SHARE * slack,
            start: START_SHARE * slack,
            alone: ALONE_SHARE * slack,
        }
    }
}

/// What an issuer's bucket holds and gets, and what is admitted without an issuer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct BucketTerms {
    /// Milliseconds of the window in which the sum is bounded.
    pub(super) window_ms: u64,
    /// Units a second.
    pub(super) refill: f64,
    pub(super) capacity: f64,
    /// Contents of the bucket of an issuer that has just taken over.
    pub(super) start: f64,
    /// Units in a window over all entries that have no issuer.
    pub(super) alone: f64,
}
